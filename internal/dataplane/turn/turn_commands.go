package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Command is an effect that the shell executes.
type Command interface{ command() }

// Interruptible reports whether a stop takes the place of the command. These
// commands begin work; the others end or report work and are always executed.
func Interruptible(command Command) bool {
	switch command.(type) {
	case ResolveStep, Claim, ReadHistory, Admit, Reserve, Choose, Issue, RequestRetry, RecordIntent, IssueCall:
		return true
	default:
		return false
	}
}

// ResolveStep requests the version of the weights that a training step is pinned to; answered by StepResolved or
// StepNotResolved.
type ResolveStep struct{ Step string }

// Claim requests the session's epoch; answered by Claimed.
type Claim struct{ Operation *protocol.ClaimSession }

// ReadHistory requests the conversation up to LastTurn; answered by HistoryRead.
type ReadHistory struct{ LastTurn string }

// Admit requests a slot; answered by Admitted or NotAdmitted.
type Admit struct{}

// FreeSlot frees the slot.
type FreeSlot struct{}

// Reserve reserves the turn's limit in the ledger; answered by Reserved.
type Reserve struct{ Operation *protocol.ReserveTurn }

// Choose requests a back end that is not in Avoid; answered by Chosen or NotChosen.
type Choose struct{ Avoid []string }

// Issue sends the turn to a back end; answered by a Head (HTTP routes) and Token events and then BackEndDone, or by
// CompleteAnswer, or by BackEndFailed.
type Issue struct {
	BackEnd   string
	Attempt   uint32
	Epoch     uint64
	Items     []*protocol.Item
	MaxTokens uint64
}

// StopBackEnd cancels the attempt in flight.
type StopBackEnd struct{}

// RequestRetry requests a retry from the retry budget; answered by RetryDecided.
type RequestRetry struct{}

// Emit sends an event to the turn's readers.
type Emit struct{ Event *protocol.TurnEvent }

// Commit makes the turn durable and charges it; answered by Committed.
type Commit struct{ Operation *protocol.SettleTurn }

// Release ends the reservation; answered by Released.
type Release struct{ Operation *protocol.ReleaseTurn }

// Reject marks the request as one that must never run; answered by Rejected.
type Reject struct {
	Operation *protocol.RefuseRequest
	// Overload is true for a request that is rejected because of overload: the
	// shell waits only briefly for the ledger before it answers.
	Overload bool
}

// ReadRetainedTurn requests a retained turn; answered by RetainedTurnRead.
type ReadRetainedTurn struct{ TurnID string }

// Backoff requests a BackoffElapsed event after For.
type Backoff struct{ For time.Duration }

// CacheTurn has the owner cache the turn as the session's last one.
type CacheTurn struct{ Turn *protocol.Turn }

// ForgetSession has the owner drop its cached state of the session, which is no longer valid.
type ForgetSession struct {
	// Fenced is true when the ledger rejected the epoch: the session has another owner.
	Fenced bool
}

// Finish reports that the machine is done.
type Finish struct{}

func (ResolveStep) command()      {}
func (Claim) command()            {}
func (ReadHistory) command()      {}
func (Admit) command()            {}
func (FreeSlot) command()         {}
func (Reserve) command()          {}
func (Choose) command()           {}
func (Issue) command()            {}
func (StopBackEnd) command()      {}
func (RequestRetry) command()     {}
func (Emit) command()             {}
func (Commit) command()           {}
func (Release) command()          {}
func (Reject) command()           {}
func (ReadRetainedTurn) command() {}
func (Backoff) command()          {}
func (CacheTurn) command()        {}
func (ForgetSession) command()    {}
func (Finish) command()           {}
