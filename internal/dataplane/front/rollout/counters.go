package rollout

import (
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/firsttoken"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Counters counts the requests of one variant since the last report. It is safe for concurrent use.
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

// variantSet holds the counters of the active bundle and of the candidate, if any. It is immutable and replaced when a
// configuration is applied.
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

// nextVariants returns the variant set of new policies, with the former counters of variants that did not change.
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

// RecordEnd counts one request and the tokens of its answer; f is nil when it succeeded.
func (c *Counters) RecordEnd(tokens uint64, f *protocol.Failure) {
	c.requests.Add(1)
	c.tokens.Add(tokens)
	if f != nil && isPolicyError(failure.Code(f.GetCode())) {
		c.errors.Add(1)
	}
}

// isPolicyError reports whether a policy may have caused a failure with this code. Failures caused by the caller or the
// ledger do not count against a variant.
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
	total := sample.GetRequests()
	for i := range c.buckets {
		sample.FirstTokenBuckets[i] = c.buckets[i].Swap(0)
		total += sample.FirstTokenBuckets[i]
	}
	if total == 0 {
		return nil
	}
	return sample
}

// restore adds the counts of a sample that could not be reported.
func (c *Counters) restore(sample *protocol.ArmSample) {
	c.requests.Add(sample.GetRequests())
	c.errors.Add(sample.GetErrors())
	c.tokens.Add(sample.GetTokens())
	for i, count := range sample.GetFirstTokenBuckets() {
		c.buckets[i].Add(count)
	}
}
