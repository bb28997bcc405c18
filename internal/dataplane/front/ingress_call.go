package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// relayCall brings a tool call to the owner of its session and returns the answer.
func (s *Service) relayCall(ctx context.Context, request *protocol.ToolCallRequest, nonRepeatable bool) (*protocol.ToolCallResponse, error) {
	explanation := s.explanations.begin(request.GetRequestId(), request.GetSession(), request.GetProgram())
	explanation.step("taken in", request.GetTool())
	response, err := s.tryCall(ctx, request, nonRepeatable, explanation)
	code := "ok"
	if err != nil {
		code = failure.From(err).GetCode()
	} else if f := response.GetFailure(); f != nil {
		code = f.GetCode()
	}
	s.metrics.calls.WithLabelValues(code).Inc()
	return response, err
}

func (s *Service) tryCall(ctx context.Context, request *protocol.ToolCallRequest, nonRepeatable bool, explanation *explanation) (*protocol.ToolCallResponse, error) {
	deadline := s.clock.Now().Add(timeLeft(request.GetTimeLeftMillis()))
	lastTry := s.clock.Now().Add(windowFor(request.GetHttp()))
	if lastTry.After(deadline) {
		lastTry = deadline
	}
	backoff := firstBackoff
	runs := newRunAllowance(request)
	for {
		owner, response, err := s.callOwner(ctx, request, runs, deadline, explanation)
		if err == nil {
			if f := response.GetFailure(); f == nil || !isNotTakenFailure(f) {
				return response, nil
			}
			err = &failure.Error{Failure: response.GetFailure()}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		explanation.step("not answered", err.Error())
		if runs.isSpent() || !callMayTryAgain(err, nonRepeatable) || !s.clock.Now().Add(backoff).Before(lastTry) {
			return s.refuseCall(ctx, request, nonRepeatable, proto.CloneOf(failureOf(err)))
		}
		s.noteLost(request.GetSession(), owner, err)
		select {
		case <-s.clock.After(backoff):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		backoff = min(2*backoff, mostBackoff)
	}
}

// callMayTryAgain reports whether the call may be brought to an owner again. A
// call that may not be repeated goes again only when nobody took it.
func callMayTryAgain(err error, nonRepeatable bool) bool {
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) || isNotTaken(err) {
		return true
	}
	return !nonRepeatable && mayTryAgain(err)
}

func (s *Service) callOwner(
	ctx context.Context, request *protocol.ToolCallRequest, runs *runAllowance, deadline time.Time, explanation *explanation,
) (directory.Owner, *protocol.ToolCallResponse, error) {
	owner, err := s.ownerOf(ctx, request.GetSession(), request.GetProgram())
	if err != nil {
		return owner, nil, err
	}
	explanation.note(func(record *protocol.Explanation) {
		record.Owner, record.PartitionHolder = owner.Name, owner.PartitionHolder
	})
	explanation.step("owner found", owner.Name)
	left, err := s.millisUntil(deadline)
	if err != nil {
		return owner, nil, err
	}
	sent := &protocol.ToolCallRequest{
		RequestId: request.GetRequestId(), Tenant: request.GetTenant(), Program: request.GetProgram(), Session: request.GetSession(),
		Tool: request.GetTool(), Arguments: request.GetArguments(), ProgramBudget: request.GetProgramBudget(),
		Ingress: request.GetIngress(), Nonce: request.GetNonce(), Priority: request.GetPriority(),
		FirstSend: request.GetFirstSend(), Http: request.GetHttp(), TimeLeftMillis: left, RunsAllowed: runs.share(owner.Local),
	}
	if owner.Local {
		response, err := s.runCall(ctx, sent)
		if err != nil && failure.From(err).GetOutcome() != protocol.Outcome_NOT_RUN {
			request.FirstSend = false
			runs.spend(sent.GetRunsAllowed())
		}
		return owner, response, err
	}
	s.metrics.forwarded.Inc()
	response, err := s.caller.Call(ctx, owner.Address, &protocol.Request{Body: &protocol.Request_ToolCall{ToolCall: sent}})
	if !isUntaken(response.GetToolCall(), err) {
		request.FirstSend = false
		runs.spend(sent.GetRunsAllowed())
	}
	return owner, response.GetToolCall(), err
}

// isUntaken reports whether an owner surely does not run the copy of a call that was sent to it.
func isUntaken(response *protocol.ToolCallResponse, err error) bool {
	var notSent *wire.NotSentError
	if err != nil {
		return errors.As(err, &notSent) || isNotTaken(err)
	}
	return response.GetFailure() != nil && isNotTakenFailure(response.GetFailure())
}

// refuseCall refuses a call truthfully, as refuseTurn does for turns.
func (s *Service) refuseCall(ctx context.Context, request *protocol.ToolCallRequest, nonRepeatable bool, f *protocol.Failure) (*protocol.ToolCallResponse, error) {
	if request.GetFirstSend() {
		f.Outcome = protocol.Outcome_NOT_RUN
		return nil, &failure.Error{Failure: f}
	}
	f.Outcome = protocol.Outcome_UNKNOWN
	if !nonRepeatable || request.GetHttp() != nil {
		return nil, &failure.Error{Failure: f}
	}
	result := s.ledgerDo(ctx, &protocol.LedgerOperation{Program: request.GetProgram(), Body: &protocol.LedgerOperation_RefuseCall{
		RefuseCall: &protocol.RefuseCall{RequestId: request.GetRequestId()},
	}})
	switch {
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_OK:
		f.Outcome = protocol.Outcome_NOT_RUN
	case result.GetCall().GetState() == protocol.CallState_CALL_DONE:
		return turn.RecordedAnswer(result.GetCall()), nil
	default:
	}
	return nil, &failure.Error{Failure: f}
}
