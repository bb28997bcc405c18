package schedulesim

import (
	"strconv"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
)

// Mechanism is a part of a policy that can be disabled to measure its contribution (an ablation). Its values appear in
// reports.
type Mechanism string

// The mechanisms of EXPECTED_FIRST_TOKEN.
const (
	// Digests is the exchange of digests between front nodes, which report which servers have cached which shared
	// segments.
	Digests Mechanism = "digests of cached parts"
	// HomeServer is the first server of a program's order; without it each turn has an order of its own.
	HomeServer Mechanism = "home server"
	// LastServer is the preference for the server of the session's last turn.
	LastServer Mechanism = "session's last server"
	// OwnZone is the preference for servers in the front node's zone, in its subset and in a program's order.
	OwnZone Mechanism = "own zone first"
	// CachedParts is a front node's model of the servers' prefix caches.
	CachedParts Mechanism = "known cached parts"
	// PendingPrompts is the count of the prompt tokens of the front node's own turns that are yet to be prefilled.
	PendingPrompts Mechanism = "prompts still to be read"
	// LearnedSlowness is the estimate of a server's slowness from its answers.
	LearnedSlowness Mechanism = "learned slowness"
	// LoadSamples is the load reports that front nodes request.
	LoadSamples Mechanism = "samples of the load"
	// AnswerLoads is the load reports that servers send with their answers.
	AnswerLoads Mechanism = "load on answers"
)

// Mechanisms returns all mechanisms, in the order of the tables in reports.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Digests, HomeServer, LastServer, OwnZone, CachedParts, PendingPrompts, LearnedSlowness, LoadSamples, AnswerLoads,
	}
}

// isDisabled reports whether the simulation runs without a mechanism.
func (o *Options) isDisabled(mechanism Mechanism) bool { return o.Without == mechanism }

// disableInRequest removes the disabled mechanism's part of a request.
func (o *Options) disableInRequest(request *schedule.Request) {
	switch o.Without {
	case HomeServer:
		request.AffinityKey += "/" + strconv.FormatUint(request.Sequence, 10)
	case LastServer:
		request.LastServer = ""
	case OwnZone:
		request.Zone = ""
	case Digests, CachedParts, PendingPrompts, LearnedSlowness, LoadSamples, AnswerLoads:
	}
}

// disableInCandidate removes the disabled mechanism's part of a candidate.
func (o *Options) disableInCandidate(candidate *schedule.Candidate) {
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
