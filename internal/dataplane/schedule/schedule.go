// Package schedule decides which back end runs the next turn or call. Every
// policy is a pure function of a snapshot of the back ends and their loads.
package schedule

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultLoadBound is the multiple of the mean load that prefix affinity lets one server take.
	DefaultLoadBound = 1.25
	// DefaultSubsetSize is the number of back ends of a group that one front node uses.
	DefaultSubsetSize = 16

	defaultCapacity = 8
	// ownZoneRest is the part of a subset, one in so many, that is left to other zones.
	otherZonesDivisor = 4
	// fullLoad is the relative load at which a server has no free slot.
	fullLoad = 1.0
)

// Candidate is one back end of the group, as seen by this front node.
type Candidate struct {
	ID       string
	Zone     string
	Region   string
	Draining bool
	// Ejected is true while outlier ejection keeps traffic off the server.
	Ejected bool
	// Capacity is the number of requests the server runs at once; zero is unknown.
	Capacity uint32
	// InFlight counts this front node's own requests at the server.
	InFlight uint32
	// Running and Queued are what the server last reported, and OwnAtReport is InFlight as it was then.
	Running     uint32
	Queued      uint32
	OwnAtReport uint32
	// Weight scales the share of traffic: the zone's weight times the slow return after an ejection. Zero takes none.
	Weight float64
	// EjectedUntil orders the ejected ones when too many of a group are: who comes back first is used first.
	EjectedUntil time.Time
	// Unreachable is true while connections to the server fail, which no rule against ejecting too many overrides.
	Unreachable bool

	// The rest matters to EXPECTED_FIRST_TOKEN alone.

	// Waiting counts this front node's own requests at the server that have no first token yet.
	Waiting uint32
	// PendingTokens is how many prompt tokens of those the server has still to read, as far as is known.
	PendingTokens uint64
	// CachedTokens is how much of the request's prompt the server need not read.
	CachedTokens uint64
	// ReportAge is how old Running, Queued and UsedTokens are; zero or less means that nothing was reported.
	ReportAge time.Duration
	// WaitingAtReport is Waiting as it was when the load was reported.
	WaitingAtReport uint32
	// UsedTokens is the part of CacheTokens that running requests hold; zero CacheTokens is unknown.
	UsedTokens  uint64
	CacheTokens uint64
	// Recent is how many calls this front node sent there of late.
	Recent float64
	// Slowness is the factor by which the server is slower than its group; zero means 1.
	Slowness float64

	// The rest matters to generations of training steps alone.

	// Steps counts this front node's own generations of steps at the server, and StepPlaces how many it may have there.
	Steps     uint32
	StepSlots uint32
	// StepsAtReport is Steps as it was when the load was reported.
	StepsAtReport uint32
	// StepTokens is what those have still to read of their prompts and may still generate.
	StepTokens uint64
}

// Load is the relative load: requests at the server by its capacity and weight.
func (c *Candidate) Load() float64 {
	return c.loadWith(0)
}

func (c *Candidate) loadWith(extra float64) float64 {
	return (c.requests() + extra) / candidateSlots(c)
}

// requests counts what is at the server: the newer of what it reported and what this front node sent.
func (c *Candidate) requests() float64 {
	return float64(max(c.InFlight, c.Running+c.Queued))
}

// requestsNow counts what is taken to be at the server by now: this front node's own requests, and of those that others
// had there at the time of the report what is left of them.
func (c *Candidate) estimatedRequests() float64 {
	own, reported := float64(c.InFlight), c.Running+c.Queued
	if c.ReportAge <= 0 {
		return own
	}
	others := float64(reported - min(reported, c.OwnAtReport))
	return own + others*math.Exp(-c.ReportAge.Seconds()/reportTimeConstant.Seconds())
}

// Others counts the requests at the server that are no generations of this front node's training steps.
func (c *Candidate) Others() uint32 {
	own := c.InFlight - min(c.InFlight, c.Steps)
	reported := c.Running + c.Queued
	return max(own, reported-min(reported, c.StepsAtReport))
}

// othersWaiting is how many requests of other front nodes are taken to have no first token yet.
func (c *Candidate) othersWaiting() float64 {
	if c.ReportAge <= 0 {
		return 0
	}
	others := float64(c.Queued - min(c.Queued, c.WaitingAtReport))
	return others * math.Exp(-c.ReportAge.Seconds()/reportTimeConstant.Seconds())
}

// Request says what is to be placed, and by which policy.
type Request struct {
	Algorithm  protocol.SchedulingAlgorithm
	LoadBound  float64
	SubsetSize uint32
	// Front, Zone and Region are the deciding front node's.
	Front          string
	Zone           string
	Region         string
	ZoneLocalFirst bool
	// FrontsAtServer is how many front nodes use one of the group's servers; zero is unknown.
	FrontsAtServer float64
	// AffinityKey is the prefix that requests share: the program, or the session.
	AffinityKey string
	// Last is the back end that ran the session's last turn, if any.
	Last string
	// Avoid names the back ends that already failed this request.
	Avoid []string
	// Sequence is the count for round robin.
	Sequence uint64

	// The rest matters to EXPECTED_FIRST_TOKEN alone. A request without a prompt, as a tool call, goes where it is
	// expected to wait least.

	// PromptTokens is the length of the prompt, SharedTokens that of its beginning which other prompts share, and
	// OutputTokens how much is expected to be generated.
	PromptTokens uint64
	SharedTokens uint64
	OutputTokens uint64
	// Profile is what the group's servers take for their work.
	Profile Profile
	// Step is set for a generation of a training step, whatever the algorithm.
	Step *StepWork
}

// Score is one candidate's place in a decision.
type Score struct {
	ID    string
	Score float64
	// Reason says why the candidate was passed over; empty for the chosen one.
	Reason string
}

// Decision is the outcome of a choice. Chosen is empty when no candidate may take the request.
type Decision struct {
	Chosen string
	Scores []Score
	// Spilled is true when the request left its zone because the zone was full.
	Spilled bool
}

// Reasons for which a candidate is passed over.
const (
	ReasonDraining   = "draining"
	ReasonEjected    = "ejected as an outlier"
	ReasonAvoided    = "already failed this request"
	ReasonNoWeight   = "weight is zero"
	ReasonOtherZone  = "in another zone"
	ReasonFarRegion  = "in another region"
	ReasonNotSubset  = "not in this front node's subset"
	ReasonOverBound  = "load is over the bound"
	ReasonLower      = "lower in the order"
	ReasonFull       = "no free slot"
	ReasonNotSampled = "not sampled"
	// ReasonNoStepPlace and ReasonOtherVersion are for turns of training steps.
	ReasonNoStepSlot  = "no place for a training step"
	ReasonOtherVersion = "has not the training step's version of the weights"
)

// Choose places one request. Random is used by power of two choices only.
func Choose(request Request, candidates []Candidate, random *rand.Rand) Decision {
	decision := Decision{Scores: make([]Score, 0, len(candidates))}
	usable := decision.filter(request, candidates)
	if len(usable) == 0 {
		return decision
	}
	usable = decision.subset(request, usable)
	local := decision.localZone(request, usable)
	decision.applyPolicy(request, local, random)
	slices.SortFunc(decision.Scores, func(a, b Score) int { return cmp.Compare(a.ID, b.ID) })
	return decision
}

func (d *Decision) passOver(candidate *Candidate, score float64, reason string) {
	d.Scores = append(d.Scores, Score{ID: candidate.ID, Score: score, Reason: reason})
}

func (d *Decision) choose(candidate *Candidate, score float64) {
	d.Chosen = candidate.ID
	d.Scores = append(d.Scores, Score{ID: candidate.ID, Score: score})
}

// filter drops what may not be used. Ejection gives way when it would leave too
// little; draining never does.
func (d *Decision) filter(request Request, candidates []Candidate) []*Candidate {
	var usable, ejected []*Candidate
	for index := range candidates {
		candidate := &candidates[index]
		switch {
		case candidate.Draining:
			d.passOver(candidate, 0, ReasonDraining)
		case slices.Contains(request.Avoid, candidate.ID):
			d.passOver(candidate, 0, ReasonAvoided)
		case candidate.Weight <= 0:
			d.passOver(candidate, 0, ReasonNoWeight)
		case candidate.Ejected:
			ejected = append(ejected, candidate)
		default:
			usable = append(usable, candidate)
		}
	}
	usable, ejected = readmit(usable, ejected)
	for _, candidate := range ejected {
		d.passOver(candidate, 0, ReasonEjected)
	}
	return usable
}

// readmit uses ejected servers again until half of the group is used: when most seem faulty, the cause is likely
// elsewhere. Those that come back first go first. Unreachable ones are used only when there is nothing else.
func readmit(usable, ejected []*Candidate) (readmitted, stillEjected []*Candidate) {
	minUsable := (len(usable) + len(ejected) + 1) / 2
	unreachable, suspected := divide(ejected, func(c *Candidate) bool { return c.Unreachable })
	slices.SortStableFunc(suspected, func(a, b *Candidate) int { return a.EjectedUntil.Compare(b.EjectedUntil) })
	back := min(len(suspected), max(minUsable-len(usable), 0))
	usable = append(usable, suspected[:back]...)
	if len(usable) == 0 {
		return unreachable, nil
	}
	return usable, append(unreachable, suspected[back:]...)
}

// SubsetSize is how many servers of a large group a front node uses.
func SubsetSize(size uint32) int { return int(cmp.Or(size, DefaultSubsetSize)) }

// Subset gives the candidates of a group that a front node of a zone uses, as Choose does.
func Subset(front, zone string, size uint32, group []Candidate) []Candidate {
	if len(group) <= SubsetSize(size) {
		return group
	}
	pointers := make([]*Candidate, 0, len(group))
	for index := range group {
		pointers = append(pointers, &group[index])
	}
	selected := make([]Candidate, 0, SubsetSize(size))
	for _, candidate := range rankForFront(front, zone, SubsetSize(size), pointers)[:SubsetSize(size)] {
		selected = append(selected, *candidate)
	}
	return selected
}

// rankForFront orders a group for a front node: servers of its own zone come first, whose bytes cross no zone, until
// they are three quarters of the subset. The rest is for the time when the own zone is full or ill.
func rankForFront(front, zone string, size int, group []*Candidate) []*Candidate {
	ranked := rank(front, group)
	if zone == "" {
		return ranked
	}
	own, others := divide(ranked, func(c *Candidate) bool { return c.Zone == zone })
	first := min(len(own), size-size/otherZonesDivisor)
	return slices.Concat(own[:first], others, own[first:])
}

// subset keeps the part of a large group that this front node uses, the same
// one as long as the group does not change. The session's last server stays in.
func (d *Decision) subset(request Request, usable []*Candidate) []*Candidate {
	size := SubsetSize(request.SubsetSize)
	if len(usable) <= size {
		return usable
	}
	ranked := rankForFront(request.Front, request.Zone, size, usable)
	selected := ranked[:size]
	for _, candidate := range ranked[size:] {
		if candidate.ID == request.Last {
			selected = append(selected[:size:size], candidate)
			continue
		}
		d.passOver(candidate, 0, ReasonNotSubset)
	}
	return selected
}

// localZone keeps the front node's own zone while one of its servers has a free slot, then its own region while one
// has; else all.
func (d *Decision) localZone(request Request, usable []*Candidate) []*Candidate {
	if !request.ZoneLocalFirst {
		return usable
	}
	ownZone := func(c *Candidate) bool { return c.Zone == request.Zone }
	ownRegion := func(c *Candidate) bool { return ownZone(c) || request.Region != "" && c.Region == request.Region }
	zone, otherZones := divide(usable, ownZone)
	if hasFree(zone) {
		return d.restrictTo(zone, otherZones, ReasonOtherZone)
	}
	d.Spilled = len(zone) > 0 && len(otherZones) > 0
	region, otherRegions := divide(usable, ownRegion)
	if hasFree(region) {
		return d.restrictTo(region, otherRegions, ReasonFarRegion)
	}
	return usable
}

func (d *Decision) restrictTo(selected, others []*Candidate, reason string) []*Candidate {
	for _, candidate := range others {
		d.passOver(candidate, candidate.Load(), reason)
	}
	return selected
}

func divide(candidates []*Candidate, inside func(*Candidate) bool) (in, out []*Candidate) {
	for _, candidate := range candidates {
		if inside(candidate) {
			in = append(in, candidate)
		} else {
			out = append(out, candidate)
		}
	}
	return in, out
}

func hasFree(candidates []*Candidate) bool {
	return slices.ContainsFunc(candidates, func(c *Candidate) bool { return c.loadWith(1) <= fullLoad })
}

// rank orders candidates by rendezvous hash of the key, highest first.
func rank(key string, candidates []*Candidate) []*Candidate {
	type ranked struct {
		candidate *Candidate
		hash      uint64
	}
	order := make([]ranked, 0, len(candidates))
	for _, candidate := range candidates {
		order = append(order, ranked{candidate, rankHash(key, candidate)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if byHash := cmp.Compare(b.hash, a.hash); byHash != 0 {
			return byHash
		}
		return cmp.Compare(a.candidate.ID, b.candidate.ID)
	})
	result := make([]*Candidate, 0, len(order))
	for _, entry := range order {
		result = append(result, entry.candidate)
	}
	return result
}

func rankHash(key string, candidate *Candidate) uint64 {
	return xxhash.Sum64String(key + "\x00" + candidate.ID)
}
