package front

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/issue"
	"github.com/rosestand/rosestand/internal/dataplane/front/rollout"
	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// turnRun carries out the commands of one turn's machine at the owner.
type turnRun struct {
	ownedRun
	request     *protocol.TurnRequest
	live        *sessions.TurnLog
	counters    *rollout.Counters
	incarnation uint64
	machine     *turn.Machine
	// memory accounts for the conversation that the turn continues.
	memory *memorybudget.Account
	// pin is the version for a turn of a training step; nil for other turns.
	pin *backends.VersionPin

	began      time.Time
	history    []*protocol.Item
	generation issue.AnswerStream
	// issued is the turn at its server as the group's model sees it; nil for turns of no HTTP route.
	issued *backends.IssuedTurn
	// work is a generation of a training step at its server; nil for other turns.
	work *backends.StepWork
	// expected is the wait for the first event of a live turn of an HTTP route.
	expected     *backends.ExpectedAnswer
	issuedAt     time.Time
	firstToken   bool
	tokens       uint64
	sessionFreed bool
}

// run drives the machine to its end. It may outlive the readers: a turn is not
// over before the ledger has its outcome.
func (r *turnRun) run() {
	pending := r.machine.Apply(turn.Begun{}, r.now())
	for !r.machine.Done() || len(pending) > 0 {
		if len(pending) == 0 && r.generation == nil {
			break
		}
		if len(pending) == 0 {
			pending = r.machine.Apply(r.receive(), r.now())
			continue
		}
		command := pending[0]
		pending = pending[1:]
		if reason := r.stopReason(); reason != 0 && turn.Interruptible(command) {
			pending = r.machine.Apply(turn.StoppedWithoutEffect(reason), r.now())
			continue
		}
		if event := r.execute(command); event != nil {
			pending = append(pending, r.machine.Apply(event, r.now())...)
		}
	}
	r.closeGeneration()
	r.live.End()
	r.freeSession()
	r.memory.Release()
}

// issueFailed is the event of an attempt without an answer. A stop takes precedence over the failure that it
// may have caused.
func (r *turnRun) issueFailed(err error) turn.Event {
	if reason := r.stopReason(); reason != 0 {
		return turn.Stopped{Reason: reason, WithoutEffect: issue.SurelyDidNotRun(err)}
	}
	return r.attemptFailed(err)
}

// receive waits for the next part of the server's answer. Authority is checked after the wait: nothing that
// came too late is forwarded.
func (r *turnRun) receive() turn.Event {
	event, err := r.generation.Next()
	if reason := r.stopReason(); reason != 0 {
		return turn.Stopped{Reason: reason}
	}
	if err != nil {
		return r.attemptFailed(err)
	}
	r.expected.End(true, r.now())
	switch event.(type) {
	case turn.Token:
		r.recordFirstToken()
		r.recordTokens(event)
	case turn.CompleteAnswer:
		r.server.RecordOutcome(schedule.OutcomeAnswered, r.now())
	case turn.BackEndDone:
		r.server.RecordOutcome(schedule.OutcomeAnswered, r.now())
		r.endSent(true)
		r.explanation.RecordStep("back end finished", r.server.ID())
	}
	return event
}

// recordTokens records output in the group's model.
func (r *turnRun) recordTokens(event turn.Event) {
	token, isToken := event.(turn.Token)
	if !isToken {
		return
	}
	if r.work != nil {
		r.work.RecordGenerated(token.Tokens)
	}
	if r.issued == nil {
		return
	}
	r.issued.RecordTokens(uint64(token.Tokens), r.now())
}

// endSent records in the group's model that the attempt is over.
func (r *turnRun) endSent(complete bool) {
	if r.work != nil {
		r.work.End()
		r.work = nil
	}
	if r.issued == nil {
		return
	}
	r.issued.Finish(complete, r.now())
	r.issued = nil
}

func (r *turnRun) recordFirstToken() {
	r.tokens++
	if r.firstToken {
		return
	}
	r.firstToken = true
	r.explanation.RecordStep("first token", r.server.ID())
	if r.isTrainingStep() {
		// Steps wait behind live requests: their latency says nothing of how those are served.
		return
	}
	now := r.now()
	r.counters.RecordFirstToken(now.Sub(r.began))
	r.service.metrics.firstToken.Observe(now.Sub(r.began).Seconds())
	r.service.admission.RecordSample(r.route.GetGroup(), limit.Sample{Latency: now.Sub(r.issuedAt)})
}

func (r *turnRun) attemptFailed(err error) turn.Event {
	var fault *issue.AttemptError
	if !errors.As(err, &fault) {
		fault = &issue.AttemptError{Fault: turn.FaultBroken, Detail: err.Error()}
	}
	r.server.RecordOutcome(fault.Outcome(), r.now())
	if fault.Fault == turn.FaultWrongVersion {
		r.server.MarkVersionRejected(r.pin.Version, r.now())
	}
	if fault.Fault == turn.FaultUnavailable && !r.isTrainingStep() {
		r.service.admission.RecordSample(r.route.GetGroup(), limit.Sample{Rejected: true})
	}
	r.service.metrics.attemptFaults.WithLabelValues(fault.Fault.String()).Inc()
	r.explanation.RecordStep("attempt failed: "+fault.Fault.String(), r.server.ID()+": "+fault.Detail)
	r.closeGeneration()
	return fault.Event()
}

func (r *turnRun) closeGeneration() {
	if r.generation == nil {
		r.endSent(false)
		return
	}
	r.generation.Close()
	r.generation = nil
	r.leaveServer()
}

// leaveServer ends the attempt's use of its server. A generation of a step ended with its work.
func (r *turnRun) leaveServer() {
	r.expected.End(false, r.now())
	r.endSent(false)
	if r.pin == nil {
		r.server.EndRequest()
	}
}

func (r *turnRun) execute(command turn.Command) turn.Event {
	switch command := command.(type) {
	case turn.ResolveStep:
		return r.resolveStep(command.Step)
	case turn.Claim:
		return turn.Claimed{Result: r.claim(command.Operation)}
	case turn.ReadHistory:
		return r.readHistory(command.LastTurn)
	case turn.Admit:
		return r.admit()
	case turn.FreeSlot:
		r.leave()
	case turn.Reserve:
		return r.reserve(command)
	case turn.Choose:
		return r.choose(command.Avoid)
	case turn.Issue:
		return r.issue(command)
	case turn.StopBackEnd:
		r.closeGeneration()
	case turn.RequestRetry:
		return r.requestRetry()
	case turn.Emit:
		r.emit(command.Event)
	case turn.Commit:
		return r.commit(command)
	case turn.Release:
		return r.release(command)
	case turn.Reject:
		return turn.Rejected{Result: r.reject(command)}
	case turn.ReadRetainedTurn:
		retained, status := r.service.ledgerOperations.ReadTurn(r.ctx, r.key.Program, command.TurnID)
		return turn.RetainedTurnRead{Turn: retained, Status: status}
	case turn.Backoff:
		return r.waitBackoff(command.For)
	case turn.CacheTurn:
		r.service.sessions.RecordCommit(r.key, command.Turn, r.history)
	case turn.ForgetSession:
		r.service.forgetSession(r.key, command.Fenced)
	}
	return nil
}

func (r *turnRun) emit(event *protocol.TurnEvent) {
	if f := event.GetFailed(); f != nil {
		r.explanation.RecordStep("failed", f.GetCode()+": "+f.GetMessage())
	}
	if event.GetCompleted() != nil {
		r.explanation.RecordStep("completed", event.GetCompleted().GetTurnId())
	}
	if sessions.IsTerminal(event) {
		r.countEnd(event)
		if r.machine.Done() {
			r.freeSession()
		}
	}
	r.live.Append(event)
}

// freeSession lets the next turn of the session begin. It precedes the last
// event, because a caller may continue as soon as it has that. A turn whose end
// the ledger has not confirmed keeps its session.
func (r *turnRun) freeSession() {
	if r.sessionFreed {
		return
	}
	r.sessionFreed = true
	r.service.sessions.Finish(r.key, r.live)
}
