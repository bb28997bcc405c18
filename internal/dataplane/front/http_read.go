package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rosestand/rosestand/internal/dataplane/front/callerapi"
	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// resumeDeadline bounds how long a resumed stream may last.
const resumeDeadline = maxDeadline

// readQuery are the parameters of GET /v1/responses/{id}.
type readQuery struct {
	id      string
	program string
	stream  bool
	after   sessions.Cursor
}

func parseReadQuery(c *gin.Context) (readQuery, error) {
	query := readQuery{id: c.Param("id"), program: c.Query("program")}
	if query.program == "" {
		return query, callerapi.MissingField("program")
	}
	if ledger.IsReservedProgram(query.program) {
		return query, callerapi.ReservedProgram()
	}
	if text := c.Query("stream"); text != "" {
		stream, err := strconv.ParseBool(text)
		if err != nil {
			return query, callerapi.InvalidField("stream", "must be true or false")
		}
		query.stream = stream
	}
	after := c.Query("starting_after")
	if after == "" {
		after = c.GetHeader("Last-Event-ID")
	}
	var err error
	query.after, err = parseCursor(after)
	return query, err
}

// parseCursor reads "sequence" of the first attempt, or "attempt-sequence" as in the id of an event.
func parseCursor(text string) (sessions.Cursor, error) {
	if text == "" {
		return sessions.Cursor{}, nil
	}
	attemptText, sequenceText, found := strings.Cut(text, "-")
	if !found {
		attemptText, sequenceText = "1", text
	}
	attempt, attemptError := strconv.ParseUint(attemptText, 10, 32)
	sequence, sequenceError := strconv.ParseUint(sequenceText, 10, 64)
	if attemptError != nil || sequenceError != nil || attempt == 0 {
		return sessions.Cursor{}, callerapi.InvalidField("starting_after", "must be a sequence number or the id of an event")
	}
	return sessions.Cursor{Attempt: uint32(attempt), Sequence: sequence}, nil
}

// getResponse reads a turn, or its stream again.
func (a *api) getResponse(c *gin.Context) {
	query, err := parseReadQuery(c)
	if err != nil {
		writeError(c, err)
		return
	}
	policy, err := a.tenant(c, a.service.rollout.Policies().VariantFor(query.program))
	if err != nil {
		writeError(c, err)
		return
	}
	ctx, cancel := a.service.clock.WithTimeout(c.Request.Context(), resumeDeadline)
	defer cancel()
	current, err := a.service.findTurn(ctx, query, policy.GetName())
	if err != nil {
		writeError(c, err)
		return
	}
	if query.stream {
		a.resume(ctx, c, query, current)
		return
	}
	if current.retained == nil {
		c.JSON(http.StatusOK, callerapi.InProgressObject(query.id, current.requestID, current.session, query.program))
		return
	}
	c.JSON(http.StatusOK, callerapi.RetainedObject(current.retained))
}

// ledgerTurn is a turn as the ledger knows it: retained, or in progress in a session.
type ledgerTurn struct {
	retained  *protocol.Turn
	session   string
	requestID string
}

// findTurn looks a turn up in the ledger. It is missing only when the ledger's
// majority says so after the program's record was read.
func (s *Service) findTurn(ctx context.Context, query readQuery, tenant string) (ledgerTurn, error) {
	result := s.ledgerOperations.Do(ctx, &protocol.LedgerOperation{
		Program: query.program, Body: &protocol.LedgerOperation_ReadProgram{ReadProgram: &protocol.ReadProgram{}},
	})
	switch {
	case result.GetStatus() == protocol.LedgerStatus_LEDGER_UNKNOWN_PROGRAM,
		result.GetStatus() == protocol.LedgerStatus_LEDGER_OK && result.GetProgram().GetTenant() != tenant:
		return ledgerTurn{}, failure.New(failure.UnknownProgram, protocol.Outcome_NOT_RUN, "the program is not known",
			failure.WithPath("program"))
	case result.GetStatus() != protocol.LedgerStatus_LEDGER_OK:
		return ledgerTurn{}, ledgerUnavailable()
	}
	for _, open := range result.GetProgram().GetReservations() {
		if turn.ID(query.program, open.GetRequestId()) == query.id {
			return ledgerTurn{session: open.GetSession(), requestID: open.GetRequestId()}, nil
		}
	}
	retained, status := s.ledgerOperations.ReadTurn(ctx, query.program, query.id)
	switch status {
	case protocol.LedgerStatus_LEDGER_OK:
		return ledgerTurn{retained: retained, session: retained.GetSession(), requestID: retained.GetRequestId()}, nil
	case protocol.LedgerStatus_LEDGER_TURN_MISSING:
		return ledgerTurn{}, failure.New(failure.TurnMissing, protocol.Outcome_NOT_RUN, "the turn is not kept",
			failure.WithPath("id"))
	default:
		return ledgerTurn{}, ledgerUnavailable()
	}
}

func ledgerUnavailable() error {
	return failure.New(failure.LedgerUnavailable, protocol.Outcome_NOT_RUN, "the ledger did not answer in time",
		failure.WithRetryAfter(time.Second))
}

// resume streams a turn after the caller's last event: from its owner with the
// numbers it had, or from the ledger as an attempt of its own.
func (a *api) resume(ctx context.Context, c *gin.Context, query readQuery, current ledgerTurn) {
	request := &protocol.TurnRequest{RequestId: current.requestID, Session: current.session, Program: query.program}
	if current.retained != nil {
		request.Model, request.PreviousTurn = current.retained.GetModel(), current.retained.GetPreviousTurn()
	}
	created := &protocol.TurnCreated{
		TurnId: query.id, RequestId: current.requestID, BackEnd: current.retained.GetBackEnd(),
		Epoch: current.retained.GetEpoch(),
	}
	stream, err := callerapi.ResumeEventStream(c.Writer, request, created, query.after)
	if err != nil {
		return
	}
	relayed := &turnForwarder{
		service: a.service, request: request, deliver: stream.Send, position: query.after,
		explanation: a.service.explanations.Begin(current.requestID, current.session, query.program),
	}
	relayed.explanation.RecordStep("resumed", fmtCursor(query.after))
	err = a.service.resumeFromOwner(ctx, relayed, query, current)
	if err == nil || relayed.deliveryError != nil || ctx.Err() != nil {
		endStream(c, stream, err)
		return
	}
	endStream(c, stream, a.resumeFromLedger(ctx, relayed, query, current, err))
}

func fmtCursor(at sessions.Cursor) string {
	return strconv.FormatUint(uint64(at.Attempt), 10) + "-" + strconv.FormatUint(at.Sequence, 10)
}

// resumeFromOwner follows the turn at the front node that owns its session.
func (s *Service) resumeFromOwner(ctx context.Context, r *turnForwarder, query readQuery, current ledgerTurn) error {
	owner, err := s.ownership.Resolve(ctx, current.session, query.program)
	if err != nil {
		return err
	}
	if owner.Local {
		live := s.sessions.FindTurn(sessions.Key{Session: current.session, Program: query.program}, query.id)
		if live == nil {
			return failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, "the turn is not under way here")
		}
		return live.Follow(ctx, query.after, r.deliverEvent)
	}
	stream, err := s.caller.Open(ctx, owner.Address, &protocol.Request{Body: &protocol.Request_ResumeTurn{
		ResumeTurn: &protocol.ResumeTurnRequest{
			TurnId: query.id, Program: query.program, Session: current.session,
			LastAttempt: query.after.Attempt, StartingAfter: query.after.Sequence,
		},
	}})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		response, err := stream.Receive()
		if err != nil {
			return err
		}
		if err := r.deliverEvent(response.GetTurnEvent()); err != nil || r.done {
			return err
		}
	}
}

// resumeFromLedger replays a retained turn. A turn that is still open in the ledger but unknown to its owner
// is about to end; the caller is answered when to retry.
func (a *api) resumeFromLedger(
	ctx context.Context, r *turnForwarder, query readQuery, current ledgerTurn, cause error,
) error {
	retained := current.retained
	if retained == nil {
		read, status := a.service.ledgerOperations.ReadTurn(ctx, query.program, query.id)
		if status != protocol.LedgerStatus_LEDGER_OK {
			f := forwardingFailure(cause)
			return failure.New(failure.Unavailable, protocol.Outcome_UNKNOWN, "the turn cannot be followed now: "+f.GetMessage(),
				failure.WithRetryAfter(time.Second))
		}
		retained = read
	}
	return r.deliverRetained(retained)
}
