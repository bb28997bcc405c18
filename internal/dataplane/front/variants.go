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
	armReportInterval = time.Second
	armReportTimeout  = 2 * time.Second
)

// armCounters count what one arm did since the last report.
type armCounters struct {
	version   uint64
	candidate bool
	requests  atomic.Uint64
	errors    atomic.Uint64
	tokens    atomic.Uint64
	buckets   []atomic.Uint64
}

func newArmCounters(version uint64, candidate bool) *armCounters {
	return &armCounters{version: version, candidate: candidate, buckets: make([]atomic.Uint64, bundle.FirstTokenBuckets())}
}

// armSet is the pair of arms in force; it is replaced when a version changes.
type armSet struct {
	active    *armCounters
	candidate *armCounters
}

func (s *armSet) of(candidate bool) *armCounters {
	if candidate && s.candidate != nil {
		return s.candidate
	}
	return s.active
}

// nextArms keeps the counters of versions that stay in force.
func nextArms(former *armSet, p *policies) *armSet {
	next := &armSet{active: keepArm(former, p.active.Bundle().GetVersion(), false)}
	if p.candidate != nil {
		next.candidate = keepArm(former, p.candidate.Bundle().GetVersion(), true)
	}
	return next
}

func keepArm(former *armSet, version uint64, candidate bool) *armCounters {
	if former != nil {
		for _, counters := range []*armCounters{former.active, former.candidate} {
			if counters != nil && counters.version == version && counters.candidate == candidate {
				return counters
			}
		}
	}
	return newArmCounters(version, candidate)
}

func (c *armCounters) firstToken(after time.Duration) {
	c.buckets[bundle.FirstTokenBucket(uint32(max(after, 0)/time.Millisecond))].Add(1)
}

// finished counts one request by its last event.
func (c *armCounters) finished(tokens uint64, f *protocol.Failure) {
	c.requests.Add(1)
	c.tokens.Add(tokens)
	if f != nil && isArmError(failure.Code(f.GetCode())) {
		c.errors.Add(1)
	}
}

// isArmError tells failures that a policy may cause from those of the caller or the ledger.
func isArmError(code failure.Code) bool {
	switch code {
	case failure.BackEndFailed, failure.NoBackEnd, failure.Overloaded, failure.DeadlineExceeded,
		failure.AnswerMismatch, failure.OutcomeUnknown, failure.InternalError:
		return true
	default:
		return false
	}
}

// take returns the counts since the last call, nil when there are none.
func (c *armCounters) take() *protocol.ArmSample {
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

// put adds a sample back that could not be reported.
func (c *armCounters) put(sample *protocol.ArmSample) {
	c.requests.Add(sample.GetRequests())
	c.errors.Add(sample.GetErrors())
	c.tokens.Add(sample.GetTokens())
	for at, count := range sample.GetFirstTokenBuckets() {
		c.buckets[at].Add(count)
	}
}

// reportArms sends the counts to the core once a second while a roll-out runs.
func (s *Service) reportArms(ctx context.Context) {
	for {
		select {
		case <-s.clock.After(armReportInterval):
		case <-ctx.Done():
			return
		}
		if s.policies.Load().candidate != nil {
			s.reportArmsOnce(ctx)
		}
	}
}

func (s *Service) reportArmsOnce(ctx context.Context) {
	arms := s.arms.Load()
	report := &protocol.ReportArmsRequest{Node: s.name}
	taken := make(map[*protocol.ArmSample]*armCounters)
	for _, counters := range []*armCounters{arms.active, arms.candidate} {
		if counters == nil {
			continue
		}
		if sample := counters.take(); sample != nil {
			taken[sample] = counters
			report.Samples = append(report.Samples, sample)
		}
	}
	if len(report.GetSamples()) == 0 {
		return
	}
	ctx, cancel := s.clock.WithTimeout(ctx, armReportTimeout)
	defer cancel()
	_, err := s.link.CallCore(ctx, &protocol.Request{Body: &protocol.Request_ReportArms{ReportArms: report}})
	if err != nil {
		for sample, counters := range taken {
			counters.put(sample)
		}
	}
}
