package front

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	// pinCacheSteps bounds the pins that a front node remembers, and pinCacheLife how long it does without asking again.
	pinCacheSteps = 1024
	pinCacheLife  = 10 * time.Minute
	// pinKeeping is how long the ledger remembers the pin of a step that nobody asks for.
	pinKeeping = 7 * 24 * time.Hour
	// versionRetry is told when no server has the version of a step: a server is started or given its weights in some seconds.
	versionRetry = time.Second
)

// stepPin is the version of a model's weights that is pinned for a training step.
type stepPin struct {
	step    string
	model   string
	version uint64
}

// stepChoice is a step with the model that its turn names; without one the group's choice is taken.
type stepChoice struct {
	step  string
	model string
}

// pinEntry is a pin in the cache, or one that is being asked for.
type pinEntry struct {
	// known is closed once pin or refused is set.
	known   chan struct{}
	pin     *stepPin
	refused *protocol.Failure
	askedAt time.Time
}

// stepPins remembers the pins of the steps at work. The ledger's register of a
// step is the truth; it never changes, so that what is remembered stays true.
type stepPins struct {
	clock   Clock
	mutex   sync.Mutex
	entries map[stepChoice]*pinEntry
	// order holds the choices from the one asked for first.
	order []stepChoice
}

func newStepPins(clock Clock) *stepPins {
	return &stepPins{clock: clock, entries: make(map[stepChoice]*pinEntry)}
}

// entry finds the entry of a step, or makes one, which the caller must then resolve.
func (p *stepPins) entry(step stepChoice) (found *pinEntry, made bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	if held := p.entries[step]; held != nil && now.Sub(held.askedAt) < pinCacheLife {
		return held, false
	}
	p.remove(step)
	entry := &pinEntry{known: make(chan struct{}), askedAt: now}
	p.entries[step] = entry
	p.order = append(p.order, step)
	if len(p.order) > pinCacheSteps {
		p.remove(p.order[0])
	}
	return entry, true
}

// resolved gives all who wait the outcome. A refusal is not remembered.
func (p *stepPins) resolved(step stepChoice, entry *pinEntry, pin *stepPin, refused *protocol.Failure) {
	entry.pin, entry.refused = pin, refused
	close(entry.known)
	if refused == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.entries[step] == entry {
		p.remove(step)
	}
}

// remove needs the mutex.
func (p *stepPins) remove(step stepChoice) {
	if p.entries[step] == nil {
		return
	}
	delete(p.entries, step)
	at := slices.Index(p.order, step)
	p.order = slices.Delete(p.order, at, at+1)
}

// resolveStep finds the version that is pinned for a step, or pins one. The
// servers of the group say which version is proposed.
func (s *Service) resolveStep(ctx context.Context, step stepChoice, group string) (*stepPin, *protocol.Failure) {
	entry, made := s.pins.entry(step)
	if made {
		pin, refused := s.pinStep(ctx, step, group)
		s.pins.resolved(step, entry, pin, refused)
	}
	select {
	case <-entry.known:
	case <-ctx.Done():
		return nil, failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN, "the request ended before its training step had a version").Failure
	}
	if entry.refused != nil {
		return nil, copyFailure(entry.refused)
	}
	return entry.pin, s.checkGroup(entry.pin, group)
}

// pinStep asks the ledger for the pin of a step and proposes one.
func (s *Service) pinStep(ctx context.Context, step stepChoice, group string) (*stepPin, *protocol.Failure) {
	announcements := s.backEnds.Load().announcements(group)
	model := cmp.Or(step.model, trainingstep.ModelOf(announcements))
	proposed := trainingstep.Propose(model, announcements)
	if proposed == 0 {
		return nil, versionUnavailable(fmt.Sprintf("no server of group %s announces the version of its weights", group))
	}
	program := ledger.TrainingStepProgram(step.step)
	if refused := s.refuseUnreachable(program); refused != nil {
		return nil, refused
	}
	result := s.ledgerDo(ctx, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_PinTrainingStep{
		PinTrainingStep: &protocol.PinTrainingStep{
			Step: step.step, Model: model, WeightVersion: proposed, Owner: s.name, KeepingMillis: pinKeeping.Milliseconds(),
		},
	}})
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_STEP_MISMATCH:
		// A step of another model may be one of the group's models all the same.
		pin := result.GetTrainingStepPin()
		if pin == nil || step.model != "" && step.model != pin.GetModel() {
			return nil, stepMismatch()
		}
		s.metrics.stepPins.Inc()
		return &stepPin{step: step.step, model: pin.GetModel(), version: pin.GetWeightVersion()}, nil
	default:
		return nil, unreachableFailure()
	}
}

// checkGroup refuses a step in a group that has other models only.
func (s *Service) checkGroup(pin *stepPin, group string) *protocol.Failure {
	announcements := s.backEnds.Load().announcements(group)
	for _, announced := range announcements {
		if announced[pin.model] > 0 {
			return nil
		}
	}
	if trainingstep.ModelOf(announcements) != "" {
		return stepMismatch()
	}
	return versionUnavailable("no server of group " + group + " announces the version of its weights")
}

// copyFailure lets several turns have one failure: each may change its own.
func copyFailure(f *protocol.Failure) *protocol.Failure {
	return failure.New(failure.Code(f.GetCode()), f.GetOutcome(), f.GetMessage(), failure.WithPath(f.GetPath()),
		failure.WithRetryAfter(millis(f.GetRetryAfterMillis()))).Failure
}

func stepMismatch() *protocol.Failure {
	return failure.New(failure.StepMismatch, protocol.Outcome_NOT_RUN, "the training step is of another model", failure.WithPath(trainingStepPath)).Failure
}

func versionUnavailable(message string) *protocol.Failure {
	return failure.New(failure.StepVersionUnavailable, protocol.Outcome_NOT_RUN, message, failure.WithPath(trainingStepPath),
		failure.WithRetryAfter(versionRetry)).Failure
}
