package schedulesim

import (
	"strconv"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
)

// Mechanism is a part of the placement of turns that can be switched off, to see what it is worth.
type Mechanism string

// The mechanisms of EXPECTED_FIRST_TOKEN.
const (
	// Digests tell front nodes which servers read which shared parts for others.
	Digests Mechanism = "digests of cached parts"
	// HomeServer is the program's first server; without it each turn has an order of its own.
	HomeServer Mechanism = "home server"
	// LastServer prefers the server of the session's last turn.
	LastServer Mechanism = "session's last server"
	// OwnZone prefers servers of the front node's zone, in its subset and in its order.
	OwnZone Mechanism = "own zone first"
	// CachedParts is what a front node knows of the servers' caches.
	CachedParts Mechanism = "known cached parts"
	// PendingPrompts are the prompts that the front node's own turns have still to be read.
	PendingPrompts Mechanism = "prompts still to be read"
	// LearnedSlowness is what answers tell of a server's speed.
	LearnedSlowness Mechanism = "learned slowness"
	// LoadSamples are the loads that front nodes ask servers for.
	LoadSamples Mechanism = "samples of the load"
	// AnswerLoads are the loads that servers tell with their answers.
	AnswerLoads Mechanism = "load on answers"
)

// Mechanisms are all of them, in the order in which tables show them.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Digests, HomeServer, LastServer, OwnZone, CachedParts, PendingPrompts, LearnedSlowness, LoadSamples, AnswerLoads,
	}
}

func (o *Options) lacks(mechanism Mechanism) bool { return o.Without == mechanism }

// switchOff takes out of a request what belongs to the mechanism that is off.
func (o *Options) switchOff(request *schedule.Request) {
	switch o.Without {
	case HomeServer:
		request.AffinityKey += "/" + strconv.FormatUint(request.Sequence, 10)
	case LastServer:
		request.Last = ""
	case OwnZone:
		request.Zone = ""
	case Digests, CachedParts, PendingPrompts, LearnedSlowness, LoadSamples, AnswerLoads:
	}
}

// hide takes out of a candidate what belongs to the mechanism that is off.
func (o *Options) hide(candidate *schedule.Candidate) {
	switch o.Without {
	case CachedParts:
		candidate.CachedTokens = 0
	case PendingPrompts:
		candidate.PendingTokens, candidate.Waiting = 0, 0
	case LearnedSlowness:
		candidate.Slowness = 0
	case Digests, HomeServer, LastServer, OwnZone, LoadSamples, AnswerLoads:
	}
}
