package front

import (
	"sync/atomic"

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
	pin  *stepPin
	work schedule.StepWork
	// fronts is the number of front nodes.
	fronts int
}

// promptTokens is the length of a request's prompt: by its parts, or as told when it names none.
func promptTokens(routed *protocol.HttpRequest, prompt promptcache.Prompt) uint64 {
	return max(prompt.Tokens(), uint64(routed.GetPromptTokens()))
}

// completeSteps adds what generations of steps have at the candidates, which so many front nodes share.
func (b *backEnds) completeSteps(found []schedule.Candidate, fronts int) {
	for at := range found {
		server := b.byID[found[at].ID]
		found[at].Steps = uint32(max(server.steps.count.Load(), 0))
		found[at].StepsAtReport = uint32(max(server.steps.atReport.Load(), 0))
		found[at].StepTokens = uint64(max(server.steps.tokens.Load(), 0))
		found[at].StepSlots = uint32(trainingstep.Slots(placesOf(&found[at]), fronts, false))
	}
}

// placesOf is what is known of the slots of a candidate whose Steps are set.
func placesOf(candidate *schedule.Candidate) trainingstep.ServerSlots {
	return trainingstep.ServerSlots{
		Slots: candidate.Capacity, Others: candidate.Others(),
		Live: candidate.InFlight - min(candidate.InFlight, candidate.Steps),
	}
}

// frontsAt is how many front nodes share one of a group's servers when each uses a subset of them.
func frontsAt(fronts, used, all int) int {
	if all == 0 {
		return fronts
	}
	return max(1, fronts*used/all)
}

// stepPlaces is how many generations of a version this front node may have under way.
func (s *Service) stepPlaces(key stepGateKey, liveWaits bool) int {
	now := s.clock.Now()
	servers, index := s.backEnds.Load(), s.policies.Load().active
	having, _ := key.pin().divide(servers.byGroup[key.group], now)
	all := candidates(having, index.Group(key.group), now)
	used := schedule.Subset(s.name, s.zone, index.Bundle().GetScheduling().GetSubsetSize(), all)
	fronts := frontsAt(s.frontNodes(), len(used), len(all))
	servers.completeSteps(used, fronts)
	places, ejectedPlaces := 0, 0
	for at := range used {
		open := trainingstep.Slots(placesOf(&used[at]), fronts, liveWaits)
		switch {
		case isUsable(used[at]):
			places += open
		case !used[at].Draining:
			ejectedPlaces += open
		}
	}
	if places == 0 {
		// Ejected servers are used when there is nothing else, so that a generation hears at once what became of it.
		return ejectedPlaces
	}
	return places
}
