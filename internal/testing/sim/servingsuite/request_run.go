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
	turnCeiling   = 12
	programBudget = 60
	keepTurnsFor  = time.Hour
)

// machine is a turn or a tool call.
type machine interface {
	Apply(event turn.Event, now time.Time) []turn.Command
	Done() bool
}

// run carries out the commands of one request's machine, in order, as the front plane does.
type run struct {
	front       *front
	request     callerRequest
	machine     machine
	incarnation uint64
	deadline    time.Time
	pending     []turn.Command
	// waits is set while a command's answer is awaited.
	waits bool
	// ticket is the place in the queue of admission, while there is one.
	ticket uint64
	// expired is set at the deadline.
	expired  bool
	exchange *exchange
	server   *knownServer
	issuedAt time.Time
	readers  []*stream
	events   []any
	answered bool
	over     bool
}

func newRun(f *front, opened *stream, request callerRequest) *run {
	created := &run{
		front: f, request: request, incarnation: f.holder.Incarnation(), deadline: f.now().Add(request.timeLeft),
		readers: []*stream{opened},
	}
	f.attempts++
	if request.turn != nil {
		asked := request.turn
		if f.suite.options.Mutation == MutationIgnoreNonces {
			asked = proto.CloneOf(asked)
			asked.Nonce = ""
		}
		created.machine = turn.New(turn.Parameters{
			Request: asked, TurnID: turn.ID(request.turn.GetProgram(), request.turn.GetRequestId()), Owner: f.name,
			Incarnation: created.incarnation, Budget: programBudget, ReservationLimit: turnCeiling, Retention: keepTurnsFor,
		})
		return created
	}
	created.machine = turn.NewCall(turn.CallParameters{
		Request: request.call, Owner: f.name, Incarnation: created.incarnation, Budget: programBudget,
		Idempotent: request.kind == repeatableCall || f.suite.options.Mutation == MutationReissueCalls,
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
	r.feed(turn.Begun{})
}

// valid says whether this node may still act for the request.
func (r *run) valid() bool {
	return r.front.held() && r.front.holder.Incarnation() == r.incarnation
}

func (r *run) stopReason() turn.StopReason {
	switch {
	case !r.valid():
		return turn.StopAuthority
	case r.expired:
		return turn.StopDeadline
	default:
		return 0
	}
}

// feed gives the machine an event and carries out what follows from it.
func (r *run) feed(event turn.Event) {
	r.waits = false
	r.pending = append(r.pending, r.machine.Apply(event, r.now())...)
	r.pump()
}

func (r *run) pump() {
	for !r.waits && len(r.pending) > 0 {
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
	if r.machine.Done() && !r.waits {
		r.end()
	}
}

// end frees the session for its next turn.
func (r *run) end() {
	if r.over {
		return
	}
	r.over = true
	r.closeExchange()
	if r.front.live[r.session()] == r {
		delete(r.front.live, r.session())
	}
}

// expire stops what can be stopped at the deadline.
func (r *run) expire() {
	r.expired = true
	switch {
	case r.over:
	case r.ticket != 0:
		r.withdraw()
	case r.exchange != nil && !r.waits:
		r.feed(turn.Stopped{Reason: turn.StopDeadline})
	}
}

func (r *run) withdraw() {
	id := r.ticket
	r.ticket = 0
	r.front.admission.withdraw(r.group(), id)
	r.feed(turn.NotAdmitted{Failure: failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN,
		"the request ended while it waited for a slot").Failure})
}

// giveUp answers in place of an owner that has not ended the request in time.
func (r *run) giveUp() {
	if !r.answered {
		r.answerFailure(failure.New(failure.DeadlineExceeded, protocol.Outcome_UNKNOWN, "the deadline passed").Failure)
	}
}

// leave takes a reader away that is gone.
func (r *run) leave(gone *stream) {
	for place, reader := range r.readers {
		if reader == gone {
			r.readers = append(r.readers[:place:place], r.readers[place+1:]...)
			return
		}
	}
}

// join adds a reader, which gets all events from the first.
func (r *run) join(opened *stream) {
	opened.handle = func(any) { r.leave(opened) }
	for _, event := range r.events {
		opened.send(event)
	}
	r.readers = append(r.readers, opened)
	if r.answered {
		r.front.suite.rules.answered(r.front, r.request, nil)
	}
}

// emit gives the readers one event.
func (r *run) emit(event proto.Message) {
	if r.answered {
		return
	}
	copied := proto.Clone(event)
	if isFinal(copied) {
		r.answered = true
		r.reword(failureOf(copied))
		r.front.suite.rules.answered(r.front, r.request, failureOf(copied))
	}
	r.events = append(r.events, copied)
	for _, reader := range r.readers {
		reader.send(copied)
	}
}

// reword keeps a node's word that it is not the owner from being taken for the request's end: other owners may have run it.
func (r *run) reword(failed *protocol.Failure) {
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

// failureOf is the failure that a final event carries, or nil.
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

// answerFailure ends a request that no machine runs, or in place of its machine.
func (r *run) answerFailure(failed *protocol.Failure) {
	if r.request.turn == nil {
		r.emit(&protocol.ToolCallResponse{Failure: failed})
		return
	}
	var attempt uint32 = 1
	var sequence uint64 = 1
	for _, event := range r.events {
		if seen, isTurn := event.(*protocol.TurnEvent); isTurn {
			attempt, sequence = seen.GetAttempt(), seen.GetSequence()+1
		}
	}
	r.emit(&protocol.TurnEvent{Attempt: attempt, Sequence: sequence, Body: &protocol.TurnEvent_Failed{Failed: failed}})
}

// refuseBusy refuses a turn whose session has another one under way.
func (r *run) refuseBusy() {
	r.refuseWith(failure.New(failure.SessionBusy, protocol.Outcome_NOT_RUN, "another turn of the conversation is under way",
		failure.WithRetryAfter(busyRetry)).Failure)
}

// refuseUnrouted refuses a request whose route is not in force here.
func (r *run) refuseUnrouted() {
	r.refuseWith(failure.New(failure.UnknownModel, protocol.Outcome_NOT_RUN, "no route serves the model").Failure)
}

// refuseWith tells the ledger first that the request is never to run.
func (r *run) refuseWith(failed *protocol.Failure) {
	r.tombstone(ledgerTimeout, func(result *protocol.LedgerResult) {
		if result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			failed.Outcome = protocol.Outcome_UNKNOWN
		}
		r.answerFailure(failed)
	})
}

// tombstone marks the request as never to be run.
func (r *run) tombstone(patience time.Duration, then func(*protocol.LedgerResult)) {
	if r.front.suite.options.Mutation == MutationSkipTombstone {
		then(&protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_OK})
		return
	}
	r.front.operate(r.refusalOperation(), patience, then)
}

func (r *run) refusalOperation() *protocol.LedgerOperation {
	operation := &protocol.LedgerOperation{Program: r.program()}
	if r.request.kind == recordedCall {
		operation.Body = &protocol.LedgerOperation_RefuseCall{RefuseCall: &protocol.RefuseCall{RequestId: r.request.id()}}
		return operation
	}
	operation.Body = &protocol.LedgerOperation_RefuseRequest{RefuseRequest: &protocol.RefuseRequest{
		RequestId: r.request.id(), Session: r.session(),
	}}
	return operation
}

// admit asks for a slot.
func (r *run) admit() {
	r.waits = true
	entered, contest := r.now(), r.front.suite.rules.contest()
	var id uint64
	id = r.front.admission.enter(r.group(), limit.Ticket{
		Class: r.request.priority(), Tenant: r.tenant(), Weight: 1, Deadline: r.deadline,
	}, func(decision limit.Decision) {
		r.front.suite.rules.admissionDecided(r.front.name, contest, r.request, decision.Verdict == limit.Run)
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
		r.feed(turn.Admitted{})
		return
	}
	r.front.suite.rules.refusedSlot(r.front, r.request, r.now().Sub(entered))
	r.feed(turn.NotAdmitted{Failure: failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, "no slot became free in time",
		failure.WithRetryAfter(decision.RetryAfter)).Failure})
}
