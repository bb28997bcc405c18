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

// Policies is one configuration with its bundles indexed. It is immutable.
type Policies struct {
	// Version is the version of the configuration.
	Version uint64
	// Active is the index of the active bundle; its Bundle is nil while there is none.
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

// Variant is the bundle that applies to one program.
type Variant struct {
	*bundle.Index
	// Candidate is set when the bundle is the candidate of a roll-out.
	Candidate bool
	// Shadow is a candidate whose decisions are computed but not carried out; nil when there is none.
	Shadow *bundle.Index
}

// VariantFor selects the bundle for a program. A program keeps its bundle for the duration of a roll-out with an
// unchanged share.
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

// Version returns the version of the variant's bundle.
func (v Variant) Version() uint64 { return v.Bundle().GetVersion() }

// ReservationLimit returns the maximum number of output tokens to reserve for a turn whose caller requested a number of
// them; zero requests as many as the bundle allows.
func (v Variant) ReservationLimit(requested uint32) uint64 {
	maxTokens := v.Bundle().GetLimits().GetMaxOutputTokens()
	if maxTokens == 0 {
		maxTokens = DefaultMaxOutputTokens
	}
	if requested == 0 || requested > maxTokens {
		return uint64(maxTokens)
	}
	return uint64(requested)
}

// RetentionSeconds returns how long the ledger retains turns.
func (v Variant) RetentionSeconds() uint64 {
	if seconds := v.Bundle().GetLimits().GetTurnKeepSeconds(); seconds > 0 {
		return seconds
	}
	return defaultTurnRetentionSeconds
}

// Budget returns the token budget for opening a program: the one that the caller requested, or the default when
// requested is zero.
func (v Variant) Budget(requested uint64, tenant string) uint64 {
	if requested > 0 {
		return requested
	}
	if budget := v.Tenant(tenant).GetDefaultProgramBudget(); budget > 0 {
		return budget
	}
	return defaultProgramBudget
}
