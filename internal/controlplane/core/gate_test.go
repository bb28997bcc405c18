package core_test

import (
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
)

// proposalGate blocks the proposals of a member, so that a spec decides how many
// of several concurrent proposals reach the log. It ignores contexts: the timeout
// of a proposal is wall-clock time, which must not affect the result of a spec.
type proposalGate struct {
	blockedCount atomic.Int64
	permits      chan struct{}
	disabled     chan struct{}
}

// blockProposals blocks all proposals that a member makes from now on. The gate
// is disabled when the spec ends.
func (m *member) blockProposals() *proposalGate {
	gate := &proposalGate{permits: make(chan struct{}), disabled: make(chan struct{})}
	m.fleet.set(func() { m.gate = gate })
	DeferCleanup(func() { close(gate.disabled) })
	return gate
}

// pass blocks until the proposal is released or the gate is disabled.
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

// release unblocks that many proposals.
func (g *proposalGate) release(count int) {
	for range count {
		g.permits <- struct{}{}
	}
}

// blocked returns the number of blocked proposals.
func (g *proposalGate) blocked() int { return int(g.blockedCount.Load()) }
