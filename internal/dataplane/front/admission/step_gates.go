package admission

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// StepKey identifies the servers of a group that have one version of a model's weights.
type StepKey struct {
	Group   string
	Model   string
	Version uint64
}

// admissionGates holds one admission gate for each version of weights that training steps use on this front node. Only
// the controller's goroutine uses it, which dispatches the gates again whenever a live request releases its slot.
type admissionGates struct {
	gates   map[StepKey]*trainingstep.AdmissionGate
	waiting map[uint64]chan trainingstep.Decision
	// slots returns how many generations of a version may run.
	slots func(key StepKey, liveWaits bool) int
}

func newAdmissionGates(slots func(key StepKey, liveWaits bool) int) *admissionGates {
	return &admissionGates{
		gates: make(map[StepKey]*trainingstep.AdmissionGate), waiting: make(map[uint64]chan trainingstep.Decision),
		slots: slots,
	}
}

func (s *admissionGates) gate(key StepKey) *trainingstep.AdmissionGate {
	gate := s.gates[key]
	if gate == nil {
		gate = &trainingstep.AdmissionGate{}
		s.gates[key] = gate
	}
	return gate
}

// keys returns the keys of a group's gates, sorted; the group "" stands for all groups.
func (s *admissionGates) keys(group string) []StepKey {
	if len(s.gates) == 0 {
		return nil
	}
	var keys []StepKey
	for key := range s.gates {
		if group == "" || key.Group == group {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b StepKey) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return keys
}

// stepCapacity computes the capacity for a key. It is called only when a generation arrives, waits or ends, because it
// visits every server of the group.
func (a *Controller) stepCapacity(key StepKey) trainingstep.Capacity {
	limiter := a.limiters[key.Group]
	liveWaits := limiter != nil && limiter.queue.WaitingInAllClasses() > 0
	return trainingstep.Capacity{Slots: a.stepGates.slots(key, liveWaits), LiveWaits: liveWaits}
}

func (s *admissionGates) deliver(decisions []trainingstep.Decision) {
	for _, decision := range decisions {
		if decided := s.waiting[decision.ID]; decided != nil {
			delete(s.waiting, decision.ID)
			decided <- decision
		}
	}
}

// dispatchSteps admits the generations of a group that may run now and removes its idle gates; the group "" stands for
// all groups.
func (a *Controller) dispatchSteps(group string) {
	for _, key := range a.stepGates.keys(group) {
		gate := a.stepGates.gates[key]
		if gate.Waiting() > 0 {
			a.stepGates.deliver(gate.Dispatch(a.stepCapacity(key), a.clock.Now()))
		}
		if gate.Idle() {
			delete(a.stepGates.gates, key)
		}
	}
}

// nextStepDispatch returns when the next gate must be dispatched even if no event occurs; zero when none must.
func (a *Controller) nextStepDispatch() time.Time {
	var next time.Time
	for _, gate := range a.stepGates.gates {
		if wake := gate.NextDispatch(); !wake.IsZero() && (next.IsZero() || wake.Before(next)) {
			next = wake
		}
	}
	return next
}

// EnterStep waits for a slot for a generation of a training step. It returns nil once the caller has a slot, which it
// must release with LeaveStep, or the failure with which the generation is rejected.
func (a *Controller) EnterStep(ctx context.Context, key StepKey, deadline time.Time) *protocol.Failure {
	decisions := make(chan trainingstep.Decision, 1)
	ticket := &trainingstep.Ticket{Deadline: deadline}
	posted := a.loop.Post(func() {
		a.nextID++
		ticket.ID = a.nextID
		a.stepGates.waiting[ticket.ID] = decisions
		a.stepGates.deliver(a.stepGates.gate(key).Enter(*ticket, a.stepCapacity(key), a.clock.Now()))
		a.scheduleTimer()
	})
	if !posted {
		return StoppingFailure()
	}
	select {
	case decision := <-decisions:
		return stepDecisionFailure(decision)
	case <-a.loop.Stopped():
		return StoppingFailure()
	case <-ctx.Done():
	}
	a.withdrawStep(key, ticket, decisions)
	return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN,
		"the request ended while it waited for a place").Failure
}

// withdrawStep cancels the ticket of a caller that no longer waits, or releases the slot that it got in the meantime.
func (a *Controller) withdrawStep(key StepKey, ticket *trainingstep.Ticket, decisions chan trainingstep.Decision) {
	a.loop.Post(func() {
		if a.stepGates.waiting[ticket.ID] != nil {
			delete(a.stepGates.waiting, ticket.ID)
			a.stepGates.gate(key).Cancel(ticket.ID)
			a.dispatchSteps(key.Group)
			return
		}
		if decision := <-decisions; decision.Verdict == trainingstep.Run {
			a.releaseStep(key)
		}
	})
}

// LeaveStep releases a slot that EnterStep acquired.
func (a *Controller) LeaveStep(key StepKey) {
	a.loop.Post(func() { a.releaseStep(key) })
}

func (a *Controller) releaseStep(key StepKey) {
	a.stepGates.deliver(a.stepGates.gate(key).Leave(a.stepCapacity(key), a.clock.Now()))
	a.dispatchSteps(key.Group)
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
	return failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, message,
		failure.WithRetryAfter(trainingstep.RejectedRetryAfter)).Failure
}
