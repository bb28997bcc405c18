package front

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	basisPoints                 = 10_000
	defaultMaxOutputTokens      = 4096
	defaultTurnRetentionSeconds = 86_400
	defaultProgramBudget        = 1_000_000
)

// policies is the configuration in force, indexed; it is immutable.
type policies struct {
	version   uint64
	active    *bundle.Index
	candidate *bundle.Index
	rollout   *protocol.Rollout
}

func newPolicies(configuration *protocol.Configuration) *policies {
	p := &policies{
		version: configuration.GetVersion(),
		active:  bundle.NewIndex(configuration.GetActive()),
		rollout: configuration.GetRollout(),
	}
	if configuration.GetCandidate() != nil && configuration.GetRollout() != nil {
		p.candidate = bundle.NewIndex(configuration.GetCandidate())
	}
	return p
}

// variant is the bundle that decides for one program.
type variant struct {
	*bundle.Index
	candidate bool
	// shadow decides beside the arm without running anything; nil without one.
	shadow *bundle.Index
}

// variantFor picks the bundle of a program: the same one as long as the roll-out lasts.
func (p *policies) variantFor(program string) variant {
	if p.candidate == nil {
		return variant{Index: p.active}
	}
	if p.rollout.GetShadow() {
		return variant{Index: p.active, shadow: p.candidate}
	}
	salt := strconv.FormatUint(p.candidate.Bundle().GetVersion(), 10)
	if xxhash.Sum64String(program+"\x00"+salt)%basisPoints < uint64(p.rollout.GetShareBasisPoints()) {
		return variant{Index: p.candidate, candidate: true}
	}
	return variant{Index: p.active}
}

func (a variant) version() uint64 { return a.Bundle().GetVersion() }

// reservationLimit is the most output tokens of a turn that asked for some number, zero for as many as allowed.
func (a variant) reservationLimit(requested uint32) uint64 {
	maxTokens := a.Bundle().GetLimits().GetMaxOutputTokens()
	if maxTokens == 0 {
		maxTokens = defaultMaxOutputTokens
	}
	if requested == 0 || requested > maxTokens {
		return uint64(maxTokens)
	}
	return uint64(requested)
}

func (a variant) retentionSeconds() uint64 {
	if seconds := a.Bundle().GetLimits().GetTurnKeepSeconds(); seconds > 0 {
		return seconds
	}
	return defaultTurnRetentionSeconds
}

// budget is the token budget with which a program is opened.
func (a variant) budget(requested uint64, tenant string) uint64 {
	if requested > 0 {
		return requested
	}
	if budget := a.Tenant(tenant).GetDefaultProgramBudget(); budget > 0 {
		return budget
	}
	return defaultProgramBudget
}
