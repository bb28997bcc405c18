package turn

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Event is something that happened to a turn or a tool call.
type Event interface{ event() }

// Begun starts the machine.
type Begun struct{}

// StepResolved carries the version of the weights that is pinned for the turn's training step.
type StepResolved struct{ WeightVersion uint64 }

// StepNotResolved says why the turn's training step has no version here.
type StepNotResolved struct{ Failure *protocol.Failure }

// Claimed carries the ledger's answer to Claim.
type Claimed struct{ Result *protocol.LedgerResult }

// HistoryRead carries the conversation before this turn, oldest item first.
type HistoryRead struct {
	Items  []*protocol.Item
	Tokens uint64
	// Program is the one of the turn continued, where it is another program than this turn's.
	Program string
	// Status is LEDGER_OK, or why there is no history.
	Status protocol.LedgerStatus
}

// Admitted says that the turn has a slot.
type Admitted struct{}

// NotAdmitted says that the turn was refused a slot.
type NotAdmitted struct{ Failure *protocol.Failure }

// Reserved carries the ledger's answer to Reserve.
type Reserved struct{ Result *protocol.LedgerResult }

// Chosen names the back end for the next attempt.
type Chosen struct{ BackEnd string }

// NotChosen says that no back end could take the turn.
type NotChosen struct{ Failure *protocol.Failure }

// Token is one piece of output from the back end.
type Token struct {
	Text   string
	Tokens uint32
	// NamesVersion is true when the event names WeightVersion, in turns of training steps only.
	NamesVersion bool
	// Event and Data are set for a turn of an HTTP route: one whole event of the
	// server's stream, byte for byte, and its data, which is nil when the event has none.
	Event []byte
	Data  []byte
	// WeightVersion is the version of the weights that the event names.
	WeightVersion uint64
}

// Head says that a server began to answer a turn of an HTTP route with a stream.
type Head struct {
	Answer *protocol.HttpAnswer
	// WeightVersions are the versions that the head names, in turns of training steps only.
	WeightVersions []uint64
}

// AnsweredWhole says that a server answered a turn of an HTTP route with something else than a stream.
type AnswerCompleted struct {
	Answer *protocol.HttpAnswer
	// WeightVersions are as in Head.
	WeightVersions []uint64
}

// BackEndDone says that the back end finished its answer.
type BackEndDone struct {
	InputTokens  uint64
	OutputTokens uint64
	CachedTokens uint64
	Nonce        string
}

// BackEndFault says how an attempt at a back end went wrong.
type BackEndFault int

// Faults of an attempt. Only the first two and FaultWrongVersion surely did not run.
const (
	// FaultNotSent is a failed connect: the back end never saw the request.
	FaultNotSent BackEndFault = iota + 1
	// FaultRefused is a 429 or 503: the back end did not run the request.
	FaultUnavailable
	// FaultBroken is a broken or garbled answer: it may have run.
	FaultBroken
	// FaultMismatch is an answer that belongs to another request.
	FaultMismatch
	// FaultFenced says that the back end has seen a newer epoch of the session.
	FaultFenced
	// FaultRejected is an answer of the 4xx kind: the back end did not accept the request.
	FaultRejected
	// FaultWrongVersion says that the back end has other weights than the turn's training step needs: it did not run the request.
	FaultWrongVersion
)

// SurelyDidNotRun reports whether an attempt that failed so was not run.
func (f BackEndFault) SurelyDidNotRun() bool {
	return f == FaultNotSent || f == FaultUnavailable || f == FaultWrongVersion
}

// String names the fault for explanations.
func (f BackEndFault) String() string {
	names := [...]string{"none", "not sent", "refused", "broken", "mismatched answer", "fenced", "rejected", "other weights"}
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

// RetryDecided answers AskRetry with the word of the retry budget.
type RetryDecided struct{ Granted bool }

// Settled carries the ledger's answer to Settle.
type Committed struct{ Result *protocol.LedgerResult }

// Released carries the ledger's answer to Release.
type Released struct{ Result *protocol.LedgerResult }

// Refused carries the ledger's answer to Refuse.
type Rejected struct{ Result *protocol.LedgerResult }

// KeptRead carries a kept turn, or nil with the reason.
type RetainedTurnRead struct {
	Turn   *protocol.Turn
	Status protocol.LedgerStatus
}

// Waited says that the pause asked for by Pause is over.
type Waited struct{}

// StopReason says why a turn is ended from outside.
type StopReason int

// Reasons to stop a turn.
const (
	// StopCallerGone means that nobody reads the answer any more.
	StopCallerDisconnected StopReason = iota + 1
	// StopDeadline means that the caller's time is up.
	StopDeadline
	// StopAuthority means that the front node may no longer act as owner.
	StopAuthority
)

// Stopped ends the turn from outside.
type Stopped struct {
	Reason StopReason
	// WithoutEffect says that the command that is not answered yet surely did nothing: it was not carried out,
	// nothing was sent for it, or the back end refused it.
	WithoutEffect bool
}

// StopBefore is the stop that goes before a command, which is not carried out then.
func StopBefore(reason StopReason) Stopped { return Stopped{Reason: reason, WithoutEffect: true} }

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
func (AnswerCompleted) event()  {}
func (BackEndDone) event()      {}
func (BackEndFailed) event()    {}
func (RetryDecided) event()     {}
func (Committed) event()        {}
func (Released) event()         {}
func (Rejected) event()         {}
func (RetainedTurnRead) event() {}
func (Waited) event()           {}
func (Stopped) event()          {}
