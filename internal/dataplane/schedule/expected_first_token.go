package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The constants were chosen by the comparison in internal/dataplane/schedule/schedulesim; see docs/POLICIES.md.
const (
	// delayShare is the part of the time that a prompt takes to read which each other request at the server is
	// charged for: all of them stand still meanwhile, but few are so near their objective that it matters.
	delayShare = 0.25
	// unseenRequests is how many requests of other front nodes are taken to be at a server: reports are too old and
	// too few to tell. It makes reading a prompt anew dearer than waiting for as long.
	unseenRequests = 5
	// homeCost is charged for leaving the program's home, the first server of its order that is not slow. It keeps
	// the sessions of a program together, also those that other front nodes own, which know nothing of what was read
	// where.
	homeCost = 45 * time.Millisecond
	// homeSlowness is the slowness from which a server is no program's home.
	homeSlowness = 2
	// orderCost is charged for each place in that order. It decides between equals.
	orderCost = 200 * time.Microsecond
	// lastCost is charged for leaving the session's last server, beyond what has to be read again.
	lastCost = 15 * time.Millisecond
	// otherZoneCost is charged for a choice outside the own zone, whose bytes between zones are paid for: it decides
	// between near equals only.
	otherZoneCost = 5 * time.Millisecond
	// pressureCost is charged when the server's memory would not hold the request beside those that run.
	pressureCost = 500 * time.Millisecond
	// callSlownessPower and callLoadWeight weigh slowness and requests at a server when a request without a prompt
	// is placed.
	callSlownessPower = 2
	callLoadWeight    = 4
	// reportMemory is the time constant with which what others had waiting at the time of a report is forgotten.
	reportTimeConstant = 400 * time.Millisecond
)

// costedCandidate is a candidate with what its choice costs.
type costedCandidate struct {
	*Candidate
	cost time.Duration
}

// expectedFirstToken takes the server at which the first token is expected earliest, with what the choice costs the
// requests that are there already. A server without a free slot comes after all that have one.
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

// programOrder ranks the candidates for the request's program. Those of the own zone come first for a turn, whose
// prompt and answer are many bytes: a program keeps to one zone, so that its home is there as well.
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

// costs adds to each candidate, in the program's order, what its choice costs.
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

// isFull reports whether a request more would find no free slot, as far as is known.
func (c *Candidate) isFull() bool {
	return c.requests()+1 > c.slots()
}

// slots is the number of requests that the server runs at once.
func (c *Candidate) slots() float64 { return float64(cmp.Or(c.Capacity, defaultCapacity)) }

// turnCost is what choosing the candidate is expected to cost this request and those at the server.
func (r *Request) turnCost(candidate *Candidate, isHome bool) time.Duration {
	cost := r.expectedWait(candidate) + r.delayOfOthers(candidate) + r.pressure(candidate)
	if !isHome {
		cost += homeCost
	}
	if r.Last != "" && candidate.ID != r.Last {
		cost += lastCost
	}
	return cost
}

// callCost is what choosing the candidate for a request without a prompt is expected to cost. Front nodes that see
// only their own requests would all take the fastest server. So the one that is first differs by program, each server
// being first for a share of programs that falls with its slowness. What a server is likely to have beyond the bound counts too.
func (r *Request) callCost(candidate *Candidate, bound float64) time.Duration {
	slowness := math.Pow(cmp.Or(candidate.Slowness, 1), callSlownessPower)
	draw := float64(rankHash(r.AffinityKey, candidate)>>11+1) / (1 << 53)
	return scale(r.Profile.ServiceTime, slowness/candidate.Weight*(callLoadWeight*(candidate.estimatedRequests()+r.surplus(candidate, bound))-math.Log(draw)))
}

// expectedWait is the expected time to the first token.
func (r *Request) expectedWait(candidate *Candidate) time.Duration {
	return scale(r.slotWait(candidate)+r.work(candidate), cmp.Or(candidate.Slowness, 1)/candidate.Weight)
}

// slotWait is the expected time until a slot is free.
func (r *Request) slotWait(candidate *Candidate) time.Duration {
	excess := candidate.requests() + 1 - candidate.slots()
	if excess <= 0 {
		return 0
	}
	holding := time.Duration(r.OutputTokens) * r.Profile.StepTime
	return scale(holding, excess/candidate.slots())
}

func (r *Request) work(candidate *Candidate) time.Duration {
	return r.Profile.Overhead + r.Profile.prefillTime(r.tokensAhead(candidate)+r.uncached(candidate))
}

func (r *Request) uncached(candidate *Candidate) float64 {
	return float64(r.PromptTokens - min(r.PromptTokens, candidate.CachedTokens))
}

// tokensAhead are the prompt tokens that the server reads before those of the request.
func (r *Request) tokensAhead(candidate *Candidate) float64 {
	return float64(candidate.PendingTokens) + candidate.othersWaiting()*r.Profile.MeanPrompt
}

// delayOfOthers is the time that reading the prompt takes from other requests at the server. Reading what other
// prompts share saves them as much, so that a new server is soon as good as the others.
func (r *Request) delayOfOthers(candidate *Candidate) time.Duration {
	own := r.uncached(candidate) - float64(r.SharedTokens-min(r.SharedTokens, candidate.CachedTokens))
	return scale(r.Profile.prefillTime(max(own, 0)), delayShare*(unseenRequests+float64(candidate.InFlight)))
}

// pressure is charged when a running request would be preempted for want of memory.
func (r *Request) pressure(candidate *Candidate) time.Duration {
	needed := candidate.UsedTokens + r.PromptTokens + r.OutputTokens
	if candidate.CacheTokens > 0 && needed > candidate.CacheTokens {
		return pressureCost
	}
	return 0
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
