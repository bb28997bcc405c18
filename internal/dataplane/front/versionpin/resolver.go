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
	// StepPath is the path of a failure that concerns the training step of a request.
	StepPath = "training_step"

	// maxCachedPins bounds the cache, and pinCacheTTL the time until the ledger is asked again.
	maxCachedPins = 1024
	pinCacheTTL   = 10 * time.Minute
	// pinRetention is how long the ledger retains the pin of a step that nobody reads.
	pinRetention = 7 * 24 * time.Hour
	// versionRetryAfter is what a caller is told to wait while no server has the version of a step: a server
	// starts or loads weights in some seconds.
	versionRetryAfter = time.Second
)

// Ledger carries out operations of the program ledger.
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
	// resolved is closed once pin or rejection is set.
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
	// Servers are the back ends of the view in force.
	Servers func() *backends.Set
	// Pinned counts the pins that the ledger gave.
	Pinned prometheus.Counter
}

// Resolver finds the pins of training steps and caches them. The ledger's register of a step never
// changes, so that what is cached stays true. The mutex guards the cache.
type Resolver struct {
	options Options
	mutex   sync.Mutex
	entries map[Key]*entry
	// order has the choices from the one that was requested first.
	order []Key
}

// NewResolver makes a resolver with an empty cache.
func NewResolver(options Options) *Resolver {
	return &Resolver{options: options, entries: make(map[Key]*entry)}
}

// Resolve returns the version that is pinned for a step, or pins the one that the servers of the group
// announce. Requests of one choice share one operation of the ledger.
func (r *Resolver) Resolve(
	ctx context.Context, choice Key, group string,
) (*backends.VersionPin, *protocol.Failure) {
	current, made := r.entry(choice)
	if made {
		pin, rejection := r.pin(ctx, choice, group)
		r.finish(choice, current, pin, rejection)
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

// entry returns the entry of a choice, or makes one, which the caller must then finish.
func (r *Resolver) entry(choice Key) (current *entry, made bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	if existing := r.entries[choice]; existing != nil && now.Sub(existing.requestedAt) < pinCacheTTL {
		return existing, false
	}
	r.remove(choice)
	current = &entry{resolved: make(chan struct{}), requestedAt: now}
	r.entries[choice] = current
	r.order = append(r.order, choice)
	if len(r.order) > maxCachedPins {
		r.remove(r.order[0])
	}
	return current, true
}

// finish gives the outcome to all who wait for it. A rejection is not cached.
func (r *Resolver) finish(choice Key, current *entry, pin *backends.VersionPin, rejection *protocol.Failure) {
	current.pin, current.rejection = pin, rejection
	close(current.resolved)
	if rejection == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.entries[choice] == current {
		r.remove(choice)
	}
}

// remove drops an entry; the caller holds the mutex.
func (r *Resolver) remove(choice Key) {
	if r.entries[choice] == nil {
		return
	}
	delete(r.entries, choice)
	at := slices.Index(r.order, choice)
	r.order = slices.Delete(r.order, at, at+1)
}

// pin asks the ledger for the pin of a step and proposes a version for a step without one.
func (r *Resolver) pin(ctx context.Context, choice Key, group string) (*backends.VersionPin, *protocol.Failure) {
	announcements := r.options.Servers().Announcements(group)
	model := cmp.Or(choice.Model, trainingstep.GroupModel(announcements))
	proposed := trainingstep.ProposeVersion(model, announcements)
	if proposed == 0 {
		return nil, notAnnounced(group)
	}
	program := ledger.TrainingStepProgram(choice.Step)
	if rejection := r.options.Ledger.CheckReachable(program); rejection != nil {
		return nil, rejection
	}
	result := r.options.Ledger.Do(ctx, &protocol.LedgerOperation{
		Program: program, Body: &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{
			Step: choice.Step, Model: model, WeightVersion: proposed, Owner: r.options.Node,
			KeepingMillis: pinRetention.Milliseconds(),
		}},
	})
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_STEP_MISMATCH:
		// A step of another model may still be of one of the group's models.
		pin := result.GetTrainingStepPin()
		if pin == nil || choice.Model != "" && choice.Model != pin.GetModel() {
			return nil, mismatch()
		}
		r.options.Pinned.Inc()
		return &backends.VersionPin{Step: choice.Step, Model: pin.GetModel(), Version: pin.GetWeightVersion()}, nil
	default:
		return nil, ledgerops.UnreachableFailure()
	}
}

// checkGroup rejects a step in a group that has other models only.
func (r *Resolver) checkGroup(pin *backends.VersionPin, group string) *protocol.Failure {
	announcements := r.options.Servers().Announcements(group)
	for _, announced := range announcements {
		if announced[pin.Model] > 0 {
			return nil
		}
	}
	if trainingstep.GroupModel(announcements) != "" {
		return mismatch()
	}
	return notAnnounced(group)
}

// copyFailure lets several turns have one failure: each may change its own.
func copyFailure(f *protocol.Failure) *protocol.Failure {
	return failure.New(failure.Code(f.GetCode()), f.GetOutcome(), f.GetMessage(), failure.WithPath(f.GetPath()),
		failure.WithRetryAfter(time.Duration(f.GetRetryAfterMillis())*time.Millisecond)).Failure
}

func mismatch() *protocol.Failure {
	return failure.New(failure.StepMismatch, protocol.Outcome_NOT_RUN, "the training step is of another model",
		failure.WithPath(StepPath)).Failure
}

func notAnnounced(group string) *protocol.Failure {
	return Unavailable(fmt.Sprintf("no server of group %s announces the version of its weights", group))
}

// Unavailable is the rejection of a generation for whose version there is no server.
func Unavailable(message string) *protocol.Failure {
	return failure.New(failure.StepVersionUnavailable, protocol.Outcome_NOT_RUN, message, failure.WithPath(StepPath),
		failure.WithRetryAfter(versionRetryAfter)).Failure
}
