package turn

import "github.com/rosestand/rosestand/internal/protocol"

// RecordIntent records the intent of a non-repeatable call; answered by IntentRecorded.
type RecordIntent struct{ Operation *protocol.BeginCall }

// RecordOutcome records the outcome of a non-repeatable call; answered by OutcomeRecorded.
type RecordOutcome struct{ Operation *protocol.FinishCall }

// RejectCall marks a non-repeatable call as one that must never run; answered by CallRejected.
type RejectCall struct{ Operation *protocol.RefuseCall }

// IssueCall sends the call to a back end; answered by CallAnswered or BackEndFailed.
type IssueCall struct {
	BackEnd string
	Epoch   uint64
}

// Answer sends the response to the caller.
type Answer struct{ Response *protocol.ToolCallResponse }

// IntentRecorded carries the ledger's answer to RecordIntent.
type IntentRecorded struct{ Result *protocol.LedgerResult }

// OutcomeRecorded carries the ledger's answer to RecordOutcome.
type OutcomeRecorded struct{ Result *protocol.LedgerResult }

// CallRejected carries the ledger's answer to RejectCall.
type CallRejected struct{ Result *protocol.LedgerResult }

// CallAnswered carries the tool server's answer.
type CallAnswered struct {
	Status      uint32
	Body        []byte
	ContentType string
	// Headers are the headers of the answer to a call of an HTTP route.
	Headers []*protocol.HttpHeader
}

func (RecordIntent) command()  {}
func (RecordOutcome) command() {}
func (RejectCall) command()    {}
func (IssueCall) command()     {}
func (Answer) command()        {}
func (IntentRecorded) event()  {}
func (OutcomeRecorded) event() {}
func (CallRejected) event()    {}
func (CallAnswered) event()    {}
