package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/front/explain"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// forwardCall forwards a tool call to the owner of its session and returns the answer.
func (s *Service) forwardCall(
	ctx context.Context, request *protocol.ToolCallRequest, nonRepeatable bool,
) (*protocol.ToolCallResponse, error) {
	explanation := s.explanations.Begin(request.GetRequestId(), request.GetSession(), request.GetProgram())
	explanation.RecordStep("taken in", request.GetTool())
	response, err := s.tryOwners(ctx, request, nonRepeatable, explanation)
	code := "ok"
	if err != nil {
		code = failure.From(err).GetCode()
	} else if f := response.GetFailure(); f != nil {
		code = f.GetCode()
	}
	s.metrics.calls.WithLabelValues(code).Inc()
	return response, err
}

// tryOwners brings a tool call to the owner of its session, and to the next owner while none accepted it.
func (s *Service) tryOwners(
	ctx context.Context, request *protocol.ToolCallRequest, nonRepeatable bool, explanation *explain.Explanation,
) (*protocol.ToolCallResponse, error) {
	if rejection := s.checkRefusing(); rejection != nil {
		return s.rejectCall(ctx, request, nonRepeatable, rejection)
	}
	deadline := s.clock.Now().Add(timeLeft(request.GetTimeLeftMillis()))
	lastAttempt := s.clock.Now().Add(windowFor(request.GetHttp()))
	if lastAttempt.After(deadline) {
		lastAttempt = deadline
	}
	backoff := firstBackoff
	runs := newRunQuota(request)
	for {
		owner, response, err := s.callOwner(ctx, request, runs, deadline, explanation)
		if err == nil {
			if f := response.GetFailure(); f == nil || !isNotAcceptedFailure(f) {
				return response, nil
			}
			err = &failure.Error{Failure: response.GetFailure()}
		}
		if ctx.Err() != nil {
			return nil, notRunIfNeverSent(request.GetFirstSend(), ctx.Err())
		}
		explanation.RecordStep("not answered", err.Error())
		if runs.isExhausted() || !isCallRetryable(err, nonRepeatable) || !s.clock.Now().Add(backoff).Before(lastAttempt) {
			return s.rejectCall(ctx, request, nonRepeatable, proto.CloneOf(forwardingFailure(err)))
		}
		s.reportOwnerLost(request.GetSession(), owner, err)
		select {
		case <-s.clock.After(backoff):
		case <-ctx.Done():
			return nil, notRunIfNeverSent(request.GetFirstSend(), ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isCallRetryable reports whether the call may be forwarded again. One that is not idempotent is sent again
// only when nobody accepted it.
func isCallRetryable(err error, nonRepeatable bool) bool {
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) || isNotAccepted(err) {
		return true
	}
	return !nonRepeatable && isRetryable(err)
}

func (s *Service) callOwner(
	ctx context.Context, request *protocol.ToolCallRequest, runs *runQuota, deadline time.Time,
	explanation *explain.Explanation,
) (directory.Owner, *protocol.ToolCallResponse, error) {
	owner, err := s.ownerOf(ctx, request.GetSession(), request.GetProgram())
	if err != nil {
		return owner, nil, err
	}
	explanation.Update(func(record *protocol.Explanation) {
		record.Owner, record.PartitionHolder = owner.Name, owner.PartitionHolder
	})
	explanation.RecordStep("owner found", owner.Name)
	left, err := s.millisUntil(deadline)
	if err != nil {
		return owner, nil, err
	}
	sent := &protocol.ToolCallRequest{
		RequestId: request.GetRequestId(), Tenant: request.GetTenant(), Program: request.GetProgram(),
		Session: request.GetSession(),
		Tool:    request.GetTool(), Arguments: request.GetArguments(), ProgramBudget: request.GetProgramBudget(),
		Ingress: request.GetIngress(), Nonce: request.GetNonce(), Priority: request.GetPriority(),
		FirstSend: request.GetFirstSend(), Http: request.GetHttp(), TimeLeftMillis: left,
		RunsAllowed: runs.share(owner.Local),
	}
	if owner.Local {
		response, err := s.runCall(ctx, sent)
		if err != nil && failure.From(err).GetOutcome() != protocol.Outcome_NOT_RUN {
			request.FirstSend = false
			runs.consume(sent.GetRunsAllowed())
		}
		return owner, response, err
	}
	s.metrics.forwarded.Inc()
	response, err := s.caller.Call(ctx, owner.Address, &protocol.Request{Body: &protocol.Request_ToolCall{ToolCall: sent}})
	if !isCallNotAccepted(response.GetToolCall(), err) {
		request.FirstSend = false
		runs.consume(sent.GetRunsAllowed())
	}
	return owner, response.GetToolCall(), err
}

// isCallNotAccepted reports whether an owner surely does not run the copy of a call that was sent to it.
func isCallNotAccepted(response *protocol.ToolCallResponse, err error) bool {
	var notSent *wire.NotSentError
	if err != nil {
		return errors.As(err, &notSent) || isNotAccepted(err)
	}
	return response.GetFailure() != nil && isNotAcceptedFailure(response.GetFailure())
}

// rejectCall rejects a call with its proved outcome, as rejectTurn does for turns.
func (s *Service) rejectCall(
	ctx context.Context, request *protocol.ToolCallRequest, nonRepeatable bool, f *protocol.Failure,
) (*protocol.ToolCallResponse, error) {
	if request.GetFirstSend() {
		f.Outcome = protocol.Outcome_NOT_RUN
		return nil, &failure.Error{Failure: f}
	}
	f.Outcome = protocol.Outcome_UNKNOWN
	if !nonRepeatable || request.GetHttp() != nil {
		return nil, &failure.Error{Failure: f}
	}
	result := s.ledgerOperations.Do(ctx, &protocol.LedgerOperation{
		Program: request.GetProgram(),
		Body: &protocol.LedgerOperation_RefuseCall{
			RefuseCall: &protocol.RefuseCall{RequestId: request.GetRequestId()},
		},
	})
	switch {
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_OK:
		f.Outcome = protocol.Outcome_NOT_RUN
	case result.GetCall().GetState() == protocol.CallState_CALL_DONE:
		return turn.RecordedAnswer(result.GetCall()), nil
	default:
	}
	return nil, &failure.Error{Failure: f}
}
