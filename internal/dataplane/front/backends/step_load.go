package backends

import (
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/protocol"
)

// stepLoad is the load that this front node's generations of training steps put on one server.
type stepLoad struct {
	// atReport is the number of generations in flight when the server last reported its load, which includes them.
	atReport atomic.Int32
	// tokens is the number of their prompt tokens still to be prefilled plus that of output tokens that may still be
	// generated.
	tokens atomic.Int64
}

// StepWork is one generation in flight to a server. It is not safe for concurrent use.
type StepWork struct {
	server *Server
	// prompt is the number of tokens still to be prefilled, output the number that may still be generated.
	prompt int64
	output int64
}

// BeginStep records that a generation of a step is sent to the server, with the number of its prompt tokens to prefill
// and its maximum number of output tokens.
func (b *Server) BeginStep(prompt, output uint64) *StepWork {
	work := &StepWork{server: b, prompt: int64(prompt), output: int64(output)}
	b.steps.tokens.Add(work.prompt + work.output)
	b.requests.addSteps(1)
	return work
}

// RecordGenerated counts output tokens. It also counts the prompt as prefilled, since output follows the prefill.
func (w *StepWork) RecordGenerated(tokens uint32) {
	done := min(int64(tokens), w.output)
	w.server.steps.tokens.Add(-w.prompt - done)
	w.prompt, w.output = 0, w.output-done
}

// End ends the generation and removes the rest of its load.
func (w *StepWork) End() {
	w.server.requests.addSteps(-1)
	w.server.steps.tokens.Add(-w.prompt - w.output)
}

// StepPlacement holds the additional inputs for placing a generation of a training step.
type StepPlacement struct {
	Pin  *VersionPin
	Work schedule.StepWork
	// FrontNodes is the number of front nodes of the fleet.
	FrontNodes int
}

// PromptTokens returns the length of a request's prompt: the larger of the sum of its parts and the length that its
// header states.
func PromptTokens(routed *protocol.HttpRequest, prompt promptcache.Prompt) uint64 {
	return max(prompt.Tokens(), uint64(routed.GetPromptTokens()))
}

// addStepLoad adds the load by generations of steps to candidates, each of which is shared by the given number of front
// nodes. It reads the requests in flight again, so that both counts are consistent.
func (b *Set) addStepLoad(candidates []schedule.Candidate, frontNodes int) {
	for i := range candidates {
		server := b.ByID[candidates[i].ID]
		inFlight, steps := server.requests.load()
		candidates[i].InFlight, candidates[i].Steps = uint32(max(inFlight, 0)), uint32(max(steps, 0))
		candidates[i].StepsAtReport = uint32(max(server.steps.atReport.Load(), 0))
		candidates[i].StepTokens = uint64(max(server.steps.tokens.Load(), 0))
		candidates[i].StepSlots = uint32(candidateSlots(&candidates[i]).ForSteps(frontNodes, false))
	}
}

// candidateSlots returns the slots of a candidate whose Steps field is set.
func candidateSlots(candidate *schedule.Candidate) trainingstep.ServerSlots {
	return trainingstep.ServerSlots{
		Slots: candidate.Capacity, Others: candidate.OtherRequests(),
		Live: candidate.InFlight - min(candidate.InFlight, candidate.Steps),
	}
}

// frontNodesPerServer returns how many front nodes share each of a group's servers when every front node uses a subset
// of used servers out of all; at least 1.
func frontNodesPerServer(frontNodes, used, all int) int {
	if all == 0 {
		return frontNodes
	}
	return max(1, frontNodes*used/all)
}

// StepSlotsQuery holds the inputs of StepSlots: the pinned version and the front node.
type StepSlotsQuery struct {
	Group string
	Pin   *VersionPin
	Index *bundle.Index
	// Front and Zone are the name and zone of this front node; FrontNodes is the number of front nodes of the fleet.
	Front      string
	Zone       string
	FrontNodes int
	// LiveWaits is set while live requests wait for the group.
	LiveWaits bool
}

// StepSlots returns how many generations of a version one front node may have in progress.
func (b *Set) StepSlots(query StepSlotsQuery, now time.Time) int {
	servers, _ := query.Pin.split(b.ByGroup[query.Group], now)
	all := Candidates(servers, query.Index.Group(query.Group), now)
	used := schedule.Subset(query.Front, query.Zone, query.Index.Bundle().GetScheduling().GetSubsetSize(), all)
	frontNodes := frontNodesPerServer(query.FrontNodes, len(used), len(all))
	b.addStepLoad(used, frontNodes)
	slots, ejectedSlots := 0, 0
	for i := range used {
		serverSlots := candidateSlots(&used[i]).ForSteps(frontNodes, query.LiveWaits)
		switch {
		case IsUsable(used[i]):
			slots += serverSlots
		case !used[i].Draining:
			ejectedSlots += serverSlots
		}
	}
	if slots == 0 {
		// Ejected servers are used when there are no others, so that a generation gets an outcome at once instead of waiting.
		return ejectedSlots
	}
	return slots
}
