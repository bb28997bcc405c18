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

// admissionGateKey names the servers of one version in a group.
type admissionGateKey struct {
	group   string
	model   string
	version uint64
}

func (k admissionGateKey) pin() *versionPin { return &versionPin{model: k.model, version: k.version} }

// admissionGates are the gates of the versions that training steps generate on here.
// They belong to the admission's owner, which asks them anew whenever a live request leaves its slot.
type admissionGates struct {
	gates   map[admissionGateKey]*trainingstep.AdmissionGate
	waiting map[uint64]chan trainingstep.Decision
	// slots gives how many generations of a version may run.
	slots func(key admissionGateKey, liveWaits bool) int
}

func newAdmissionGates() *admissionGates {
	return &admissionGates{
		gates: make(map[admissionGateKey]*trainingstep.AdmissionGate), waiting: make(map[uint64]chan trainingstep.Decision),
		slots: func(admissionGateKey, bool) int { return 0 },
	}
}

func (s *admissionGates) gate(key admissionGateKey) *trainingstep.AdmissionGate {
	gate := s.gates[key]
	if gate == nil {
		gate = &trainingstep.AdmissionGate{}
		s.gates[key] = gate
	}
	return gate
}

// keys names the gates of a group in order; a group of "" means all.
func (s *admissionGates) keys(group string) []admissionGateKey {
	if len(s.gates) == 0 {
		return nil
	}
	var keys []admissionGateKey
	for key := range s.gates {
		if group == "" || key.group == group {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b admissionGateKey) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.model, b.model), cmp.Compare(a.version, b.version))
	})
	return keys
}

// stepCapacity asks for the places only when something waits or comes.
func (a *admission) stepCapacity(key admissionGateKey) trainingstep.Capacity {
	limiter := a.limiters[key.group]
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

// dispatchSteps lets in who may run now; a group of "" means all.
func (a *admission) dispatchSteps(group string) {
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

// nextStepWake is when a gate has something to do by itself; zero when none has.
func (a *admission) nextStepWake() time.Time {
	var next time.Time
	for _, gate := range a.gates.gates {
		if wake := gate.NextDispatch(); !wake.IsZero() && (next.IsZero() || wake.Before(next)) {
			next = wake
		}
	}
	return next
}

// enterStep waits for a place of a generation; the failure says why there is none.
func (a *admission) enterStep(ctx context.Context, key admissionGateKey, deadline time.Time) *protocol.Failure {
	decided := make(chan trainingstep.Decision, 1)
	ticket := &trainingstep.Ticket{Deadline: deadline}
	running := a.Post(func() {
		a.nextID++
		ticket.ID = a.nextID
		a.gates.waiting[ticket.ID] = decided
		a.gates.deliver(a.gates.gate(key).Enter(*ticket, a.stepCapacity(key), a.clock.Now()))
		a.setAlarm()
	})
	if !running {
		return stoppingFailure()
	}
	select {
	case decision := <-decided:
		return stepDecisionFailure(decision)
	case <-a.Stopped():
		return stoppingFailure()
	case <-ctx.Done():
	}
	a.withdrawStep(key, ticket, decided)
	return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN, "the request ended while it waited for a place").Failure
}

// withdrawStep takes a ticket out whose caller no longer waits.
func (a *admission) withdrawStep(key admissionGateKey, ticket *trainingstep.Ticket, decided chan trainingstep.Decision) {
	a.Post(func() {
		if a.gates.waiting[ticket.ID] != nil {
			delete(a.gates.waiting, ticket.ID)
			a.gates.gate(key).Cancel(ticket.ID)
			a.dispatchSteps(key.group)
			return
		}
		if decision := <-decided; decision.Verdict == trainingstep.Run {
			a.releaseStep(key)
		}
	})
}

// leaveStep gives a place back.
func (a *admission) leaveStep(key admissionGateKey) {
	a.Post(func() { a.releaseStep(key) })
}

func (a *admission) releaseStep(key admissionGateKey) {
	a.gates.deliver(a.gates.gate(key).Leave(a.stepCapacity(key), a.clock.Now()))
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
