package front_test

import (
	"context"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// network carries requests between the services of a spec.
type network struct {
	mutex sync.Mutex
	peers map[string]wire.Handler
	// partitioned breaks the stream to an address after this number of answers.
	partitioned map[string]int
	// partitionWhen delays the break until it is closed.
	partitionWhen map[string]chan struct{}
	// unreachable addresses accept nothing.
	unreachable map[string]bool
}

func (n *network) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	stream, err := n.Open(ctx, address, request)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	return stream.Receive()
}

func (n *network) Open(ctx context.Context, address string, request *protocol.Request) (wire.Stream, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	peer := n.peers[address]
	if peer == nil || n.unreachable[address] {
		return nil, &wire.NotSentError{Address: address, Cause: io.ErrClosedPipe}
	}
	ctx, cancel := context.WithCancel(ctx)
	remaining, limited := n.partitioned[address]
	delete(n.partitioned, address)
	stream := &memoryStream{
		address: address, answers: make(chan *protocol.Response, 4096), cancel: cancel,
		limited: limited, remaining: remaining, when: n.partitionWhen[address],
	}
	go func() {
		stream.err = peer.Serve(ctx, proto.CloneOf(request), func(response *protocol.Response) error {
			stream.answers <- proto.CloneOf(response)
			return ctx.Err()
		})
		close(stream.answers)
	}()
	return stream, nil
}

type memoryStream struct {
	address   string
	answers   chan *protocol.Response
	err       error
	cancel    context.CancelFunc
	limited   bool
	remaining int
	when      chan struct{}
}

func (s *memoryStream) Receive() (*protocol.Response, error) {
	if s.limited && s.remaining == 0 {
		if s.when != nil {
			<-s.when
		}
		return nil, &wire.BrokenError{Address: s.address, Cause: io.ErrUnexpectedEOF}
	}
	s.remaining--
	answer, more := <-s.answers
	if more {
		return answer, nil
	}
	if s.err != nil {
		return nil, &failure.Error{Failure: failure.From(s.err)}
	}
	return nil, io.EOF
}

func (s *memoryStream) Close() { s.cancel() }
