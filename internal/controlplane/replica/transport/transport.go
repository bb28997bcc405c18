// Package transport sends the messages of consensus to the other members of the core.
//
// Messages may be lost: the consensus protocol resends what is still needed. A full queue drops its oldest
// message, and a message that has been queued for too long is not sent, since old heartbeats would make their
// receivers reject votes after the leader has stepped down.
package transport

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// queueCapacity is the largest number of messages that are queued for one address.
const queueCapacity = 128

// Metrics count messages.
type Metrics struct {
	// Sent counts the messages that the receiving process acknowledged, SendFailures those that it did not.
	Sent, SendFailures prometheus.Counter
	// Dropped counts the messages that were never sent.
	Dropped prometheus.Counter
}

// Options configure a Transport; all are required.
type Options struct {
	Caller wire.Caller
	// Now returns the current time, which must not go backwards.
	Now func() time.Time
	// CallTimeout bounds the sending of one message, and MaxQueueTime its time in a queue.
	CallTimeout, MaxQueueTime time.Duration
	Metrics                   Metrics
}

// Transport sends messages to members, with one goroutine for each address in use. Its methods
// belong to the owner goroutine of the replica. Close ends the goroutines.
type Transport struct {
	options Options
	context context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup

	queues map[string]chan queuedMessage
	// configured are the addresses in the configuration, by member; addresses are those in use,
	// which may be newer.
	addresses, configured map[uint64]string
}

type queuedMessage struct {
	message  *protocol.ConsensusMessage
	queuedAt time.Time
}

// New creates a transport without members.
func New(options Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		options: options, context: ctx, cancel: cancel, queues: map[string]chan queuedMessage{},
		addresses: map[uint64]string{}, configured: map[uint64]string{},
	}
}

// Close ends the goroutines that send and waits for them. Queued messages are lost.
func (t *Transport) Close() {
	t.cancel()
	t.senders.Wait()
}

// Address returns the address in use of a member, or an empty string.
func (t *Transport) Address(member uint64) string { return t.addresses[member] }

// ObserveAddress records the address that a member sent from; it is newer than the configuration.
func (t *Transport) ObserveAddress(member uint64, address string) {
	if address != "" {
		t.addresses[member] = address
	}
}

// SetMembers applies a new configuration: it ends the senders to addresses that no member uses.
func (t *Transport) SetMembers(configuration *protocol.CoreConfiguration) {
	members, inUse := map[uint64]bool{}, map[string]bool{}
	for _, member := range configuration.GetMembers() {
		id, address := member.GetId(), member.GetAddress()
		if t.addresses[id] == "" || t.configured[id] != address {
			t.addresses[id] = address
		}
		t.configured[id] = address
		members[id] = true
		inUse[t.addresses[id]] = true
	}
	for id := range t.addresses {
		if !members[id] {
			delete(t.addresses, id)
			delete(t.configured, id)
		}
	}
	for address, queue := range t.queues {
		if !inUse[address] {
			close(queue)
			delete(t.queues, address)
		}
	}
}

// Send queues a message for the member that it is addressed to. It never blocks.
func (t *Transport) Send(message *protocol.ConsensusMessage) {
	address := t.addresses[message.GetTo()]
	if address == "" {
		return
	}
	queue := t.queue(address)
	queued := queuedMessage{message: message, queuedAt: t.options.Now()}
	for {
		select {
		case queue <- queued:
			return
		default:
			t.dropOldest(queue)
		}
	}
}

// queue returns the queue of an address and starts its sender if there is none.
func (t *Transport) queue(address string) chan queuedMessage {
	queue := t.queues[address]
	if queue == nil {
		queue = make(chan queuedMessage, queueCapacity)
		t.queues[address] = queue
		t.senders.Go(func() { t.sendAll(address, queue) })
	}
	return queue
}

// Purge drops the queued messages, as when leadership was lost.
func (t *Transport) Purge() {
	for _, queue := range t.queues {
		for count := len(queue); count > 0; count-- {
			t.dropOldest(queue)
		}
	}
}

func (t *Transport) dropOldest(queue <-chan queuedMessage) {
	select {
	case <-queue:
		t.options.Metrics.Dropped.Inc()
	default:
		// The sender has taken the message in the meantime.
	}
}

// sendAll sends the messages of a queue until it or the transport is closed.
func (t *Transport) sendAll(address string, queue <-chan queuedMessage) {
	for {
		select {
		case <-t.context.Done():
			return
		case queued, ok := <-queue:
			if !ok {
				return
			}
			if t.options.Now().Sub(queued.queuedAt) > t.options.MaxQueueTime {
				t.options.Metrics.Dropped.Inc()
				continue
			}
			t.call(address, queued.message)
		}
	}
}

func (t *Transport) call(address string, message *protocol.ConsensusMessage) {
	ctx, cancel := context.WithTimeout(t.context, t.options.CallTimeout)
	defer cancel()
	request := &protocol.Request{Body: &protocol.Request_Consensus{Consensus: message}}
	if _, err := t.options.Caller.Call(ctx, address, request); err != nil {
		t.options.Metrics.SendFailures.Inc()
		return
	}
	t.options.Metrics.Sent.Inc()
}
