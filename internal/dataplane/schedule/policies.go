package schedule

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// lowLoadShare is the share of a server's slots up to which it is within the load bound, whatever the mean load is.
const lowLoadShare = 0.25

// applyPolicy applies the request's policy; there is at least one candidate.
func (d *Decision) applyPolicy(request Request, candidates []*Candidate, random *rand.Rand) {
	if request.Step != nil {
		d.leastOutstanding(request, candidates)
		return
	}
	switch request.Algorithm {
	case protocol.SchedulingAlgorithm_LEAST_LOADED:
		d.leastLoaded(request, candidates)
	case protocol.SchedulingAlgorithm_POWER_OF_TWO:
		d.powerOfTwo(candidates, random)
	case protocol.SchedulingAlgorithm_ROUND_ROBIN:
		d.roundRobin(request, candidates)
	case protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN:
		d.expectedFirstToken(request, candidates)
	default:
		d.prefixAffinity(request, candidates)
	}
}

// prefixAffinity sends a session to the server of its last turn, and a new session to the server that its prefix hashes
// to. If that server's load with the request would be above the bound, the next server in the prefix's order is used.
func (d *Decision) prefixAffinity(request Request, candidates []*Candidate) {
	order := rank(request.AffinityKey, candidates)
	if position := slices.IndexFunc(order, func(c *Candidate) bool { return c.ID == request.LastServer }); position > 0 {
		last := order[position]
		order = slices.Insert(slices.Delete(order, position, position+1), 0, last)
	}
	bound := newLoadBound(request, candidates)
	chosen := slices.IndexFunc(order, bound.allows)
	if chosen < 0 {
		d.leastLoaded(request, candidates)
		return
	}
	for position, candidate := range order {
		switch {
		case position == chosen:
			d.choose(candidate, candidate.Load())
		case position < chosen:
			d.passOver(candidate, candidate.Load(), ReasonOverBound)
		default:
			d.passOver(candidate, candidate.Load(), ReasonLower)
		}
	}
}

// loadBound bounds the requests at each server that affinity prefers to a factor times its share of all requests,
// rounded up (consistent hashing with bounded loads). A server with most of its slots free is never above the bound,
// since leaving its cache would gain nothing.
type loadBound struct {
	requestsPerSlot float64
}

func newLoadBound(request Request, candidates []*Candidate) loadBound {
	factor := request.LoadBound
	if factor <= 0 {
		factor = DefaultLoadBound
	}
	requests, slots := 1.0, 0.0
	for _, candidate := range candidates {
		requests += candidate.requests()
		slots += candidate.weightedSlots()
	}
	return loadBound{requestsPerSlot: factor * requests / slots}
}

func (b loadBound) allows(candidate *Candidate) bool {
	slots := candidate.weightedSlots()
	maxRequests := max(math.Ceil(b.requestsPerSlot*slots), math.Floor(slots*lowLoadShare))
	return candidate.requests()+1 <= maxRequests
}

func (d *Decision) leastLoaded(request Request, candidates []*Candidate) {
	order := rank(request.AffinityKey, candidates)
	slices.SortStableFunc(order, func(a, b *Candidate) int { return cmp.Compare(a.loadWith(1), b.loadWith(1)) })
	d.chooseFirst(order)
}

// chooseFirst chooses the first candidate of the order and passes over the others.
func (d *Decision) chooseFirst(order []*Candidate) {
	d.choose(order[0], order[0].Load())
	for _, candidate := range order[1:] {
		d.passOver(candidate, candidate.Load(), ReasonLower)
	}
}

// powerOfTwo compares two random candidates and chooses the less loaded one.
func (d *Decision) powerOfTwo(candidates []*Candidate, random *rand.Rand) {
	if len(candidates) == 1 {
		d.chooseFirst(candidates)
		return
	}
	one := random.IntN(len(candidates))
	two := random.IntN(len(candidates) - 1)
	if two >= one {
		two++
	}
	if candidates[two].loadWith(1) < candidates[one].loadWith(1) {
		one, two = two, one
	}
	for position, candidate := range candidates {
		switch position {
		case one:
			d.choose(candidate, candidate.Load())
		case two:
			d.passOver(candidate, candidate.Load(), ReasonLower)
		default:
			d.passOver(candidate, candidate.Load(), ReasonNotSampled)
		}
	}
}

// roundRobin chooses the candidates in turn, in the order of their ids.
func (d *Decision) roundRobin(request Request, candidates []*Candidate) {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b *Candidate) int { return cmp.Compare(a.ID, b.ID) })
	position := int(request.Sequence % uint64(len(order)))
	d.chooseFirst(slices.Concat(order[position:], order[:position]))
}
