package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	variantReportInterval = time.Second
	variantReportTimeout  = 2 * time.Second
)

// variantCounters count what one arm did since the last report.
type variantCounters struct {
	version   uint64
	candidate bool
	requests  atomic.Uint64
	errors    atomic.Uint64
	tokens    atomic.Uint64
	buckets   []atomic.Uint64
}

func newVariantCounters(version uint64, candidate bool) *variantCounters {
	return &variantCounters{version: version, candidate: candidate, buckets: make([]atomic.Uint64, bundle.FirstTokenBuckets())}
}

// variantSet is the pair of arms in force; it is replaced when a version changes.
type variantSet struct {
	active    *variantCounters
	candidate *variantCounters
}

func (s *variantSet) counters(candidate bool) *variantCounters {
	if candidate && s.candidate != nil {
		return s.candidate
	}
	return s.active
}

// nextVariants keeps the counters of versions that stay in force.
func nextVariants(former *variantSet, p *policies) *variantSet {
	next := &variantSet{active: reuseVariantCounters(former, p.active.Bundle().GetVersion(), false)}
	if p.candidate != nil {
		next.candidate = reuseVariantCounters(former, p.candidate.Bundle().GetVersion(), true)
	}
	return next
}

func reuseVariantCounters(former *variantSet, version uint64, candidate bool) *variantCounters {
	if former != nil {
		for _, counters := range []*variantCounters{former.active, former.candidate} {
			if counters != nil && counters.version == version && counters.candidate == candidate {
				return counters
			}
		}
	}
	return newVariantCounters(version, candidate)
}

func (c *variantCounters) recordFirstToken(after time.Duration) {
	c.buckets[bundle.FirstTokenBucket(uint32(max(after, 0)/time.Millisecond))].Add(1)
}

// recordEnd counts one request by its last event.
func (c *variantCounters) recordEnd(tokens uint64, f *protocol.Failure) {
	c.requests.Add(1)
	c.tokens.Add(tokens)
	if f != nil && isPolicyError(failure.Code(f.GetCode())) {
		c.errors.Add(1)
	}
}

// isPolicyError tells failures that a policy may cause from those of the caller or the ledger.
func isPolicyError(code failure.Code) bool {
	switch code {
	case failure.BackEndFailed, failure.NoBackEnd, failure.Overloaded, failure.DeadlineExceeded,
		failure.AnswerMismatch, failure.OutcomeUnknown, failure.InternalError:
		return true
	default:
		return false
	}
}

// drain returns the counts since the last call, nil when there are none.
func (c *variantCounters) drain() *protocol.ArmSample {
	sample := &protocol.ArmSample{
		BundleVersion: c.version, Candidate: c.candidate, Requests: c.requests.Swap(0),
		Errors: c.errors.Swap(0), Tokens: c.tokens.Swap(0), FirstTokenBuckets: make([]uint64, len(c.buckets)),
	}
	seen := sample.GetRequests()
	for at := range c.buckets {
		sample.FirstTokenBuckets[at] = c.buckets[at].Swap(0)
		seen += sample.FirstTokenBuckets[at]
	}
	if seen == 0 {
		return nil
	}
	return sample
}

// restore adds a sample back that could not be reported.
func (c *variantCounters) restore(sample *protocol.ArmSample) {
	c.requests.Add(sample.GetRequests())
	c.errors.Add(sample.GetErrors())
	c.tokens.Add(sample.GetTokens())
	for at, count := range sample.GetFirstTokenBuckets() {
		c.buckets[at].Add(count)
	}
}

// reportVariants sends the counts to the core once a second while a roll-out runs.
func (s *Service) reportVariants(ctx context.Context) {
	for {
		select {
		case <-s.clock.After(variantReportInterval):
		case <-ctx.Done():
			return
		}
		if s.policies.Load().candidate != nil {
			s.reportVariantsOnce(ctx)
		}
	}
}

func (s *Service) reportVariantsOnce(ctx context.Context) {
	variants := s.variants.Load()
	report := &protocol.ReportArmsRequest{Node: s.name}
	drained := make(map[*protocol.ArmSample]*variantCounters)
	for _, counters := range []*variantCounters{variants.active, variants.candidate} {
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
	ctx, cancel := s.clock.WithTimeout(ctx, variantReportTimeout)
	defer cancel()
	_, err := s.link.CallCore(ctx, &protocol.Request{Body: &protocol.Request_ReportArms{ReportArms: report}})
	if err != nil {
		for sample, counters := range drained {
			counters.restore(sample)
		}
	}
}
