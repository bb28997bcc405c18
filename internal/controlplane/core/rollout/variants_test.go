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

// slow is a sample whose first tokens all fall into the last bucket.
func slow(requests, failed uint64) *protocol.ArmSample {
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
		"no guard": {sample: slow(1000, 1000)},
		"too few samples": {
			guard: &protocol.RolloutGuard{MinimumSamples: 100, MaxErrorRatio: 0.1}, sample: slow(99, 99),
		},
		"errors at the limit": {
			guard: &protocol.RolloutGuard{MinimumSamples: 100, MaxErrorRatio: 0.1}, sample: slow(100, 10),
		},
		"errors over the limit": {
			guard: &protocol.RolloutGuard{MinimumSamples: 100, MaxErrorRatio: 0.1}, sample: slow(100, 11),
			limit: "error ratio",
		},
		"first tokens over the limit": {
			guard:  &protocol.RolloutGuard{MinimumSamples: 100, MaxFirstTokenP95Millis: 1},
			sample: slow(100, 0), limit: "first token p95",
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, inForce := rollout.NewVariantTable(), configuration(test.guard)
			table.Add(inForce, []*protocol.ArmSample{test.sample})
			crossed := table.CrossedLimit(inForce.GetRollout())
			if (crossed != "") != (test.limit != "") || !strings.Contains(crossed, test.limit) {
				t.Fatalf("crossed %q", crossed)
			}
		})
	}
}

func TestSamplesOfOtherBundlesAreIgnored(t *testing.T) {
	table, inForce := rollout.NewVariantTable(), configuration(nil)
	table.Add(inForce, []*protocol.ArmSample{
		{BundleVersion: active, Requests: 3},
		{BundleVersion: active, Requests: 4},
		{BundleVersion: candidate, Candidate: true, Requests: 5},
		{BundleVersion: candidate, Requests: 6},
		{BundleVersion: active, Candidate: true, Requests: 7},
	})
	sums := table.Sums()
	if len(sums) != 2 || sums[0].GetRequests() != 7 || sums[1].GetRequests() != 5 {
		t.Fatalf("sums: %v", sums)
	}
	inForce.Rollout.CandidateVersion = candidate + 1
	table.Add(inForce, nil)
	if sums := table.Sums(); len(sums) != 0 {
		t.Fatalf("sums of a former candidate: %v", sums)
	}
}
