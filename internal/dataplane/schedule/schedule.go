// Package schedule chooses the back end that runs the next turn or call.
//
// Choose applies a policy to a snapshot of the candidates and their loads. It is a pure function, except for the random
// source that power of two choices draws from. The package also has the estimators from which a front node builds
// candidates: OutlierDetector (ejection and slow start), Slowness, ProfileEstimator and RecentRequests. They are not
// safe for concurrent use and take the time as an argument. The constants of EXPECTED_FIRST_TOKEN come from the
// comparison in schedulesim; see docs/POLICIES.md.
package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// DefaultLoadBound is the multiple of the mean load up to which prefix affinity chooses one server.
	DefaultLoadBound = 1.25
	// DefaultSubsetSize is the number of back ends of a group that one front node uses.
	DefaultSubsetSize = 16

	defaultCapacity = 8
	// otherZonesDivisor sets the part of a subset that is from other zones: one server in otherZonesDivisor.
	otherZonesDivisor = 4
	// fullLoad is the relative load at which a server has no free slot.
	fullLoad = 1.0
)

// Request is the turn or call for which a server is chosen, and the policy.
type Request struct {
	Algorithm  protocol.SchedulingAlgorithm
	LoadBound  float64
	SubsetSize uint32
	// Front, Zone and Region are those of the front node that chooses.
	Front          string
	Zone           string
	Region         string
	ZoneLocalFirst bool
	// FrontsAtServer is how many front nodes use each of the group's servers; 0 means unknown.
	FrontsAtServer float64
	// AffinityKey identifies the requests that share a prefix: those of a program or of a session.
	AffinityKey string
	// LastServer is the back end that ran the session's last turn, if any.
	LastServer string
	// Avoid lists the back ends that already failed this request.
	Avoid []string
	// Sequence counts the front node's requests, for round robin.
	Sequence uint64

	// The fields up to Profile are used by EXPECTED_FIRST_TOKEN only. A request without a prompt, such as a tool call, is
	// sent to the server with the shortest expected wait.

	// PromptTokens is the length of the prompt, SharedTokens that of its prefix that other prompts share, and
	// OutputTokens the expected number of generated tokens.
	PromptTokens uint64
	SharedTokens uint64
	OutputTokens uint64
	// Profile is the speed of the group's servers.
	Profile Profile
	// Step is set for a generation of a training step, whatever the algorithm.
	Step *StepWork
}

// Score explains why one candidate was chosen or passed over. The scale of Score depends on the policy; the lowest is
// chosen.
type Score struct {
	ID    string
	Score float64
	// Reason is why the candidate was passed over; empty for the chosen one.
	Reason string
}

// Decision is the outcome of a choice. Chosen is empty when no candidate may serve the request.
type Decision struct {
	Chosen string
	Scores []Score
	// Spilled is true if the request left its zone because the zone was full.
	Spilled bool
}

// Reasons for passing over a candidate. They are part of the explanations shown to operators.
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
	// ReasonNoStepSlot and ReasonOtherVersion are for turns of training steps.
	ReasonNoStepSlot   = "no place for a training step"
	ReasonOtherVersion = "has not the training step's version of the weights"
)

// Choose chooses the server for one request. Only power of two choices uses random.
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
