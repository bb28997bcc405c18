package directory

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Moment is when an event is handled and whether this front node has authority then.
type Moment struct {
	Now       time.Time
	Authority bool
}

// Event is something that the directory of a front node reacts to.
type Event interface{ event() }

// ViewChanged brings a newer membership view.
type ViewChanged struct{ View View }

// PolicyChanged brings the recovery policy of the bundle in force.
type PolicyChanged struct{ Policy Policy }

// Reincarnated says that authority was lost and this node goes on under a new incarnation.
type Reincarnated struct{ Incarnation uint64 }

// ResolveRequested asks who owns a session. It is answered with one Resolved command.
type ResolveRequested struct {
	Ticket   uint64
	Session  string
	Program  string
	Deadline time.Time
}

// ResolveCancelled says that nobody waits for the ticket any more.
type ResolveCancelled struct{ Ticket uint64 }

// Forgotten drops the cached owner of a session, after that node denied it or could not be reached.
type OwnerInvalidated struct{ Session string }

// Answered brings the answer to a Send command. Response is nil when the call
// failed; the request may have been served all the same.
type Answered struct {
	Call     uint64
	Response *protocol.Response
	// Failure is why there is no response.
	Failure CallFailure
}

// PeerBroken says that the connection to an address broke.
type PeerBroken struct{ Address string }

// PeerFailed brings the failure of a call that was not the directory's own, such as of a turn passed on.
type PeerFailed struct {
	Address string
	Failure CallFailure
}

// GrantEnded says that a turn or call begun with Begin is settled.
type GrantEnded struct{ Session string }

// OwnershipLost says that the ledger refused this node's epoch of a session although no refusal of the directory is known.
type OwnershipLost struct{ Session string }

// DrainBegun makes the node give up its sessions and hand off its partition.
type DrainBegun struct{}

// Ticked says that time has passed.
type Ticked struct{}

func (ViewChanged) event()      {}
func (PolicyChanged) event()    {}
func (Reincarnated) event()     {}
func (ResolveRequested) event() {}
func (ResolveCancelled) event() {}
func (OwnerInvalidated) event()        {}
func (Answered) event()         {}
func (PeerBroken) event()       {}
func (PeerFailed) event()       {}
func (GrantEnded) event()       {}
func (OwnershipLost) event()    {}
func (DrainBegun) event()       {}
func (Ticked) event()           {}
