package front

import (
	"sync/atomic"

	"github.com/rosestand/rosestand/internal/dataplane/front/admission"
	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/protocol"
)

// stepLoad is what this front node's generations of training steps are at one server.
type stepLoad struct {
	count atomic.Int32
	// atReport is count as it was when the server last told its load, which it is part of.
	atReport atomic.Int32
	// tokens is what is still to be read of their prompts and may still be generated.
	tokens atomic.Int64
}

// stepWork is one generation on its way at a server. Its owner's goroutine alone touches it.
type stepWork struct {
	server *backEnd
	// prompt is what the server still reads, output what it may still generate.
	prompt int64
	output int64
}

// beginStep notes that a generation of a step goes to the server. The count of
// all requests there changes last here and first in end, so that no reader takes a generation for a live request.
func (b *backEnd) beginStep(prompt, output uint64) *stepWork {
	work := &stepWork{server: b, prompt: int64(prompt), output: int64(output)}
	b.steps.count.Add(1)
	b.steps.tokens.Add(work.prompt + work.output)
	b.inFlight.Add(1)
	return work
}

// generated notes output: the prompt has been read by then.
func (w *stepWork) generated(tokens uint32) {
	done := min(int64(tokens), w.output)
	w.server.steps.tokens.Add(-w.prompt - done)
	w.prompt, w.output = 0, w.output-done
}

// end notes that the generation is over at the server.
func (w *stepWork) end() {
	w.server.inFlight.Add(-1)
	w.server.steps.tokens.Add(-w.prompt - w.output)
	w.server.steps.count.Add(-1)
}

// stepPlacement is what the placement of a generation of a step needs beside that of other turns.
type stepPlacement struct {
	pin  *versionPin
	work schedule.StepWork
	// frontNodes is the number of front nodes.
	frontNodes int
}

// promptTokens is the length of a request's prompt: by its parts, or as told when it names none.
func promptTokens(routed *protocol.HttpRequest, prompt promptcache.Prompt) uint64 {
	return max(prompt.Tokens(), uint64(routed.GetPromptTokens()))
}

// addStepLoad adds what generations of steps have at the candidates, which so many front nodes share.
func (b *backEnds) addStepLoad(candidates []schedule.Candidate, fronts int) {
	for at := range candidates {
		server := b.byID[candidates[at].ID]
		candidates[at].Steps = uint32(max(server.steps.count.Load(), 0))
		candidates[at].StepsAtReport = uint32(max(server.steps.atReport.Load(), 0))
		candidates[at].StepTokens = uint64(max(server.steps.tokens.Load(), 0))
		candidates[at].StepSlots = uint32(candidateSlots(&candidates[at]).ForSteps(fronts, false))
	}
}

// candidateSlots is what is known of the slots of a candidate whose Steps are set.
func candidateSlots(candidate *schedule.Candidate) trainingstep.ServerSlots {
	return trainingstep.ServerSlots{
		Slots: candidate.Capacity, Others: candidate.Others(),
		Live: candidate.InFlight - min(candidate.InFlight, candidate.Steps),
	}
}

// frontNodesPerServer is how many front nodes share one of a group's servers when each uses a subset of them.
func frontNodesPerServer(fronts, used, all int) int {
	if all == 0 {
		return fronts
	}
	return max(1, fronts*used/all)
}

// stepSlots is how many generations of a version this front node may have under way.
func (s *Service) stepSlots(key admission.StepKey, liveWaits bool) int {
	now := s.clock.Now()
	servers, index := s.backEnds.Load(), s.rollout.Policies().Active
	having, _ := (&versionPin{model: key.Model, version: key.Version}).split(servers.byGroup[key.Group], now)
	all := candidates(having, index.Group(key.Group), now)
	used := schedule.Subset(s.name, s.zone, index.Bundle().GetScheduling().GetSubsetSize(), all)
	fronts := frontNodesPerServer(s.frontNodes(), len(used), len(all))
	servers.addStepLoad(used, fronts)
	slots, ejectedSlots := 0, 0
	for at := range used {
		open := candidateSlots(&used[at]).ForSteps(fronts, liveWaits)
		switch {
		case isUsable(used[at]):
			slots += open
		case !used[at].Draining:
			ejectedSlots += open
		}
	}
	if slots == 0 {
		// Ejected servers are used when there is nothing else, so that a generation hears at once what became of it.
		return ejectedSlots
	}
	return slots
}
