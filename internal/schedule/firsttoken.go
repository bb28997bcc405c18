package schedule

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// othersShare is how much of the time that its prompt takes from each request at the server a choice is charged.
	othersShare = 0.5
	// otherZoneCost is what a choice outside the own zone is charged: it only decides between equals.
	otherZoneCost = time.Millisecond
	// orderCost is charged for each place in the order of the shared prefix, so that front nodes which know
	// nothing of each other begin with the same servers.
	orderCost = 200 * time.Microsecond
	// pressureCost is charged when the server's memory would not hold the request beside those that run.
	pressureCost = 500 * time.Millisecond
)

// expectedFirstToken takes the server at which the first token is expected
// earliest, with what the choice costs the requests that are there already.
func (d *Decision) expectedFirstToken(request Request, candidates []*Candidate) {
	request.Profile = request.Profile.withDefaults()
	key := request.AffinityKey
	if request.SharedPrefix != 0 {
		key = strconv.FormatUint(request.SharedPrefix, 16)
	}
	order := rank(key, candidates)
	costs := make(map[*Candidate]time.Duration, len(order))
	for place, candidate := range order {
		costs[candidate] = request.cost(candidate) + time.Duration(place)*orderCost
	}
	slices.SortStableFunc(order, func(a, b *Candidate) int { return cmp.Compare(costs[a], costs[b]) })
	d.take(order[0], costs[order[0]].Seconds())
	for _, candidate := range order[1:] {
		d.pass(candidate, costs[candidate].Seconds(), ReasonLower)
	}
}

// cost is what choosing the candidate is expected to cost this request and those at the server.
func (r *Request) cost(candidate *Candidate) time.Duration {
	cost := r.expectedWait(candidate)
	if r.PromptTokens > 0 {
		cost += r.costToOthers(candidate)
	}
	if r.Zone != "" && candidate.Zone != r.Zone {
		cost += otherZoneCost
	}
	return cost
}

// expectedWait is the expected time to the first token, or to the answer when there is no prompt.
func (r *Request) expectedWait(candidate *Candidate) time.Duration {
	return scale(r.slotWait(candidate)+r.work(candidate), cmp.Or(candidate.Slowness, 1)/candidate.Weight)
}

func (r *Request) work(candidate *Candidate) time.Duration {
	if r.PromptTokens == 0 {
		return r.Profile.ServiceTime
	}
	return r.Profile.Overhead + r.Profile.reading(r.tokensAhead(candidate)+r.uncached(candidate))
}

func (r *Request) uncached(candidate *Candidate) float64 {
	return float64(r.PromptTokens - min(r.PromptTokens, candidate.CachedTokens))
}

// tokensAhead are the prompt tokens that the server reads before those of the request.
func (r *Request) tokensAhead(candidate *Candidate) float64 {
	return float64(candidate.PendingTokens) + candidate.othersWaiting()*r.Profile.MeanPrompt
}

// othersWaiting are the requests of other front nodes without a first token.
func (c *Candidate) othersWaiting() float64 {
	if c.ReportAge <= 0 {
		return 0
	}
	return float64(c.Queued - min(c.Queued, c.WaitingAtReport))
}

// slotWait is the expected time until a slot is free.
func (r *Request) slotWait(candidate *Candidate) time.Duration {
	slots := float64(cmp.Or(candidate.Capacity, defaultCapacity))
	excess := candidate.requests() + 1 - slots
	if excess <= 0 {
		return 0
	}
	return scale(r.holding(), excess/slots)
}

// holding is how long a request holds its slot.
func (r *Request) holding() time.Duration {
	if r.PromptTokens == 0 {
		return r.Profile.ServiceTime
	}
	return time.Duration(r.OutputTokens) * r.Profile.StepTime
}

// costToOthers is the time that reading the prompt takes from the requests at the server.
func (r *Request) costToOthers(candidate *Candidate) time.Duration {
	cost := scale(r.Profile.reading(r.uncached(candidate)), othersShare*candidate.requests())
	if needed := candidate.UsedTokens + r.PromptTokens + r.OutputTokens; candidate.CacheTokens > 0 && needed > candidate.CacheTokens {
		cost += pressureCost
	}
	return cost
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
