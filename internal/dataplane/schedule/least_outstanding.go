package schedule

import (
	"cmp"
	"slices"
)

// StepWork is the work of a generation of a training step, which is sent to the server with the least outstanding work.
// The number of requests does not measure that: a long generation is many times the work of a short one.
type StepWork struct {
	// PromptTokens is the length of the prompt, and OutputTokens the maximum that is generated.
	PromptTokens uint64
	OutputTokens uint64
}

// leastOutstanding chooses the candidate that would have the least outstanding work per slot with the request: the
// tokens that the front node's own generations of training steps have yet to prefill and generate there, an estimate
// for each other known request there, and the request without its tokens in the server's cache. Servers without a free
// slot for steps rank last; ties are broken by the rank for the affinity key.
func (d *Decision) leastOutstanding(request Request, candidates []*Candidate) {
	requestTokens := tokensPerRequest(request.Step, candidates)
	order := rank(request.AffinityKey, candidates)
	slices.SortStableFunc(order, func(a, b *Candidate) int {
		if bySlot := compareStepSlots(a, b); bySlot != 0 {
			return bySlot
		}
		return cmp.Compare(a.workWith(request.Step, requestTokens), b.workWith(request.Step, requestTokens))
	})
	d.choose(order[0], order[0].workWith(request.Step, requestTokens))
	for _, candidate := range order[1:] {
		reason := ReasonLower
		if candidate.hasNoStepSlot() {
			reason = ReasonNoStepSlot
		}
		d.passOver(candidate, candidate.workWith(request.Step, requestTokens), reason)
	}
}

// compareStepSlots orders servers with a free slot for steps before those without.
func compareStepSlots(a, b *Candidate) int {
	switch {
	case a.hasNoStepSlot() == b.hasNoStepSlot():
		return 0
	case a.hasNoStepSlot():
		return 1
	default:
		return -1
	}
}

func (c *Candidate) hasNoStepSlot() bool { return c.Steps >= c.StepSlots }

// tokensPerRequest returns the assumed work of a request of unknown size: the mean of the generations in flight, or
// that of the new request if there are none.
func tokensPerRequest(work *StepWork, candidates []*Candidate) float64 {
	tokens, steps := 0.0, 0.0
	for _, candidate := range candidates {
		tokens += float64(candidate.StepTokens)
		steps += float64(candidate.Steps)
	}
	if steps == 0 {
		return float64(work.PromptTokens + work.OutputTokens)
	}
	return tokens / steps
}

// workWith returns the outstanding work per slot, in tokens, if the server gets the request. Requests of unknown size
// count as requestTokens each.
func (c *Candidate) workWith(work *StepWork, requestTokens float64) float64 {
	own := work.OutputTokens + work.PromptTokens - min(work.PromptTokens, c.CachedTokens)
	return (float64(c.StepTokens) + float64(c.OtherRequests())*requestTokens + float64(own)) / c.weightedSlots()
}
