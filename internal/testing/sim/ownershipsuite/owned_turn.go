package ownershipsuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	ledgerTimeout        = 500 * time.Millisecond
	ledgerAttempts       = 3
	backEndTimeout       = 2 * time.Second
	forwardTimeout       = 5 * time.Second
	releaseRetry         = time.Second
	turnReservationLimit = 100
	// resolveChecksBegin is when all front nodes have joined.
	resolveChecksBegin = 10 * time.Second
	largeBudget        = 1 << 50
)

// turnRequest requests one turn, or one non-idempotent call.
type turnRequest struct {
	requestID string
	session   string
	program   string
	call      bool
	forwarded bool
}

// turnAnswer is the final answer to a turnRequest. An empty code is success.
type turnAnswer struct {
	code   failure.Code
	notRun bool
}

func rejection(code failure.Code) turnAnswer { return turnAnswer{code: code, notRun: true} }

// unknownAnswer is the answer to a request that may or may not have run.
var unknownAnswer = turnAnswer{code: failure.OutcomeUnknown}

// ownedTurn is one turn or call in flight at its owner.
type ownedTurn struct {
	front       *front
	request     turnRequest
	incarnation incarnation
	reply       func(turnAnswer)
	attempt     string
}

// serveTurn looks the session up and runs the turn here or forwards it to the owner.
func (f *front) serveTurn(from sim.Address, id uint64, request turnRequest) {
	answer := func(result turnAnswer) { f.reply(from, id, result) }
	if request.forwarded {
		f.runTurn(request, answer)
		return
	}
	f.lastTicket++
	ticket := f.lastTicket
	began, incarnation := f.now(), f.holder.Incarnation()
	f.tickets[ticket] = func(resolved directory.Resolved) {
		if f.suite.world.Elapsed() > resolveChecksBegin && f.hasAuthority() && f.holder.Incarnation() == incarnation {
			f.suite.rules.observeResolution(request.session, f.now().Sub(began), resolved.Code == "")
		}
		f.resolved(request, resolved, answer)
	}
	f.handle(directory.ResolveRequested{
		Ticket: ticket, Session: request.session, Program: request.program, Deadline: f.now().Add(resolveWait),
	})
}

func (f *front) resolved(request turnRequest, resolved directory.Resolved, answer func(turnAnswer)) {
	switch {
	case resolved.Code != "":
		answer(rejection(resolved.Code))
	case resolved.Owner.Local:
		f.runTurn(request, answer)
	default:
		request.forwarded = true
		f.call(sim.Address(resolved.Owner.Address), request, forwardTimeout, func(body any) {
			result, answered := body.(turnAnswer)
			if !answered {
				result = unknownAnswer
			}
			if !answered || result.code == failure.NotOwner {
				f.handle(directory.OwnerInvalidated{Session: request.session})
			}
			if !answered {
				f.handle(directory.PeerFailed{Address: resolved.Owner.Address, Failure: directory.CallBroken})
			}
			answer(result)
		})
	}
}

// runTurn runs a turn as owner.
func (f *front) runTurn(request turnRequest, answer func(turnAnswer)) {
	code, commands := f.directory.Begin(f.moment(), request.session)
	f.execute(commands)
	if code != "" {
		answer(rejection(code))
		return
	}
	turn := &ownedTurn{
		front: f, request: request, reply: answer,
		incarnation: incarnation{string(f.environment.Address()), f.holder.Incarnation()},
	}
	turn.claim()
}

// hasAuthority corresponds to Valid of a grant in the real shell.
func (t *ownedTurn) hasAuthority() bool {
	return t.front.hasAuthority() && t.front.holder.Incarnation() == t.incarnation.incarnation
}

func (t *ownedTurn) end(answer turnAnswer) {
	t.reply(answer)
	t.front.handle(directory.GrantEnded{Session: t.request.session})
}

// fenced ends a turn that the ledger or a back end rejected for its epoch.
func (t *ownedTurn) fenced(answer turnAnswer) {
	delete(t.front.epochs, t.request.session)
	t.front.handle(directory.OwnershipLost{Session: t.request.session})
	t.end(answer)
}

// operate sends one operation to the ledger, with retries when no answer comes; all operations are idempotent.
func (t *ownedTurn) operate(operation *protocol.LedgerOperation, attempts int, then func(*protocol.LedgerResult)) {
	operation.Program = t.request.program
	t.front.callMaybeDelayed(ledgerAddress, operation, ledgerTimeout, func(body any) {
		result, answered := body.(*protocol.LedgerResult)
		switch {
		case answered:
			then(result)
		case attempts > 1:
			t.operate(operation, attempts-1, then)
		default:
			then(&protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE})
		}
	})
}

func (t *ownedTurn) claim() {
	current, found := t.front.epochs[t.request.session]
	if found && current.incarnation == t.incarnation.incarnation {
		t.admit()
		return
	}
	claim := &protocol.ClaimSession{
		Session: t.request.session, Owner: t.incarnation.name, OwnerIncarnation: t.incarnation.incarnation,
		Tenant: "tenant", Budget: largeBudget,
	}
	t.operate(&protocol.LedgerOperation{Body: &protocol.LedgerOperation_ClaimSession{ClaimSession: claim}}, ledgerAttempts,
		func(result *protocol.LedgerResult) {
			switch result.GetStatus() {
			case protocol.LedgerStatus_LEDGER_OK:
				t.front.epochs[t.request.session] = sessionEpoch{t.incarnation.incarnation, result.GetEpoch(), result.GetLastTurn()}
				t.front.suite.report.Claims++
				t.admit()
			case protocol.LedgerStatus_LEDGER_FENCED:
				t.fenced(rejection(failure.Fenced))
			default:
				t.end(rejection(failure.LedgerUnavailable))
			}
		})
}

func (t *ownedTurn) admit() {
	current, found := t.front.epochs[t.request.session]
	if !found {
		t.end(rejection(failure.NotOwner))
		return
	}
	if t.request.call {
		t.beginCall(current)
		return
	}
	reserve := &protocol.ReserveTurn{
		RequestId: t.request.requestID, Session: t.request.session, Epoch: current.epoch,
		Ceiling: turnReservationLimit, PreviousTurn: current.lastTurn,
	}
	t.operate(&protocol.LedgerOperation{Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: reserve}}, ledgerAttempts,
		func(result *protocol.LedgerResult) { t.reserved(current, result) })
}

func (t *ownedTurn) reserved(known sessionEpoch, result *protocol.LedgerResult) {
	switch result.GetStatus() {
	case protocol.LedgerStatus_LEDGER_OK:
		t.issue(known)
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		t.end(finishedAnswer(result.GetFinished()))
	case protocol.LedgerStatus_LEDGER_FENCED:
		t.fenced(rejection(failure.Fenced))
	case protocol.LedgerStatus_LEDGER_WRONG_CONTINUATION:
		// The epoch is in force and the last turn is outdated: the next claim reads it.
		delete(t.front.epochs, t.request.session)
		t.end(rejection(failure.WrongContinuation))
	case protocol.LedgerStatus_LEDGER_ALREADY_RESERVED:
		// A delayed duplicate of the reservation could succeed once the session is free, with nobody to release it.
		if t.request.requestID != reservationOf(result, t.request.session) {
			t.release(known, 0)
		}
		t.end(turnAnswer{code: failure.SessionBusy})
	default:
		// The reservation may exist or still be in flight. Nothing was issued, so nothing is charged.
		t.release(known, 0)
		t.end(unknownAnswer)
	}
}

// finishedAnswer returns the answer to a request that ended before.
func finishedAnswer(finished *protocol.FinishedRequest) turnAnswer {
	switch finished.GetOutcome() {
	case protocol.RequestOutcome_OUTCOME_SETTLED:
		return turnAnswer{}
	case protocol.RequestOutcome_OUTCOME_NOT_RUN:
		return rejection(failure.RequestRejected)
	default:
		return unknownAnswer
	}
}

// reservationOf returns the id of the request with the session's open reservation.
func reservationOf(result *protocol.LedgerResult, session string) string {
	for _, open := range result.GetProgram().GetReservations() {
		if open.GetSession() == session {
			return open.GetRequestId()
		}
	}
	return ""
}

// issue sends the turn to the back end if this node has authority at that moment.
func (t *ownedTurn) issue(known sessionEpoch) {
	if !t.hasAuthority() {
		t.release(known, 0)
		t.end(unknownAnswer)
		return
	}
	t.send(known, func(accepted, answered bool) {
		switch {
		case answered && accepted && t.hasAuthority():
			t.commit(known)
		case answered && !accepted:
			t.fenced(unknownAnswer)
		default:
			t.release(known, turnReservationLimit)
			t.end(unknownAnswer)
		}
	})
}

func (t *ownedTurn) send(known sessionEpoch, then func(accepted, answered bool)) {
	sent := issue{
		front: t.incarnation.name, incarnation: t.incarnation, session: t.request.session,
		requestID: t.request.requestID, epoch: known.epoch, call: t.request.call,
	}
	t.front.suite.rules.observeIssue(sent)
	t.front.callMaybeDelayed(backEndAddress, sent, backEndTimeout, func(body any) {
		result, answered := body.(backEndAnswer)
		if answered && result.accepted && t.hasAuthority() {
			t.front.suite.rules.observeDelivery(sent)
		}
		then(result.accepted, answered)
	})
}

func (t *ownedTurn) commit(known sessionEpoch) {
	turn := &protocol.Turn{
		Id: "turn_" + t.request.requestID, Program: t.request.program, Session: t.request.session,
		RequestId: t.request.requestID, PreviousTurn: known.lastTurn, Epoch: known.epoch,
	}
	commit := &protocol.SettleTurn{
		RequestId: t.request.requestID, Session: t.request.session, Epoch: known.epoch, Tokens: turnReservationLimit / 2,
		Turn: turn,
	}
	t.operate(&protocol.LedgerOperation{Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: commit}}, ledgerAttempts,
		func(result *protocol.LedgerResult) {
			switch result.GetStatus() {
			case protocol.LedgerStatus_LEDGER_OK:
				t.front.suite.report.Turns++
				if now := t.front.epochs[t.request.session]; now.epoch == known.epoch {
					t.front.epochs[t.request.session] = sessionEpoch{known.incarnation, known.epoch, turn.GetId()}
				}
				t.end(turnAnswer{})
			case protocol.LedgerStatus_LEDGER_FENCED:
				t.fenced(unknownAnswer)
			default:
				t.release(known, turnReservationLimit)
				t.end(unknownAnswer)
			}
		})
}

// release ends a reservation that did not lead to a retained turn, with retries until the ledger answers.
func (t *ownedTurn) release(known sessionEpoch, tokens uint64) {
	release := &protocol.ReleaseTurn{
		RequestId: t.request.requestID, Session: t.request.session, Epoch: known.epoch, Tokens: tokens,
	}
	t.operate(&protocol.LedgerOperation{Body: &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: release}}, ledgerAttempts,
		func(result *protocol.LedgerResult) {
			if result.GetStatus() == protocol.LedgerStatus_LEDGER_UNAVAILABLE && t.hasAuthority() {
				t.front.environment.After(releaseRetry, func() { t.release(known, tokens) })
			}
			// The next claim reads whether the turn was committed after all.
			delete(t.front.epochs, t.request.session)
		})
}

// beginCall records the intent of a non-idempotent call; only this attempt may issue it.
func (t *ownedTurn) beginCall(known sessionEpoch) {
	t.attempt = fmt.Sprintf("%s-%d-%d", t.incarnation.name, t.incarnation.incarnation, t.front.lastCall)
	begin := &protocol.BeginCall{
		RequestId: t.request.requestID, Session: t.request.session, Epoch: known.epoch, Tool: "valve", Attempt: t.attempt,
	}
	t.operate(&protocol.LedgerOperation{Body: &protocol.LedgerOperation_BeginCall{BeginCall: begin}}, ledgerAttempts,
		func(result *protocol.LedgerResult) { t.callBegun(known, result) })
}

func (t *ownedTurn) callBegun(known sessionEpoch, result *protocol.LedgerResult) {
	status := result.GetStatus()
	if t.front.suite.options.Mutation == MutationReissueCalls && status == protocol.LedgerStatus_LEDGER_CALL_UNDER_WAY {
		status = protocol.LedgerStatus_LEDGER_OK
	}
	switch status {
	case protocol.LedgerStatus_LEDGER_OK:
		if !t.hasAuthority() {
			t.end(unknownAnswer)
			return
		}
		t.send(known, func(accepted, answered bool) { t.callRan(accepted, answered) })
	case protocol.LedgerStatus_LEDGER_ALREADY_FINISHED:
		t.end(turnAnswer{})
	case protocol.LedgerStatus_LEDGER_FENCED:
		t.fenced(unknownAnswer)
	default:
		t.end(unknownAnswer)
	}
}

func (t *ownedTurn) callRan(accepted, answered bool) {
	if !answered || !accepted {
		t.end(unknownAnswer)
		return
	}
	t.front.suite.report.Calls++
	finish := &protocol.FinishCall{RequestId: t.request.requestID, Attempt: t.attempt, Status: 200}
	t.operate(&protocol.LedgerOperation{Body: &protocol.LedgerOperation_FinishCall{FinishCall: finish}}, ledgerAttempts,
		func(*protocol.LedgerResult) { t.end(turnAnswer{}) })
}
