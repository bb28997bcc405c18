package front

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
	// bucketSeconds is how much of its rate a tenant may use at once.
	bucketSeconds    = 2
	expiryResolution = 5 * time.Millisecond
)

// tenantBuckets are one tenant's rates on this front node.
type tenantBuckets struct {
	requests *limit.Bucket
	tokens   *limit.Bucket
}

// admission owns the lanes, the retry budget and the tenants' rates.
type admission struct {
	*commandloop.Loop
	clock    Clock
	policy   *protocol.LimitPolicy
	limiters map[string]*groupLimiter
	limits   map[string]concurrencyLimit
	retries  *limit.RetryBudget
	tenants  map[string]*tenantBuckets
	waiting  map[uint64]chan limit.Decision
	nextID   uint64
	alarmSet time.Time
	// gates lets generations of training steps in, behind the requests of the lanes.
	gates *admissionGates
}

func newAdmission(clock Clock) *admission {
	return &admission{
		Loop: commandloop.New(), clock: clock, policy: &protocol.LimitPolicy{},
		limiters: make(map[string]*groupLimiter),
		limits:   make(map[string]concurrencyLimit),
		retries:  limit.NewRetryBudget(0),
		tenants:  make(map[string]*tenantBuckets),
		waiting:  make(map[uint64]chan limit.Decision),
		gates:    newAdmissionGates(),
	}
}

// configure puts the bounds of a bundle in force.
func (a *admission) configure(limits *protocol.LimitPolicy) {
	a.Post(func() {
		a.policy = limits
		a.retries.SetPercent(limits.GetRetryPercent())
		for _, group := range a.groups() {
			a.deliver(a.limiters[group].configure(limits))
		}
	})
}

// setConcurrencyLimits puts new ceilings in force; a group that is not named has none.
func (a *admission) setConcurrencyLimits(limits map[string]concurrencyLimit) {
	a.Post(func() {
		a.limits = limits
		for _, group := range a.groups() {
			a.deliver(a.limiters[group].setLimit(limits[group]))
		}
		a.dispatchSteps("")
	})
}

func (a *admission) limiter(group string) *groupLimiter {
	existing := a.limiters[group]
	if existing == nil {
		existing = newGroupLimiter(a.policy, a.limits[group])
		a.limiters[group] = existing
	}
	return existing
}

func (a *admission) groups() []string { return slices.Sorted(maps.Keys(a.limiters)) }

// enter waits for a slot of a server group; the failure says why there is none.
func (a *admission) enter(ctx context.Context, group string, ticket limit.Ticket) *protocol.Failure {
	decided := make(chan limit.Decision, 1)
	running := a.Post(func() {
		a.nextID++
		ticket.ID = a.nextID
		a.waiting[ticket.ID] = decided
		a.retries.Request()
		a.deliver(a.limiter(group).queue.Enter(ticket, a.clock.Now()))
		a.setAlarm()
	})
	if !running {
		return stoppingFailure()
	}
	select {
	case decision := <-decided:
		return admissionFailure(decision)
	case <-a.Stopped():
		return stoppingFailure()
	case <-ctx.Done():
	}
	a.withdraw(group, &ticket, decided)
	return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN, "the request ended while it waited for a slot").Failure
}

// withdraw takes a ticket out whose caller no longer waits.
func (a *admission) withdraw(group string, ticket *limit.Ticket, decided chan limit.Decision) {
	a.Post(func() {
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

// leave gives a slot back.
func (a *admission) leave(group string) {
	a.Post(func() {
		a.deliver(a.limiter(group).queue.Leave(a.clock.Now()))
		a.dispatchSteps(group)
	})
}

// recordSample tells the concurrency limit of a group what one attempt measured.
func (a *admission) recordSample(group string, sample limit.Sample) {
	a.Post(func() { a.deliver(a.limiter(group).recordSample(sample, a.clock.Now())) })
}

// retry takes one retry out of the budget.
func (a *admission) retry() bool {
	granted := false
	answered := a.Do(func() { granted = a.retries.Retry() })
	return answered && granted
}

// admitTenant checks the tenant's rates, scaled to this front node's share of the fleet.
func (a *admission) admitTenant(policy *protocol.TenantPolicy, share float64) *protocol.Failure {
	if policy.GetRequestsPerSecond() <= 0 && policy.GetTokensPerSecond() <= 0 {
		return nil
	}
	var wait time.Duration
	allowed := true
	a.Do(func() {
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

// chargeTenant counts tokens that were passed on.
func (a *admission) chargeTenant(policy *protocol.TenantPolicy, share float64, tokens uint64) {
	if policy.GetTokensPerSecond() <= 0 || tokens == 0 {
		return
	}
	a.Post(func() {
		now := a.clock.Now()
		a.bucketsFor(policy, share, now).tokens.Charge(float64(tokens), now)
	})
}

func (a *admission) bucketsFor(policy *protocol.TenantPolicy, share float64, now time.Time) *tenantBuckets {
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

func (a *admission) deliver(decisions []limit.Decision) {
	for _, decision := range decisions {
		if decided := a.waiting[decision.ID]; decided != nil {
			delete(a.waiting, decision.ID)
			decided <- decision
		}
	}
}

// setAlarm expires tickets that wait too long, one alarm at a time.
func (a *admission) setAlarm() {
	next := a.nextExpiry()
	if next.IsZero() || !a.alarmSet.IsZero() && !next.Before(a.alarmSet) {
		return
	}
	a.alarmSet = next
	ring := a.clock.After(max(next.Sub(a.clock.Now()), expiryResolution))
	go func() {
		select {
		case <-ring:
			a.Post(a.alarm)
		case <-a.Stopping():
		}
	}()
}

func (a *admission) nextExpiry() time.Time {
	next := a.nextStepWake()
	for _, limiter := range a.limiters {
		if expiry := limiter.queue.NextExpiry(); !expiry.IsZero() && (next.IsZero() || expiry.Before(next)) {
			next = expiry
		}
	}
	return next
}

func (a *admission) alarm() {
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

func stoppingFailure() *protocol.Failure {
	return failure.New(failure.Draining, protocol.Outcome_NOT_RUN, "the front node is stopping",
		failure.WithRetryAfter(time.Second)).Failure
}
