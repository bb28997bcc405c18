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

// claim makes this front the owner of a session and gives the epoch, or zero.
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

// runTurn claims the session, reserves, passes tokens on, keeps the turn and settles. Some turns fork
// from any kept turn of their program, and claim and reserve in one step.
func (f *front) runTurn(turn forwardedTurn, done func()) {
	if turn.forks() {
		f.reserveFork(turn, f.suite.lastKeptOf(turn.program), done)
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

// forks picks every third request by its name, so that a request forks at whichever front it runs.
func (t forwardedTurn) forks() bool { return xxhash.Sum64String(t.request)%3 == 0 }

func (f *front) reserveFork(turn forwardedTurn, previous string, done func()) {
	reserve := operationOf(turn.program)
	reserve.Body = &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: turn.request, Session: turn.session, Ceiling: turnCeiling, PreviousTurn: previous, Fork: true,
		Claim: f.claimOf(turn.session),
	}}
	f.apply(reserve, func(result *protocol.LedgerResult) { f.reserved(turn, result, result.GetEpoch(), previous, done) })
}

// lastKeptOf gives the turn of a program that was acknowledged last, or an empty text.
func (s *suite) lastKeptOf(program string) string {
	for _, kept := range slices.Backward(s.keptTurns) {
		if kept.program == program {
			return kept.id
		}
	}
	return ""
}

func (f *front) reserve(turn forwardedTurn, epoch uint64, lastTurn string, done func()) {
	reserve := operationOf(turn.program)
	reserve.Body = &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: turn.request, Session: turn.session, Epoch: epoch, Ceiling: turnCeiling, PreviousTurn: lastTurn,
	}}
	f.apply(reserve, func(result *protocol.LedgerResult) { f.reserved(turn, result, epoch, lastTurn, done) })
}

// reserved runs a turn under the reservation that was made, or refuses it.
func (f *front) reserved(turn forwardedTurn, result *protocol.LedgerResult, epoch uint64, previous string, done func()) {
	switch {
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_OK, f.suite.options.Mutation == FrontSkipsReservation:
		f.suite.noteRun(turn.request)
		f.passTokens(turn, epoch, previous, 0, done)
	case result == nil:
		done()
	default:
		f.refuse(turn, done)
	}
}

// refuse tells a caller that its request was not run, once the ledger says that it never will be.
func (f *front) refuse(turn forwardedTurn, done func()) {
	if f.suite.options.Mutation == FrontSkipsTombstone {
		f.suite.noteRefused(turn.request)
		done()
		return
	}
	refuse := operationOf(turn.program)
	refuse.Body = &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
		RequestId: turn.request, Session: turn.session,
	}}
	f.apply(refuse, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			f.suite.noteRefused(turn.request)
		}
		done()
	})
}

// passTokens hands the tokens of a turn to the caller, some at a time. Some turns break off.
func (f *front) passTokens(turn forwardedTurn, epoch uint64, lastTurn string, passed uint64, done func()) {
	breaksOff := f.environment.Random().IntN(40) == 0
	if passed == turnCeiling || breaksOff {
		f.endTurn(turn, epoch, lastTurn, passed, breaksOff, done)
		return
	}
	f.suite.deliver(turn.program, tokenStep)
	f.environment.After(tokenPause, func() { f.passTokens(turn, epoch, lastTurn, passed+tokenStep, done) })
}

func (f *front) endTurn(turn forwardedTurn, epoch uint64, lastTurn string, passed uint64, brokenOff bool, done func()) {
	if brokenOff {
		if passed == 0 {
			// A release without tokens would say that the request was not run.
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
	kept := &protocol.Turn{
		Id: "turn-" + turn.request, Program: turn.program, Session: turn.session, PreviousTurn: lastTurn,
		RequestId: turn.request, OutputTokens: passed, Epoch: epoch, KeptAtMillis: f.environment.Now().UnixMilli(),
	}
	settle := operationOf(turn.program)
	settle.Body = &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
		RequestId: turn.request, Session: turn.session, Epoch: epoch, Tokens: passed, Turn: kept,
	}}
	f.apply(settle, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			f.suite.keptTurns = append(f.suite.keptTurns, turnName{program: turn.program, id: kept.GetId()})
		}
		done()
	})
}

// forwardTurn lets another front run a request, and refuses it when nothing is heard of it.
func (f *front) forwardTurn(turn forwardedTurn, done func()) {
	f.endpoint.call(f.otherFront(), turn, ledgerPatience, func(body any) {
		if body != nil {
			done()
			return
		}
		f.refuse(turn, done)
	})
}

// turnName names a turn that was acknowledged as kept.
type turnName struct{ program, id string }

func (f *front) readKeptTurn(next func()) {
	if len(f.suite.keptTurns) == 0 {
		next()
		return
	}
	wanted := f.suite.keptTurns[f.environment.Random().IntN(len(f.suite.keptTurns))]
	f.readTurn(wanted, func(protocol.LedgerStatus) { next() })
}

func (f *front) readTurn(wanted turnName, done func(protocol.LedgerStatus)) {
	read := operationOf(wanted.program)
	read.Body = &protocol.LedgerOperation_ReadTurns{ReadTurns: &protocol.ReadTurns{LastTurn: wanted.id, Limit: 1}}
	f.apply(read, func(result *protocol.LedgerResult) {
		status := result.GetStatus()
		if status == protocol.LedgerStatus_LEDGER_OK || status == protocol.LedgerStatus_LEDGER_TURN_MISSING {
			f.suite.checkTurn(wanted, status == protocol.LedgerStatus_LEDGER_OK && result.GetTurns()[0].GetId() == wanted.id)
		}
		done(status)
	})
}

func (s *suite) checkTurn(turn turnName, kept bool) {
	s.rules.turnsKept.Check(kept, "turn %s of %s is missing", turn.id, turn.program)
	if !kept && s.storeRepair.secondLosses > 0 {
		s.rules.storeLoss.Violatef("turn %s of %s is missing", turn.id, turn.program)
	}
}
