package statesuite

import (
	"github.com/rosestand/rosestand/internal/protocol"
)

// raceCall runs a call that may not be repeated here and on another front at the same time; sometimes it is refused too.
func (f *front) raceCall(call forwardedCall, done func()) {
	f.endpoint.call(f.otherFront(), call, ledgerPatience, func(any) {})
	if f.environment.Random().IntN(3) == 0 {
		f.refuseCall(call, done)
		return
	}
	f.runCall(call, done)
}

// runCall writes the intent, issues the call when this attempt won, and writes the outcome.
func (f *front) runCall(call forwardedCall, done func()) {
	f.claim(call.program, call.session, func(epoch uint64, _ string) {
		if epoch == 0 {
			done()
			return
		}
		f.beginCall(call, epoch, done)
	})
}

func (f *front) beginCall(call forwardedCall, epoch uint64, done func()) {
	attempt := f.name("attempt")
	begin := operationOf(call.program)
	begin.Body = &protocol.LedgerOperation_BeginCall{BeginCall: &protocol.BeginCall{
		RequestId: call.request, Session: call.session, Epoch: epoch, Tool: "valve", Attempt: attempt,
	}}
	f.apply(begin, func(result *protocol.LedgerResult) {
		granted := result.GetStatus() == protocol.LedgerStatus_LEDGER_OK
		if f.suite.options.Mutation == FrontSkipsIntent {
			granted = granted || result == nil || result.GetStatus() == protocol.LedgerStatus_LEDGER_CALL_UNDER_WAY
		}
		if !granted {
			done()
			return
		}
		f.suite.noteIssued(call.request)
		finish := operationOf(call.program)
		finish.Body = &protocol.LedgerOperation_FinishCall{FinishCall: &protocol.FinishCall{
			RequestId: call.request, Attempt: attempt, Status: 200,
		}}
		f.environment.After(tokenPause, func() {
			f.apply(finish, func(*protocol.LedgerResult) { done() })
		})
	})
}

func (f *front) refuseCall(call forwardedCall, done func()) {
	refuse := operationOf(call.program)
	refuse.Body = &protocol.LedgerOperation_RefuseCall{RefuseCall: &protocol.RefuseCall{RequestId: call.request}}
	f.apply(refuse, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			f.suite.noteCallRefused(call.request)
		}
		done()
	})
}
