package front

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/issue"
	"github.com/rosestand/rosestand/internal/dataplane/front/ledgerops"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const chatPath = "/v1/chat/completions"

func (r *turnRun) readHistory(lastTurn string) turn.Event {
	if lastTurn == "" {
		return turn.HistoryRead{Status: protocol.LedgerStatus_LEDGER_OK}
	}
	if r.request.GetHttp() != nil {
		return r.readHTTPHistory(lastTurn)
	}
	if history := r.service.sessions.FindHistory(r.key, lastTurn); history.Known {
		if !r.holdHistory(history.Items) {
			return turn.HistoryRead{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
		}
		r.history = history.Items
		return turn.HistoryRead{Items: history.Items, Tokens: history.Tokens, Status: protocol.LedgerStatus_LEDGER_OK}
	}
	turns, status := r.service.ledgerOperations.ReadTurns(r.ctx, r.key.Program, lastTurn, r.holdTurns)
	r.explanation.RecordStep("history read", fmt.Sprintf("%s, %d turns", status, len(turns)))
	if status != protocol.LedgerStatus_LEDGER_OK {
		return turn.HistoryRead{Status: status}
	}
	r.history = ledgerops.Items(turns)
	return turn.HistoryRead{Items: r.history, Tokens: turns[len(turns)-1].GetHistoryTokens(), Status: status}
}

func (r *turnRun) admit() turn.Event {
	if rejection := r.rejectUnreachable(); rejection != nil {
		r.explanation.RecordStep("not admitted", rejection.GetMessage())
		return turn.NotAdmitted{Failure: rejection}
	}
	rejection := r.enter()
	if rejection != nil {
		r.explanation.RecordStep("not admitted", rejection.GetMessage())
		return turn.NotAdmitted{Failure: rejection}
	}
	r.explanation.RecordStep("admitted", r.request.GetPriority().String())
	return turn.Admitted{}
}

// enter waits for a slot of the group, or of a training step.
func (r *turnRun) enter() *protocol.Failure {
	if r.pin != nil {
		return r.service.admission.EnterStep(r.ctx, r.stepGate(), r.deadline)
	}
	return r.service.admission.Enter(r.ctx, r.route.GetGroup(), r.ticket(r.request))
}

// leave releases what enter acquired.
func (r *turnRun) leave() {
	if r.pin != nil {
		r.service.admission.LeaveStep(r.stepGate())
		return
	}
	r.service.admission.Leave(r.route.GetGroup())
}

// rejectUnreachable rejects a turn that needs the ledger while that is out of reach.
func (r *turnRun) rejectUnreachable() *protocol.Failure {
	if !r.machine.UsesLedger() {
		return nil
	}
	return r.service.ledgerOperations.CheckReachable(r.key.Program)
}

func (r *turnRun) reserve(command turn.Reserve) turn.Event {
	result := r.reserveOnce(command.Operation)
	budgetHeld := result.GetStatus() == protocol.LedgerStatus_LEDGER_BUDGET_HELD
	// Reservations of lost owners may take up the budget: nothing else would ever commit them.
	if budgetHeld && r.service.ledgerOperations.ChargeLostReservations(r.ctx, result.GetProgram(), r.incarnation) {
		result = r.reserveOnce(command.Operation)
	}
	return turn.Reserved{Result: result}
}

// reserveOnce asks the ledger to reserve what the turn may cost.
func (r *turnRun) reserveOnce(operation *protocol.ReserveTurn) *protocol.LedgerResult {
	return r.ledger("reserve", &protocol.LedgerOperation{
		Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: operation},
	})
}

func (r *turnRun) commit(command turn.Commit) turn.Event {
	return turn.Committed{Result: r.ledger("settle", &protocol.LedgerOperation{
		Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: command.Operation},
	})}
}

func (r *turnRun) release(command turn.Release) turn.Event {
	return turn.Released{Result: r.ledger("release", &protocol.LedgerOperation{
		Body: &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: command.Operation},
	})}
}

func (r *turnRun) choose(avoid []string) turn.Event {
	wanted := r.service.newServerQuery(r.variant.Index,
		backends.GroupKey{Group: r.route.GetGroup(), Name: r.route.GetModel()}, r.key, avoid)
	wanted.Prompt, wanted.Output = backends.RequestPrompt(r.request.GetHttp()), uint64(r.request.GetMaxOutputTokens())
	wanted.Step = r.stepPlacement(wanted.Prompt)
	server, decision := r.service.choose(wanted)
	r.explanation.RecordDecision(decision)
	if server == nil && r.pin != nil {
		return r.versionUnavailable()
	}
	if r.variant.Shadow != nil && r.request.GetHttp() == nil {
		r.service.chooseShadow(r.variant.Shadow, wanted, r.request.GetTenant(), r.route, r.explanation)
	}
	if server == nil {
		r.explanation.RecordStep("no back end", r.route.GetGroup())
		return turn.NotChosen{Failure: failure.New(failure.NoBackEnd, protocol.Outcome_NOT_RUN,
			"no back end of group "+r.route.GetGroup()+" can take the turn", failure.WithRetryAfter(noBackEndRetry)).Failure}
	}
	r.server = server
	return turn.Chosen{BackEnd: server.ID()}
}

// issue sends the turn to the back end chosen; its answer is read by receive.
func (r *turnRun) issue(command turn.Issue) turn.Event {
	if r.request.GetHttp() != nil {
		return r.issueHTTP(command)
	}
	body, err := issue.ChatBody(r.request.GetModel(), command.Items, command.MaxTokens)
	if err != nil {
		return turn.BackEndFailed{Fault: turn.FaultNotSent, Detail: err.Error()}
	}
	r.issuedAt = r.now()
	r.explanation.RecordStep("issued", fmt.Sprintf("%s, attempt %d", command.BackEnd, command.Attempt))
	r.server.BeginRequest()
	generation, err := r.service.backEndClient.Generate(r.ctx, issue.Request{
		Server: r.server, Path: chatPath, Body: body, RequestID: r.request.GetRequestId(),
		Session: r.request.GetSession(), Nonce: r.request.GetNonce(), Epoch: command.Epoch,
	})
	if err != nil {
		r.server.EndRequest()
		return r.issueFailed(err)
	}
	r.generation = generation
	return nil
}

func (r *turnRun) requestRetry() turn.Event {
	// Steps take nothing out of the budget of live requests; how often they are sent is bounded for each turn.
	granted := r.pin != nil || r.service.admission.Retry()
	if granted {
		r.service.metrics.retries.Inc()
	}
	r.explanation.RecordStep("retry", fmt.Sprintf("granted %t", granted))
	return turn.RetryDecided{Granted: granted}
}

// reject puts the request's tombstone. One that is rejected for overload is answered that
// the ledger is not available when it has not answered in time; the tombstone
// is put all the same, so that the request never runs.
func (r *turnRun) reject(command turn.Reject) *protocol.LedgerResult {
	if !command.Overload {
		return r.service.ledgerOperations.Reject(r.ctx, r.key.Program, command.Operation)
	}
	answered := make(chan *protocol.LedgerResult, 1)
	r.service.runs.Go(func() {
		answered <- r.service.ledgerOperations.Reject(r.ctx, r.key.Program, command.Operation)
	})
	select {
	case result := <-answered:
		return result
	case <-r.service.clock.After(tombstoneTimeout):
		return &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
	}
}
