package core_test

import (
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
)

// proposalGate holds the proposals of a member back, so that a spec decides how
// many of those that are made at one time are in the log. It heeds no context:
// the bound of a proposal is wall-clock time, which must not decide a spec.
type proposalGate struct {
	blockedCount atomic.Int64
	permits      chan struct{}
	disabled     chan struct{}
}

// blockProposals stops all proposals that a member makes from now on. The gate
// opens for good when the spec ends.
func (m *member) blockProposals() *proposalGate {
	gate := &proposalGate{permits: make(chan struct{}), disabled: make(chan struct{})}
	m.fleet.set(func() { m.gate = gate })
	DeferCleanup(func() { close(gate.disabled) })
	return gate
}

// pass returns once the proposal is let through.
func (g *proposalGate) pass() {
	if g == nil {
		return
	}
	g.blockedCount.Add(1)
	defer g.blockedCount.Add(-1)
	select {
	case <-g.permits:
	case <-g.disabled:
	}
}

// release lets that many of the stopped proposals pass.
func (g *proposalGate) release(count int) {
	for range count {
		g.permits <- struct{}{}
	}
}

// blocked counts the stopped proposals.
func (g *proposalGate) blocked() int { return int(g.blockedCount.Load()) }
