package rollout

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	basisPoints = 10_000
	// DefaultMaxOutputTokens bounds a turn when the bundle does not.
	DefaultMaxOutputTokens      = 4096
	defaultTurnRetentionSeconds = 86_400
	defaultProgramBudget        = 1_000_000
)

// Policies are one configuration, indexed. They are immutable.
type Policies struct {
	// Version is that of the configuration.
	Version uint64
	// Active is the bundle in force; its Bundle is nil before there is one.
	Active    *bundle.Index
	candidate *bundle.Index
	rollout   *protocol.Rollout
}

func newPolicies(configuration *protocol.Configuration) *Policies {
	p := &Policies{
		Version: configuration.GetVersion(),
		Active:  bundle.NewIndex(configuration.GetActive()),
		rollout: configuration.GetRollout(),
	}
	if configuration.GetCandidate() != nil && configuration.GetRollout() != nil {
		p.candidate = bundle.NewIndex(configuration.GetCandidate())
	}
	return p
}

// Variant is the bundle that decides for one program.
type Variant struct {
	*bundle.Index
	// Candidate is set for the programs of a roll-out's candidate.
	Candidate bool
	// Shadow decides too, but nothing is run by it; nil without one.
	Shadow *bundle.Index
}

// VariantFor picks the bundle of a program: the same one as long as the roll-out lasts.
func (p *Policies) VariantFor(program string) Variant {
	if p.candidate == nil {
		return Variant{Index: p.Active}
	}
	if p.rollout.GetShadow() {
		return Variant{Index: p.Active, Shadow: p.candidate}
	}
	salt := strconv.FormatUint(p.candidate.Bundle().GetVersion(), 10)
	if xxhash.Sum64String(program+"\x00"+salt)%basisPoints < uint64(p.rollout.GetShareBasisPoints()) {
		return Variant{Index: p.candidate, Candidate: true}
	}
	return Variant{Index: p.Active}
}

// Version is that of the variant's bundle.
func (a Variant) Version() uint64 { return a.Bundle().GetVersion() }

// ReservationLimit is the most output tokens of a turn whose caller requested a number; zero requests as
// many as allowed.
func (a Variant) ReservationLimit(requested uint32) uint64 {
	maxTokens := a.Bundle().GetLimits().GetMaxOutputTokens()
	if maxTokens == 0 {
		maxTokens = DefaultMaxOutputTokens
	}
	if requested == 0 || requested > maxTokens {
		return uint64(maxTokens)
	}
	return uint64(requested)
}

// RetentionSeconds is how long the ledger retains turns.
func (a Variant) RetentionSeconds() uint64 {
	if seconds := a.Bundle().GetLimits().GetTurnKeepSeconds(); seconds > 0 {
		return seconds
	}
	return defaultTurnRetentionSeconds
}

// Budget is the token budget with which a program is opened; requested is the caller's, zero for none.
func (a Variant) Budget(requested uint64, tenant string) uint64 {
	if requested > 0 {
		return requested
	}
	if budget := a.Tenant(tenant).GetDefaultProgramBudget(); budget > 0 {
		return budget
	}
	return defaultProgramBudget
}
