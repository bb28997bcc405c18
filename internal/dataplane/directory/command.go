package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Command is something that the shell round the directory has to do.
type Command interface{ command() }

// Send calls a peer once; the shell answers with Answered under the same number.
// No answer within Timeout is a failure by silence.
type Send struct {
	Timeout time.Duration
	Call    uint64
	Name    string
	Address string
	Request *protocol.Request
}

// Resolved answers a ResolveRequested. Code is empty when Owner is known;
// otherwise the request was not run and may be tried again after RetryAfter.
type Resolved struct {
	Ticket     uint64
	Owner      Owner
	Code       failure.Code
	RetryAfter time.Duration
}

// Yielded says that this node gave a session up and must drop what it keeps of it.
type Yielded struct {
	Session string
	Reason  YieldReason
}

// Reregistered says how long each session of one answer had been on the salvage list.
type Reregistered struct{ Waits []time.Duration }

// Settled says that a range gained is complete, and how long that took.
type TransferCompleted struct{ Took time.Duration }

func (Send) command()         {}
func (Resolved) command()     {}
func (Yielded) command()      {}
func (Reregistered) command() {}
func (TransferCompleted) command()      {}

// Owner is the front node that owns a session.
type Owner struct {
	Name        string
	Address     string
	Incarnation uint64
	// Local is true when it is the asking node itself.
	Local bool
	// PartitionHolder names the node that holds the session's partition.
	PartitionHolder string
	ViewVersion     uint64
	CacheHit        bool
}

// YieldReason says why a session was given up.
type YieldReason string

// Reasons for giving a session up.
const (
	// YieldDuplicate: another front node was registered first.
	YieldDuplicate YieldReason = "duplicate"
	// YieldDisplaced: another front node registered under a higher view version.
	YieldDisplaced YieldReason = "displaced"
	// YieldDrain: this node drains.
	YieldDrain YieldReason = "drain"
	// YieldEnded: its partition holder was lost under the end-sessions policy.
	YieldEnded YieldReason = "ended"
	// YieldFenced: the ledger refused this node's epoch.
	YieldFenced YieldReason = "fenced"
)

// YieldReasons lists all reasons.
var YieldReasons = []YieldReason{YieldDuplicate, YieldDisplaced, YieldDrain, YieldEnded, YieldFenced}
