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
	// bucketSeconds is the burst that a tenant may use at once, in seconds of its rate.
	bucketSeconds = 2
	// expiryResolution is the minimum interval between two checks for expired tickets.
	expiryResolution = 5 * time.Millisecond
)

// tenantBuckets are the rate limiters of one tenant on this front node.
type tenantBuckets struct {
	requests *limit.Bucket
	tokens   *limit.Bucket
}

// Clock returns the time and provides timers.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
}

// Controller admits requests to server groups. The loop's goroutine owns all its tables; its methods
// may be called from any goroutine.
type Controller struct {
	loop       *commandloop.Loop
	clock      Clock
	policy     *protocol.LimitPolicy
	limiters   map[string]*groupLimiter
	limits     map[string]ConcurrencyLimit
	retries    *limit.RetryBudget
	tenants    map[string]*tenantBuckets
	waiting    map[uint64]chan limit.Decision
	nextID     uint64
	timerDueAt time.Time
	// stepGates admit generations of training steps, with lower priority than the requests that the limiters admit.
	stepGates *admissionGates
}

// NewController returns a running controller without limits; Configure sets them and Stop ends it. stepSlots returns
// how many generations of training steps may run on the servers that have a key's version; it is called on the loop's
// goroutine.
func NewController(clock Clock, stepSlots func(key StepKey, liveWaits bool) int) *Controller {
	return &Controller{
		loop: commandloop.New(), clock: clock, policy: &protocol.LimitPolicy{},
		limiters:  make(map[string]*groupLimiter),
		limits:    make(map[string]ConcurrencyLimit),
		retries:   limit.NewRetryBudget(0),
		tenants:   make(map[string]*tenantBuckets),
		waiting:   make(map[uint64]chan limit.Decision),
		stepGates: newAdmissionGates(stepSlots),
	}
}

// Configure applies the limits of a bundle.
func (a *Controller) Configure(limits *protocol.LimitPolicy) {
	a.loop.Post(func() {
		a.policy = limits
		a.retries.SetPercent(limits.GetRetryPercent())
		for _, group := range a.groups() {
			a.deliver(a.limiters[group].configure(limits))
		}
	})
}

// SetConcurrencyLimits replaces the limits of all groups; a group that is not in the map has no limit.
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

// Stop ends the controller; waiting requests are rejected.
func (a *Controller) Stop() { a.loop.Stop() }

// WaitingLive returns how many requests wait for a slot of a group, not counting generations of training steps.
func (a *Controller) WaitingLive(group string) (count int) {
	a.loop.Do(func() { count = a.limiter(group).queue.WaitingInAllClasses() })
	return count
}

// WaitingSteps returns how many generations of training steps wait for a slot, over all groups.
func (a *Controller) WaitingSteps() (count int) {
	a.loop.Do(func() { count = len(a.stepGates.waiting) })
	return count
}

func (a *Controller) groups() []string { return slices.Sorted(maps.Keys(a.limiters)) }

// Enter waits for a slot of a server group. It returns nil once the caller has a slot, which it must release with
// Leave, or the failure with which the request is rejected.
func (a *Controller) Enter(ctx context.Context, group string, ticket limit.Ticket) *protocol.Failure {
	decisions := make(chan limit.Decision, 1)
	posted := a.loop.Post(func() {
		a.nextID++
		ticket.ID = a.nextID
		a.waiting[ticket.ID] = decisions
		a.retries.RecordRequest()
		a.deliver(a.limiter(group).queue.Enter(ticket, a.clock.Now()))
		a.scheduleTimer()
	})
	if !posted {
		return StoppingFailure()
	}
	select {
	case decision := <-decisions:
		return admissionFailure(decision)
	case <-a.loop.Stopped():
		return StoppingFailure()
	case <-ctx.Done():
	}
	a.withdraw(group, &ticket, decisions)
	return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN,
		"the request ended while it waited for a slot").Failure
}

// withdraw cancels the ticket of a caller that no longer waits, or releases the slot that it got in the meantime.
func (a *Controller) withdraw(group string, ticket *limit.Ticket, decisions chan limit.Decision) {
	a.loop.Post(func() {
		if a.waiting[ticket.ID] != nil {
			a.limiter(group).queue.Cancel(ticket.ID)
			delete(a.waiting, ticket.ID)
			return
		}
		if decision := <-decisions; decision.Verdict == limit.Run {
			a.deliver(a.limiter(group).queue.Leave(a.clock.Now()))
		}
	})
}

// Leave releases a slot that Enter acquired.
func (a *Controller) Leave(group string) {
	a.loop.Post(func() {
		a.deliver(a.limiter(group).queue.Leave(a.clock.Now()))
		a.dispatchSteps(group)
	})
}

// RecordSample feeds the measurements of one attempt into the adaptive concurrency limit of a group.
func (a *Controller) RecordSample(group string, sample limit.Sample) {
	a.loop.Post(func() { a.deliver(a.limiter(group).recordSample(sample, a.clock.Now())) })
}

// Retry takes one retry from the retry budget; it returns false when the budget is exhausted.
func (a *Controller) Retry() bool {
	granted := false
	executed := a.loop.Do(func() { granted = a.retries.TakeRetry() })
	return executed && granted
}

// AdmitTenant checks a request against the tenant's rate limits, scaled to this front node's share of the fleet (0 to
// 1). It returns nil when the request is admitted, or a failure with the time after which to retry.
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

// ChargeTenant charges tokens that were forwarded to a tenant to its token rate.
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

// scheduleTimer schedules onTimer for the next expiry of a ticket or dispatch of a gate, unless a timer that fires
// earlier is pending.
func (a *Controller) scheduleTimer() {
	next := a.nextExpiry()
	if next.IsZero() || !a.timerDueAt.IsZero() && !next.Before(a.timerDueAt) {
		return
	}
	a.timerDueAt = next
	fired := a.clock.After(max(next.Sub(a.clock.Now()), expiryResolution))
	go func() {
		select {
		case <-fired:
			a.loop.Post(a.onTimer)
		case <-a.loop.Stopping():
		}
	}()
}

func (a *Controller) nextExpiry() time.Time {
	next := a.nextStepDispatch()
	for _, limiter := range a.limiters {
		if expiry := limiter.queue.NextExpiry(); !expiry.IsZero() && (next.IsZero() || expiry.Before(next)) {
			next = expiry
		}
	}
	return next
}

func (a *Controller) onTimer() {
	a.timerDueAt = time.Time{}
	for _, group := range a.groups() {
		a.deliver(a.limiters[group].queue.Expire(a.clock.Now()))
	}
	a.dispatchSteps("")
	a.scheduleTimer()
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

// StoppingFailure returns the failure with which a front node that is shutting down rejects requests.
func StoppingFailure() *protocol.Failure {
	return failure.New(failure.Draining, protocol.Outcome_NOT_RUN, "the front node is stopping",
		failure.WithRetryAfter(time.Second)).Failure
}
