package store_test

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/wire"
)

// network passes requests to the stores in this process.
type network struct {
	fleet *fleet
	from  string
}

func (n *network) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	n.fleet.mutex.Lock()
	to := n.fleet.members[address].store
	cut := n.fleet.cut[address] || n.fleet.cut[n.from]
	intercept := n.fleet.intercept
	n.fleet.mutex.Unlock()
	if cut || to == nil {
		return nil, &wire.NotSentError{Address: address, Cause: errors.New("cut")}
	}
	if intercept != nil {
		intercept(address, request)
	}
	var answer *protocol.Response
	err := to.Serve(ctx, proto.CloneOf(request), func(response *protocol.Response) error {
		answer = proto.CloneOf(response)
		return nil
	})
	return answer, err
}

func (n *network) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errors.New("stores are not streamed to")
}

// link is a store's link to the core, which the fleet plays itself.
type link struct{ fleet *fleet }

func (l *link) View() *corelink.View                     { return l.fleet.View() }
func (l *link) Ready() bool                              { return true }
func (l *link) LocateCore() *protocol.LocateCoreResponse { return &protocol.LocateCoreResponse{} }

func (l *link) CallCore(_ context.Context, request *protocol.Request) (*protocol.Response, error) {
	l.fleet.shardCopied(request.GetShardCopied())
	return &protocol.Response{}, nil
}
