package store_test

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// network delivers requests to the stores of a fleet, within the process.
type network struct {
	fleet *fleet
	from  string
}

func (n *network) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	n.fleet.mutex.Lock()
	to := n.fleet.members[address].store
	partitioned := n.fleet.partitioned[address] || n.fleet.partitioned[n.from]
	intercept := n.fleet.intercept
	resumed := n.fleet.suspended[address]
	if from := n.fleet.suspended[n.from]; from != nil {
		resumed = from
	}
	n.fleet.mutex.Unlock()
	if partitioned || to == nil {
		return nil, &wire.NotSentError{Address: address, Cause: errors.New("partitioned")}
	}
	if intercept != nil {
		intercept(address, request)
	}
	if resumed != nil {
		return n.callAfterResume(ctx, resumed, to, request)
	}
	return serve(ctx, to, request)
}

func serve(ctx context.Context, to *store.Supervisor, request *protocol.Request) (*protocol.Response, error) {
	var answer *protocol.Response
	err := to.Serve(ctx, proto.CloneOf(request), func(response *protocol.Response) error {
		answer = proto.CloneOf(response)
		return nil
	})
	return answer, err
}

// callAfterResume delivers a request once the suspended store resumes, even if its caller has stopped waiting.
func (n *network) callAfterResume(
	ctx context.Context, resumed <-chan struct{}, to *store.Supervisor, request *protocol.Request,
) (*protocol.Response, error) {
	type result struct {
		response *protocol.Response
		err      error
	}
	answers := make(chan result, 1)
	copied := proto.CloneOf(request)
	go func() { //nolint:contextcheck // the request arrives even if its caller has stopped waiting
		<-resumed
		response, err := serve(context.Background(), to, copied)
		answers <- result{response: response, err: err}
	}()
	select {
	case answer := <-answers:
		return answer.response, answer.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *network) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errors.New("the test network does not support streams")
}

// link is a store's link to the core, which the fleet implements.
type link struct {
	fleet *fleet
	store string
}

func (l *link) View() *corelink.View                     { return l.fleet.viewFor(l.store) }
func (l *link) Ready() bool                              { return true }
func (l *link) LocateCore() *protocol.LocateCoreResponse { return &protocol.LocateCoreResponse{} }

func (l *link) CallCore(_ context.Context, request *protocol.Request) (*protocol.Response, error) {
	l.fleet.shardCopied(request.GetShardCopied())
	return &protocol.Response{}, nil
}
