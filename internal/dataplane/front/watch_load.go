package front

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/admission"
	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
)

const (
	// sampleInterval is the mean time between two samples of one front node, whatever the number of servers.
	sampleInterval = 500 * time.Millisecond
	// fleetSampleInterval bounds the samples of all front nodes together: it is the least mean time between two.
	fleetSampleInterval = 50 * time.Millisecond
	// overcommitFactor is how many requests may be in progress for one that the servers run: the others are in
	// transit, at the ledger or next in a server's queue.
	overcommitFactor = 1.5
)

// watchLoad samples the load of the servers in this front node's subset and
// keeps the concurrency limits up to date.
func (s *Service) watchLoad(ctx context.Context) {
	for {
		mean := max(sampleInterval, time.Duration(float64(fleetSampleInterval) / *s.fleetShare.Load()))
		wait := mean/2 + rand.N(mean)
		select {
		case <-s.clock.After(wait):
		case <-ctx.Done():
			return
		}
		s.sampleOne(ctx)
		s.updateConcurrencyLimits()
	}
}

// sampleOne requests the load of that of two random servers whose last report is older, unless it is fresh.
func (s *Service) sampleOne(ctx context.Context) {
	used := s.usedServers()
	if len(used) == 0 {
		return
	}
	chosen := used[rand.IntN(len(used))]
	if other := used[rand.IntN(len(used))]; other.LastReport() < chosen.LastReport() {
		chosen = other
	}
	if chosen.IsFresh(s.clock.Now()) {
		return
	}
	result := "ok"
	if err := s.routeClient.SampleLoad(ctx, chosen); err != nil {
		result = "failed"
	}
	s.metrics.loadSamples.WithLabelValues(result).Inc()
}

// usedServers are those of the subsets of all groups.
func (s *Service) usedServers() []*backends.Server {
	servers := s.backEnds.Load()
	var used []*backends.Server
	for _, candidates := range s.subsets(s.clock.Now()) {
		for _, candidate := range candidates {
			if server := servers.ByID[candidate.ID]; server != nil && s.routeClient.CanSample(server) {
				used = append(used, server)
			}
		}
	}
	return used
}

// subsets are the servers of each group that this front node uses.
func (s *Service) subsets(now time.Time) map[string][]schedule.Candidate {
	index := s.rollout.Policies().Active
	size := index.Bundle().GetScheduling().GetSubsetSize()
	subsets := make(map[string][]schedule.Candidate)
	for group, servers := range s.backEnds.Load().ByGroup {
		subsets[group] = schedule.Subset(s.name, s.zone, size, backends.Candidates(servers, index.Group(group), now))
	}
	return subsets
}

// updateConcurrencyLimits derives the admission's limits from the servers' capacity and load.
func (s *Service) updateConcurrencyLimits() {
	now := s.clock.Now()
	index := s.rollout.Policies().Active
	limits := make(map[string]admission.ConcurrencyLimit)
	subsets := s.subsets(now)
	for group, servers := range s.backEnds.Load().ByGroup {
		all := backends.Candidates(servers, index.Group(group), now)
		bounds := limitOf(all, subsets[group], *s.fleetShare.Load())
		bounds.SurplusSlots = surplusSlots(all, *s.fleetShare.Load())
		limits[group] = bounds
	}
	s.admission.SetConcurrencyLimits(limits)
}

func limitOf(all, used []schedule.Candidate, share float64) admission.ConcurrencyLimit {
	total, known := totalCapacity(all)
	if !known {
		return admission.ConcurrencyLimit{}
	}
	headroom := 0.0
	for _, candidate := range used {
		if backends.IsUsable(candidate) {
			reported := candidate.Running + candidate.Queued
			others := reported - min(reported, candidate.InFlight)
			headroom += max(0, overcommitFactor*float64(candidate.Capacity)-float64(others))
		}
	}
	return admission.ConcurrencyLimit{
		Known: true, GuaranteedSlots: int(math.Ceil(total * overcommitFactor * share)),
		Headroom: int(headroom),
	}
}

// surplusSlots is how many requests may run beyond the slots while less than half of the known capacity is in
// use.
func surplusSlots(all []schedule.Candidate, share float64) int {
	slots, used := 0, 0
	for _, candidate := range all {
		if backends.IsUsable(candidate) {
			slots += int(candidate.Capacity)
			used += int(max(candidate.InFlight, candidate.Running+candidate.Queued))
		}
	}
	return limit.SurplusSlots(slots, used, int(math.Round(1/share)))
}

// totalCapacity adds the capacities up; it is not known unless every server reports one.
func totalCapacity(candidates []schedule.Candidate) (total float64, known bool) {
	for _, candidate := range candidates {
		if !backends.IsUsable(candidate) {
			continue
		}
		if candidate.Capacity == 0 {
			return 0, false
		}
		total += float64(candidate.Capacity)
	}
	return total, total > 0
}
