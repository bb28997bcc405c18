package core

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

// armKey tells the arms of a roll-out apart.
type variantKey struct {
	version   uint64
	candidate bool
}

// armTable sums what front nodes measured of each arm. It begins anew with
// each leader and each change of candidate.
type variantTable struct {
	candidate uint64
	sums      map[variantKey]*protocol.ArmSample
}

func newVariantTable() *variantTable {
	return &variantTable{sums: map[variantKey]*protocol.ArmSample{}}
}

func (t *variantTable) reset() {
	t.candidate = 0
	t.sums = map[variantKey]*protocol.ArmSample{}
}

// add sums samples of the roll-out in force; others are passed over.
func (t *variantTable) add(configuration *protocol.Configuration, samples []*protocol.ArmSample) {
	if candidate := configuration.GetRollout().GetCandidateVersion(); candidate != t.candidate {
		t.reset()
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
		t.sum(sample)
	}
}

func (t *variantTable) sum(sample *protocol.ArmSample) {
	key := variantKey{version: sample.GetBundleVersion(), candidate: sample.GetCandidate()}
	total := t.sums[key]
	if total == nil {
		total = &protocol.ArmSample{
			BundleVersion: key.version, Candidate: key.candidate,
			FirstTokenBuckets: make([]uint64, bundle.FirstTokenBuckets()),
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

// list gives copies of the sums, the active arm first.
func (t *variantTable) list() []*protocol.ArmSample {
	variants := make([]*protocol.ArmSample, 0, len(t.sums))
	for _, total := range t.sums {
		variants = append(variants, &protocol.ArmSample{
			BundleVersion: total.GetBundleVersion(), Candidate: total.GetCandidate(),
			Requests: total.GetRequests(), Errors: total.GetErrors(), Tokens: total.GetTokens(),
			FirstTokenBuckets: slices.Clone(total.GetFirstTokenBuckets()),
		})
	}
	slices.SortFunc(variants, func(a, b *protocol.ArmSample) int { return cmp.Compare(a.GetBundleVersion(), b.GetBundleVersion()) })
	return variants
}

// crossed says which limit of the guard the candidate's arm has crossed; empty when none.
func (t *variantTable) crossedLimit(rollout *protocol.Rollout) string {
	guard := rollout.GetGuard()
	variant := t.sums[variantKey{version: rollout.GetCandidateVersion(), candidate: true}]
	if guard == nil || variant.GetRequests() == 0 || variant.GetRequests() < uint64(guard.GetMinimumSamples()) {
		return ""
	}
	ratio := float64(variant.GetErrors()) / float64(variant.GetRequests())
	if limit := guard.GetMaxErrorRatio(); limit > 0 && ratio > limit {
		return fmt.Sprintf("guard: error ratio %.4f of %d requests is over %.4f", ratio, variant.GetRequests(), limit)
	}
	p95 := bundle.FirstTokenQuantile(variant.GetFirstTokenBuckets(), 0.95)
	if limit := guard.GetMaxFirstTokenP95Millis(); limit > 0 && p95 > float64(limit) {
		return fmt.Sprintf("guard: first token p95 %.0f ms is over %d ms", p95, limit)
	}
	return ""
}
