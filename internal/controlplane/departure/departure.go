// Package departure lets a core member or a store that stops serve until the fleet can do without it.
//
// Front nodes renew their leases at the core and settle turns in the stores until they end. Where all processes of a
// fleet, or all of a role, are stopped at about the same time, those that ended at once would take the core and the
// stores from front nodes that still have requests in progress.
//
// Invariant: a process leaves only when no node that needs it has a lease; or when the others of its role serve, are
// enough without it, and none of them that stops too comes before it; or, where they can't be enough, when no node that
// needs it drains; or when its own time is over. Stores need the core to learn that front nodes have ended, so a core
// member ends after the stores that drain.
package departure

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// settleTime is how long a stop waits at least while a node needs the process. Processes that are stopped at the same
	// moment have reported that they drain by then.
	settleTime = time.Second
	// pollInterval is the interval between two observations.
	pollInterval = 100 * time.Millisecond
	// finalStopTime is what a wait leaves of the grace period for the rest of the stop.
	finalStopTime = 250 * time.Millisecond
)

// Others is what a process that stops knows of the others of its role.
type Others int

const (
	// OthersIncomplete means that one of them does not serve, or leaves before this process.
	OthersIncomplete Others = iota
	// OthersSuffice means that all serve, they are enough without this process, and it is the next one to leave.
	OthersSuffice
	// OthersTooFew means that they are not enough without this process even if all of them serve.
	OthersTooFew
)

// Fleet is what a process that stops knows of the fleet.
type Fleet interface {
	// Dependents returns the nodes with a lease that need the process.
	Dependents() []*protocol.Node
	// Others reports on the other processes of the role.
	Others(ctx context.Context) Others
}

// Await returns when the process may leave, when the context has ended, or finalStopTime before its deadline.
func Await(ctx context.Context, fleet Fleet, logger *log.Logger) {
	if deadline, bounded := ctx.Deadline(); bounded {
		early, cancel := context.WithDeadline(ctx, deadline.Add(-finalStopTime))
		defer cancel()
		ctx = early
	}
	dependents := fleet.Dependents()
	if len(dependents) == 0 {
		return
	}
	logger.Info("shutdown waits for dependents", "dependents", len(dependents))
	settled := time.Now().Add(settleTime)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if mayLeave(ctx, fleet, !time.Now().Before(settled)) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// mayLeave decides whether the fleet can do without the process now. Settled is true once processes that are stopped at
// the same moment are known.
func mayLeave(ctx context.Context, fleet Fleet, settled bool) bool {
	dependents := fleet.Dependents()
	if len(dependents) == 0 {
		return true
	}
	if !settled {
		return false
	}
	switch fleet.Others(ctx) {
	case OthersSuffice:
		return true
	case OthersTooFew:
		return !slices.ContainsFunc(dependents, (*protocol.Node).GetDraining)
	default:
		return false
	}
}

// DrainingOrFront reports whether a node is a front node, or drains.
func DrainingOrFront(node *protocol.Node) bool {
	return IsFront(node) || node.GetDraining()
}

// IsFront reports whether a node is a front node.
func IsFront(node *protocol.Node) bool { return node.GetKind() == protocol.NodeKind_FRONT }

// Select returns the nodes that a condition holds for.
func Select(nodes []*protocol.Node, condition func(*protocol.Node) bool) []*protocol.Node {
	var selected []*protocol.Node
	for _, node := range nodes {
		if condition(node) {
			selected = append(selected, node)
		}
	}
	return selected
}
