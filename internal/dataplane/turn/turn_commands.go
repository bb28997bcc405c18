package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Command is something the front plane must do next.
type Command interface{ command() }

// Interruptible reports whether a stop goes before the command, which would
// begin something. The other commands end or report something and are carried out.
func Interruptible(command Command) bool {
	switch command.(type) {
	case ResolveStep, Claim, ReadHistory, Admit, Reserve, Choose, Issue, RequestRetry, BeginCall, IssueCall:
		return true
	default:
		return false
	}
}

// ResolveStep asks for the version of the weights that is pinned for a training step; answered by StepResolved or StepNotResolved.
type ResolveStep struct{ Step string }

// Claim asks for the session's epoch; answered by Claimed.
type Claim struct{ Operation *protocol.ClaimSession }

// ReadHistory asks for the conversation up to LastTurn; answered by HistoryRead.
type ReadHistory struct{ LastTurn string }

// Admit asks for a slot; answered by Admitted or NotAdmitted.
type Admit struct{}

// Leave gives the slot back.
type Leave struct{}

// Reserve asks the ledger for the turn's ceiling; answered by Reserved.
type Reserve struct{ Operation *protocol.ReserveTurn }

// Choose asks for a back end that is not in Avoid; answered by Chosen or NotChosen.
type Choose struct{ Avoid []string }

// Issue sends the turn to a back end; answered by Token events and one of BackEndDone and BackEndFailed.
type Issue struct {
	BackEnd   string
	Attempt   uint32
	Epoch     uint64
	Items     []*protocol.Item
	MaxTokens uint64
}

// StopBackEnd gives up the attempt under way.
type StopBackEnd struct{}

// AskRetry asks the retry budget; answered by RetryDecided.
type RequestRetry struct{}

// Emit passes an event on to the readers.
type Emit struct{ Event *protocol.TurnEvent }

// Settle keeps and charges the turn; answered by Settled.
type Commit struct{ Operation *protocol.SettleTurn }

// Release ends the reservation; answered by Released.
type Release struct{ Operation *protocol.ReleaseTurn }

// Refuse marks the request as never to be run; answered by Refused.
type Reject struct {
	Operation *protocol.RefuseRequest
	// AtOnce is set for what is refused because there is too much to do: its
	// answer does not wait long for the ledger's word.
	Overload bool
}

// ReadKept asks for a kept turn; answered by KeptRead.
type ReadRetainedTurn struct{ TurnID string }

// Pause asks for Waited after a while.
type Backoff struct{ For time.Duration }

// Remember tells the owner's cache that the turn is the session's last one.
type Remember struct{ Turn *protocol.Turn }

// ForgetSession tells the owner's cache that what it holds of the session is no longer true.
type ForgetSession struct {
	// Fenced is true when the ledger refused the epoch: another owner has the session.
	Fenced bool
}

// Finish ends the machine.
type Finish struct{}

func (ResolveStep) command()      {}
func (Claim) command()            {}
func (ReadHistory) command()      {}
func (Admit) command()            {}
func (Leave) command()            {}
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
func (Remember) command()         {}
func (ForgetSession) command()    {}
func (Finish) command()           {}
