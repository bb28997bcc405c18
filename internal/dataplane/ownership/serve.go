package ownership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// served is the answer to a request of another front node, or where it is to be passed on to.
type served struct {
	response *protocol.Response
	relay    *directory.Relay
	err      error
}

// ServeDirectory answers the requests of other front nodes' directories.
func (m *Manager) ServeDirectory(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	answer, err := m.serveOnce(ctx, request)
	if err != nil || answer.relay == nil {
		return answer.response, err
	}
	holder, passedOn := answer.relay, relayed(request)
	response, failed := m.passOn(ctx, holder, passedOn)
	if response != nil {
		return response, nil
	}
	m.post(func(s *shell) {
		s.handle(directory.PeerFailed{Address: holder.Address, Failure: failed})
	})
	second, err := m.serveOnce(ctx, passedOn)
	return second.response, err
}

// serveOnce has the owner goroutine work a request through.
func (m *Manager) serveOnce(ctx context.Context, request *protocol.Request) (served, error) {
	answer := make(chan served, 1)
	if !m.started.Load() || !m.post(func(s *shell) { answer <- s.serve(request) }) {
		return served{}, notRun(failure.NotReady, "the directory is not running")
	}
	select {
	case result := <-answer:
		return result, result.err
	case <-ctx.Done():
		return served{}, ctx.Err()
	case <-m.done:
		return served{}, notRun(failure.NotReady, "the directory is not running")
	}
}

// relayed is a lookup that is not to be passed on once more.
func relayed(request *protocol.Request) *protocol.Request {
	lookup := proto.CloneOf(request.GetLookupSession())
	lookup.Relayed = true
	return &protocol.Request{Body: &protocol.Request_LookupSession{LookupSession: lookup}}
}

// passOn asks the holder in place of a node that cannot reach it.
func (m *Manager) passOn(ctx context.Context, to *directory.Relay, request *protocol.Request) (*protocol.Response, directory.CallFailure) {
	call, cancel := context.WithTimeout(ctx, to.Timeout)
	defer cancel()
	began := time.Now()
	response, err := m.options.Caller.Call(call, to.Address, request)
	if err != nil {
		return nil, evidenceOf(err, !stalled(time.Since(began), to.Timeout))
	}
	return response, directory.CallInconclusive
}

// serve answers as holder, which this node may do only with authority.
func (s *shell) serve(request *protocol.Request) served {
	at, _ := s.moment()
	if !at.Authority {
		return served{err: notRun(failure.NoAuthority, "this node holds no lease")}
	}
	switch body := request.GetBody().(type) {
	case *protocol.Request_LookupSession:
		answer, relay, commands := s.directory.ServeLookup(at, body.LookupSession)
		s.execute(commands)
		return served{relay: relay, response: &protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: answer}}}
	case *protocol.Request_RegisterSessions:
		answer, commands := s.directory.ServeRegister(at, body.RegisterSessions)
		s.execute(commands)
		return served{response: &protocol.Response{Body: &protocol.Response_RegisterSessions{RegisterSessions: answer}}}
	case *protocol.Request_UnregisterSessions:
		answer, commands := s.directory.ServeUnregister(at, body.UnregisterSessions)
		s.execute(commands)
		return served{response: &protocol.Response{Body: &protocol.Response_UnregisterSessions{UnregisterSessions: answer}}}
	default:
		return served{err: notRun(failure.UnknownRequest, "not a request to the directory")}
	}
}
