package front

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// stepGateKey names the servers of one version in a group.
type stepGateKey struct {
	group   string
	model   string
	version uint64
}

func (k stepGateKey) pin() *stepPin { return &stepPin{model: k.model, version: k.version} }

// stepGates are the gates of the versions that training steps generate on here.
// They belong to the admission's owner, which asks them anew whenever a live request leaves its slot.
type stepGates struct {
	gates   map[stepGateKey]*trainingstep.Gate
	waiting map[uint64]chan trainingstep.Decision
	// places gives how many generations of a version may run.
	places func(key stepGateKey, liveWaits bool) int
}

func newStepGates() *stepGates {
	return &stepGates{
		gates: make(map[stepGateKey]*trainingstep.Gate), waiting: make(map[uint64]chan trainingstep.Decision),
		places: func(stepGateKey, bool) int { return 0 },
	}
}

func (s *stepGates) gate(key stepGateKey) *trainingstep.Gate {
	held := s.gates[key]
	if held == nil {
		held = &trainingstep.Gate{}
		s.gates[key] = held
	}
	return held
}

// keys names the gates of a group in order; a group of "" means all.
func (s *stepGates) keys(group string) []stepGateKey {
	if len(s.gates) == 0 {
		return nil
	}
	var keys []stepGateKey
	for key := range s.gates {
		if group == "" || key.group == group {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b stepGateKey) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.model, b.model), cmp.Compare(a.version, b.version))
	})
	return keys
}

// stepRoom asks for the places only when something waits or comes.
func (a *admission) stepRoom(key stepGateKey) trainingstep.Capacity {
	held := a.lanes[key.group]
	liveWaits := held != nil && held.queue.WaitingInAllClasses() > 0
	return trainingstep.Capacity{Slots: a.steps.places(key, liveWaits), LiveWaits: liveWaits}
}

func (s *stepGates) deliver(decisions []trainingstep.Decision) {
	for _, decision := range decisions {
		if decided := s.waiting[decision.ID]; decided != nil {
			delete(s.waiting, decision.ID)
			decided <- decision
		}
	}
}

// dispatchSteps lets in who may run now; a group of "" means all.
func (a *admission) dispatchSteps(group string) {
	for _, key := range a.steps.keys(group) {
		gate := a.steps.gates[key]
		if gate.Waiting() > 0 {
			a.steps.deliver(gate.Dispatch(a.stepRoom(key), a.clock.Now()))
		}
		if gate.Idle() {
			delete(a.steps.gates, key)
		}
	}
}

// nextStepWake is when a gate has something to do by itself; zero when none has.
func (a *admission) nextStepWake() time.Time {
	var next time.Time
	for _, gate := range a.steps.gates {
		if wake := gate.NextWake(); !wake.IsZero() && (next.IsZero() || wake.Before(next)) {
			next = wake
		}
	}
	return next
}

// enterStep waits for a place of a generation; the failure says why there is none.
func (a *admission) enterStep(ctx context.Context, key stepGateKey, deadline time.Time) *protocol.Failure {
	decided := make(chan trainingstep.Decision, 1)
	ticket := &trainingstep.Ticket{Deadline: deadline}
	running := a.post(func() {
		a.nextID++
		ticket.ID = a.nextID
		a.steps.waiting[ticket.ID] = decided
		a.steps.deliver(a.steps.gate(key).Enter(*ticket, a.stepRoom(key), a.clock.Now()))
		a.setAlarm()
	})
	if !running {
		return stoppingFailure()
	}
	select {
	case decision := <-decided:
		return stepDecisionFailure(decision)
	case <-a.done:
		return stoppingFailure()
	case <-ctx.Done():
	}
	a.withdrawStep(key, ticket, decided)
	return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN, "the request ended while it waited for a place").Failure
}

// withdrawStep takes a ticket out whose caller no longer waits.
func (a *admission) withdrawStep(key stepGateKey, ticket *trainingstep.Ticket, decided chan trainingstep.Decision) {
	a.post(func() {
		if a.steps.waiting[ticket.ID] != nil {
			delete(a.steps.waiting, ticket.ID)
			a.steps.gate(key).Cancel(ticket.ID)
			a.dispatchSteps(key.group)
			return
		}
		if decision := <-decided; decision.Verdict == trainingstep.Run {
			a.giveStepBack(key)
		}
	})
}

// leaveStep gives a place back.
func (a *admission) leaveStep(key stepGateKey) {
	a.post(func() { a.giveStepBack(key) })
}

func (a *admission) giveStepBack(key stepGateKey) {
	a.steps.deliver(a.steps.gate(key).Leave(a.stepRoom(key), a.clock.Now()))
	a.dispatchSteps(key.group)
}

func stepDecisionFailure(decision trainingstep.Decision) *protocol.Failure {
	message := "no place for a training step became free in time"
	switch decision.Verdict {
	case trainingstep.Run:
		return nil
	case trainingstep.RejectFull:
		message = "too many generations of the training step wait"
	case trainingstep.RejectLate:
	}
	return failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, message, failure.WithRetryAfter(trainingstep.RejectedRetryAfter)).Failure
}
