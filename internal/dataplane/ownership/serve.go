package ownership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// reply is the response to a request of another front node, or the holder to which the request is to be forwarded.
type reply struct {
	response *protocol.Response
	relay    *directory.Relay
	err      error
}

// ServeDirectory serves the requests of other front nodes' directories.
func (m *Manager) ServeDirectory(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	answer, err := m.serveOnce(ctx, request)
	if err != nil || answer.relay == nil {
		return answer.response, err
	}
	holder, forwarded := answer.relay, relayed(request)
	response, cause := m.forward(ctx, holder, forwarded)
	if response != nil {
		return response, nil
	}
	m.post(func(s *shell) {
		s.handle(directory.PeerFailed{Address: holder.Address, Failure: cause})
	})
	retried, err := m.serveOnce(ctx, forwarded)
	return retried.response, err
}

// serveOnce serves a request on the owner goroutine.
func (m *Manager) serveOnce(ctx context.Context, request *protocol.Request) (reply, error) {
	answer := make(chan reply, 1)
	if !m.started.Load() || !m.post(func(s *shell) { answer <- s.serve(request) }) {
		return reply{}, notRun(failure.NotReady, "the directory is not running")
	}
	select {
	case result := <-answer:
		return result, result.err
	case <-ctx.Done():
		return reply{}, ctx.Err()
	case <-m.done:
		return reply{}, notRun(failure.NotReady, "the directory is not running")
	}
}

// relayed returns a copy of a lookup request that is marked so that it is not forwarded again.
func relayed(request *protocol.Request) *protocol.Request {
	lookup := proto.CloneOf(request.GetLookupSession())
	lookup.Relayed = true
	return &protocol.Request{Body: &protocol.Request_LookupSession{LookupSession: lookup}}
}

// forward queries the holder on behalf of a node that cannot reach it. The returned failure is meaningful only without
// a response.
func (m *Manager) forward(
	ctx context.Context, to *directory.Relay, request *protocol.Request,
) (*protocol.Response, directory.CallFailure) {
	call, cancel := context.WithTimeout(ctx, to.Timeout)
	defer cancel()
	startedAt := time.Now()
	response, err := m.options.Caller.Call(call, to.Address, request)
	if err != nil {
		return nil, classifyFailure(err, !stalled(time.Since(startedAt), to.Timeout))
	}
	return response, directory.CallInconclusive
}

// serve serves a request as holder, for which this node needs authority.
func (s *shell) serve(request *protocol.Request) reply {
	moment, _ := s.moment()
	if !moment.Authority {
		return reply{err: notRun(failure.NoAuthority, "this node holds no lease")}
	}
	switch body := request.GetBody().(type) {
	case *protocol.Request_LookupSession:
		answer, relay, commands := s.directory.ServeLookup(moment, body.LookupSession)
		s.execute(commands)
		return reply{
			relay: relay, response: &protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: answer}},
		}
	case *protocol.Request_RegisterSessions:
		answer, commands := s.directory.ServeRegister(moment, body.RegisterSessions)
		s.execute(commands)
		return reply{response: &protocol.Response{Body: &protocol.Response_RegisterSessions{RegisterSessions: answer}}}
	case *protocol.Request_UnregisterSessions:
		answer, commands := s.directory.ServeUnregister(moment, body.UnregisterSessions)
		s.execute(commands)
		return reply{response: &protocol.Response{Body: &protocol.Response_UnregisterSessions{UnregisterSessions: answer}}}
	default:
		return reply{err: notRun(failure.UnknownRequest, "not a request to the directory")}
	}
}
