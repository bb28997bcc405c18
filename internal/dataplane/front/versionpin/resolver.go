package versionpin

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/ledgerops"
	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	// StepPath is the path in failures that concern the training step of a request.
	StepPath = "training_step"

	// maxCachedPins limits the number of cached pins, pinCacheTTL the time until a pin is read from the ledger again.
	maxCachedPins = 1024
	pinCacheTTL   = 10 * time.Minute
	// pinRetention is how long the ledger retains the pin of a step that is no longer read.
	pinRetention = 7 * 24 * time.Hour
	// versionRetryAfter is the retry delay sent to callers while no server has the version of a step: a server starts
	// or loads weights in some seconds.
	versionRetryAfter = time.Second
)

// Ledger executes operations on the program ledger.
type Ledger interface {
	CheckReachable(program string) *protocol.Failure
	Do(ctx context.Context, operation *protocol.LedgerOperation) *protocol.LedgerResult
}

// Key identifies a pin: a training step and the model that its turn names. An empty Model stands for the model of the
// group.
type Key struct {
	Step  string
	Model string
}

// entry is a pin in the cache, or one that is being resolved.
type entry struct {
	// resolved is closed once either pin or rejection is set.
	resolved    chan struct{}
	pin         *backends.VersionPin
	rejection   *protocol.Failure
	requestedAt time.Time
}

// Options configure a Resolver; all are required.
type Options struct {
	// Node is the name of the front node.
	Node   string
	Now    func() time.Time
	Ledger Ledger
	// Servers returns the back ends of the current view.
	Servers func() *backends.Set
	// Pinned counts the pins that the ledger returned.
	Pinned prometheus.Counter
}

// Resolver resolves the pins of training steps and caches them. The ledger's register for a step never changes, so
// cached pins do not become stale. The mutex guards the cache.
type Resolver struct {
	options Options
	mutex   sync.Mutex
	entries map[Key]*entry
	// order lists the keys of entries, oldest first.
	order []Key
}

// NewResolver returns a resolver with an empty cache.
func NewResolver(options Options) *Resolver {
	return &Resolver{options: options, entries: make(map[Key]*entry)}
}

// Resolve returns the version that is pinned for a step. If none is pinned, it pins the one that the servers of the
// group announce. Concurrent requests for one key share one ledger operation.
func (r *Resolver) Resolve(
	ctx context.Context, key Key, group string,
) (*backends.VersionPin, *protocol.Failure) {
	current, created := r.entry(key)
	if created {
		pin, rejection := r.pin(ctx, key, group)
		r.finish(key, current, pin, rejection)
	}
	select {
	case <-current.resolved:
	case <-ctx.Done():
		return nil, failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN,
			"the request ended before its training step had a version").Failure
	}
	if current.rejection != nil {
		return nil, copyFailure(current.rejection)
	}
	return current.pin, r.checkGroup(current.pin, group)
}

// entry returns the entry of a key. If it reports created, the caller must resolve the entry and call finish.
func (r *Resolver) entry(key Key) (current *entry, created bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	if existing := r.entries[key]; existing != nil && now.Sub(existing.requestedAt) < pinCacheTTL {
		return existing, false
	}
	r.remove(key)
	current = &entry{resolved: make(chan struct{}), requestedAt: now}
	r.entries[key] = current
	r.order = append(r.order, key)
	if len(r.order) > maxCachedPins {
		r.remove(r.order[0])
	}
	return current, true
}

// finish sets the result of an entry and wakes the requests that wait for it. A rejection is not cached.
func (r *Resolver) finish(key Key, current *entry, pin *backends.VersionPin, rejection *protocol.Failure) {
	current.pin, current.rejection = pin, rejection
	close(current.resolved)
	if rejection == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.entries[key] == current {
		r.remove(key)
	}
}

// remove deletes an entry, if there is one; the caller holds the mutex.
func (r *Resolver) remove(key Key) {
	if r.entries[key] == nil {
		return
	}
	delete(r.entries, key)
	index := slices.Index(r.order, key)
	r.order = slices.Delete(r.order, index, index+1)
}

// pin requests the pin of a step from the ledger and proposes a version in case the step has none.
func (r *Resolver) pin(ctx context.Context, key Key, group string) (*backends.VersionPin, *protocol.Failure) {
	announcements := r.options.Servers().Announcements(group)
	model := cmp.Or(key.Model, trainingstep.GroupModel(announcements))
	proposed := trainingstep.ProposeVersion(model, announcements)
	if proposed == 0 {
		return nil, notAnnounced(group)
	}
	program := ledger.TrainingStepProgram(key.Step)
	if rejection := r.options.Ledger.CheckReachable(program); rejection != nil {
		return nil, rejection
	}
	result := r.options.Ledger.Do(ctx, &protocol.LedgerOperation{
		Program: program, Body: &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{
			Step: key.Step, Model: model, WeightVersion: proposed, Owner: r.options.Node,
			KeepingMillis: pinRetention.Milliseconds(),
		}},
	})
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_STEP_MISMATCH:
		// A step that is pinned to another model than the proposed one may still use one of the group's models.
		pin := result.GetTrainingStepPin()
		if pin == nil || key.Model != "" && key.Model != pin.GetModel() {
			return nil, stepMismatch()
		}
		r.options.Pinned.Inc()
		return &backends.VersionPin{Step: key.Step, Model: pin.GetModel(), Version: pin.GetWeightVersion()}, nil
	default:
		return nil, ledgerops.UnreachableFailure()
	}
}

// checkGroup returns a failure unless some server of the group announces the pinned model.
func (r *Resolver) checkGroup(pin *backends.VersionPin, group string) *protocol.Failure {
	announcements := r.options.Servers().Announcements(group)
	for _, announced := range announcements {
		if announced[pin.Model] > 0 {
			return nil
		}
	}
	if trainingstep.GroupModel(announcements) != "" {
		return stepMismatch()
	}
	return notAnnounced(group)
}

// copyFailure returns a copy of a failure that several turns share, because a turn may modify its failure.
func copyFailure(f *protocol.Failure) *protocol.Failure {
	return failure.New(failure.Code(f.GetCode()), f.GetOutcome(), f.GetMessage(), failure.WithPath(f.GetPath()),
		failure.WithRetryAfter(time.Duration(f.GetRetryAfterMillis())*time.Millisecond)).Failure
}

func stepMismatch() *protocol.Failure {
	return failure.New(failure.StepMismatch, protocol.Outcome_NOT_RUN, "the training step is of another model",
		failure.WithPath(StepPath)).Failure
}

func notAnnounced(group string) *protocol.Failure {
	return Unavailable(fmt.Sprintf("no server of group %s announces the version of its weights", group))
}

// Unavailable returns the failure for a generation for whose version there is no server.
func Unavailable(message string) *protocol.Failure {
	return failure.New(failure.StepVersionUnavailable, protocol.Outcome_NOT_RUN, message, failure.WithPath(StepPath),
		failure.WithRetryAfter(versionRetryAfter)).Failure
}
