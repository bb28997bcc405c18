package front

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/ledgerops"
	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	// maxCachedPins bounds the pins that a front node remembers, and pinCacheTTL how long it does without asking again.
	maxCachedPins = 1024
	pinCacheTTL   = 10 * time.Minute
	// pinRetention is how long the ledger remembers the pin of a step that nobody asks for.
	pinRetention = 7 * 24 * time.Hour
	// versionRetryAfter is told when no server has the version of a step: a server is started or given its weights in some seconds.
	versionRetryAfter = time.Second
)

// stepChoice is a step with the model that its turn names; without one the group's choice is taken.
type stepChoice struct {
	step  string
	model string
}

// pinEntry is a pin in the cache, or one that is being asked for.
type pinEntry struct {
	// resolved is closed once pin or refused is set.
	resolved    chan struct{}
	pin         *backends.VersionPin
	rejection   *protocol.Failure
	requestedAt time.Time
}

// versionPins remembers the pins of the steps at work. The ledger's register of a
// step is the truth; it never changes, so that what is remembered stays true.
type versionPins struct {
	clock   Clock
	mutex   sync.Mutex
	entries map[stepChoice]*pinEntry
	// order holds the choices from the one asked for first.
	order []stepChoice
}

func newVersionPins(clock Clock) *versionPins {
	return &versionPins{clock: clock, entries: make(map[stepChoice]*pinEntry)}
}

// entry finds the entry of a step, or makes one, which the caller must then resolve.
func (p *versionPins) entry(step stepChoice) (current *pinEntry, made bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	if existing := p.entries[step]; existing != nil && now.Sub(existing.requestedAt) < pinCacheTTL {
		return existing, false
	}
	p.remove(step)
	entry := &pinEntry{resolved: make(chan struct{}), requestedAt: now}
	p.entries[step] = entry
	p.order = append(p.order, step)
	if len(p.order) > maxCachedPins {
		p.remove(p.order[0])
	}
	return entry, true
}

// resolve gives all who wait the outcome. A refusal is not remembered.
func (p *versionPins) resolve(step stepChoice, entry *pinEntry, pin *backends.VersionPin, rejection *protocol.Failure) {
	entry.pin, entry.rejection = pin, rejection
	close(entry.resolved)
	if rejection == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.entries[step] == entry {
		p.remove(step)
	}
}

// remove needs the mutex.
func (p *versionPins) remove(step stepChoice) {
	if p.entries[step] == nil {
		return
	}
	delete(p.entries, step)
	at := slices.Index(p.order, step)
	p.order = slices.Delete(p.order, at, at+1)
}

// resolveStep finds the version that is pinned for a step, or pins one. The
// servers of the group say which version is proposed.
func (s *Service) resolveStep(ctx context.Context, step stepChoice, group string) (*backends.VersionPin, *protocol.Failure) {
	entry, made := s.versionPins.entry(step)
	if made {
		pin, rejection := s.pinStep(ctx, step, group)
		s.versionPins.resolve(step, entry, pin, rejection)
	}
	select {
	case <-entry.resolved:
	case <-ctx.Done():
		return nil, failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN, "the request ended before its training step had a version").Failure
	}
	if entry.rejection != nil {
		return nil, copyFailure(entry.rejection)
	}
	return entry.pin, s.checkGroup(entry.pin, group)
}

// pinStep asks the ledger for the pin of a step and proposes one.
func (s *Service) pinStep(ctx context.Context, step stepChoice, group string) (*backends.VersionPin, *protocol.Failure) {
	announcements := s.backEnds.Load().Announcements(group)
	model := cmp.Or(step.model, trainingstep.GroupModel(announcements))
	proposed := trainingstep.ProposeVersion(model, announcements)
	if proposed == 0 {
		return nil, versionUnavailable(fmt.Sprintf("no server of group %s announces the version of its weights", group))
	}
	program := ledger.TrainingStepProgram(step.step)
	if rejection := s.operations.CheckReachable(program); rejection != nil {
		return nil, rejection
	}
	result := s.operations.Do(ctx, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_PinTrainingStep{
		PinTrainingStep: &protocol.PinTrainingStep{
			Step: step.step, Model: model, WeightVersion: proposed, Owner: s.name, KeepingMillis: pinRetention.Milliseconds(),
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
		return &backends.VersionPin{Step: step.step, Model: pin.GetModel(), Version: pin.GetWeightVersion()}, nil
	default:
		return nil, ledgerops.UnreachableFailure()
	}
}

// checkGroup refuses a step in a group that has other models only.
func (s *Service) checkGroup(pin *backends.VersionPin, group string) *protocol.Failure {
	announcements := s.backEnds.Load().Announcements(group)
	for _, announced := range announcements {
		if announced[pin.Model] > 0 {
			return nil
		}
	}
	if trainingstep.GroupModel(announcements) != "" {
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
		failure.WithRetryAfter(versionRetryAfter)).Failure
}
