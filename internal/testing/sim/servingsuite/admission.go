package servingsuite

import (
	"math"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// overcommitFactor is how many requests may be in flight for each that the servers have capacity for.
	overcommitFactor = 1.5
	// headroomShare is the part of the headroom left by other front nodes that one front node uses.
	headroomShare = 0.75
	// unboundedWait is the maximum wait in a queue under MutationUnboundedWait.
	unboundedWait = time.Minute
)

// groupLimiter admits requests to one server group.
type groupLimiter struct {
	queue       *limit.Queue
	concurrency *limit.Concurrency
}

// admission decides which requests of a front node are issued to servers.
type admission struct {
	front    *front
	limiters map[string]*groupLimiter
	waiting  map[uint64]func(limit.Decision)
	next     uint64
	// expiryTimers counts timers for expiry; only the newest fires.
	expiryTimers int
}

func newAdmission(f *front) *admission {
	created := &admission{
		front: f, limiters: make(map[string]*groupLimiter),
		waiting: make(map[uint64]func(limit.Decision)),
	}
	for _, group := range []string{modelGroup, toolGroup} {
		maxWait := time.Duration(0)
		if f.suite.options.Mutation == MutationUnboundedWait {
			maxWait = unboundedWait
		}
		concurrency := limit.NewConcurrency(0)
		created.limiters[group] = &groupLimiter{
			queue:       limit.NewQueue(0, maxWait, concurrency.Limit()),
			concurrency: concurrency,
		}
	}
	return created
}

// enter requests a slot; onDecision is called once, later. The ticket's id is returned.
func (a *admission) enter(group string, ticket limit.Ticket, onDecision func(limit.Decision)) uint64 {
	a.next++
	ticket.ID = a.next
	ticket.Class = a.classOf(ticket.Class)
	a.waiting[ticket.ID] = onDecision
	a.front.retries.RecordRequest()
	a.deliver(a.limiters[group].queue.Enter(ticket, a.front.now()))
	a.scheduleExpiry()
	return ticket.ID
}

func (a *admission) classOf(class protocol.Priority) protocol.Priority {
	if a.front.suite.options.Mutation != MutationSwapClasses {
		return class
	}
	switch class {
	case protocol.Priority_URGENT:
		return protocol.Priority_PROBE
	case protocol.Priority_PROBE:
		return protocol.Priority_URGENT
	default:
		return class
	}
}

// withdraw removes a ticket that is still queued and reports whether it was.
func (a *admission) withdraw(group string, id uint64) bool {
	if a.waiting[id] == nil {
		return false
	}
	delete(a.waiting, id)
	a.limiters[group].queue.Cancel(id)
	return true
}

func (a *admission) leave(group string) {
	a.deliver(a.limiters[group].queue.Leave(a.front.now()))
	a.scheduleExpiry()
}

func (a *admission) record(group string, sample limit.Sample) {
	limiter := a.limiters[group]
	limiter.concurrency.Record(sample, limiter.queue.InFlight(), a.front.now())
	a.updateLimits()
}

// updateLimits sets the slots of each group by the capacity of its servers.
func (a *admission) updateLimits() {
	fronts := len(a.front.suite.fronts)
	for _, group := range []string{modelGroup, toolGroup} {
		limiter := a.limiters[group]
		capacity, inFlight, headroom := 0, 0, 0.0
		for _, candidate := range a.front.candidates(group) {
			if candidate.Draining || candidate.Ejected {
				continue
			}
			capacity += int(candidate.Capacity)
			inFlight += int(max(candidate.InFlight, candidate.Running))
			others := candidate.Running - min(candidate.Running, candidate.InFlight)
			headroom += max(0, overcommitFactor*float64(candidate.Capacity)-float64(others))
		}
		limiter.queue.SetSurplusSlots(limit.SurplusSlots(capacity, inFlight, fronts))
		slots := limiter.concurrency.Limit()
		if capacity > 0 {
			fair := int(math.Ceil(float64(capacity) * overcommitFactor / float64(fronts)))
			limiter.queue.SetGuaranteedSlots(fair)
			slots = min(slots, max(fair, int(headroomShare*headroom)))
		}
		a.deliver(limiter.queue.SetSlots(slots))
	}
}

func (a *admission) deliver(decisions []limit.Decision) {
	for _, decision := range decisions {
		onDecision := a.waiting[decision.ID]
		if onDecision == nil {
			continue
		}
		delete(a.waiting, decision.ID)
		a.front.environment.After(0, func() { onDecision(decision) })
	}
}

// scheduleExpiry plans the expiry of tickets that have waited too long.
func (a *admission) scheduleExpiry() {
	var next time.Time
	for _, group := range []string{modelGroup, toolGroup} {
		expiry := a.limiters[group].queue.NextExpiry()
		if !expiry.IsZero() && (next.IsZero() || expiry.Before(next)) {
			next = expiry
		}
	}
	if next.IsZero() {
		return
	}
	a.expiryTimers++
	planned := a.expiryTimers
	a.front.environment.After(max(next.Sub(a.front.now()), time.Millisecond), func() {
		if planned == a.expiryTimers {
			a.expire()
		}
	})
}

func (a *admission) expire() {
	for _, group := range []string{modelGroup, toolGroup} {
		a.deliver(a.limiters[group].queue.Expire(a.front.now()))
	}
	a.scheduleExpiry()
}

// loadReportTTL is how long a reported load is used.
const loadReportTTL = 2 * time.Second

// knownServer is a front node's state of one server.
type knownServer struct {
	description serverDescription
	outlier     schedule.OutlierDetector
	inFlight    uint32
	running     uint32
	reportedAt  time.Time
}

// candidates returns the snapshot of a group that a choice is made from.
func (f *front) candidates(group string) []schedule.Candidate {
	var candidates []schedule.Candidate
	now := f.now()
	for _, id := range sortedKeys(f.servers) {
		known := f.servers[id]
		if known.description.group != group {
			continue
		}
		candidate := schedule.Candidate{
			ID: id, Zone: known.description.zone, Capacity: known.description.capacity, InFlight: known.inFlight,
			Draining: known.description.draining && f.suite.options.Mutation != MutationIgnoreDrains,
			Ejected:  known.outlier.Ejected(now), EjectedUntil: known.outlier.EjectedUntil(), Weight: known.outlier.Share(now),
		}
		candidate.Unreachable = candidate.Ejected && known.outlier.Unreachable()
		if age := now.Sub(known.reportedAt); age <= loadReportTTL {
			candidate.Running, candidate.ReportAge = known.running, age
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// choose picks a server for one request and has the rules check what the decision excluded.
func (f *front) choose(group, affinity, last string, avoid []string) string {
	f.sequence++
	all := f.candidates(group)
	offered := all
	if f.suite.options.Mutation == MutationEjectAll {
		offered = nil
		for _, candidate := range all {
			if !candidate.Ejected {
				offered = append(offered, candidate)
			}
		}
	}
	decision := schedule.Choose(schedule.Request{
		Algorithm: f.suite.algorithm, Front: f.name, Zone: f.environment.Zone(), AffinityKey: affinity, LastServer: last,
		Avoid: avoid, Sequence: f.sequence,
	}, offered, f.environment.Random())
	f.suite.rules.checkEjections(f.name, all, avoid, decision)
	return decision.Chosen
}
