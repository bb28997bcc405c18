package rollout

import (
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/firsttoken"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Counters count what one variant did since the last report. Any goroutine may count.
type Counters struct {
	version   uint64
	candidate bool
	requests  atomic.Uint64
	errors    atomic.Uint64
	tokens    atomic.Uint64
	buckets   []atomic.Uint64
}

func newCounters(version uint64, candidate bool) *Counters {
	return &Counters{version: version, candidate: candidate, buckets: make([]atomic.Uint64, firsttoken.BucketCount())}
}

// variantSet are the counters of the variants in force; it is immutable and replaced when a version changes.
type variantSet struct {
	active    *Counters
	candidate *Counters
}

func (s *variantSet) counters(candidate bool) *Counters {
	if candidate && s.candidate != nil {
		return s.candidate
	}
	return s.active
}

// nextVariants reuses the counters of versions that stay in force.
func nextVariants(former *variantSet, p *Policies) *variantSet {
	next := &variantSet{active: reuseVariantCounters(former, p.Active.Bundle().GetVersion(), false)}
	if p.candidate != nil {
		next.candidate = reuseVariantCounters(former, p.candidate.Bundle().GetVersion(), true)
	}
	return next
}

func reuseVariantCounters(former *variantSet, version uint64, candidate bool) *Counters {
	if former != nil {
		for _, counters := range []*Counters{former.active, former.candidate} {
			if counters != nil && counters.version == version && counters.candidate == candidate {
				return counters
			}
		}
	}
	return newCounters(version, candidate)
}

// RecordFirstToken counts the time from a turn's arrival at its owner to its first token.
func (c *Counters) RecordFirstToken(after time.Duration) {
	c.buckets[firsttoken.Bucket(uint32(max(after, 0)/time.Millisecond))].Add(1)
}

// RecordEnd counts one request with the tokens that it was answered; f is nil when it succeeded.
func (c *Counters) RecordEnd(tokens uint64, f *protocol.Failure) {
	c.requests.Add(1)
	c.tokens.Add(tokens)
	if f != nil && isPolicyError(failure.Code(f.GetCode())) {
		c.errors.Add(1)
	}
}

// isPolicyError reports whether a policy may cause a failure, rather than the caller or the ledger.
func isPolicyError(code failure.Code) bool {
	switch code {
	case failure.BackEndFailed, failure.NoBackEnd, failure.Overloaded, failure.DeadlineExceeded,
		failure.AnswerMismatch, failure.OutcomeUnknown, failure.InternalError:
		return true
	default:
		return false
	}
}

// drain returns the counts since the last call and sets them to zero; nil when there are none.
func (c *Counters) drain() *protocol.ArmSample {
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
func (c *Counters) restore(sample *protocol.ArmSample) {
	c.requests.Add(sample.GetRequests())
	c.errors.Add(sample.GetErrors())
	c.tokens.Add(sample.GetTokens())
	for at, count := range sample.GetFirstTokenBuckets() {
		c.buckets[at].Add(count)
	}
}
