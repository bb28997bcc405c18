package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Event is an input of the machine of a turn or a tool call.
type Event interface{ event() }

// Begun starts the machine.
type Begun struct{}

// StepResolved carries the version of the weights that the turn's training step is pinned to.
type StepResolved struct{ WeightVersion uint64 }

// StepNotResolved carries the reason why the turn's training step has no version at this node.
type StepNotResolved struct{ Failure *protocol.Failure }

// Claimed carries the ledger's answer to Claim.
type Claimed struct{ Result *protocol.LedgerResult }

// HistoryRead carries the conversation before this turn, oldest item first.
type HistoryRead struct {
	Items  []*protocol.Item
	Tokens uint64
	// Program is that of the continued turn if it differs from this turn's, else empty.
	Program string
	// Status is LEDGER_OK, or the reason why there is no history.
	Status protocol.LedgerStatus
}

// Admitted reports that the turn has a slot.
type Admitted struct{}

// NotAdmitted reports that the turn gets no slot.
type NotAdmitted struct{ Failure *protocol.Failure }

// Reserved carries the ledger's answer to Reserve.
type Reserved struct{ Result *protocol.LedgerResult }

// Chosen names the back end for the next attempt.
type Chosen struct{ BackEnd string }

// NotChosen reports that no back end can serve the turn.
type NotChosen struct{ Failure *protocol.Failure }

// Token is one event of the back end's output.
type Token struct {
	Text   string
	Tokens uint32
	// HasWeightVersion is true when the event reports a WeightVersion, in turns of training steps only.
	HasWeightVersion bool
	// Event and Data are set for a turn of an HTTP route: one complete event of the
	// server's stream, byte for byte, and its data, which is nil when the event has none.
	Event []byte
	Data  []byte
	// WeightVersion is the version of the weights that the event reports.
	WeightVersion uint64
}

// Head reports that a server began to answer a turn of an HTTP route with a stream.
type Head struct {
	Answer *protocol.HttpAnswer
	// WeightVersions are the versions that the head reports, in turns of training steps only.
	WeightVersions []uint64
}

// CompleteAnswer reports that a server answered a turn of an HTTP route without a stream.
type CompleteAnswer struct {
	Answer *protocol.HttpAnswer
	// WeightVersions are as in Head.
	WeightVersions []uint64
}

// BackEndDone reports that the back end completed its answer.
type BackEndDone struct {
	InputTokens  uint64
	OutputTokens uint64
	CachedTokens uint64
	Nonce        string
}

// BackEndFault is the way in which an attempt at a back end failed.
type BackEndFault int

// Faults of an attempt. Only FaultNotSent, FaultUnavailable and FaultWrongVersion prove that it did not run.
const (
	// FaultNotSent is a failed connect: the back end did not receive the request.
	FaultNotSent BackEndFault = iota + 1
	// FaultUnavailable is a 429 or 503: the back end did not run the request.
	FaultUnavailable
	// FaultBroken is a broken or malformed answer: the request may have run.
	FaultBroken
	// FaultMismatch is an answer that belongs to another request.
	FaultMismatch
	// FaultFenced: the back end has received a newer epoch of the session.
	FaultFenced
	// FaultRejected is another 4xx answer: the back end did not accept the request.
	FaultRejected
	// FaultWrongVersion: the back end has other weights than the turn's training step needs, and did not run the request.
	FaultWrongVersion
)

// SurelyDidNotRun reports whether an attempt with this fault provably did not run.
func (f BackEndFault) SurelyDidNotRun() bool {
	return f == FaultNotSent || f == FaultUnavailable || f == FaultWrongVersion
}

// String returns the fault's name for metrics and explanations.
func (f BackEndFault) String() string {
	names := [...]string{
		"none", "not sent", "refused", "broken", "mismatched answer", "fenced", "rejected", "other weights",
	}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// BackEndFailed ends an attempt.
type BackEndFailed struct {
	Fault      BackEndFault
	RetryAfter time.Duration
	Detail     string
}

// RetryDecided carries the retry budget's answer to RequestRetry.
type RetryDecided struct{ Granted bool }

// Committed carries the ledger's answer to Commit.
type Committed struct{ Result *protocol.LedgerResult }

// Released carries the ledger's answer to Release.
type Released struct{ Result *protocol.LedgerResult }

// Rejected carries the ledger's answer to Reject.
type Rejected struct{ Result *protocol.LedgerResult }

// RetainedTurnRead carries a retained turn, or nil and the status that explains why there is none.
type RetainedTurnRead struct {
	Turn   *protocol.Turn
	Status protocol.LedgerStatus
}

// BackoffElapsed reports that the wait of a Backoff is over.
type BackoffElapsed struct{}

// StopReason is the reason why a turn or call is stopped from outside.
type StopReason int

// Reasons to stop a turn.
const (
	// StopCallerDisconnected: the caller no longer reads the answer.
	StopCallerDisconnected StopReason = iota + 1
	// StopDeadline: the caller's deadline passed.
	StopDeadline
	// StopAuthority: the front node lost its authority and must not act as owner.
	StopAuthority
)

// Stopped ends a turn or call from outside.
type Stopped struct {
	Reason StopReason
	// WithoutEffect is true when the pending command provably had no effect: it was not executed, nothing was sent for
	// it, or the back end rejected it.
	WithoutEffect bool
}

// StoppedWithoutEffect returns the event that answers a command which is not executed because of a stop.
func StoppedWithoutEffect(reason StopReason) Stopped {
	return Stopped{Reason: reason, WithoutEffect: true}
}

func (Begun) event()            {}
func (StepResolved) event()     {}
func (StepNotResolved) event()  {}
func (Claimed) event()          {}
func (HistoryRead) event()      {}
func (Admitted) event()         {}
func (NotAdmitted) event()      {}
func (Reserved) event()         {}
func (Chosen) event()           {}
func (NotChosen) event()        {}
func (Token) event()            {}
func (Head) event()             {}
func (CompleteAnswer) event()   {}
func (BackEndDone) event()      {}
func (BackEndFailed) event()    {}
func (RetryDecided) event()     {}
func (Committed) event()        {}
func (Released) event()         {}
func (Rejected) event()         {}
func (RetainedTurnRead) event() {}
func (BackoffElapsed) event()   {}
func (Stopped) event()          {}
