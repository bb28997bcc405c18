package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/callerapi"
	"github.com/rosestand/rosestand/internal/dataplane/front/ledgerops"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// routedTenant is the tenant of all programs that come in by HTTP routes, which know no tenants.
	routedTenant = "routes"
	// defaultRetryAfter is answered with a rejection that names no time.
	defaultRetryAfter = 100 * time.Millisecond
	// routedWriteTimeout is how long writing one part of an answer to a slow caller may take.
	routedWriteTimeout = 10 * time.Second
)

// serveStream serves a request that is answered with a stream.
func (a *routeAPI) serveStream(
	ctx context.Context, writer http.ResponseWriter, accepted *acceptedRequest, open *openRequest,
) {
	request := &protocol.TurnRequest{
		RequestId: accepted.id, Tenant: routedTenant, Program: accepted.program, Session: accepted.session,
		MaxOutputTokens: accepted.maxOutputTokens,
		TimeLeftMillis:  uint32(accepted.timeLeft.Milliseconds()), ProgramBudget: accepted.budget, Ingress: a.service.name,
		FirstSend: true, Http: accepted.http, TrainingStep: accepted.step, Model: accepted.model,
	}
	request.Input = []*protocol.Item{{Data: accepted.http.GetBody()}}
	accepted.http.Body = nil
	if accepted.http.GetStateful() {
		request.PreviousTurn = accepted.previous
	}
	stream := &routedStream{
		writer: writer, method: accepted.http.GetMethod(),
		controller: http.NewResponseController(writer), open: open,
	}
	if err := a.service.forwardTurn(ctx, request, stream.send); err != nil {
		stream.fail(failure.From(err))
	}
}

// routedStream writes a server's stream to a caller, each event as it comes.
type routedStream struct {
	writer     http.ResponseWriter
	method     string
	controller *http.ResponseController
	begun      bool
	open       *openRequest
}

func (s *routedStream) send(event *protocol.TurnEvent) error {
	switch body := event.GetBody().(type) {
	case *protocol.TurnEvent_Created:
		if body.Created.GetHead() == nil {
			return nil
		}
		return s.begin(body.Created.GetHead())
	case *protocol.TurnEvent_Delta:
		return s.write(body.Delta.GetEvent())
	case *protocol.TurnEvent_Answered:
		s.begun = true
		writeAnswer(s.writer, s.method, body.Answered)
	case *protocol.TurnEvent_Failed:
		s.fail(body.Failed)
	}
	return nil
}

func (s *routedStream) begin(head *protocol.HttpAnswer) error {
	s.begun = true
	s.open.advance(stageAnswering)
	copyHeaders(s.writer.Header(), head.GetHeaders())
	s.writer.WriteHeader(int(head.GetStatus()))
	return s.flush()
}

func (s *routedStream) write(event []byte) error {
	// A writer that knows no deadlines, as in tests, is never slow.
	_ = s.controller.SetWriteDeadline(time.Now().Add(routedWriteTimeout))
	if _, err := s.writer.Write(event); err != nil {
		return callerapi.SlowReader(err)
	}
	return s.flush()
}

func (s *routedStream) flush() error {
	if err := s.controller.Flush(); err != nil {
		return callerapi.SlowReader(err)
	}
	return nil
}

// fail answers with a failure, or aborts the connection when the answer has begun: a truncated answer must not
// look complete.
func (s *routedStream) fail(f *protocol.Failure) {
	if s.begun {
		panic(http.ErrAbortHandler)
	}
	s.begun = true
	writeRoutedFailure(s.writer, f)
}

// serveCall serves a request that is answered at once.
func (a *routeAPI) serveCall(ctx context.Context, writer http.ResponseWriter, accepted *acceptedRequest) {
	idempotent := accepted.http.GetKind() == protocol.HttpRouteKind_HTTP_REPEATABLE
	answer, err := a.service.forwardCall(ctx, &protocol.ToolCallRequest{
		RequestId: accepted.id, Tenant: routedTenant, Program: accepted.program, Session: accepted.session,
		Tool:           accepted.http.GetRoute(),
		TimeLeftMillis: uint32(accepted.timeLeft.Milliseconds()), Ingress: a.service.name, FirstSend: true,
		Http: accepted.http,
	}, !idempotent)
	switch {
	case err != nil:
		writeRoutedFailure(writer, failure.From(err))
	case answer.GetFailure() != nil:
		writeRoutedFailure(writer, answer.GetFailure())
	default:
		writeAnswer(writer, accepted.http.GetMethod(),
			&protocol.HttpAnswer{Status: answer.GetStatus(), Headers: answer.GetHeaders(), Body: answer.GetBody()})
	}
}

func copyHeaders(to http.Header, headers []*protocol.HttpHeader) {
	// Nothing is added to the server's answer.
	to["Date"], to["Content-Type"] = nil, nil
	for _, header := range headers {
		to[header.GetName()] = append(to[header.GetName()], header.GetValue())
	}
}

// writeAnswer writes a server's complete answer to a request of a method.
func writeAnswer(writer http.ResponseWriter, method string, answer *protocol.HttpAnswer) {
	copyHeaders(writer.Header(), answer.GetHeaders())
	if hasBody(method, answer.GetStatus()) {
		writer.Header().Set("Content-Length", strconv.Itoa(len(answer.GetBody())))
	}
	writer.WriteHeader(int(answer.GetStatus()))
	_, _ = writer.Write(answer.GetBody())
}

// hasBody reports whether an answer has a body, whose length is stated then.
func hasBody(method string, status uint32) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeRoutedFailure answers with a failure of this system. A status from which callers conclude that nothing
// ran is used only where that is certain.
func writeRoutedFailure(writer http.ResponseWriter, f *protocol.Failure) {
	status := routedStatus(f)
	header := writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(retryWait(f).Seconds(), 'f', 3, 64))
	}
	text := f.GetCode() + ": " + f.GetMessage() + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	_, _ = writer.Write([]byte(text))
}

// retryWait is how long a caller should wait before it comes back. What another
// front node can serve may be sent at once; what none can serve needs time for repair.
func retryWait(f *protocol.Failure) time.Duration {
	switch failure.Code(f.GetCode()) {
	case failure.LedgerUnavailable:
		return ledgerops.RepairRetryAfter
	case failure.Draining, failure.NoAuthority, failure.NotOwner, failure.Fenced:
		return defaultRetryAfter
	}
	if wait := time.Duration(f.GetRetryAfterMillis()) * time.Millisecond; wait > 0 {
		return wait
	}
	return defaultRetryAfter
}

// routedStatus maps a failure to the status that callers of HTTP routes act on.
func routedStatus(f *protocol.Failure) int {
	code := failure.Code(f.GetCode())
	if f.GetOutcome() != protocol.Outcome_NOT_RUN {
		if code == failure.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch code {
	case failure.BudgetSpent, failure.TurnMissing, failure.UnknownRoute, failure.HeaderTooLarge,
		failure.BodyTooLarge, failure.InvalidBody, failure.InvalidField, failure.StepMismatch:
		return code.Status()
	default:
		return http.StatusServiceUnavailable
	}
}
