package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/rosestand/rosestand/internal/dataplane/front/callerapi"
	"github.com/rosestand/rosestand/internal/dataplane/front/issue"
	"github.com/rosestand/rosestand/internal/dataplane/front/rollout"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/protocol"
)

// tombstoneTimeout bounds the ledger's part in the rejection of a request that
// was not admitted: a final answer waits no longer for its proof.
const tombstoneTimeout = 40 * time.Millisecond

// api is the HTTP surface towards callers and back ends.
type api struct {
	service *Service
	maxBody int64
}

// Register puts the routes of the front plane on an engine.
func (s *Service) Register(engine *gin.Engine, maxBodyBytes uint64) {
	a := &api{service: s, maxBody: int64(maxBodyBytes)}
	if a.maxBody == 0 {
		a.maxBody = callerapi.DefaultMaxBodyBytes
	}
	engine.POST("/v1/responses", a.postResponse)
	engine.GET("/v1/responses/:id", a.getResponse)
	engine.POST("/v1/tools/:tool/calls", a.postCall)
	engine.GET("/v1/explain/:id", a.getExplanation)
	engine.GET("/v1/training-steps/*step", a.getTrainingStep)
	engine.POST("/v1/backends/heartbeat", a.postHeartbeat)
	engine.POST("/v1/backends/:id/drain", a.postDrain)
}

// postResponse serves a turn.
func (a *api) postResponse(c *gin.Context) {
	request, stream, policy, err := a.acceptTurn(c)
	if err != nil {
		writeError(c, err)
		return
	}
	left := timeLeft(request.GetTimeLeftMillis())
	ctx, cancel := a.service.clock.WithTimeout(c.Request.Context(), left+answerSlack)
	defer cancel()
	if stream {
		a.streamTurn(ctx, c, request, policy)
		return
	}
	a.answerTurn(ctx, c, request, policy)
}

// acceptTurn reads a turn and checks everything that needs no owner.
func (a *api) acceptTurn(c *gin.Context) (*protocol.TurnRequest, bool, *protocol.TenantPolicy, error) {
	text, err := callerapi.ReadBody(c.Request, a.maxBody)
	if err != nil {
		return nil, false, nil, err
	}
	request, stream, err := callerapi.ParseTurn(text, c.Request.Header)
	if err != nil {
		return nil, false, nil, err
	}
	c.Header(issue.HeaderRequestID, request.GetRequestId())
	variant := a.service.rollout.Policies().VariantFor(request.GetProgram())
	policy, err := a.tenant(c, variant)
	if err != nil {
		return nil, false, nil, err
	}
	request.Tenant, request.Ingress = policy.GetName(), a.service.name
	if variant.Model(request.GetTenant(), request.GetModel()) == nil {
		return nil, false, nil, unknownModel()
	}
	if err := a.findConversation(c, request); err != nil {
		return nil, false, nil, err
	}
	if limited := a.service.admission.AdmitTenant(policy, *a.service.fleetShare.Load()); limited != nil {
		return nil, false, nil, a.rejectEarly(c, request, limited)
	}
	return request, stream, policy, nil
}

// findConversation asks the ledger for the conversation of the turn continued
// from, when the caller names only that.
func (a *api) findConversation(c *gin.Context, request *protocol.TurnRequest) error {
	if request.GetSession() != "" {
		return nil
	}
	previous, status := a.service.ledgerOperations.ReadTurn(
		c.Request.Context(), request.GetProgram(), request.GetPreviousTurn(),
	)
	switch status {
	case protocol.LedgerStatus_LEDGER_OK:
		request.Session = previous.GetSession()
		return nil
	case protocol.LedgerStatus_LEDGER_TURN_MISSING, protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM:
		return failure.New(failure.TurnMissing, protocol.Outcome_NOT_RUN, "the turn is not kept",
			failure.WithPath("previous_response_id"))
	default:
		return a.rejectEarly(c, request, failure.From(ledgerUnavailable()))
	}
}

func (a *api) tenant(c *gin.Context, decided rollout.Variant) (*protocol.TenantPolicy, error) {
	if decided.Bundle() == nil {
		return nil, failure.New(failure.NotReady, protocol.Outcome_NOT_RUN, "no bundle is in force yet",
			failure.WithRetryAfter(time.Second))
	}
	return callerapi.TenantOf(c.Request.Header, decided)
}

// rejectEarly rejects a turn before an owner has seen it. A request that may repeat one that ran is
// rejected as not run only when the ledger has its tombstone.
func (a *api) rejectEarly(c *gin.Context, request *protocol.TurnRequest, f *protocol.Failure) error {
	if request.GetFirstSend() {
		return &failure.Error{Failure: f}
	}
	rejected := make(chan error, 1)
	a.service.runs.Go(func() {
		rejected <- a.service.rejectTurn(context.WithoutCancel(c.Request.Context()), request, f, func(*protocol.Turn) error {
			alreadyRan := failure.New(failure.RateLimited, protocol.Outcome_RAN, "the request ran before; read its turn",
				failure.WithRetryAfter(time.Duration(f.GetRetryAfterMillis())*time.Millisecond))
			return alreadyRan
		})
	})
	select {
	case err := <-rejected:
		return err
	case <-a.service.clock.After(tombstoneTimeout):
		return failure.New(failure.Code(f.GetCode()), protocol.Outcome_UNKNOWN, f.GetMessage(),
			failure.WithRetryAfter(time.Duration(f.GetRetryAfterMillis())*time.Millisecond))
	}
}

func (a *api) streamTurn(
	ctx context.Context, c *gin.Context, request *protocol.TurnRequest, policy *protocol.TenantPolicy,
) {
	stream := callerapi.NewEventStream(c.Writer, request)
	tokens := uint64(0)
	err := a.service.forwardTurn(ctx, request, func(event *protocol.TurnEvent) error {
		tokens += uint64(event.GetDelta().GetTokens())
		return stream.Send(event)
	})
	a.service.admission.ChargeTenant(policy, *a.service.fleetShare.Load(), tokens)
	endStream(c, stream, err)
}

// endStream reports an error to the caller in the form that is still possible.
func endStream(c *gin.Context, stream *callerapi.EventStream, err error) {
	switch {
	case err == nil:
	case stream.HasBegun():
		stream.Fail(failure.From(err))
	default:
		writeError(c, err)
	}
}

func (a *api) answerTurn(
	ctx context.Context, c *gin.Context, request *protocol.TurnRequest, policy *protocol.TenantPolicy,
) {
	view := callerapi.NewTurnView(request)
	tokens := uint64(0)
	var last *protocol.TurnEvent
	err := a.service.forwardTurn(ctx, request, func(event *protocol.TurnEvent) error {
		view.Observe(event)
		tokens += uint64(event.GetDelta().GetTokens())
		last = event
		return nil
	})
	a.service.admission.ChargeTenant(policy, *a.service.fleetShare.Load(), tokens)
	switch {
	case err != nil:
		writeError(c, err)
	case last.GetFailed() != nil:
		writeError(c, &failure.Error{Failure: last.GetFailed()})
	default:
		c.JSON(http.StatusOK, view.Completed(last.GetCompleted()))
	}
}

// postCall serves a tool call.
func (a *api) postCall(c *gin.Context) {
	request, nonRepeatable, err := a.acceptCall(c)
	if err != nil {
		writeError(c, err)
		return
	}
	ctx, cancel := a.service.clock.WithTimeout(c.Request.Context(), timeLeft(request.GetTimeLeftMillis())+answerSlack)
	defer cancel()
	response, err := a.service.forwardCall(ctx, request, nonRepeatable)
	if err != nil {
		writeError(c, err)
		return
	}
	if f := response.GetFailure(); f != nil {
		writeError(c, &failure.Error{Failure: f})
		return
	}
	c.JSON(http.StatusOK, callerapi.NewCallObject(request, response))
}

func (a *api) acceptCall(c *gin.Context) (*protocol.ToolCallRequest, bool, error) {
	text, err := callerapi.ReadBody(c.Request, a.maxBody)
	if err != nil {
		return nil, false, err
	}
	request, err := callerapi.ParseCall(text, c.Param("tool"), c.Request.Header)
	if err != nil {
		return nil, false, err
	}
	c.Header(issue.HeaderRequestID, request.GetRequestId())
	variant := a.service.rollout.Policies().VariantFor(request.GetProgram())
	policy, err := a.tenant(c, variant)
	if err != nil {
		return nil, false, err
	}
	request.Tenant, request.Ingress = policy.GetName(), a.service.name
	route := variant.Tool(request.GetTenant(), request.GetTool())
	if route == nil {
		return nil, false, unknownTool()
	}
	if route.GetNonRepeatable() && c.GetHeader(issue.HeaderIdempotency) == "" {
		return nil, false, callerapi.MissingField(issue.HeaderIdempotency)
	}
	if limited := a.service.admission.AdmitTenant(policy, *a.service.fleetShare.Load()); limited != nil {
		_, err := a.service.rejectCall(c.Request.Context(), request, route.GetNonRepeatable(), limited)
		return nil, false, err
	}
	return request, route.GetNonRepeatable(), nil
}

// writeError answers with a failure, unless the caller has left.
func writeError(c *gin.Context, err error) {
	if c.Request.Context().Err() != nil && errors.Is(err, context.Canceled) {
		c.Abort()
		return
	}
	f := failure.From(err)
	if f.GetStatus() == 0 {
		f = failure.New(failure.Code(f.GetCode()), f.GetOutcome(), f.GetMessage(), failure.WithPath(f.GetPath())).Failure
	}
	daemon.WriteFailure(c.Writer, f)
}
