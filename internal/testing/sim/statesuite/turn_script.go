package statesuite

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

func operationOf(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: program}
}

func (f *front) claimOf(session string) *protocol.ClaimSession {
	return &protocol.ClaimSession{
		Session: session, Owner: f.name("owner"), OwnerIncarnation: 1, Tenant: "tenant", Budget: programBudget,
	}
}

// claim makes this front node the owner of a session and passes its epoch, or zero, to done.
func (f *front) claim(program, session string, done func(epoch uint64, lastTurn string)) {
	claim := operationOf(program)
	claim.Body = &protocol.LedgerOperation_ClaimSession{ClaimSession: f.claimOf(session)}
	f.apply(claim, func(result *protocol.LedgerResult) {
		if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			done(0, "")
			return
		}
		done(result.GetEpoch(), result.GetLastTurn())
	})
}

// runTurn claims the session, reserves, delivers tokens, retains and commits the turn. Some turns fork from the last
// retained turn of their program, and claim and reserve in one step.
func (f *front) runTurn(turn forwardedTurn, done func()) {
	if turn.forks() {
		f.reserveFork(turn, f.suite.lastRetainedTurn(turn.program), done)
		return
	}
	f.claim(turn.program, turn.session, func(epoch uint64, lastTurn string) {
		if epoch == 0 {
			done()
			return
		}
		f.reserve(turn, epoch, lastTurn, done)
	})
}

// forks selects every third request by its id, so that a request forks on every front node that runs it.
func (t forwardedTurn) forks() bool { return xxhash.Sum64String(t.request)%3 == 0 }

func (f *front) reserveFork(turn forwardedTurn, previous string, done func()) {
	reserve := operationOf(turn.program)
	reserve.Body = &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: turn.request, Session: turn.session, Ceiling: turnReservationLimit, PreviousTurn: previous, Fork: true,
		Claim: f.claimOf(turn.session),
	}}
	f.apply(reserve, func(result *protocol.LedgerResult) { f.reserved(turn, result, result.GetEpoch(), previous, done) })
}

// lastRetainedTurn returns the turn of a program that was acknowledged last, or "".
func (s *suite) lastRetainedTurn(program string) string {
	for _, turn := range slices.Backward(s.retainedTurns) {
		if turn.program == program {
			return turn.id
		}
	}
	return ""
}

func (f *front) reserve(turn forwardedTurn, epoch uint64, lastTurn string, done func()) {
	reserve := operationOf(turn.program)
	reserve.Body = &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: turn.request, Session: turn.session, Epoch: epoch, Ceiling: turnReservationLimit, PreviousTurn: lastTurn,
	}}
	f.apply(reserve, func(result *protocol.LedgerResult) { f.reserved(turn, result, epoch, lastTurn, done) })
}

// reserved runs a turn after its reservation, or rejects it.
func (f *front) reserved(turn forwardedTurn, result *protocol.LedgerResult, epoch uint64, previous string,
	done func(),
) {
	switch {
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_OK, f.suite.options.Mutation == FrontSkipsReservation:
		f.suite.recordExecution(turn.request)
		f.passTokens(turn, epoch, previous, 0, done)
	case result == nil:
		done()
	default:
		f.reject(turn, done)
	}
}

// reject rejects a request once the ledger has recorded that it must never run.
func (f *front) reject(turn forwardedTurn, done func()) {
	if f.suite.options.Mutation == FrontSkipsTombstone {
		f.suite.recordRejection(turn.request)
		done()
		return
	}
	rejection := operationOf(turn.program)
	rejection.Body = &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
		RequestId: turn.request, Session: turn.session,
	}}
	f.apply(rejection, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			f.suite.recordRejection(turn.request)
		}
		done()
	})
}

// passTokens delivers the tokens of a turn to the caller, tokenStep at a time. Some turns break off.
func (f *front) passTokens(turn forwardedTurn, epoch uint64, lastTurn string, passed uint64, done func()) {
	breaksOff := f.environment.Random().IntN(40) == 0
	if passed == turnReservationLimit || breaksOff {
		f.endTurn(turn, epoch, lastTurn, passed, breaksOff, done)
		return
	}
	f.suite.countDelivered(turn.program, tokenStep)
	f.environment.After(interTokenGap, func() { f.passTokens(turn, epoch, lastTurn, passed+tokenStep, done) })
}

func (f *front) endTurn(turn forwardedTurn, epoch uint64, lastTurn string, passed uint64, brokenOff bool, done func()) {
	if brokenOff {
		if passed == 0 {
			// A release without tokens would mean that the request was not run.
			done()
			return
		}
		release := operationOf(turn.program)
		release.Body = &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: &protocol.ReleaseTurn{
			RequestId: turn.request, Session: turn.session, Epoch: epoch, Tokens: passed,
		}}
		f.apply(release, func(*protocol.LedgerResult) { done() })
		return
	}
	retained := &protocol.Turn{
		Id: "turn-" + turn.request, Program: turn.program, Session: turn.session, PreviousTurn: lastTurn,
		RequestId: turn.request, OutputTokens: passed, Epoch: epoch, KeptAtMillis: f.environment.Now().UnixMilli(),
	}
	commit := operationOf(turn.program)
	commit.Body = &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
		RequestId: turn.request, Session: turn.session, Epoch: epoch, Tokens: passed, Turn: retained,
	}}
	f.apply(commit, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			f.suite.retainedTurns = append(f.suite.retainedTurns, turnName{program: turn.program, id: retained.GetId()})
		}
		done()
	})
}

// forwardTurn forwards a request to another front node, and rejects it when there is no answer.
func (f *front) forwardTurn(turn forwardedTurn, done func()) {
	f.endpoint.call(f.otherFront(), turn, ledgerTimeout, func(body any) {
		if body != nil {
			done()
			return
		}
		f.reject(turn, done)
	})
}

// turnName names a turn that was acknowledged as retained.
type turnName struct{ program, id string }

func (f *front) readRetainedTurn(next func()) {
	if len(f.suite.retainedTurns) == 0 {
		next()
		return
	}
	wanted := f.suite.retainedTurns[f.environment.Random().IntN(len(f.suite.retainedTurns))]
	f.readTurn(wanted, func(protocol.LedgerStatus) { next() })
}

func (f *front) readTurn(wanted turnName, done func(protocol.LedgerStatus)) {
	read := operationOf(wanted.program)
	read.Body = &protocol.LedgerOperation_ReadTurns{ReadTurns: &protocol.ReadTurns{LastTurn: wanted.id, Limit: 1}}
	f.apply(read, func(result *protocol.LedgerResult) {
		status := result.GetStatus()
		if status == protocol.LedgerStatus_LEDGER_OK || status == protocol.LedgerStatus_LEDGER_TURN_MISSING {
			f.suite.checkRetained(wanted, status == protocol.LedgerStatus_LEDGER_OK && result.GetTurns()[0].GetId() == wanted.id)
		}
		done(status)
	})
}

func (s *suite) checkRetained(turn turnName, found bool) {
	s.rules.turnsDurable.Check(found, "turn %s of %s is missing", turn.id, turn.program)
	if !found && s.storeRepair.secondLosses > 0 {
		s.rules.turnsSurviveSecondLoss.Violatef("turn %s of %s is missing", turn.id, turn.program)
	}
}
