package replica

import (
	"bytes"
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

var errUnreachable = errors.New("unreachable")

// caller delivers requests to the replicas of a fleet.
type caller struct {
	fleet *fleet
	from  string
}

func (c *caller) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	c.fleet.mutex.Lock()
	m := c.fleet.machines[address]
	var target *Replica
	if m != nil && c.fleet.reachable(c.from, address) {
		target = m.replica
	}
	responseReachable, unpowered := c.fleet.reachable(address, c.from), c.fleet.unpowered[address]
	c.fleet.mutex.Unlock()
	if unpowered {
		<-ctx.Done()
		return nil, &wire.NotSentError{Address: address, Cause: ctx.Err()}
	}
	if target == nil {
		return nil, &wire.NotSentError{Address: address, Cause: errUnreachable}
	}
	var copied protocol.Request
	data, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	if err := proto.Unmarshal(bytes.Clone(data), &copied); err != nil {
		return nil, err
	}
	if err := c.delay(ctx); err != nil {
		return nil, err
	}
	answer, err := serve(ctx, target, &copied)
	if err := c.delay(ctx); err != nil {
		return nil, err
	}
	if !responseReachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer, err
}

// serve passes a request to a replica and waits for the answer until the context ends, as a connection does. A frozen
// machine serves the request once it wakes, when the caller may be gone.
func serve(ctx context.Context, target *Replica, request *protocol.Request) (*protocol.Response, error) {
	type answer struct {
		response *protocol.Response
		err      error
	}
	answers := make(chan answer, 1)
	go func() {
		response, err := target.ServeWire(ctx, request)
		answers <- answer{response: response, err: err}
	}()
	select {
	case answered := <-answers:
		return answered.response, answered.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// delay waits for the one-way latency of the fleet.
func (c *caller) delay(ctx context.Context) error {
	if c.fleet.latency == 0 {
		return nil
	}
	select {
	case <-time.NewTimer(c.fleet.latency).C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *caller) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errUnreachable
}

// unreachableCaller fails every request, as if no other process could be reached.
type unreachableCaller struct{}

func (unreachableCaller) Call(_ context.Context, address string, _ *protocol.Request) (*protocol.Response, error) {
	return nil, &wire.NotSentError{Address: address, Cause: errUnreachable}
}

func (unreachableCaller) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errUnreachable
}
