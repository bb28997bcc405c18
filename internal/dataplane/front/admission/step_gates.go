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

// StepKey names the servers of a group that have one version of a model's weights.
type StepKey struct {
	Group   string
	Model   string
	Version uint64
}

// admissionGates are the admission gates of the versions that training steps generate on here. They belong
// to the controller's goroutine, which dispatches them again whenever a live request leaves its slot.
type admissionGates struct {
	gates   map[StepKey]*trainingstep.AdmissionGate
	waiting map[uint64]chan trainingstep.Decision
	// slots gives how many generations of a version may run.
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

// keys names the gates of a group in order; a group of "" means all.
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

// stepCapacity is computed only when a generation waits or arrives: it looks at every server of the group.
func (a *Controller) stepCapacity(key StepKey) trainingstep.Capacity {
	limiter := a.limiters[key.Group]
	liveWaits := limiter != nil && limiter.queue.WaitingInAllClasses() > 0
	return trainingstep.Capacity{Slots: a.gates.slots(key, liveWaits), LiveWaits: liveWaits}
}

func (s *admissionGates) deliver(decisions []trainingstep.Decision) {
	for _, decision := range decisions {
		if decided := s.waiting[decision.ID]; decided != nil {
			delete(s.waiting, decision.ID)
			decided <- decision
		}
	}
}

// dispatchSteps admits the generations that may run now; a group of "" means all.
func (a *Controller) dispatchSteps(group string) {
	for _, key := range a.gates.keys(group) {
		gate := a.gates.gates[key]
		if gate.Waiting() > 0 {
			a.gates.deliver(gate.Dispatch(a.stepCapacity(key), a.clock.Now()))
		}
		if gate.Idle() {
			delete(a.gates.gates, key)
		}
	}
}

// nextStepWake is when the next gate must be dispatched without an event; zero when none must.
func (a *Controller) nextStepWake() time.Time {
	var next time.Time
	for _, gate := range a.gates.gates {
		if wake := gate.NextDispatch(); !wake.IsZero() && (next.IsZero() || wake.Before(next)) {
			next = wake
		}
	}
	return next
}

// EnterStep waits for a slot of a generation; the failure says why there is none. A nil one must be
// followed by LeaveStep.
func (a *Controller) EnterStep(ctx context.Context, key StepKey, deadline time.Time) *protocol.Failure {
	decided := make(chan trainingstep.Decision, 1)
	ticket := &trainingstep.Ticket{Deadline: deadline}
	running := a.loop.Post(func() {
		a.nextID++
		ticket.ID = a.nextID
		a.gates.waiting[ticket.ID] = decided
		a.gates.deliver(a.gates.gate(key).Enter(*ticket, a.stepCapacity(key), a.clock.Now()))
		a.setAlarm()
	})
	if !running {
		return StoppingFailure()
	}
	select {
	case decision := <-decided:
		return stepDecisionFailure(decision)
	case <-a.loop.Stopped():
		return StoppingFailure()
	case <-ctx.Done():
	}
	a.withdrawStep(key, ticket, decided)
	return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN,
		"the request ended while it waited for a place").Failure
}

// withdrawStep cancels the ticket of a caller that no longer waits.
func (a *Controller) withdrawStep(key StepKey, ticket *trainingstep.Ticket, decided chan trainingstep.Decision) {
	a.loop.Post(func() {
		if a.gates.waiting[ticket.ID] != nil {
			delete(a.gates.waiting, ticket.ID)
			a.gates.gate(key).Cancel(ticket.ID)
			a.dispatchSteps(key.Group)
			return
		}
		if decision := <-decided; decision.Verdict == trainingstep.Run {
			a.releaseStep(key)
		}
	})
}

// LeaveStep gives a slot back.
func (a *Controller) LeaveStep(key StepKey) {
	a.loop.Post(func() { a.releaseStep(key) })
}

func (a *Controller) releaseStep(key StepKey) {
	a.gates.deliver(a.gates.gate(key).Leave(a.stepCapacity(key), a.clock.Now()))
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
