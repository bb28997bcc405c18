package servingsuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// connectTimeout bounds how long a connection may take to be made.
const connectTimeout = time.Second

// exchange is one attempt of a request at a server.
type exchange struct {
	run    *run
	server *knownServer
	stream *stream
	work   work
	// sent is set once the request may have reached the server.
	sent          bool
	receivedToken bool
	// skippedTokens is how many tokens MutationSpliceStreams drops from another server's stream.
	skippedTokens int
}

// issue sends the request to the chosen server.
func (r *run) issue(epoch uint64) {
	r.issuedAt = r.now()
	r.connect(r.server, work{
		requestID: r.request.id(), nonce: r.nonce(), session: r.session(), epoch: epoch, call: r.request.call != nil,
		tokens: r.front.suite.expectedTokens(r.request.id()),
	}, 0)
}

func (r *run) nonce() string {
	if r.request.turn != nil {
		return r.request.turn.GetNonce()
	}
	return r.request.call.GetNonce()
}

func (r *run) connect(server *knownServer, sent work, skip int) {
	attempt := &exchange{run: r, server: server, work: sent, skippedTokens: skip}
	r.exchange = attempt
	server.inFlight++
	attempt.stream = r.front.transport.open(sim.Address(server.description.address),
		connect{server: server.description.id}, attempt.receive)
	r.front.environment.After(connectTimeout, func() {
		if r.exchange == attempt && !attempt.sent {
			attempt.fail(turn.FaultNotSent, 0, "the connection was not made in time")
		}
	})
}

// closeExchange abandons the current attempt.
func (r *run) closeExchange() {
	if r.exchange == nil {
		return
	}
	r.exchange.server.inFlight--
	r.exchange.stream.close()
	r.exchange = nil
}

// receive handles a message of the server. Authority is checked first, so that nothing is passed on after it ended.
func (e *exchange) receive(body any) {
	if e.run.exchange != e || e.run.awaiting {
		return
	}
	if reason := e.run.stopReason(); reason != 0 {
		e.run.applyEvent(turn.Stopped{Reason: reason})
		return
	}
	switch body := body.(type) {
	case connected:
		e.sent = true
		e.stream.send(e.work)
	case wrongServer:
		e.fail(turn.FaultNotSent, 0, "another server has this address")
	case rejected:
		e.fail(turn.FaultUnavailable, body.retryAfter, "the server is full")
	case fenced:
		e.fail(turn.FaultFenced, 0, "the server has seen a newer epoch")
	case token:
		e.token(body)
	case workDone:
		e.done(body)
	case broken:
		e.streamBroke()
	}
}

func (e *exchange) streamBroke() {
	if !e.sent {
		e.fail(turn.FaultNotSent, 0, "no connection was made")
		return
	}
	if e.splices() {
		return
	}
	if e.run.front.suite.options.Mutation == MutationReissueTurns {
		e.fail(turn.FaultNotSent, 0, "the answer broke off")
		return
	}
	e.fail(turn.FaultBroken, 0, "the answer broke off")
}

// splices continues at another server as if the stream had not ended, under MutationSpliceStreams.
func (e *exchange) splices() bool {
	r := e.run
	if r.front.suite.options.Mutation != MutationSpliceStreams || !e.receivedToken {
		return false
	}
	chosen := r.front.choose(r.group(), r.program(), "", []string{e.server.description.id})
	if chosen == "" {
		return false
	}
	r.closeExchange()
	r.connect(r.front.servers[chosen], e.work, e.skippedTokens)
	return true
}

func (e *exchange) token(body token) {
	if body.index < e.skippedTokens {
		return
	}
	e.skippedTokens = body.index + 1
	if !e.receivedToken {
		e.receivedToken = true
		e.run.front.admission.record(e.run.group(), limit.Sample{Latency: e.run.now().Sub(e.run.issuedAt)})
		if e.run.request.kind == routedTurn {
			e.run.applyEvent(turn.Head{Answer: &protocol.HttpAnswer{}})
		}
	}
	if e.run.exchange != e {
		return
	}
	text := body.text()
	event := turn.Token{Text: text, Tokens: 1}
	if e.run.request.kind == routedTurn {
		event.Event, event.Data = []byte(text), []byte(text)
	}
	e.run.applyEvent(event)
}

// text returns the text of a token, which names its request, its execution and its index.
func (t token) text() string {
	return fmt.Sprintf("%s/%d/%d;", t.requestID, t.execution, t.index)
}

func (e *exchange) done(body workDone) {
	e.server.running, e.server.reportedAt = body.running, e.run.now()
	if e.run.request.call != nil {
		e.callDone(body)
		return
	}
	if body.nonce != e.work.nonce {
		e.observe(schedule.OutcomeFault)
	} else {
		e.observe(schedule.OutcomeAnswered)
	}
	r := e.run
	r.closeExchange()
	r.applyEvent(turn.BackEndDone{OutputTokens: uint64(body.tokens), Nonce: body.nonce})
}

// callDone checks the nonce: the state machine of a call leaves that to its shell.
func (e *exchange) callDone(body workDone) {
	ignored := e.run.front.suite.options.Mutation == MutationIgnoreNonces
	if body.nonce != e.work.nonce && !ignored {
		e.fail(turn.FaultMismatch, 0, "the answer carries another request's nonce")
		return
	}
	e.observe(schedule.OutcomeAnswered)
	r := e.run
	r.closeExchange()
	r.applyEvent(turn.CallAnswered{Status: 200, Body: []byte(body.nonce)})
}

func (e *exchange) observe(outcome schedule.Outcome) {
	if e.server.outlier.Observe(outcome, e.run.now()) {
		e.run.front.suite.count(Ejections)
	}
}

// fail ends the attempt.
func (e *exchange) fail(fault turn.BackEndFault, retryAfter time.Duration, detail string) {
	e.observe(outcomeOf(fault))
	if fault == turn.FaultUnavailable {
		e.run.front.admission.record(e.run.group(), limit.Sample{Rejected: true})
	}
	r := e.run
	r.closeExchange()
	r.applyEvent(turn.BackEndFailed{Fault: fault, RetryAfter: retryAfter, Detail: detail})
}

// outcomeOf returns what a fault shows of the server's health.
func outcomeOf(fault turn.BackEndFault) schedule.Outcome {
	switch fault {
	case turn.FaultNotSent:
		return schedule.OutcomeUnreachable
	case turn.FaultBroken, turn.FaultMismatch:
		return schedule.OutcomeFault
	default:
		return schedule.OutcomeNotExecuted
	}
}
