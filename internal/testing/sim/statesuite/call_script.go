package statesuite

import (
	"github.com/rosestand/rosestand/internal/protocol"
)

// raceCall runs a non-idempotent call here and on another front node at the same time; sometimes it rejects it here.
func (f *front) raceCall(call forwardedCall, done func()) {
	f.endpoint.call(f.otherFront(), call, ledgerTimeout, func(any) {})
	if f.environment.Random().IntN(3) == 0 {
		f.rejectCall(call, done)
		return
	}
	f.runCall(call, done)
}

// runCall records the intent, issues the call when this attempt won, and records the outcome.
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
		f.suite.recordIssue(call.request)
		finish := operationOf(call.program)
		finish.Body = &protocol.LedgerOperation_FinishCall{FinishCall: &protocol.FinishCall{
			RequestId: call.request, Attempt: attempt, Status: 200,
		}}
		f.environment.After(interTokenGap, func() {
			f.apply(finish, func(*protocol.LedgerResult) { done() })
		})
	})
}

func (f *front) rejectCall(call forwardedCall, done func()) {
	rejection := operationOf(call.program)
	rejection.Body = &protocol.LedgerOperation_RefuseCall{RefuseCall: &protocol.RefuseCall{RequestId: call.request}}
	f.apply(rejection, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			f.suite.recordCallRejection(call.request)
		}
		done()
	})
}
