package front

import (
	"context"

	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Serve answers the requests of peers: turns and calls to be run as owner,
// directory requests, explanations, where the core is, and operations of the
// ledger for front nodes that do not reach the stores.
func (s *Service) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	switch body := request.GetBody().(type) {
	case *protocol.Request_Turn:
		return s.serveTurn(ctx, body.Turn, send)
	case *protocol.Request_ResumeTurn:
		return s.serveResume(ctx, body.ResumeTurn, send)
	case *protocol.Request_ToolCall:
		return s.serveCall(ctx, body.ToolCall, send)
	case *protocol.Request_Ledger:
		return s.ledgerOperations.Serve(ctx, body.Ledger, send)
	case *protocol.Request_Explain:
		return send(&protocol.Response{Body: &protocol.Response_Explain{Explain: &protocol.ExplainResponse{
			Explanations: s.explanations.Find(body.Explain.GetRequestId()),
		}}})
	case *protocol.Request_LocateCore:
		return send(&protocol.Response{Body: &protocol.Response_LocateCore{LocateCore: s.link.LocateCore()}})
	case *protocol.Request_LookupSession, *protocol.Request_RegisterSessions, *protocol.Request_UnregisterSessions:
		response, err := s.ownership.ServeDirectory(ctx, request)
		if err != nil {
			return err
		}
		return send(response)
	default:
		return failure.New(failure.UnknownRequest, protocol.Outcome_NOT_RUN, "a front node does not serve this request")
	}
}

func (s *Service) serveTurn(
	ctx context.Context, request *protocol.TurnRequest, send func(*protocol.Response) error,
) error {
	defer s.beginPeerRequest()()
	live, err := s.beginTurn(request) //nolint:contextcheck // a turn outlives the caller that began it
	if err != nil {
		return err
	}
	return live.Follow(ctx, sessions.Cursor{}, sendEvents(send))
}

func (s *Service) serveResume(
	ctx context.Context, request *protocol.ResumeTurnRequest, send func(*protocol.Response) error,
) error {
	defer s.beginPeerRequest()()
	key := sessions.Key{Session: request.GetSession(), Program: request.GetProgram()}
	live := s.sessions.FindTurn(key, request.GetTurnId())
	if live == nil {
		return failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, "the turn is not under way here")
	}
	return live.Follow(ctx, sessions.Cursor{Attempt: request.GetLastAttempt(), Sequence: request.GetStartingAfter()},
		sendEvents(send))
}

// beginPeerRequest counts a request of a peer until end is called. The run of a turn or call ends before the peer has
// its last event.
func (s *Service) beginPeerRequest() (end func()) {
	s.peerRequests.Add(1)
	return func() { s.peerRequests.Add(-1) }
}

func sendEvents(send func(*protocol.Response) error) func(*protocol.TurnEvent) error {
	return func(event *protocol.TurnEvent) error {
		return send(&protocol.Response{Body: &protocol.Response_TurnEvent{TurnEvent: event}})
	}
}

func (s *Service) serveCall(
	ctx context.Context, request *protocol.ToolCallRequest, send func(*protocol.Response) error,
) error {
	defer s.beginPeerRequest()()
	response, err := s.runCall(ctx, request)
	if err != nil {
		return err
	}
	return send(&protocol.Response{Body: &protocol.Response_ToolCall{ToolCall: response}})
}
