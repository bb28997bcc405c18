package front

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	heartbeatWindow  = 50 * time.Millisecond
	heartbeatBatch   = 512
	heartbeatTimeout = 2 * time.Second
	heartbeatQueue   = 4096
	heartbeatSeconds = 1
)

// relayAnswer is what became of one heartbeat.
type relayAnswer struct {
	intervalSeconds uint32
	err             error
}

type heartbeatEntry struct {
	backEnd *protocol.BackEnd
	answer  chan relayAnswer
}

// heartbeats relays the heartbeats of back ends to the core, many at a time.
type heartbeats struct {
	link    Link
	clock   Clock
	metrics *metrics
	queue   chan heartbeatEntry
}

func newHeartbeats(link Link, clock Clock, metrics *metrics) *heartbeats {
	return &heartbeats{link: link, clock: clock, metrics: metrics, queue: make(chan heartbeatEntry, heartbeatQueue)}
}

// relay hands a heartbeat over and waits for the core's answer.
func (h *heartbeats) relay(ctx context.Context, backEnd *protocol.BackEnd) relayAnswer {
	entry := heartbeatEntry{backEnd: backEnd, answer: make(chan relayAnswer, 1)}
	select {
	case h.queue <- entry:
	case <-ctx.Done():
		return relayAnswer{err: ctx.Err()}
	}
	select {
	case answer := <-entry.answer:
		return answer
	case <-ctx.Done():
		return relayAnswer{err: ctx.Err()}
	}
}

func (h *heartbeats) run(ctx context.Context) {
	for {
		select {
		case first := <-h.queue:
			h.send(ctx, h.collect(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

// collect waits a moment for more heartbeats to send along.
func (h *heartbeats) collect(ctx context.Context, first heartbeatEntry) []heartbeatEntry {
	batch := []heartbeatEntry{first}
	window := h.clock.After(heartbeatWindow)
	for len(batch) < heartbeatBatch {
		select {
		case entry := <-h.queue:
			batch = append(batch, entry)
		case <-window:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (h *heartbeats) send(ctx context.Context, batch []heartbeatEntry) {
	request := &protocol.RelayHeartbeatsRequest{}
	for _, entry := range batch {
		request.Heartbeats = append(request.Heartbeats, &protocol.BackEndHeartbeat{BackEnd: entry.backEnd})
	}
	ctx, cancel := h.clock.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response, err := h.link.CallCore(ctx, &protocol.Request{Body: &protocol.Request_RelayHeartbeats{RelayHeartbeats: request}})
	answer := relayAnswer{intervalSeconds: max(response.GetRelayHeartbeats().GetIntervalSeconds(), heartbeatSeconds), err: err}
	h.metrics.heartbeats.Add(float64(len(batch)))
	for _, entry := range batch {
		entry.answer <- answer
	}
}
