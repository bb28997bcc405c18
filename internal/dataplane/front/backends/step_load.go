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

// stepLoad is the load of one server by this front node's generations of training steps.
type stepLoad struct {
	// atReport is the number of generations in flight when the server last reported its load, which includes them.
	atReport atomic.Int32
	// tokens are those of their prompts that are still to be prefilled, and those that may still be generated.
	tokens atomic.Int64
}

// StepWork is one generation in flight to a server. Its owner's goroutine alone uses it.
type StepWork struct {
	server *Server
	// prompt are the tokens that the server still prefills, output those that it may still generate.
	prompt int64
	output int64
}

// BeginStep records that a generation of a step goes to the server, with the tokens that its prompt and
// output may take.
func (b *Server) BeginStep(prompt, output uint64) *StepWork {
	work := &StepWork{server: b, prompt: int64(prompt), output: int64(output)}
	b.steps.tokens.Add(work.prompt + work.output)
	b.requests.addSteps(1)
	return work
}

// RecordGenerated counts output; the prompt has been prefilled by then.
func (w *StepWork) RecordGenerated(tokens uint32) {
	done := min(int64(tokens), w.output)
	w.server.steps.tokens.Add(-w.prompt - done)
	w.prompt, w.output = 0, w.output-done
}

// End ends the generation at the server.
func (w *StepWork) End() {
	w.server.requests.addSteps(-1)
	w.server.steps.tokens.Add(-w.prompt - w.output)
}

// StepPlacement is what the placement of a generation of a step needs beside that of other turns.
type StepPlacement struct {
	Pin  *VersionPin
	Work schedule.StepWork
	// FrontNodes is the number of front nodes of the fleet.
	FrontNodes int
}

// PromptTokens is the length of a request's prompt: by its parts, or as its header states when it names none.
func PromptTokens(routed *protocol.HttpRequest, prompt promptcache.Prompt) uint64 {
	return max(prompt.Tokens(), uint64(routed.GetPromptTokens()))
}

// addStepLoad adds the load by generations of steps to candidates that are shared by a number of front nodes. It counts
// all requests in flight again, so that both numbers are of one moment.
func (b *Set) addStepLoad(candidates []schedule.Candidate, fronts int) {
	for at := range candidates {
		server := b.ByID[candidates[at].ID]
		inFlight, steps := server.requests.load()
		candidates[at].InFlight, candidates[at].Steps = uint32(max(inFlight, 0)), uint32(max(steps, 0))
		candidates[at].StepsAtReport = uint32(max(server.steps.atReport.Load(), 0))
		candidates[at].StepTokens = uint64(max(server.steps.tokens.Load(), 0))
		candidates[at].StepSlots = uint32(candidateSlots(&candidates[at]).ForSteps(fronts, false))
	}
}

// candidateSlots are the slots of a candidate whose Steps are set.
func candidateSlots(candidate *schedule.Candidate) trainingstep.ServerSlots {
	return trainingstep.ServerSlots{
		Slots: candidate.Capacity, Others: candidate.OtherRequests(),
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

// StepSlotsQuery names the version and the front node for which StepSlots counts.
type StepSlotsQuery struct {
	Group string
	Pin   *VersionPin
	Index *bundle.Index
	// Front and Zone are those of this front node, one of FrontNodes.
	Front      string
	Zone       string
	FrontNodes int
	// LiveWaits is set while live requests wait for the group.
	LiveWaits bool
}

// StepSlots is how many generations of a version one front node may have in progress.
func (b *Set) StepSlots(query StepSlotsQuery, now time.Time) int {
	having, _ := query.Pin.split(b.ByGroup[query.Group], now)
	all := Candidates(having, query.Index.Group(query.Group), now)
	used := schedule.Subset(query.Front, query.Zone, query.Index.Bundle().GetScheduling().GetSubsetSize(), all)
	frontNodes := frontNodesPerServer(query.FrontNodes, len(used), len(all))
	b.addStepLoad(used, frontNodes)
	slots, ejectedSlots := 0, 0
	for at := range used {
		open := candidateSlots(&used[at]).ForSteps(frontNodes, query.LiveWaits)
		switch {
		case IsUsable(used[at]):
			slots += open
		case !used[at].Draining:
			ejectedSlots += open
		}
	}
	if slots == 0 {
		// Ejected servers are used when there are no others, so that a generation learns its outcome at once.
		return ejectedSlots
	}
	return slots
}
