package rollout

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// ReportInterval is the interval between reports of the variants' counts.
	ReportInterval = time.Second
	reportTimeout  = 2 * time.Second
)

// Core sends requests to the leader of the core.
type Core interface {
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
}

// Clock provides timers and contexts with time-outs.
type Clock interface {
	After(wait time.Duration) <-chan time.Time
	WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc)
}

// Tracker holds the current policies and the counters of their variants. Its methods are safe for concurrent use, but
// calls of Apply must not overlap.
type Tracker struct {
	node     string
	core     Core
	clock    Clock
	policies atomic.Pointer[Policies]
	variants atomic.Pointer[variantSet]
}

// NewTracker returns a tracker for a front node. It has no policies before the first Apply.
func NewTracker(node string, core Core, clock Clock) *Tracker {
	return &Tracker{node: node, core: core, clock: clock}
}

// Apply replaces the policies by those of a configuration.
func (t *Tracker) Apply(configuration *protocol.Configuration) {
	next := newPolicies(configuration)
	t.variants.Store(nextVariants(t.variants.Load(), next))
	t.policies.Store(next)
}

// Policies returns the current policies, or nil before the first Apply.
func (t *Tracker) Policies() *Policies { return t.policies.Load() }

// Counters returns the counters of the candidate or of the active bundle. Without a candidate they are those of the
// active bundle.
func (t *Tracker) Counters(candidate bool) *Counters {
	return t.variants.Load().counters(candidate)
}

// Report sends the counts to the core at intervals while a roll-out runs, until the context ends.
func (t *Tracker) Report(ctx context.Context) {
	for {
		select {
		case <-t.clock.After(ReportInterval):
		case <-ctx.Done():
			return
		}
		if t.policies.Load().candidate != nil {
			t.reportOnce(ctx)
		}
	}
}

// reportOnce sends the counts since the last report. Counts that may not have arrived are sent again with the next
// report.
func (t *Tracker) reportOnce(ctx context.Context) {
	variants := t.variants.Load()
	report := &protocol.ReportArmsRequest{Node: t.node}
	drained := make(map[*protocol.ArmSample]*Counters)
	for _, counters := range []*Counters{variants.active, variants.candidate} {
		if counters == nil {
			continue
		}
		if sample := counters.drain(); sample != nil {
			drained[sample] = counters
			report.Samples = append(report.Samples, sample)
		}
	}
	if len(report.GetSamples()) == 0 {
		return
	}
	ctx, cancel := t.clock.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := t.core.CallCore(ctx, &protocol.Request{Body: &protocol.Request_ReportArms{ReportArms: report}})
	if err != nil {
		for sample, counters := range drained {
			counters.restore(sample)
		}
	}
}
