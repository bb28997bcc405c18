package front

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/front/explain"
	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	// forwardWindow bounds how long an ingress looks for an owner that answers.
	forwardWindow = 15 * time.Second
	// routedWindow is the same for requests of HTTP routes, whose callers retry.
	routedWindow = 1500 * time.Millisecond
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// answerSlack is how long after the deadline an ingress still waits for the outcome of a turn.
	answerSlack = 3 * time.Second
)

// turnForwarder forwards one turn to its owner and delivers the events, in order and once each. One goroutine uses it.
type turnForwarder struct {
	service     *Service
	request     *protocol.TurnRequest
	deadline    time.Time
	deliver     func(*protocol.TurnEvent) error
	explanation *explain.Explanation
	position    sessions.Cursor
	// owner is that of the last attempt; empty when none was found.
	owner directory.Owner
	done  bool
	// deliveryError is set when the caller can take no more events.
	deliveryError error
}

// outOfOrderError reports that a stream skipped, repeated or spliced events.
type outOfOrderError struct {
	position sessions.Cursor
	event    *protocol.TurnEvent
}

// Error implements error.
func (e *outOfOrderError) Error() string {
	return fmt.Sprintf("event %d-%d does not follow %d-%d", e.event.GetAttempt(), e.event.GetSequence(),
		e.position.Attempt, e.position.Sequence)
}

// truncatedStreamError reports that a stream ended before the turn did.
type truncatedStreamError struct{}

// Error implements error.
func (e *truncatedStreamError) Error() string { return "the stream ended before the turn did" }

// forwardTurn serves a turn for a caller. Unless an error is returned, deliver
// was given the turn's last event.
func (s *Service) forwardTurn(
	ctx context.Context, request *protocol.TurnRequest, deliver func(*protocol.TurnEvent) error,
) error {
	left := timeLeft(request.GetTimeLeftMillis())
	r := &turnForwarder{
		service: s, request: request, deliver: deliver, deadline: s.clock.Now().Add(left),
		explanation: s.explanations.Begin(request.GetRequestId(), request.GetSession(), request.GetProgram()),
	}
	r.explanation.RecordStep("taken in", request.GetPriority().String())
	err := r.run(ctx)
	code := "ok"
	if err != nil {
		code = failure.From(err).GetCode()
	}
	s.metrics.turns.WithLabelValues(code).Inc()
	return err
}

// reportOwnerLost reports to the directory why a session's owner could not be used.
func (s *Service) reportOwnerLost(session string, owner directory.Owner, cause error) {
	if owner.Local || owner.Address == "" || isNotAccepted(cause) {
		s.ownership.Forget(session)
		return
	}
	s.ownership.OwnerLost(session, owner.Address, cause)
}

// windowFor bounds how long an ingress looks for an owner that answers.
func windowFor(routed *protocol.HttpRequest) time.Duration {
	if routed != nil {
		return routedWindow
	}
	return forwardWindow
}

// run makes attempts until an owner answers. A request that is sent again carries the same id, by which an
// owner or the ledger recognises it.
func (r *turnForwarder) run(ctx context.Context) error {
	rejection := r.service.checkRefusing()
	if rejection == nil {
		rejection = r.service.ledgerOperations.CheckIsolation(r.request)
	}
	if rejection != nil {
		r.explanation.RecordStep("not taken in", rejection.GetMessage())
		return r.service.rejectTurn(ctx, r.request, rejection, r.deliverRetained)
	}
	lastAttempt := r.service.clock.Now().Add(windowFor(r.request.GetHttp()))
	if lastAttempt.After(r.deadline) {
		lastAttempt = r.deadline
	}
	backoff := firstBackoff
	for {
		err := r.attempt(ctx)
		if r.done {
			return nil
		}
		if err == nil {
			err = &truncatedStreamError{}
		}
		if r.deliveryError != nil || ctx.Err() != nil {
			return r.endedEarly(errors.CombineErrors(r.deliveryError, err))
		}
		r.explanation.RecordStep("not answered", err.Error())
		if !r.isRetryable(err) || !r.service.clock.Now().Add(backoff).Before(lastAttempt) {
			return r.giveUp(ctx, err)
		}
		r.service.reportOwnerLost(r.request.GetSession(), r.owner, err)
		select {
		case <-r.service.clock.After(backoff):
		case <-ctx.Done():
			return r.endedEarly(ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// endedEarly returns the failure of a turn whose caller has left or is not waited for any more.
func (r *turnForwarder) endedEarly(cause error) error {
	return notRunIfNeverSent(r.request.GetFirstSend(), cause)
}

// notRunIfNeverSent returns the failure for a cause, as not run if no copy of the request can exist.
func notRunIfNeverSent(neverSent bool, cause error) error {
	if !neverSent {
		return cause
	}
	f := proto.CloneOf(forwardingFailure(cause))
	f.Outcome = protocol.Outcome_NOT_RUN
	return &failure.Error{Failure: f}
}

// attempt forwards the turn to the session's owner of now.
func (r *turnForwarder) attempt(ctx context.Context) error {
	r.owner = directory.Owner{}
	owner, err := r.service.ownerOf(ctx, r.request.GetSession(), r.request.GetProgram())
	if err != nil {
		return err
	}
	r.owner = owner
	r.recordOwner(owner)
	left, err := r.service.millisUntil(r.deadline)
	if err != nil {
		return err
	}
	request := shallowCopy(r.request)
	request.TimeLeftMillis = left
	request.LastAttempt = r.position.Attempt
	request.LookupViewVersion = owner.ViewVersion
	err = r.serveBy(ctx, owner, request)
	if isNotAccepted(err) {
		// This owner never runs the request.
		r.request.FirstSend = request.GetFirstSend()
	}
	return err
}

func (r *turnForwarder) serveBy(ctx context.Context, owner directory.Owner, request *protocol.TurnRequest) error {
	if owner.Local {
		return r.serveLocal(ctx, request)
	}
	return r.serveRemote(ctx, owner.Address, request)
}

// millisUntil is the time left until a deadline, at least a millisecond; past it there is
// none.
func (s *Service) millisUntil(deadline time.Time) (uint32, error) {
	left := deadline.Sub(s.clock.Now())
	if left <= 0 {
		return 0, failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN,
			"the deadline passed while the owner was looked for")
	}
	return max(uint32(left.Milliseconds()), 1), nil
}

// shallowCopy returns a request whose own fields may be changed; what they point to is shared.
func shallowCopy(request *protocol.TurnRequest) *protocol.TurnRequest {
	return &protocol.TurnRequest{
		RequestId: request.GetRequestId(), Tenant: request.GetTenant(), Program: request.GetProgram(),
		Session:      request.GetSession(),
		PreviousTurn: request.GetPreviousTurn(), Input: request.GetInput(), Model: request.GetModel(),
		MaxOutputTokens: request.GetMaxOutputTokens(), Priority: request.GetPriority(),
		TimeLeftMillis: request.GetTimeLeftMillis(),
		ProgramBudget:  request.GetProgramBudget(), Ingress: request.GetIngress(), Nonce: request.GetNonce(),
		LookupViewVersion: request.GetLookupViewVersion(), FirstSend: request.GetFirstSend(),
		Background:  request.GetBackground(),
		LastAttempt: request.GetLastAttempt(), Http: request.GetHttp(), TrainingStep: request.GetTrainingStep(),
	}
}

func (r *turnForwarder) recordOwner(owner directory.Owner) {
	r.explanation.Update(func(record *protocol.Explanation) {
		record.Owner, record.PartitionHolder = owner.Name, owner.PartitionHolder
	})
	r.explanation.RecordStep("owner found", fmt.Sprintf("%s, partition holder %s, view %d, cached %t",
		owner.Name, owner.PartitionHolder, owner.ViewVersion, owner.CacheHit))
}

func (r *turnForwarder) serveLocal(ctx context.Context, request *protocol.TurnRequest) error {
	live, err := r.service.beginTurn(request) //nolint:contextcheck // a turn outlives the caller that began it
	if err != nil {
		return err
	}
	r.request.FirstSend = false
	return live.Follow(ctx, r.position, r.deliverEvent)
}

func (r *turnForwarder) serveRemote(ctx context.Context, address string, request *protocol.TurnRequest) error {
	r.service.metrics.forwarded.Inc()
	stream, err := r.service.caller.Open(ctx, address, &protocol.Request{Body: &protocol.Request_Turn{Turn: request}})
	if err != nil {
		r.markPossiblySent(err)
		return err
	}
	defer stream.Close()
	for {
		response, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			err = &truncatedStreamError{}
		}
		if err != nil {
			r.markPossiblySent(err)
			return err
		}
		r.request.FirstSend = false
		if err := r.deliverEvent(response.GetTurnEvent()); err != nil || r.done {
			return err
		}
	}
}

// markPossiblySent records that another copy of the request may exist, unless the error shows that none does.
func (r *turnForwarder) markPossiblySent(err error) {
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) || isNotAccepted(err) {
		return
	}
	r.request.FirstSend = false
}

// deliverEvent delivers one event to the caller, unless it was delivered before.
func (r *turnForwarder) deliverEvent(event *protocol.TurnEvent) error {
	if r.position.Seen(event) {
		return nil
	}
	if !r.position.Follows(event) {
		return &outOfOrderError{position: r.position, event: event}
	}
	if f := event.GetFailed(); f != nil && isNotAcceptedFailure(f) && r.position == (sessions.Cursor{}) {
		return &failure.Error{Failure: f}
	}
	if err := r.deliver(event); err != nil {
		r.deliveryError = err
		return err
	}
	r.service.metrics.events.Inc()
	r.position = sessions.Cursor{Attempt: event.GetAttempt(), Sequence: event.GetSequence()}
	r.done = sessions.IsTerminal(event)
	return nil
}

// isRetryable reports whether the turn may be forwarded again. One of an HTTP route is sent again only when
// nobody accepted it.
func (r *turnForwarder) isRetryable(err error) bool {
	if r.request.GetHttp() != nil {
		var notSent *wire.NotSentError
		return errors.As(err, &notSent) || isNotAccepted(err)
	}
	return isRetryable(err)
}

// isRetryable reports whether the request may be forwarded again, to the same owner or another one. Its id
// keeps it from being run twice.
func isRetryable(err error) bool {
	var notSent *wire.NotSentError
	var broken *wire.BrokenError
	var truncated *truncatedStreamError
	var order *outOfOrderError
	return errors.As(err, &notSent) || errors.As(err, &broken) || errors.As(err, &truncated) ||
		errors.As(err, &order) || isNotAccepted(err)
}

// isNotAccepted reports whether a front node answered that it did not accept the request as owner.
func isNotAccepted(err error) bool {
	var typed *failure.Error
	return errors.As(err, &typed) && isNotAcceptedFailure(typed.Failure)
}

func isNotAcceptedFailure(f *protocol.Failure) bool {
	if f.GetOutcome() != protocol.Outcome_NOT_RUN {
		return false
	}
	switch failure.Code(f.GetCode()) {
	case failure.NotOwner, failure.NoAuthority, failure.Fenced, failure.StaleView, failure.NotReady, failure.Draining:
		return true
	default:
		return false
	}
}

// giveUp ends the caller's request with what is known of its outcome.
func (r *turnForwarder) giveUp(ctx context.Context, cause error) error {
	f := proto.CloneOf(forwardingFailure(cause))
	if r.position != (sessions.Cursor{}) {
		f.Outcome = protocol.Outcome_RAN
		return &failure.Error{Failure: f}
	}
	return r.service.rejectTurn(ctx, r.request, f, r.deliverRetained)
}

func (r *turnForwarder) deliverRetained(retained *protocol.Turn) error {
	for _, event := range turn.Replay(retained, r.position.Attempt+1, r.service.name, 0) {
		if err := r.deliverEvent(event); err != nil {
			return err
		}
	}
	return nil
}

// forwardingFailure is the failure for an error of forwarding to the owner.
func forwardingFailure(err error) *protocol.Failure {
	var typed *failure.Error
	if errors.As(err, &typed) {
		return typed.Failure
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return failure.From(err)
	}
	return failure.New(failure.Unavailable, protocol.Outcome_UNKNOWN, "the session's owner did not answer: "+err.Error(),
		failure.WithRetryAfter(time.Second)).Failure
}

// rejectTurn rejects a request with its proved outcome: not run when no other copy can exist or the ledger
// has its tombstone, the retained answer when the request was committed before, and unknown otherwise.
func (s *Service) rejectTurn(
	ctx context.Context, request *protocol.TurnRequest, f *protocol.Failure, answer func(*protocol.Turn) error,
) error {
	if request.GetFirstSend() {
		f.Outcome = protocol.Outcome_NOT_RUN
		return &failure.Error{Failure: f}
	}
	if request.GetHttp() != nil && request.GetProgramBudget() == 0 && !request.GetHttp().GetStateful() {
		// The ledger knows nothing of this turn.
		f.Outcome = protocol.Outcome_UNKNOWN
		return &failure.Error{Failure: f}
	}
	result := s.ledgerOperations.Reject(ctx, request.GetProgram(), &protocol.RefuseRequest{
		RequestId: request.GetRequestId(), Session: request.GetSession(),
	})
	finished := result.GetFinished()
	switch {
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_OK:
		f.Outcome = protocol.Outcome_NOT_RUN
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_ALREADY_FINISHED &&
		finished.GetOutcome() == protocol.RequestOutcome_OUTCOME_SETTLED:
		retained, status := s.ledgerOperations.ReadTurn(ctx, request.GetProgram(), finished.GetTurnId())
		if status == protocol.LedgerStatus_LEDGER_OK && request.GetHttp() == nil {
			return answer(retained)
		}
		f.Outcome = protocol.Outcome_RAN
	default:
		f.Outcome = protocol.Outcome_UNKNOWN
	}
	return &failure.Error{Failure: f}
}
