package rollout_test

import (
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/controlplane/core/rollout"
	"github.com/rosestand/rosestand/internal/controlplane/firsttoken"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	active    = 4
	candidate = 5
)

func configuration(guard *protocol.RolloutGuard) *protocol.Configuration {
	return &protocol.Configuration{
		Active:  &protocol.Bundle{Version: active},
		Rollout: &protocol.Rollout{CandidateVersion: candidate, Guard: guard},
	}
}

// slowSample returns a sample of the candidate whose first tokens all fall into the last bucket.
func slowSample(requests, failed uint64) *protocol.ArmSample {
	buckets := make([]uint64, firsttoken.BucketCount())
	buckets[len(buckets)-1] = requests
	return &protocol.ArmSample{
		BundleVersion: candidate, Candidate: true, Requests: requests, Errors: failed, FirstTokenBuckets: buckets,
	}
}

func TestTheGuardLimitsTheCandidateOnceThereAreEnoughSamples(t *testing.T) {
	for name, test := range map[string]struct {
		guard  *protocol.RolloutGuard
		sample *protocol.ArmSample
		limit  string
	}{
		"no guard": {sample: slowSample(1000, 1000)},
		"too few samples": {
			guard: &protocol.RolloutGuard{MinimumSamples: 100, MaxErrorRatio: 0.1}, sample: slowSample(99, 99),
		},
		"errors at the limit": {
			guard: &protocol.RolloutGuard{MinimumSamples: 100, MaxErrorRatio: 0.1}, sample: slowSample(100, 10),
		},
		"errors over the limit": {
			guard: &protocol.RolloutGuard{MinimumSamples: 100, MaxErrorRatio: 0.1}, sample: slowSample(100, 11),
			limit: "error ratio",
		},
		"first tokens over the limit": {
			guard:  &protocol.RolloutGuard{MinimumSamples: 100, MaxFirstTokenP95Millis: 1},
			sample: slowSample(100, 0), limit: "first token p95",
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, config := rollout.NewVariantTable(), configuration(test.guard)
			table.Add(config, []*protocol.ArmSample{test.sample})
			crossed := table.CrossedLimit(config.GetRollout())
			if (crossed != "") != (test.limit != "") || !strings.Contains(crossed, test.limit) {
				t.Fatalf("crossed limit %q, want one that contains %q, or none if that is empty", crossed, test.limit)
			}
		})
	}
}

func TestSamplesOfOtherBundlesAreIgnored(t *testing.T) {
	table, config := rollout.NewVariantTable(), configuration(nil)
	table.Add(config, []*protocol.ArmSample{
		{BundleVersion: active, Requests: 3},
		{BundleVersion: active, Requests: 4},
		{BundleVersion: candidate, Candidate: true, Requests: 5},
		{BundleVersion: candidate, Requests: 6},
		{BundleVersion: active, Candidate: true, Requests: 7},
	})
	sums := table.Sums()
	if len(sums) != 2 || sums[0].GetRequests() != 7 || sums[1].GetRequests() != 5 {
		t.Fatalf("sums %v, want 7 requests of the active bundle and 5 of the candidate", sums)
	}
	config.Rollout.CandidateVersion = candidate + 1
	table.Add(config, nil)
	if sums := table.Sums(); len(sums) != 0 {
		t.Fatalf("sums after a change of candidate: %v, want none", sums)
	}
}
