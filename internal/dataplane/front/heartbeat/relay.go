package heartbeat

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// Window is how long a batch waits for further heartbeats.
	Window = 50 * time.Millisecond
	// Timeout bounds one request to the core.
	Timeout = 2 * time.Second

	maxBatch   = 512
	maxWaiting = 4096
	// minIntervalSeconds is the interval that a back end is answered when the core names none.
	minIntervalSeconds = 1
)

// Core takes requests to the leader of the core.
type Core interface {
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
}

// Clock waits and bounds contexts.
type Clock interface {
	After(wait time.Duration) <-chan time.Time
	WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc)
}

// Answer is the core's answer to one heartbeat.
type Answer struct {
	// IntervalSeconds is the time until the back end's next heartbeat.
	IntervalSeconds uint32
	// Err is that of the request to the core, or of the caller's context.
	Err error
}

type entry struct {
	backEnd *protocol.BackEnd
	answer  chan Answer
}

// Relay collects heartbeats and sends them to the core in batches. The goroutine of Run alone sends;
// Relay may be called from any goroutine.
type Relay struct {
	core    Core
	clock   Clock
	relayed prometheus.Counter
	waiting chan entry
}

// NewRelay makes a relay that counts what it relays; Run does its work.
func NewRelay(core Core, clock Clock, relayed prometheus.Counter) *Relay {
	return &Relay{core: core, clock: clock, relayed: relayed, waiting: make(chan entry, maxWaiting)}
}

// Relay hands a heartbeat over and waits for the core's answer or the context's end.
func (r *Relay) Relay(ctx context.Context, backEnd *protocol.BackEnd) Answer {
	added := entry{backEnd: backEnd, answer: make(chan Answer, 1)}
	select {
	case r.waiting <- added:
	case <-ctx.Done():
		return Answer{Err: ctx.Err()}
	}
	select {
	case answer := <-added.answer:
		return answer
	case <-ctx.Done():
		return Answer{Err: ctx.Err()}
	}
}

// Run sends batches until the context ends.
func (r *Relay) Run(ctx context.Context) {
	for {
		select {
		case first := <-r.waiting:
			r.send(ctx, r.collect(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

// collect waits one window for heartbeats to send along with the first.
func (r *Relay) collect(ctx context.Context, first entry) []entry {
	batch := []entry{first}
	window := r.clock.After(Window)
	for len(batch) < maxBatch {
		select {
		case added := <-r.waiting:
			batch = append(batch, added)
		case <-window:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (r *Relay) send(ctx context.Context, batch []entry) {
	request := &protocol.RelayHeartbeatsRequest{}
	for _, queued := range batch {
		request.Heartbeats = append(request.Heartbeats, &protocol.BackEndHeartbeat{BackEnd: queued.backEnd})
	}
	ctx, cancel := r.clock.WithTimeout(ctx, Timeout)
	defer cancel()
	response, err := r.core.CallCore(ctx, &protocol.Request{
		Body: &protocol.Request_RelayHeartbeats{RelayHeartbeats: request},
	})
	answer := Answer{
		IntervalSeconds: max(response.GetRelayHeartbeats().GetIntervalSeconds(), minIntervalSeconds), Err: err,
	}
	r.relayed.Add(float64(len(batch)))
	for _, queued := range batch {
		queued.answer <- answer
	}
}
