package schedulesim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule/schedulesim"
)

// admissionCase is one load, relative to the capacity, on ten front nodes that share sixty slots.
type admissionCase struct {
	load      float64
	objective time.Duration
}

var admissionCases = []admissionCase{
	{0.8, 300 * time.Millisecond},
	{0.95, 300 * time.Millisecond},
	{1.1, 300 * time.Millisecond},
	{1.5, 300 * time.Millisecond},
	{0.95, 800 * time.Millisecond},
	{1.1, 800 * time.Millisecond},
	{1.5, 800 * time.Millisecond},
}

// admissionVariant is a way to bound the waits of tickets.
type admissionVariant struct {
	name                     string
	waitShare, expectedShare float64
}

var (
	unbounded       = admissionVariant{name: "unbounded"}
	boundedWait     = admissionVariant{name: "bounded_wait", waitShare: 0.25}
	boundedExpected = admissionVariant{name: "bounded_expected_wait", expectedShare: 0.25}
)

// simulateAdmission returns the sum of the results of five seeds.
func simulateAdmission(c admissionCase, variant admissionVariant) *schedulesim.AdmissionResult {
	const seeds, slots, work = 5, 60, 100 * time.Millisecond
	total := &schedulesim.AdmissionResult{}
	for seed := range uint64(seeds) {
		total.Add(schedulesim.SimulateAdmission(schedulesim.AdmissionOptions{
			Seed: seed, Fronts: 10, Slots: slots, PerSecond: c.load * slots / work.Seconds(), Work: work,
			Objective: c.objective, Timeout: 2 * time.Second, MaxSends: 5,
			MaxWaitShare: variant.waitShare, MaxExpectedShare: variant.expectedShare, Length: 12 * time.Second,
		}))
	}
	return total
}

func TestBoundingTheExpectedWaitServesMoreCallsWithinTheirObjective(t *testing.T) {
	// maxServedLoss is the share of calls by which fewer may be served in return under overload.
	const maxServedLoss = 0.07
	for _, c := range admissionCases {
		before, after := simulateAdmission(c, unbounded), simulateAdmission(c, boundedExpected)
		if after.ShareOf(after.InObjective) <= before.ShareOf(before.InObjective) {
			t.Errorf(
				"%+v: %.3f of calls within the objective with the bound, not more than %.3f without it", c,
				after.ShareOf(after.InObjective), before.ShareOf(before.InObjective),
			)
		}
		if after.ShareOf(after.Served) < before.ShareOf(before.Served)-maxServedLoss {
			t.Errorf("%+v: %.3f of calls served with the bound, %.3f without it, want at most %.2f fewer", c,
				after.ShareOf(after.Served), before.ShareOf(before.Served), maxServedLoss)
		}
		if after.LateRejections*100 > after.Rejections {
			t.Errorf("%+v: %d of %d rejections were late, want at most one in 100", c, after.LateRejections, after.Rejections)
		}
	}
}

func TestBoundingTheWaitItselfMakesRejectionsLate(t *testing.T) {
	for _, c := range admissionCases[:3] {
		got := simulateAdmission(c, boundedWait)
		if got.LateRejections*20 < got.Rejections {
			t.Errorf("%+v: %d of %d rejections were late, expected at least one in 20; if so few are, reconsider this bound", c,
				got.LateRejections, got.Rejections)
		}
	}
}

// BenchmarkAdmission measures the figures for bounds on waits in docs/POLICIES.md.
func BenchmarkAdmission(b *testing.B) {
	for _, c := range admissionCases {
		for _, variant := range []admissionVariant{unbounded, boundedWait, boundedExpected} {
			b.Run(fmt.Sprintf("load_%.2f/%v/%s", c.load, c.objective, variant.name), func(b *testing.B) {
				var result *schedulesim.AdmissionResult
				for range b.N {
					result = simulateAdmission(c, variant)
				}
				b.ReportMetric(result.ShareOf(result.InObjective), "in_objective")
				b.ReportMetric(result.ShareOf(result.Served), "served")
				b.ReportMetric(result.ShareOf(result.Rejections), "refusals/call")
				b.ReportMetric(result.ShareOf(result.LateRejections), "late_refusals/call")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
