package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Moment is the time at which an event is handled, and whether this front node has authority at that time.
type Moment struct {
	Now       time.Time
	Authority bool
}

// Event is an input of a Directory.
type Event interface{ event() }

// ViewChanged delivers a newer membership view.
type ViewChanged struct{ View View }

// PolicyChanged delivers the recovery policy of the active bundle.
type PolicyChanged struct{ Policy Policy }

// Reincarnated reports that this node lost its authority and continues under a new incarnation.
type Reincarnated struct{ Incarnation uint64 }

// ResolveRequested requests the owner of a session. Unless it is cancelled, one Resolved command follows, by Deadline
// at the latest.
type ResolveRequested struct {
	Ticket   uint64
	Session  string
	Program  string
	Deadline time.Time
}

// ResolveCancelled cancels the ResolveRequested with the same ticket.
type ResolveCancelled struct{ Ticket uint64 }

// OwnerInvalidated drops the cached owner of a session, after that node rejected a request for it or could not be
// reached.
type OwnerInvalidated struct{ Session string }

// CallEnded reports the response to a Send command, or its failure. Response is nil when the call failed; the peer may
// have served the request nevertheless.
type CallEnded struct {
	Call     uint64
	Response *protocol.Response
	// Failure is the reason when there is no response.
	Failure CallFailure
}

// PeerBroken reports that the connection to an address broke.
type PeerBroken struct{ Address string }

// PeerFailed reports the failure of a call that the directory did not make itself, such as a forwarded turn.
type PeerFailed struct {
	Address string
	Failure CallFailure
}

// GrantEnded reports that a turn or call admitted by Begin is over.
type GrantEnded struct{ Session string }

// OwnershipLost reports that the ledger rejected this node's epoch of a session, regardless of the directory's state.
type OwnershipLost struct{ Session string }

// DrainBegun makes the node yield its sessions and hand off its partition.
type DrainBegun struct{}

// Ticked reports the passage of time; see Directory.NextTick.
type Ticked struct{}

func (ViewChanged) event()      {}
func (PolicyChanged) event()    {}
func (Reincarnated) event()     {}
func (ResolveRequested) event() {}
func (ResolveCancelled) event() {}
func (OwnerInvalidated) event() {}
func (CallEnded) event()        {}
func (PeerBroken) event()       {}
func (PeerFailed) event()       {}
func (GrantEnded) event()       {}
func (OwnershipLost) event()    {}
func (DrainBegun) event()       {}
func (Ticked) event()           {}
