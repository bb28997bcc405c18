package turn

import "github.com/rosestand/rosestand/internal/protocol"

// BeginCall writes the intent of a non-repeatable call; answered by CallBegun.
type BeginCall struct{ Operation *protocol.BeginCall }

// FinishCall writes the outcome of a non-repeatable call; answered by CallFinished.
type FinishCall struct{ Operation *protocol.FinishCall }

// RejectCall marks a non-repeatable call as one that must never run; answered by CallRejected.
type RejectCall struct{ Operation *protocol.RefuseCall }

// IssueCall sends the call to a back end; answered by CallDone or BackEndFailed.
type IssueCall struct {
	BackEnd string
	Epoch   uint64
}

// Answer answers the caller.
type Answer struct{ Response *protocol.ToolCallResponse }

// CallBegun carries the ledger's answer to BeginCall.
type CallBegun struct{ Result *protocol.LedgerResult }

// CallFinished carries the ledger's answer to FinishCall.
type CallFinished struct{ Result *protocol.LedgerResult }

// CallRejected carries the ledger's answer to RejectCall.
type CallRejected struct{ Result *protocol.LedgerResult }

// CallDone is the tool server's answer.
type CallDone struct {
	Status      uint32
	Body        []byte
	ContentType string
	// Headers are those of the answer to a call of an HTTP route.
	Headers []*protocol.HttpHeader
}

func (BeginCall) command()  {}
func (FinishCall) command() {}
func (RejectCall) command() {}
func (IssueCall) command()  {}
func (Answer) command()     {}
func (CallBegun) event()    {}
func (CallFinished) event() {}
func (CallRejected) event() {}
func (CallDone) event()     {}
