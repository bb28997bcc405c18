package front

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/issue"
	"github.com/rosestand/rosestand/internal/dataplane/front/ledgerops"
	"github.com/rosestand/rosestand/internal/dataplane/front/rollout"
	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
)

// routedSends bounds how often one request of an HTTP route is sent to servers
// of which at most one runs it: the others stated that they did not.
const routedSends = 3

// freeGrant is the grant of a request that belongs to no session: there is nothing to own.
type freeGrant struct{}

// Valid implements Grant.
func (freeGrant) Valid() bool { return true }

// Incarnation implements Grant.
func (freeGrant) Incarnation() uint64 { return 0 }

// End implements Grant.
func (freeGrant) End() {}

// grantFor requests the permission to act as owner of a session, if there is one.
func (s *Service) grantFor(session string) (Grant, error) {
	if session == "" {
		return freeGrant{}, nil
	}
	return s.ownership.Begin(session)
}

// ownerOf finds the owner of a session. What belongs to no session is run where it came in.
func (s *Service) ownerOf(ctx context.Context, session, program string) (directory.Owner, error) {
	if session == "" {
		return directory.Owner{Name: s.name, Local: true}, nil
	}
	return s.ownership.Resolve(ctx, session, program)
}

// beginHTTPTurn starts a turn of an HTTP route as its owner. Other turns of the session may be in
// progress.
func (s *Service) beginHTTPTurn(request *protocol.TurnRequest) (*sessions.TurnLog, error) {
	key := sessions.Key{Session: request.GetSession(), Program: request.GetProgram()}
	grant, err := s.grantFor(key.Session)
	if err != nil {
		return nil, err
	}
	routed := request.GetHttp()
	variant := s.rollout.Policies().VariantFor(request.GetProgram())
	route := &protocol.Route{Name: routed.GetRoute(), Group: routed.GetGroup()}
	deadline := s.clock.Now().Add(timeLeft(request.GetTimeLeftMillis()))
	ctx, cancel := context.WithCancelCause(context.Background())
	live := sessions.NewTurnLog(request, request.GetRequestId(), cancel)
	run := s.newTurnRun(ctx, request, live, grant, variant, route, deadline)
	run.sessionFreed = true
	run.machine = turn.New(turn.Parameters{
		Request: request, TurnID: live.TurnID, Owner: s.name, Incarnation: grant.Incarnation(),
		Budget: routedBudget(request), ReservationLimit: routedReservationLimit(request),
		Retention:     time.Duration(routed.GetKeepMillis()) * time.Millisecond,
		BundleVersion: routed.GetBundleVersion(), AttemptLimit: routedSends,
	})
	s.startRun(run, cancel)
	return live, nil
}

// routedReservationLimit is the most tokens that a turn may forward, rounded up to complete events.
func routedReservationLimit(request *protocol.TurnRequest) uint64 {
	maxTokens := uint64(request.GetMaxOutputTokens())
	if maxTokens == 0 {
		maxTokens = rollout.DefaultMaxOutputTokens
	}
	event := uint64(max(request.GetHttp().GetEventTokens(), 1))
	return (maxTokens + event - 1) / event * event
}

// issueHTTP sends a turn of an HTTP route to the server chosen; its answer is read by receive.
func (r *turnRun) issueHTTP(command turn.Issue) turn.Event {
	r.issuedAt = r.now()
	r.explanation.RecordStep("issued", command.BackEnd)
	r.recordSent(command.MaxTokens)
	stream, err := r.service.routeClient.Stream(r.ctx, issue.RouteRequest{
		Server: r.server, RequestID: r.request.GetRequestId(), HTTP: r.request.GetHttp(),
		Body: joinItems(command.Items), Deadline: r.deadline, Pin: r.pin,
	}, r.request.GetHttp().GetEventTokens())
	if err != nil {
		r.leaveServer()
		return r.issueFailed(err)
	}
	r.generation = stream
	return nil
}

// recordSent records in the group's model that the turn goes to its server. A generation of a step is counted
// apart from other turns.
func (r *turnRun) recordSent(maxTokens uint64) {
	group, prompt := r.route.GetGroup(), backends.RequestPrompt(r.request.GetHttp())
	if r.pin == nil {
		r.server.BeginRequest()
		r.expected = r.server.ExpectAnswer(answerTimeout(r.request.GetHttp(), firstEventTimeoutFactor), r.issuedAt)
		r.issued = r.service.models.RecordSent(group, r.server.ID(), prompt, r.issuedAt)
		return
	}
	cached := r.service.models.RecordStepSent(group, r.server.ID(), prompt, r.issuedAt)
	toRead := backends.PromptTokens(r.request.GetHttp(), prompt)
	r.work = r.server.BeginStep(toRead-min(toRead, cached), maxTokens)
}

// joinItems puts the bytes of a conversation together, oldest first.
func joinItems(items []*protocol.Item) []byte {
	size := 0
	for _, item := range items {
		size += len(item.GetData())
	}
	body := make([]byte, 0, size)
	for _, item := range items {
		body = append(body, item.GetData()...)
	}
	return body
}

// readHTTPHistory reads the conversation that a turn of an HTTP route continues:
// from the owner's cache, from the program's part of the ledger, or from another program's.
func (r *turnRun) readHTTPHistory(lastTurn string) turn.Event {
	if history := r.service.sessions.FindHistory(r.key, lastTurn); history.Known {
		if !r.holdHistory(history.Items) {
			return turn.HistoryRead{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
		}
		r.history = history.Items
		return turn.HistoryRead{Items: history.Items, Tokens: history.Tokens, Status: protocol.LedgerStatus_LEDGER_OK}
	}
	conversation := r.service.ledgerOperations.ReadConversation(r.ctx, r.key.Program, lastTurn, r.holdTurns)
	r.explanation.RecordStep("history read", conversation.Status.String())
	if conversation.Status != protocol.LedgerStatus_LEDGER_OK {
		return turn.HistoryRead{Status: conversation.Status}
	}
	r.history = ledgerops.Items(conversation.Turns)
	foreign := conversation.Program
	if foreign == r.key.Program {
		foreign = ""
	}
	return turn.HistoryRead{
		Items: r.history, Tokens: conversation.Turns[len(conversation.Turns)-1].GetHistoryTokens(), Program: foreign,
		Status: conversation.Status,
	}
}

// expectedWaitShare is the part of its latency objective that a call may expect to wait for a slot. One that
// has to expect more is rejected at once, while its caller still has time to be served elsewhere.
const expectedWaitShare = 0.25

// routedTicket is a request's ticket for a slot.
func routedTicket(routed *protocol.HttpRequest, tenant string, deadline, now time.Time) limit.Ticket {
	ticket := limit.Ticket{Class: rankClass(routed.GetRank()), Tenant: tenant, Weight: 1, Deadline: deadline}
	if left := routed.GetProgramTimeLeftMillis(); left > 0 {
		// A program fails with one of its calls, so a late call is worth more to it than a rejected one.
		ticket.ProgramDeadline = now.Add(millis(left))
		return ticket
	}
	if routed.GetKind() != protocol.HttpRouteKind_HTTP_STREAMING {
		ticket.MaxExpectedWait = time.Duration(expectedWaitShare * float64(millis(routed.GetLatencyObjectiveMillis())))
	}
	return ticket
}

// rankClass maps a route's rank to a class of the admission.
func rankClass(rank uint32) protocol.Priority {
	switch rank {
	case 0:
		return protocol.Priority_URGENT
	case 1:
		return protocol.Priority_INTERACTIVE
	default:
		return protocol.Priority_PROBE
	}
}
