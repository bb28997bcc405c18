package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The constants were chosen by the comparison in internal/dataplane/schedule/schedulesim; see docs/POLICIES.md.
const (
	// delayShare is the part of a prompt's prefill time that counts as a delay of each other request at the
	// server: all of them wait during a prefill, but few are so near their latency target that it matters.
	delayShare = 0.25
	// unseenRequests is the assumed number of requests of other front nodes at a server: load reports are too old and
	// too rare to count them. It makes a repeated prefill cost more than a wait of the same length.
	unseenRequests = 5
	// homeCost is charged for leaving the program's home, the first server of its order that is not slow. It keeps the
	// sessions of a program together, including those on other front nodes, which have no information on what is cached
	// where.
	homeCost = 45 * time.Millisecond
	// homeSlowness is the slowness at or above which a server is not the home of any program.
	homeSlowness = 2
	// orderCost is charged for each position in that order. It breaks ties.
	orderCost = 200 * time.Microsecond
	// otherServerCost is charged for leaving the session's last server, beyond the repeated prefill.
	otherServerCost = 15 * time.Millisecond
	// otherZoneCost is charged for a server in another zone, since traffic between zones costs money. It is so small that
	// it decides only between servers of nearly equal cost.
	otherZoneCost = 5 * time.Millisecond
	// preemptionCost is charged if the server's memory would not hold the request in addition to the running ones.
	preemptionCost = 500 * time.Millisecond
	// callSlownessPower is the exponent of a server's slowness, and callLoadWeight the weight of the requests at it, in
	// the cost of a request without a prompt.
	callSlownessPower = 2
	callLoadWeight    = 4
	// reportTimeConstant is the time constant with which the requests of other front nodes in a load report decay.
	reportTimeConstant = 400 * time.Millisecond
)

// costedCandidate is a candidate with the cost of choosing it.
type costedCandidate struct {
	*Candidate
	cost time.Duration
}

// expectedFirstToken chooses the server with the lowest cost: the expected time to the first token and the delay of the
// requests that are already there. Servers without a free slot rank after all that have one.
func (d *Decision) expectedFirstToken(request Request, candidates []*Candidate) {
	request.Profile = request.Profile.withDefaults()
	order := request.costs(request.programOrder(candidates))
	slices.SortStableFunc(order, func(a, b costedCandidate) int {
		return cmp.Or(compareBool(a.isFull(), b.isFull()), cmp.Compare(a.cost, b.cost))
	})
	d.choose(order[0].Candidate, order[0].cost.Seconds())
	for _, candidate := range order[1:] {
		reason := ReasonLower
		if candidate.isFull() && !order[0].isFull() {
			reason = ReasonFull
		}
		d.passOver(candidate.Candidate, candidate.cost.Seconds(), reason)
	}
}

// programOrder ranks the candidates for the request's program. For a turn, whose prompt and answer are large, those in
// the front node's zone come first, so that the program's home is in that zone.
func (r *Request) programOrder(candidates []*Candidate) []*Candidate {
	order := rank(r.AffinityKey, candidates)
	if r.Zone == "" || r.PromptTokens == 0 {
		return order
	}
	slices.SortStableFunc(order, func(a, b *Candidate) int {
		return compareBool(a.Zone != r.Zone, b.Zone != r.Zone)
	})
	return order
}

// costs returns the candidates in the program's order with the cost of each.
func (r *Request) costs(order []*Candidate) []costedCandidate {
	home := slices.IndexFunc(order, func(c *Candidate) bool { return c.Slowness < homeSlowness })
	bound := r.callBound(order)
	costed := make([]costedCandidate, 0, len(order))
	for position, candidate := range order {
		cost := time.Duration(position) * orderCost
		if r.Zone != "" && candidate.Zone != r.Zone {
			cost += otherZoneCost
		}
		if r.PromptTokens == 0 {
			cost += r.callCost(candidate, bound)
		} else {
			cost += r.turnCost(candidate, position == home)
		}
		costed = append(costed, costedCandidate{candidate, cost})
	}
	return costed
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// turnCost returns the expected cost, in time, of choosing the candidate, to this request and to those at the server.
func (r *Request) turnCost(candidate *Candidate, isHome bool) time.Duration {
	cost := r.expectedWait(candidate) + r.delayOfOthers(candidate) + r.preemptionRisk(candidate)
	if !isHome {
		cost += homeCost
	}
	if r.LastServer != "" && candidate.ID != r.LastServer {
		cost += otherServerCost
	}
	return cost
}

// callCost returns the expected cost, in time, of choosing the candidate for a request without a prompt. Front nodes
// see only their own requests, so by expected time alone all would choose the fastest server. Therefore a hash varies
// the order of servers by program: each is first for a share of programs that falls with its slowness. Likely calls
// above the bound count as load too.
func (r *Request) callCost(candidate *Candidate, bound float64) time.Duration {
	slowness := math.Pow(cmp.Or(candidate.Slowness, 1), callSlownessPower)
	draw := float64(rankHash(r.AffinityKey, candidate)>>11+1) / (1 << 53)
	load := callLoadWeight * (candidate.estimatedRequests() + r.excessCalls(candidate, bound))
	return scale(r.Profile.ServiceTime, slowness/candidate.Weight*(load-math.Log(draw)))
}

// expectedWait returns the expected time to the first token.
func (r *Request) expectedWait(candidate *Candidate) time.Duration {
	return scale(r.slotWait(candidate)+r.firstTokenTime(candidate), cmp.Or(candidate.Slowness, 1)/candidate.Weight)
}

// slotWait returns the expected time until a slot is free.
func (r *Request) slotWait(candidate *Candidate) time.Duration {
	excess := candidate.requests() + 1 - candidate.slots()
	if excess <= 0 {
		return 0
	}
	holding := time.Duration(r.OutputTokens) * r.Profile.StepTime
	return scale(holding, excess/candidate.slots())
}

// firstTokenTime returns the time from getting a slot to the first token, at a server of ordinary speed.
func (r *Request) firstTokenTime(candidate *Candidate) time.Duration {
	return r.Profile.Overhead + r.Profile.prefillTime(r.tokensAhead(candidate)+r.uncachedTokens(candidate))
}

// uncachedTokens returns how many tokens of the prompt the server would have to prefill.
func (r *Request) uncachedTokens(candidate *Candidate) float64 {
	return float64(r.PromptTokens - min(r.PromptTokens, candidate.CachedTokens))
}

// tokensAhead estimates the prompt tokens that the server prefills before those of the request.
func (r *Request) tokensAhead(candidate *Candidate) float64 {
	return float64(candidate.PendingTokens) + candidate.othersWaiting()*r.Profile.MeanPrompt
}

// delayOfOthers returns the cost of delaying other requests at the server while the prompt is prefilled. Tokens that
// other prompts share are not charged, since prefilling them saves those prompts as much; otherwise a new server with
// an empty cache would be avoided.
func (r *Request) delayOfOthers(candidate *Candidate) time.Duration {
	own := r.uncachedTokens(candidate) - float64(r.SharedTokens-min(r.SharedTokens, candidate.CachedTokens))
	return scale(r.Profile.prefillTime(max(own, 0)), delayShare*(unseenRequests+float64(candidate.InFlight)))
}

// preemptionRisk returns preemptionCost if the request would cause a running one to be preempted for lack of memory.
func (r *Request) preemptionRisk(candidate *Candidate) time.Duration {
	needed := candidate.UsedTokens + r.PromptTokens + r.OutputTokens
	if candidate.CacheTokens > 0 && needed > candidate.CacheTokens {
		return preemptionCost
	}
	return 0
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
