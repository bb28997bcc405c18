package servingsuite

import (
	"math"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// overCommit is how many requests may be under way for one that the servers run.
	overCommit = 1.5
	// roomShare is the part of the room left by others that one front node takes.
	roomShare = 0.75
	// unboundedWait is the wait of a queue that a mutation leaves without a bound.
	unboundedWait = time.Minute
)

// lane is the way to one server group.
type lane struct {
	queue       *limit.Queue
	concurrency *limit.Concurrency
}

// admission decides which requests of a front node may go to the servers.
type admission struct {
	front   *front
	lanes   map[string]*lane
	waiting map[uint64]func(limit.Decision)
	next    uint64
	// alarms counts planned expiries, so that only the newest counts.
	alarms int
}

func newAdmission(f *front) *admission {
	created := &admission{front: f, lanes: make(map[string]*lane), waiting: make(map[uint64]func(limit.Decision))}
	for _, group := range []string{modelGroup, toolGroup} {
		maxWait := time.Duration(0)
		if f.suite.options.Mutation == MutationLongWait {
			maxWait = unboundedWait
		}
		concurrency := limit.NewConcurrency(0)
		created.lanes[group] = &lane{queue: limit.NewQueue(0, maxWait, concurrency.Limit()), concurrency: concurrency}
	}
	return created
}

// enter asks for a slot; decided is told once. The ticket's id is returned.
func (a *admission) enter(group string, ticket limit.Ticket, decided func(limit.Decision)) uint64 {
	a.next++
	ticket.ID = a.next
	ticket.Class = a.classOf(ticket.Class)
	a.waiting[ticket.ID] = decided
	a.front.retries.Request()
	a.deliver(a.lanes[group].queue.Enter(ticket, a.front.now()))
	a.setAlarm()
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

// withdraw takes a ticket out that still waits and reports whether it did.
func (a *admission) withdraw(group string, id uint64) bool {
	if a.waiting[id] == nil {
		return false
	}
	delete(a.waiting, id)
	a.lanes[group].queue.Cancel(id)
	return true
}

func (a *admission) leave(group string) {
	a.deliver(a.lanes[group].queue.Leave(a.front.now()))
	a.setAlarm()
}

func (a *admission) record(group string, sample limit.Sample) {
	held := a.lanes[group]
	held.concurrency.Record(sample, held.queue.InFlight(), a.front.now())
	a.bound()
}

// bound sets the slots of each lane by what the servers can take.
func (a *admission) bound() {
	fronts := len(a.front.suite.fronts)
	for _, group := range []string{modelGroup, toolGroup} {
		held := a.lanes[group]
		places, taken, room := 0, 0, 0.0
		for _, candidate := range a.front.candidates(group) {
			if candidate.Draining || candidate.Ejected {
				continue
			}
			places += int(candidate.Capacity)
			taken += int(max(candidate.InFlight, candidate.Running))
			others := candidate.Running - min(candidate.Running, candidate.InFlight)
			room += max(0, overCommit*float64(candidate.Capacity)-float64(others))
		}
		held.queue.SetSurplusSlots(limit.SurplusSlots(places, taken, fronts))
		slots := held.concurrency.Limit()
		if places > 0 {
			fair := int(math.Ceil(float64(places) * overCommit / float64(fronts)))
			held.queue.SetGuaranteedSlots(fair)
			slots = min(slots, max(fair, int(roomShare*room)))
		}
		a.deliver(held.queue.SetSlots(slots))
	}
}

func (a *admission) deliver(decisions []limit.Decision) {
	for _, decision := range decisions {
		decided := a.waiting[decision.ID]
		if decided == nil {
			continue
		}
		delete(a.waiting, decision.ID)
		a.front.environment.After(0, func() { decided(decision) })
	}
}

// setAlarm plans the expiry of tickets that wait too long.
func (a *admission) setAlarm() {
	var next time.Time
	for _, group := range []string{modelGroup, toolGroup} {
		expiry := a.lanes[group].queue.NextExpiry()
		if !expiry.IsZero() && (next.IsZero() || expiry.Before(next)) {
			next = expiry
		}
	}
	if next.IsZero() {
		return
	}
	a.alarms++
	planned := a.alarms
	a.front.environment.After(max(next.Sub(a.front.now()), time.Millisecond), func() {
		if planned == a.alarms {
			a.expire()
		}
	})
}

func (a *admission) expire() {
	for _, group := range []string{modelGroup, toolGroup} {
		a.deliver(a.lanes[group].queue.Expire(a.front.now()))
	}
	a.setAlarm()
}

// loadReportLife is how long a reported load is believed.
const loadReportLife = 2 * time.Second

// knownServer is what a front node knows of one server.
type knownServer struct {
	description serverDescription
	outlier     schedule.Outlier
	inFlight    uint32
	running     uint32
	reportedAt  time.Time
}

// candidates is the snapshot of a group that a choice is made from.
func (f *front) candidates(group string) []schedule.Candidate {
	var found []schedule.Candidate
	now := f.now()
	for _, id := range sortedKeys(f.servers) {
		known := f.servers[id]
		if known.description.group != group {
			continue
		}
		candidate := schedule.Candidate{
			ID: id, Zone: known.description.zone, Capacity: known.description.capacity, InFlight: known.inFlight,
			Draining: known.description.draining && f.suite.options.Mutation != MutationIgnoreDrains,
			Ejected:  known.outlier.Ejected(now), EjectedUntil: known.outlier.Until(), Weight: known.outlier.Share(now),
		}
		candidate.Unreachable = candidate.Ejected && known.outlier.Unreachable()
		if age := now.Sub(known.reportedAt); age <= loadReportLife {
			candidate.Running, candidate.ReportAge = known.running, age
		}
		found = append(found, candidate)
	}
	return found
}

// choose places one request and tells the rules what the decision left out.
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
		Algorithm: f.suite.algorithm, Front: f.name, Zone: f.environment.Zone(), AffinityKey: affinity, Last: last,
		Avoid: avoid, Sequence: f.sequence,
	}, offered, f.environment.Random())
	f.suite.rules.chose(f.name, all, avoid, decision)
	return decision.Chosen
}
