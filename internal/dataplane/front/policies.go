package front

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	basisPoints            = 10_000
	defaultMaxOutputTokens = 4096
	defaultTurnKeepSeconds = 86_400
	defaultProgramBudget   = 1_000_000
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

// arm is the bundle that decides for one program.
type arm struct {
	*bundle.Index
	candidate bool
	// shadow decides beside the arm without running anything; nil without one.
	shadow *bundle.Index
}

// armOf picks the bundle of a program: the same one as long as the roll-out lasts.
func (p *policies) armOf(program string) arm {
	if p.candidate == nil {
		return arm{Index: p.active}
	}
	if p.rollout.GetShadow() {
		return arm{Index: p.active, shadow: p.candidate}
	}
	salt := strconv.FormatUint(p.candidate.Bundle().GetVersion(), 10)
	if xxhash.Sum64String(program+"\x00"+salt)%basisPoints < uint64(p.rollout.GetShareBasisPoints()) {
		return arm{Index: p.candidate, candidate: true}
	}
	return arm{Index: p.active}
}

func (a arm) version() uint64 { return a.Bundle().GetVersion() }

// ceiling is the most output tokens of a turn that asked for some number, zero for as many as allowed.
func (a arm) ceiling(asked uint32) uint64 {
	most := a.Bundle().GetLimits().GetMaxOutputTokens()
	if most == 0 {
		most = defaultMaxOutputTokens
	}
	if asked == 0 || asked > most {
		return uint64(most)
	}
	return uint64(asked)
}

func (a arm) keepSeconds() uint64 {
	if seconds := a.Bundle().GetLimits().GetTurnKeepSeconds(); seconds > 0 {
		return seconds
	}
	return defaultTurnKeepSeconds
}

// budget is the token budget with which a program is opened.
func (a arm) budget(asked uint64, tenant string) uint64 {
	if asked > 0 {
		return asked
	}
	if budget := a.Tenant(tenant).GetDefaultProgramBudget(); budget > 0 {
		return budget
	}
	return defaultProgramBudget
}
