package servingsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// execute carries out one command. It returns the event that answers it, or nil when there is none or when it comes
// later.
func (r *run) execute(command turn.Command) turn.Event {
	switch command := command.(type) {
	case turn.Admit:
		r.admit()
	case turn.FreeSlot:
		r.front.admission.leave(r.group())
	case turn.ReadHistory:
		return turn.HistoryRead{Status: protocol.LedgerStatus_LEDGER_OK}
	case turn.Choose:
		return r.choose(command.Avoid)
	case turn.RequestRetry:
		return turn.RetryDecided{Granted: r.front.retries.TakeRetry()}
	case turn.Issue:
		r.issue(command.Epoch)
	case turn.IssueCall:
		r.issue(command.Epoch)
	case turn.StopBackEnd:
		r.closeExchange()
	case turn.Emit:
		r.emit(command.Event)
	case turn.Answer:
		r.emit(command.Response)
	case turn.Backoff:
		r.backOff(command.For)
	case turn.ReadRetainedTurn:
		r.readRetainedTurn(command.TurnID)
	default:
		return r.operate(command)
	}
	return nil
}

// operate carries out the commands that the ledger answers.
func (r *run) operate(command turn.Command) turn.Event {
	operation := &protocol.LedgerOperation{Program: r.program()}
	var answer func(*protocol.LedgerResult) turn.Event
	switch command := command.(type) {
	case turn.Claim:
		operation.Body = &protocol.LedgerOperation_ClaimSession{ClaimSession: command.Operation}
		answer = func(result *protocol.LedgerResult) turn.Event { return turn.Claimed{Result: result} }
	case turn.Reserve:
		if r.front.suite.options.Mutation == MutationSkipReservation {
			return turn.Reserved{Result: &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK, Epoch: 1}}
		}
		operation.Body = &protocol.LedgerOperation_ReserveTurn{ReserveTurn: command.Operation}
		answer = func(result *protocol.LedgerResult) turn.Event { return turn.Reserved{Result: result} }
	case turn.Commit:
		operation.Body = &protocol.LedgerOperation_SettleTurn{SettleTurn: command.Operation}
		answer = func(result *protocol.LedgerResult) turn.Event { return turn.Committed{Result: result} }
	case turn.Release:
		operation.Body = &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: command.Operation}
		answer = func(result *protocol.LedgerResult) turn.Event { return turn.Released{Result: result} }
	case turn.RecordIntent:
		operation.Body = &protocol.LedgerOperation_BeginCall{BeginCall: command.Operation}
		answer = func(result *protocol.LedgerResult) turn.Event { return turn.IntentRecorded{Result: result} }
	case turn.RecordOutcome:
		operation.Body = &protocol.LedgerOperation_FinishCall{FinishCall: command.Operation}
		answer = func(result *protocol.LedgerResult) turn.Event { return turn.OutcomeRecorded{Result: result} }
	case turn.RejectCall:
		r.reject(false, func(result *protocol.LedgerResult) turn.Event { return turn.CallRejected{Result: result} })
		return nil
	case turn.Reject:
		r.reject(command.Overload, func(result *protocol.LedgerResult) turn.Event { return turn.Rejected{Result: result} })
		return nil
	default:
		return nil
	}
	r.awaiting = true
	r.front.operate(operation, ledgerTimeout, func(result *protocol.LedgerResult) { r.applyEvent(answer(result)) })
	return nil
}

// reject puts the tombstone. An immediate rejection does not wait long for the ledger's answer.
func (r *run) reject(immediately bool, answer func(*protocol.LedgerResult) turn.Event) {
	r.awaiting = true
	answered := false
	once := func(result *protocol.LedgerResult) {
		if !answered {
			answered = true
			r.applyEvent(answer(result))
		}
	}
	if immediately {
		r.front.environment.After(tombstoneBound, func() {
			once(&protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE})
		})
	}
	r.tombstone(ledgerTimeout, once)
}

// backOff waits before the ledger is queried again; lost authority ends the wait for good.
func (r *run) backOff(wait time.Duration) {
	r.awaiting = true
	r.front.environment.After(wait, func() {
		if !r.hasAuthority() {
			r.applyEvent(turn.Stopped{Reason: turn.StopAuthority})
			return
		}
		r.applyEvent(turn.BackoffElapsed{})
	})
}

func (r *run) readRetainedTurn(id string) {
	r.awaiting = true
	r.front.suite.count(RetainedTurnsRead)
	r.front.transport.call(ledgerAddress, readTurn{id: id}, ledgerTimeout, func(body any) {
		answer, answered := body.(turnRead)
		status := protocol.LedgerStatus_LEDGER_OK
		switch {
		case !answered:
			status = protocol.LedgerStatus_LEDGER_UNAVAILABLE
		case answer.turn == nil:
			status = protocol.LedgerStatus_LEDGER_TURN_MISSING
		}
		r.applyEvent(turn.RetainedTurnRead{Turn: answer.turn, Status: status})
	})
}

func (r *run) choose(avoid []string) turn.Event {
	chosen := r.front.choose(r.group(), r.program(), r.front.lastServers[r.session()], avoid)
	if chosen == "" {
		return turn.NotChosen{Failure: failure.New(failure.NoBackEnd, protocol.Outcome_NOT_RUN,
			"no server can take the request",
			failure.WithRetryAfter(busyRetry)).Failure}
	}
	r.server = r.front.servers[chosen]
	r.front.lastServers[r.session()] = chosen
	r.front.suite.rules.observeChoice(chosen)
	return turn.Chosen{BackEnd: chosen}
}
