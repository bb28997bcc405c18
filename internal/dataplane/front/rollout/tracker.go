package rollout

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// ReportInterval is the time between two reports of the variants' counts.
	ReportInterval = time.Second
	reportTimeout  = 2 * time.Second
)

// Core takes requests to the leader of the core.
type Core interface {
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
}

// Clock waits and bounds contexts.
type Clock interface {
	After(wait time.Duration) <-chan time.Time
	WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc)
}

// Tracker holds the policies in force and the counts of their variants. Its methods may be called from
// any goroutine, Apply from one at a time.
type Tracker struct {
	node     string
	core     Core
	clock    Clock
	policies atomic.Pointer[Policies]
	variants atomic.Pointer[variantSet]
}

// NewTracker makes a tracker of a front node, which has no policies before Apply.
func NewTracker(node string, core Core, clock Clock) *Tracker {
	return &Tracker{node: node, core: core, clock: clock}
}

// Apply puts a configuration in force.
func (t *Tracker) Apply(configuration *protocol.Configuration) {
	next := newPolicies(configuration)
	t.variants.Store(nextVariants(t.variants.Load(), next))
	t.policies.Store(next)
}

// Policies are those in force; nil before the first Apply.
func (t *Tracker) Policies() *Policies { return t.policies.Load() }

// Counters are those of a variant in force.
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

// reportOnce sends what was counted since the last report. Counts that may not have arrived are sent
// again with the next one.
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
