package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Command is an effect that the shell executes for the directory.
type Command interface{ command() }

// Send calls a peer once; the shell reports the outcome with a CallEnded event of the same number. A call without a
// response within Timeout fails with CallTimedOut.
type Send struct {
	Timeout time.Duration
	Call    uint64
	Name    string
	Address string
	Request *protocol.Request
}

// Resolved is the result of a ResolveRequested event. Code is empty when an owner was found; otherwise nothing was run,
// and the caller may retry after RetryAfter.
type Resolved struct {
	Ticket     uint64
	Owner      Owner
	Code       failure.Code
	RetryAfter time.Duration
}

// Yielded reports that this node gave up a session, whose cached state the shell must drop.
type Yielded struct {
	Session string
	Reason  YieldReason
}

// Reregistered reports how long each session that was accepted with one response had been on the salvage list.
type Reregistered struct{ Waits []time.Duration }

// TransferCompleted reports that all ranges gained with one view are complete, and how long that took.
type TransferCompleted struct{ Took time.Duration }

func (Send) command()              {}
func (Resolved) command()          {}
func (Yielded) command()           {}
func (Reregistered) command()      {}
func (TransferCompleted) command() {}

// Owner is the front node that owns a session.
type Owner struct {
	Name        string
	Address     string
	Incarnation uint64
	// Local is true when the owner is this node itself.
	Local bool
	// PartitionHolder is the name of the node that holds the session's partition; empty on an empty ring.
	PartitionHolder string
	ViewVersion     uint64
	CacheHit        bool
}

// YieldReason is why a session was given up. Its values are label values of a metric.
type YieldReason string

// Reasons for giving a session up.
const (
	// YieldDuplicate: another front node was registered first.
	YieldDuplicate YieldReason = "duplicate"
	// YieldDisplaced: another front node's registration replaced this node's: by its claim, under a higher view version,
	// or because this node was suspected.
	YieldDisplaced YieldReason = "displaced"
	// YieldDrain: this node is draining.
	YieldDrain YieldReason = "drain"
	// YieldEnded: its partition holder was lost under the end-sessions policy.
	YieldEnded YieldReason = "ended"
	// YieldFenced: the ledger rejected this node's epoch.
	YieldFenced YieldReason = "fenced"
)

// YieldReasons lists all values.
var YieldReasons = []YieldReason{YieldDuplicate, YieldDisplaced, YieldDrain, YieldEnded, YieldFenced}
