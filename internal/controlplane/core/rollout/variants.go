// Package rollout sums the measurements that front nodes report for the variants
// of a roll-out and determines whether the candidate has crossed a limit of its
// guard. It does no I/O and reads no clock.
package rollout

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rosestand/rosestand/internal/controlplane/firsttoken"
	"github.com/rosestand/rosestand/internal/protocol"
)

// guardedQuantile is the quantile of the time to the first token that a guard limits.
const guardedQuantile = 0.95

// variant is one side of a roll-out: the control, which is the active bundle, or the candidate.
type variant struct {
	version   uint64
	candidate bool
}

// VariantTable sums the samples of each variant. It is reset by a new leader and
// when the candidate changes. It is not safe for concurrent use.
type VariantTable struct {
	candidate uint64
	sums      map[variant]*protocol.ArmSample
}

// NewVariantTable returns an empty table.
func NewVariantTable() *VariantTable {
	return &VariantTable{sums: map[variant]*protocol.ArmSample{}}
}

// Reset removes all samples.
func (t *VariantTable) Reset() {
	t.candidate = 0
	t.sums = map[variant]*protocol.ArmSample{}
}

// Add adds samples of the current roll-out; samples of other bundles are ignored.
func (t *VariantTable) Add(configuration *protocol.Configuration, samples []*protocol.ArmSample) {
	if candidate := configuration.GetRollout().GetCandidateVersion(); candidate != t.candidate {
		t.Reset()
		t.candidate = candidate
	}
	for _, sample := range samples {
		expected := configuration.GetActive().GetVersion()
		if sample.GetCandidate() {
			expected = t.candidate
		}
		if sample.GetBundleVersion() != expected || expected == 0 {
			continue
		}
		t.addSample(sample)
	}
}

func (t *VariantTable) addSample(sample *protocol.ArmSample) {
	key := variant{version: sample.GetBundleVersion(), candidate: sample.GetCandidate()}
	total := t.sums[key]
	if total == nil {
		total = &protocol.ArmSample{
			BundleVersion: key.version, Candidate: key.candidate,
			FirstTokenBuckets: make([]uint64, firsttoken.BucketCount()),
		}
		t.sums[key] = total
	}
	total.Requests += sample.GetRequests()
	total.Errors += sample.GetErrors()
	total.Tokens += sample.GetTokens()
	for i, count := range sample.GetFirstTokenBuckets() {
		total.FirstTokenBuckets[min(i, len(total.FirstTokenBuckets)-1)] += count
	}
}

// Sums returns copies of the sums, ordered by bundle version.
func (t *VariantTable) Sums() []*protocol.ArmSample {
	sums := make([]*protocol.ArmSample, 0, len(t.sums))
	for _, total := range t.sums {
		sums = append(sums, &protocol.ArmSample{
			BundleVersion: total.GetBundleVersion(), Candidate: total.GetCandidate(),
			Requests: total.GetRequests(), Errors: total.GetErrors(), Tokens: total.GetTokens(),
			FirstTokenBuckets: slices.Clone(total.GetFirstTokenBuckets()),
		})
	}
	slices.SortFunc(sums, func(a, b *protocol.ArmSample) int {
		return cmp.Compare(a.GetBundleVersion(),
			b.GetBundleVersion())
	})
	return sums
}

// CrossedLimit describes the limit of the guard that the candidate has crossed, or returns an empty string if there is
// none.
func (t *VariantTable) CrossedLimit(rollout *protocol.Rollout) string {
	guard := rollout.GetGuard()
	candidate := t.sums[variant{version: rollout.GetCandidateVersion(), candidate: true}]
	requests := candidate.GetRequests()
	if guard == nil || requests == 0 || requests < uint64(guard.GetMinimumSamples()) {
		return ""
	}
	ratio := float64(candidate.GetErrors()) / float64(requests)
	if limit := guard.GetMaxErrorRatio(); limit > 0 && ratio > limit {
		return fmt.Sprintf("guard: error ratio %.4f of %d requests is over %.4f", ratio, requests, limit)
	}
	p95 := firsttoken.Quantile(candidate.GetFirstTokenBuckets(), guardedQuantile)
	if limit := guard.GetMaxFirstTokenP95Millis(); limit > 0 && p95 > float64(limit) {
		return fmt.Sprintf("guard: first token p95 %.0f ms is over %d ms", p95, limit)
	}
	return ""
}
