package front

import (
	"cmp"
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/issue"
	"github.com/rosestand/rosestand/internal/dataplane/front/rollout"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// callRun carries out the commands of one tool call's machine at the owner.
type callRun struct {
	ownedRun
	request *protocol.ToolCallRequest
	machine *turn.CallMachine
	answers chan *protocol.ToolCallResponse
	// sends counts the attempts at servers.
	sends uint32
}

const (
	// callTimeoutFactor is the multiple of its latency objective that an attempt of an idempotent call may take.
	callTimeoutFactor = 2
	minAnswerTimeout  = 200 * time.Millisecond
	// firstEventTimeoutFactor is the multiple of its latency objective in which the first event of a turn should come.
	firstEventTimeoutFactor = 4
)

// runCall runs a tool call as owner of its session and returns its answer. The
// outcome is recorded also after the caller has disconnected.
func (s *Service) runCall(ctx context.Context, request *protocol.ToolCallRequest) (*protocol.ToolCallResponse, error) {
	variant := s.rollout.Policies().VariantFor(request.GetProgram())
	route := callRoute(variant, request)
	if route == nil {
		return nil, unknownTool()
	}
	grant, err := s.grantFor(request.GetSession())
	if err != nil {
		return nil, err
	}
	left := timeLeft(request.GetTimeLeftMillis())
	runContext, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	run := s.newCallRun(runContext, request, grant, variant, route, s.clock.Now().Add(left))
	s.startCall(run, ctx, left, cancel)
	select {
	case answer := <-run.answers:
		return answer, nil
	case <-s.stopped:
		return s.awaitStoppedCall(run)
	}
}

// awaitStoppedCall returns the answer of a call that ends because the node stops. Its run knows whether it was sent to
// a server; one that does not end soon has an unknown outcome.
func (s *Service) awaitStoppedCall(run *callRun) (*protocol.ToolCallResponse, error) {
	select {
	case answer := <-run.answers:
		return answer, nil
	case <-s.clock.After(localAnswerTime):
		return nil, failure.New(failure.Draining, protocol.Outcome_UNKNOWN, "the front node is stopping")
	}
}

// callRoute is the route of a call: the bundle's one of a tool, or the HTTP route that the ingress decided on.
func callRoute(decided rollout.Variant, request *protocol.ToolCallRequest) *protocol.Route {
	if routed := request.GetHttp(); routed != nil {
		return &protocol.Route{
			Name: routed.GetRoute(), Group: routed.GetGroup(),
			NonRepeatable: routed.GetKind() != protocol.HttpRouteKind_HTTP_REPEATABLE,
		}
	}
	return decided.Tool(request.GetTenant(), request.GetTool())
}

func unknownTool() error {
	return failure.New(failure.UnknownTool, protocol.Outcome_NOT_RUN, "no route serves the tool", failure.WithPath("tool"))
}

func (s *Service) newCallRun(
	ctx context.Context, request *protocol.ToolCallRequest, grant Grant, decided rollout.Variant, route *protocol.Route,
	deadline time.Time,
) *callRun {
	return &callRun{
		ownedRun: s.newOwnedRun(ctx, request, grant, decided, route, deadline), request: request,
		answers: make(chan *protocol.ToolCallResponse, 1),
		machine: turn.NewCall(turn.CallParameters{
			Request: request, Owner: s.name, Incarnation: grant.Incarnation(), Idempotent: !route.GetNonRepeatable(),
			Budget: decided.Budget(request.GetProgramBudget(), request.GetTenant()), BundleVersion: decided.Version(),
			Attempt: uuid.NewString(), Unrecorded: request.GetHttp() != nil, AttemptLimit: callAttempts(request),
			RunLimit: callRuns(request),
		}),
	}
}

// callAttempts bounds the sends of a call of an HTTP route; zero is the default of the machine.
func callAttempts(request *protocol.ToolCallRequest) uint32 {
	if request.GetHttp() == nil {
		return 0
	}
	return max(request.GetHttp().GetMaxAttempts(), routedSends)
}

// callRuns bounds the servers that may have run a call of an HTTP route; zero leaves it to callAttempts.
func callRuns(request *protocol.ToolCallRequest) uint32 {
	if request.GetHttp() == nil {
		return 0
	}
	if request.GetRunsAllowed() > 0 {
		return request.GetRunsAllowed()
	}
	return max(request.GetHttp().GetMaxAttempts(), 1)
}

func (s *Service) startCall(run *callRun, caller context.Context, left time.Duration, cancel context.CancelCauseFunc) {
	s.drive(drivenRun{run: run.run, end: run.grant.End, left: left, callerDisconnected: caller.Done(), cancel: cancel})
}

func (r *callRun) run() {
	pending := r.machine.Apply(turn.Begun{}, r.now())
	for len(pending) > 0 {
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
	select {
	case r.answers <- lostAnswer():
	default:
	}
}

// lostAnswer is the answer when a state machine ended without one; it is ignored otherwise.
func lostAnswer() *protocol.ToolCallResponse {
	return &protocol.ToolCallResponse{Failure: failure.New(failure.InternalError, protocol.Outcome_UNKNOWN,
		"the call ended without an answer").Failure}
}

func (r *callRun) execute(command turn.Command) turn.Event {
	switch command := command.(type) {
	case turn.Claim:
		return turn.Claimed{Result: r.claim(command.Operation)}
	case turn.Admit:
		return r.admit()
	case turn.FreeSlot:
		r.service.admission.Leave(r.route.GetGroup())
	case turn.Choose:
		return r.choose(command.Avoid)
	case turn.RecordIntent:
		return turn.IntentRecorded{Result: r.ledger("intent", &protocol.LedgerOperation{
			Body: &protocol.LedgerOperation_BeginCall{BeginCall: command.Operation},
		})}
	case turn.RecordOutcome:
		return turn.OutcomeRecorded{Result: r.ledger("outcome", &protocol.LedgerOperation{
			Body: &protocol.LedgerOperation_FinishCall{FinishCall: command.Operation},
		})}
	case turn.RejectCall:
		return turn.CallRejected{Result: r.ledger("refuse", &protocol.LedgerOperation{
			Body: &protocol.LedgerOperation_RefuseCall{RefuseCall: command.Operation},
		})}
	case turn.IssueCall:
		return r.issue(command)
	case turn.RequestRetry:
		granted := r.service.admission.Retry()
		r.explanation.RecordStep("retry", fmt.Sprintf("granted %t", granted))
		return turn.RetryDecided{Granted: granted}
	case turn.Answer:
		r.answer(command.Response)
	case turn.Backoff:
		return r.waitBackoff(command.For)
	case turn.ForgetSession:
		r.service.forgetSession(r.key, command.Fenced)
	}
	return nil
}

func (r *callRun) admit() turn.Event {
	if rejection := r.rejectUnreachable(); rejection != nil {
		r.explanation.RecordStep("not admitted", rejection.GetMessage())
		return turn.NotAdmitted{Failure: rejection}
	}
	rejection := r.service.admission.Enter(r.ctx, r.route.GetGroup(), r.ticket(r.request))
	if rejection != nil {
		r.explanation.RecordStep("not admitted", rejection.GetMessage())
		return turn.NotAdmitted{Failure: rejection}
	}
	return turn.Admitted{}
}

// rejectUnreachable rejects a call that needs the ledger while that is out of reach.
func (r *callRun) rejectUnreachable() *protocol.Failure {
	rejection := r.service.ledgerOperations.CheckReachable(r.key.Program)
	if rejection == nil || !r.needsLedger() {
		return nil
	}
	return rejection
}

// needsLedger reports whether the call is recorded in the ledger, or its session's epoch is not claimed yet.
func (r *callRun) needsLedger() bool {
	if r.request.GetHttp() != nil {
		return false
	}
	current := r.service.sessions.FindClaim(r.key, r.request.GetTenant(), r.grant.Incarnation())
	return r.route.GetNonRepeatable() || !current.Known
}

func (r *callRun) choose(avoid []string) turn.Event {
	wanted := r.service.newServerQuery(r.variant.Index,
		backends.GroupKey{Group: r.route.GetGroup(), Tool: true, Name: r.route.GetTool()}, r.key, avoid)
	// A server is faster for an object in its cache, whichever program the call is of.
	wanted.Affinity = cmp.Or(r.request.GetHttp().GetAffinity(), wanted.Affinity)
	server, decision := r.service.choose(wanted)
	r.explanation.RecordDecision(decision)
	if r.variant.Shadow != nil && r.request.GetHttp() == nil {
		r.service.chooseShadow(r.variant.Shadow, wanted, r.request.GetTenant(), r.route, r.explanation)
	}
	if server == nil {
		return turn.NotChosen{Failure: failure.New(failure.NoBackEnd, protocol.Outcome_NOT_RUN,
			"no back end of group "+r.route.GetGroup()+" can take the call", failure.WithRetryAfter(noBackEndRetry)).Failure}
	}
	r.server = server
	return turn.Chosen{BackEnd: server.ID()}
}

func (r *callRun) issue(command turn.IssueCall) turn.Event {
	r.explanation.RecordStep("issued", command.BackEnd)
	issuedAt := r.now()
	r.server.BeginRequest()
	r.server.RecordCall(issuedAt)
	awaited := r.server.ExpectAnswer(answerTimeout(r.request.GetHttp(), callTimeoutFactor), issuedAt)
	event, err := r.send(command)
	awaited.End(err == nil, r.now())
	r.server.EndRequest()
	if err == nil {
		r.server.RecordOutcome(schedule.OutcomeAnswered, r.now())
		r.service.models.RecordCall(r.route.GetGroup(), r.server.ID(), r.now().Sub(issuedAt), r.now())
		r.explanation.RecordStep("back end finished", command.BackEnd)
		return event
	}
	return r.sendFailed(command, err)
}

func (r *callRun) send(command turn.IssueCall) (turn.Event, error) {
	if routed := r.request.GetHttp(); routed != nil {
		r.sends++
		ctx, cancel := r.attemptContext(routed)
		defer cancel()
		return r.service.routeClient.Call(ctx, issue.RouteRequest{
			Server: r.server, RequestID: r.request.GetRequestId(), HTTP: routed, Body: routed.GetBody(), Deadline: r.deadline,
		})
	}
	return r.service.backEndClient.Call(r.ctx, issue.Request{
		Server: r.server, Path: "/v1/tools/" + url.PathEscape(r.request.GetTool()) + "/calls", Body: r.request.GetArguments(),
		RequestID: r.request.GetRequestId(), Session: r.request.GetSession(), Nonce: r.request.GetNonce(),
		Epoch: command.Epoch, IdempotencyKey: r.request.GetRequestId(),
	})
}

// attemptContext bounds one attempt of a call that may be repeated and that may go to
// another server: its answer may be lost, and then nothing would ever come.
func (r *callRun) attemptContext(routed *protocol.HttpRequest) (context.Context, context.CancelFunc) {
	idempotent := routed.GetKind() == protocol.HttpRouteKind_HTTP_REPEATABLE
	if !idempotent || r.sends >= callRuns(r.request) || !r.hasAlternative() {
		return r.ctx, func() {}
	}
	ctx, cancel := context.WithCancel(r.ctx)
	limit := answerTimeout(routed, callTimeoutFactor)
	expired := r.service.clock.After(limit)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// answerTimeout is the time in which a request of an HTTP route should show a sign of its answer: a multiple of the
// route's latency objective. It is zero where no objective is known.
func answerTimeout(routed *protocol.HttpRequest, factor time.Duration) time.Duration {
	if routed == nil {
		return 0
	}
	return max(factor*millis(routed.GetLatencyObjectiveMillis()), minAnswerTimeout)
}

// hasAlternative reports whether the group has a server that the call was not sent to yet.
func (r *callRun) hasAlternative() bool {
	ready := uint32(0)
	for _, server := range r.service.backEnds.Load().ByGroup[r.route.GetGroup()] {
		if !server.IsDraining() {
			ready++
		}
	}
	return ready > r.sends
}

func (r *callRun) sendFailed(command turn.IssueCall, err error) turn.Event {
	if reason := r.stopReason(); reason != 0 {
		return turn.Stopped{Reason: reason, WithoutEffect: issue.SurelyDidNotRun(err)}
	}
	var fault *issue.AttemptError
	if !errors.As(err, &fault) {
		fault = &issue.AttemptError{Fault: turn.FaultBroken, Detail: err.Error()}
	}
	r.server.RecordOutcome(fault.Outcome(), r.now())
	r.service.metrics.attemptFaults.WithLabelValues(fault.Fault.String()).Inc()
	r.explanation.RecordStep("attempt failed: "+fault.Fault.String(), command.BackEnd+": "+fault.Detail)
	return fault.Event()
}

func (r *callRun) answer(response *protocol.ToolCallResponse) {
	if f := response.GetFailure(); f != nil {
		r.explanation.RecordStep("failed", f.GetCode()+": "+f.GetMessage())
	} else {
		r.explanation.RecordStep("completed", fmt.Sprintf("status %d", response.GetStatus()))
	}
	r.answers <- response
}
