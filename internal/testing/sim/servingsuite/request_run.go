package servingsuite

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	turnReservationLimit = 12
	programBudget        = 60
	turnRetention        = time.Hour
)

// machine is the state machine of a turn or of a tool call.
type machine interface {
	Apply(event turn.Event, now time.Time) []turn.Command
	Done() bool
}

// run carries out the commands of one request's state machine, in order, as internal/dataplane/front does.
type run struct {
	front       *front
	request     callerRequest
	machine     machine
	incarnation uint64
	deadline    time.Time
	pending     []turn.Command
	// awaiting is set while a command's answer is outstanding.
	awaiting bool
	// ticket is the id in the admission queue, zero when there is none.
	ticket uint64
	// expired is set at the deadline.
	expired  bool
	exchange *exchange
	server   *knownServer
	issuedAt time.Time
	readers  []*stream
	events   []any
	answered bool
	ended    bool
}

func newRun(f *front, opened *stream, request callerRequest) *run {
	created := &run{
		front: f, request: request, incarnation: f.holder.Incarnation(), deadline: f.now().Add(request.timeLeft),
		readers: []*stream{opened},
	}
	f.attempts++
	if request.turn != nil {
		turnRequest := request.turn
		if f.suite.options.Mutation == MutationIgnoreNonces {
			turnRequest = proto.CloneOf(turnRequest)
			turnRequest.Nonce = ""
		}
		created.machine = turn.New(turn.Parameters{
			Request: turnRequest, TurnID: turn.ID(request.turn.GetProgram(), request.turn.GetRequestId()), Owner: f.name,
			Incarnation: created.incarnation, Budget: programBudget, ReservationLimit: turnReservationLimit,
			Retention: turnRetention,
		})
		return created
	}
	created.machine = turn.NewCall(turn.CallParameters{
		Request: request.call, Owner: f.name, Incarnation: created.incarnation, Budget: programBudget,
		Idempotent: request.kind == idempotentCall || f.suite.options.Mutation == MutationReissueCalls,
		Attempt:    f.suite.attemptID(f),
	})
	return created
}

func (r *run) session() string {
	if r.request.turn != nil {
		return r.request.turn.GetSession()
	}
	return r.request.call.GetSession()
}

func (r *run) program() string {
	if r.request.turn != nil {
		return r.request.turn.GetProgram()
	}
	return r.request.call.GetProgram()
}

func (r *run) group() string {
	if r.request.turn != nil {
		return modelGroup
	}
	return toolGroup
}

func (r *run) now() time.Time { return r.front.now() }

func (r *run) begin() {
	if r.front.suite.options.Mutation != MutationNoDeadline {
		r.front.environment.After(r.request.timeLeft, r.expire)
		r.front.environment.After(r.request.timeLeft+answerSlack, r.giveUp)
	}
	r.applyEvent(turn.Begun{})
}

// hasAuthority reports whether this node may still act for the request.
func (r *run) hasAuthority() bool {
	return r.front.hasAuthority() && r.front.holder.Incarnation() == r.incarnation
}

func (r *run) stopReason() turn.StopReason {
	switch {
	case !r.hasAuthority():
		return turn.StopAuthority
	case r.expired:
		return turn.StopDeadline
	default:
		return 0
	}
}

// applyEvent applies an event to the machine and carries out the commands that follow.
func (r *run) applyEvent(event turn.Event) {
	r.awaiting = false
	r.pending = append(r.pending, r.machine.Apply(event, r.now())...)
	r.pump()
}

func (r *run) pump() {
	for !r.awaiting && len(r.pending) > 0 {
		command := r.pending[0]
		r.pending = r.pending[1:]
		if reason := r.stopReason(); reason != 0 && turn.Interruptible(command) {
			r.pending = r.machine.Apply(turn.Stopped{Reason: reason}, r.now())
			continue
		}
		if event := r.execute(command); event != nil {
			r.pending = append(r.pending, r.machine.Apply(event, r.now())...)
		}
	}
	if r.machine.Done() && !r.awaiting {
		r.end()
	}
}

// end frees the session for the next turn.
func (r *run) end() {
	if r.ended {
		return
	}
	r.ended = true
	r.closeExchange()
	if r.front.activeTurns[r.session()] == r {
		delete(r.front.activeTurns, r.session())
	}
}

// expire stops what can be stopped at the deadline.
func (r *run) expire() {
	r.expired = true
	switch {
	case r.ended:
	case r.ticket != 0:
		r.withdraw()
	case r.exchange != nil && !r.awaiting:
		r.applyEvent(turn.Stopped{Reason: turn.StopDeadline})
	}
}

func (r *run) withdraw() {
	id := r.ticket
	r.ticket = 0
	r.front.admission.withdraw(r.group(), id)
	r.applyEvent(turn.NotAdmitted{Failure: failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN,
		"the request ended while it waited for a slot").Failure})
}

// giveUp answers in place of an owner that did not end the request in time.
func (r *run) giveUp() {
	if !r.answered {
		r.answerFailure(failure.New(failure.DeadlineExceeded, protocol.Outcome_UNKNOWN, "the deadline passed").Failure)
	}
}

// removeReader removes a reader that disconnected.
func (r *run) removeReader(removed *stream) {
	for index, reader := range r.readers {
		if reader == removed {
			r.readers = append(r.readers[:index:index], r.readers[index+1:]...)
			return
		}
	}
}

// join adds a reader, which receives all events from the first.
func (r *run) join(opened *stream) {
	opened.handle = func(any) { r.removeReader(opened) }
	for _, event := range r.events {
		opened.send(event)
	}
	r.readers = append(r.readers, opened)
	if r.answered {
		r.front.suite.rules.observeAnswer(r.front, r.request, nil)
	}
}

// emit sends one event to all readers.
func (r *run) emit(event proto.Message) {
	if r.answered {
		return
	}
	copied := proto.Clone(event)
	if isFinal(copied) {
		r.answered = true
		r.maskOwnershipFailure(failureOf(copied))
		r.front.suite.rules.observeAnswer(r.front, r.request, failureOf(copied))
	}
	r.events = append(r.events, copied)
	for _, reader := range r.readers {
		reader.send(copied)
	}
}

// maskOwnershipFailure turns the outcome of a failure for lack of ownership into unknown: another owner may have run
// the request.
func (r *run) maskOwnershipFailure(failed *protocol.Failure) {
	if failed == nil {
		return
	}
	if r.front.suite.options.Mutation == MutationNoRetryAfter {
		failed.RetryAfterMillis = 0
	}
	switch failure.Code(failed.GetCode()) {
	case failure.Fenced, failure.NoAuthority:
		if r.request.kind != routedTurn {
			failed.Outcome = protocol.Outcome_UNKNOWN
		}
	}
}

func isFinal(event proto.Message) bool {
	switch event := event.(type) {
	case *protocol.TurnEvent:
		return event.GetCompleted() != nil || event.GetFailed() != nil || event.GetAnswered() != nil
	default:
		return true
	}
}

// failureOf returns the failure in a final event, or nil.
func failureOf(event proto.Message) *protocol.Failure {
	switch event := event.(type) {
	case *protocol.TurnEvent:
		return event.GetFailed()
	case *protocol.ToolCallResponse:
		return event.GetFailure()
	default:
		return nil
	}
}

// answerFailure ends a request without its state machine.
func (r *run) answerFailure(failed *protocol.Failure) {
	if r.request.turn == nil {
		r.emit(&protocol.ToolCallResponse{Failure: failed})
		return
	}
	var attempt uint32 = 1
	var sequence uint64 = 1
	for _, event := range r.events {
		if previous, isTurn := event.(*protocol.TurnEvent); isTurn {
			attempt, sequence = previous.GetAttempt(), previous.GetSequence()+1
		}
	}
	r.emit(&protocol.TurnEvent{Attempt: attempt, Sequence: sequence, Body: &protocol.TurnEvent_Failed{Failed: failed}})
}

// rejectBusy rejects a turn whose session has another one in flight.
func (r *run) rejectBusy() {
	r.rejectAfterTombstone(failure.New(failure.SessionBusy, protocol.Outcome_NOT_RUN,
		"another turn of the conversation is under way",
		failure.WithRetryAfter(busyRetry)).Failure)
}

// rejectUnrouted rejects a request whose route is not in force here.
func (r *run) rejectUnrouted() {
	r.rejectAfterTombstone(failure.New(failure.UnknownModel, protocol.Outcome_NOT_RUN,
		"no route serves the model").Failure)
}

// rejectAfterTombstone puts the tombstone in the ledger before it answers.
func (r *run) rejectAfterTombstone(failed *protocol.Failure) {
	r.tombstone(ledgerTimeout, func(result *protocol.LedgerResult) {
		if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			failed.Outcome = protocol.Outcome_UNKNOWN
		}
		r.answerFailure(failed)
	})
}

// tombstone records in the ledger that the request must never run.
func (r *run) tombstone(timeout time.Duration, then func(*protocol.LedgerResult)) {
	if r.front.suite.options.Mutation == MutationSkipTombstone {
		then(&protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK})
		return
	}
	r.front.operate(r.rejectionOperation(), timeout, then)
}

func (r *run) rejectionOperation() *protocol.LedgerOperation {
	operation := &protocol.LedgerOperation{Program: r.program()}
	if r.request.kind == nonIdempotentCall {
		operation.Body = &protocol.LedgerOperation_RefuseCall{RefuseCall: &protocol.RefuseCall{RequestId: r.request.id()}}
		return operation
	}
	operation.Body = &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
		RequestId: r.request.id(), Session: r.session(),
	}}
	return operation
}

// admit requests a slot.
func (r *run) admit() {
	r.awaiting = true
	entered, burst := r.now(), r.front.suite.rules.currentBurst()
	var id uint64
	id = r.front.admission.enter(r.group(), limit.Ticket{
		Class: r.request.priority(), Tenant: r.tenant(), Weight: 1, Deadline: r.deadline,
	}, func(decision limit.Decision) {
		r.front.suite.rules.recordAdmission(r.front.name, burst, r.request, decision.Verdict == limit.Run)
		r.admitted(id, decision, entered)
	})
	r.ticket = id
}

func (r *run) tenant() string {
	if r.request.turn != nil {
		return r.request.turn.GetTenant()
	}
	return r.request.call.GetTenant()
}

func (r *run) admitted(id uint64, decision limit.Decision, entered time.Time) {
	if r.ticket != id {
		if decision.Verdict == limit.Run {
			r.front.admission.leave(r.group())
		}
		return
	}
	r.ticket = 0
	if decision.Verdict == limit.Run {
		r.applyEvent(turn.Admitted{})
		return
	}
	r.front.suite.rules.observeSlotRejection(r.front, r.request, r.now().Sub(entered))
	r.applyEvent(turn.NotAdmitted{Failure: failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN,
		"no slot became free in time",
		failure.WithRetryAfter(decision.RetryAfter)).Failure})
}
