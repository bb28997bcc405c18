package admission

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/commandloop"
	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// bucketSeconds is how many seconds of its rate a tenant may use at once.
	bucketSeconds = 2
	// expiryResolution is the least time from one look for expired tickets to the next.
	expiryResolution = 5 * time.Millisecond
)

// tenantBuckets are one tenant's rates on this front node.
type tenantBuckets struct {
	requests *limit.Bucket
	tokens   *limit.Bucket
}

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
}

// Controller admits requests to server groups. The loop's goroutine owns all its tables; its methods
// may be called from any goroutine.
type Controller struct {
	loop     *commandloop.Loop
	clock    Clock
	policy   *protocol.LimitPolicy
	limiters map[string]*groupLimiter
	limits   map[string]ConcurrencyLimit
	retries  *limit.RetryBudget
	tenants  map[string]*tenantBuckets
	waiting  map[uint64]chan limit.Decision
	nextID   uint64
	alarmSet time.Time
	// gates admit generations of training steps, behind the requests that the limiters admit.
	gates *admissionGates
}

// NewController makes a controller without bounds, which Configure sets. stepSlots says how many
// generations of a training step may run at servers of a key's version; it is called on the loop's goroutine.
// Stop ends the controller.
func NewController(clock Clock, stepSlots func(key StepKey, liveWaits bool) int) *Controller {
	return &Controller{
		loop: commandloop.New(), clock: clock, policy: &protocol.LimitPolicy{},
		limiters: make(map[string]*groupLimiter),
		limits:   make(map[string]ConcurrencyLimit),
		retries:  limit.NewRetryBudget(0),
		tenants:  make(map[string]*tenantBuckets),
		waiting:  make(map[uint64]chan limit.Decision),
		gates:    newAdmissionGates(stepSlots),
	}
}

// Configure puts the limits of a bundle in force.
func (a *Controller) Configure(limits *protocol.LimitPolicy) {
	a.loop.Post(func() {
		a.policy = limits
		a.retries.SetPercent(limits.GetRetryPercent())
		for _, group := range a.groups() {
			a.deliver(a.limiters[group].configure(limits))
		}
	})
}

// SetConcurrencyLimits puts limits in force by group; a group that is not named has none.
func (a *Controller) SetConcurrencyLimits(limits map[string]ConcurrencyLimit) {
	a.loop.Post(func() {
		a.limits = limits
		for _, group := range a.groups() {
			a.deliver(a.limiters[group].setLimit(limits[group]))
		}
		a.dispatchSteps("")
	})
}

func (a *Controller) limiter(group string) *groupLimiter {
	existing := a.limiters[group]
	if existing == nil {
		existing = newGroupLimiter(a.policy, a.limits[group])
		a.limiters[group] = existing
	}
	return existing
}

// Stop ends the controller; who waits is rejected.
func (a *Controller) Stop() { a.loop.Stop() }

// WaitingLive is how many requests wait for a slot of a group, without generations of training steps.
func (a *Controller) WaitingLive(group string) (count int) {
	a.loop.Do(func() { count = a.limiter(group).queue.WaitingInAllClasses() })
	return count
}

// WaitingSteps is how many generations of training steps wait for a slot of any group.
func (a *Controller) WaitingSteps() (count int) {
	a.loop.Do(func() { count = len(a.gates.waiting) })
	return count
}

func (a *Controller) groups() []string { return slices.Sorted(maps.Keys(a.limiters)) }

// Enter waits for a slot of a server group; the failure says why there is none. A nil one must be
// followed by Leave.
func (a *Controller) Enter(ctx context.Context, group string, ticket limit.Ticket) *protocol.Failure {
	decided := make(chan limit.Decision, 1)
	running := a.loop.Post(func() {
		a.nextID++
		ticket.ID = a.nextID
		a.waiting[ticket.ID] = decided
		a.retries.RecordRequest()
		a.deliver(a.limiter(group).queue.Enter(ticket, a.clock.Now()))
		a.setAlarm()
	})
	if !running {
		return StoppingFailure()
	}
	select {
	case decision := <-decided:
		return admissionFailure(decision)
	case <-a.loop.Stopped():
		return StoppingFailure()
	case <-ctx.Done():
	}
	a.withdraw(group, &ticket, decided)
	return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN,
		"the request ended while it waited for a slot").Failure
}

// withdraw cancels the ticket of a caller that no longer waits.
func (a *Controller) withdraw(group string, ticket *limit.Ticket, decided chan limit.Decision) {
	a.loop.Post(func() {
		if a.waiting[ticket.ID] != nil {
			a.limiter(group).queue.Cancel(ticket.ID)
			delete(a.waiting, ticket.ID)
			return
		}
		if decision := <-decided; decision.Verdict == limit.Run {
			a.deliver(a.limiter(group).queue.Leave(a.clock.Now()))
		}
	})
}

// Leave gives a slot back.
func (a *Controller) Leave(group string) {
	a.loop.Post(func() {
		a.deliver(a.limiter(group).queue.Leave(a.clock.Now()))
		a.dispatchSteps(group)
	})
}

// RecordSample gives the adaptive concurrency limit of a group what one attempt measured.
func (a *Controller) RecordSample(group string, sample limit.Sample) {
	a.loop.Post(func() { a.deliver(a.limiter(group).recordSample(sample, a.clock.Now())) })
}

// Retry takes one retry out of the budget; it reports false when none is left.
func (a *Controller) Retry() bool {
	granted := false
	answered := a.loop.Do(func() { granted = a.retries.TakeRetry() })
	return answered && granted
}

// AdmitTenant checks a tenant's rates, scaled to this front node's share of the fleet (0 to 1); the
// failure says when to come back.
func (a *Controller) AdmitTenant(policy *protocol.TenantPolicy, share float64) *protocol.Failure {
	if policy.GetRequestsPerSecond() <= 0 && policy.GetTokensPerSecond() <= 0 {
		return nil
	}
	var wait time.Duration
	allowed := true
	a.loop.Do(func() {
		now := a.clock.Now()
		buckets := a.bucketsFor(policy, share, now)
		if allowed, wait = buckets.tokens.Take(0, now); allowed {
			allowed, wait = buckets.requests.Take(1, now)
		}
	})
	if allowed {
		return nil
	}
	return failure.New(failure.RateLimited, protocol.Outcome_NOT_RUN, "the tenant's rate is used up",
		failure.WithRetryAfter(max(wait, time.Millisecond))).Failure
}

// ChargeTenant counts tokens that were forwarded to a tenant.
func (a *Controller) ChargeTenant(policy *protocol.TenantPolicy, share float64, tokens uint64) {
	if policy.GetTokensPerSecond() <= 0 || tokens == 0 {
		return
	}
	a.loop.Post(func() {
		now := a.clock.Now()
		a.bucketsFor(policy, share, now).tokens.Charge(float64(tokens), now)
	})
}

func (a *Controller) bucketsFor(policy *protocol.TenantPolicy, share float64, now time.Time) *tenantBuckets {
	requests, tokens := policy.GetRequestsPerSecond()*share, policy.GetTokensPerSecond()*share
	buckets := a.tenants[policy.GetName()]
	if buckets == nil {
		buckets = &tenantBuckets{
			requests: limit.NewBucket(requests, bucketSeconds, now),
			tokens:   limit.NewBucket(tokens, bucketSeconds, now),
		}
		a.tenants[policy.GetName()] = buckets
	}
	buckets.requests.SetRate(requests, bucketSeconds, now)
	buckets.tokens.SetRate(tokens, bucketSeconds, now)
	return buckets
}

func (a *Controller) deliver(decisions []limit.Decision) {
	for _, decision := range decisions {
		if decided := a.waiting[decision.ID]; decided != nil {
			delete(a.waiting, decision.ID)
			decided <- decision
		}
	}
}

// setAlarm has waiting tickets expire in time. One alarm is set at a time.
func (a *Controller) setAlarm() {
	next := a.nextExpiry()
	if next.IsZero() || !a.alarmSet.IsZero() && !next.Before(a.alarmSet) {
		return
	}
	a.alarmSet = next
	ring := a.clock.After(max(next.Sub(a.clock.Now()), expiryResolution))
	go func() {
		select {
		case <-ring:
			a.loop.Post(a.alarm)
		case <-a.loop.Stopping():
		}
	}()
}

func (a *Controller) nextExpiry() time.Time {
	next := a.nextStepWake()
	for _, limiter := range a.limiters {
		if expiry := limiter.queue.NextExpiry(); !expiry.IsZero() && (next.IsZero() || expiry.Before(next)) {
			next = expiry
		}
	}
	return next
}

func (a *Controller) alarm() {
	a.alarmSet = time.Time{}
	for _, group := range a.groups() {
		a.deliver(a.limiters[group].queue.Expire(a.clock.Now()))
	}
	a.dispatchSteps("")
	a.setAlarm()
}

func admissionFailure(decision limit.Decision) *protocol.Failure {
	switch decision.Verdict {
	case limit.Run:
		return nil
	case limit.RejectLate:
		return failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, "no slot became free in time",
			failure.WithRetryAfter(decision.RetryAfter)).Failure
	default:
		return failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, "the queue is full",
			failure.WithRetryAfter(decision.RetryAfter)).Failure
	}
}

// StoppingFailure is the rejection by a front node that stops.
func StoppingFailure() *protocol.Failure {
	return failure.New(failure.Draining, protocol.Outcome_NOT_RUN, "the front node is stopping",
		failure.WithRetryAfter(time.Second)).Failure
}
