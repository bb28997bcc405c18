package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	queueCapacity = 128
	// waitShare is the part of the election timeout after which a message is too old to be sent.
	queueTimeDivisor = 2
)

// transport sends messages to members, one goroutine for each address. A full queue loses its
// oldest message, and one that has waited for long is not sent any more; the protocol makes up for
// both. Old heartbeats would else go on to hold votes back after their leader has given up.
type transport struct {
	caller  wire.Caller
	clock   Clock
	timeout time.Duration
	// longestWait is how long a message may wait in its queue.
	maxQueueTime time.Duration
	metrics      *metrics

	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	// All belong to the replica's owner goroutine. configured is what the configuration says,
	// addresses what is used.
	queues                map[string]chan queuedMessage
	addresses, configured map[uint64]string
}

// queuedMessage is a message on its way and when it was queued.
type queuedMessage struct {
	message  *protocol.ConsensusMessage
	queuedAt time.Time
}

func newTransport(options Options, metrics *metrics) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &transport{
		caller: options.Caller, clock: options.Clock, metrics: metrics, context: ctx, cancel: cancel,
		timeout: options.ElectionTimeout, maxQueueTime: options.ElectionTimeout / queueTimeDivisor,
		queues: map[string]chan queuedMessage{}, addresses: map[uint64]string{},
		configured: map[uint64]string{},
	}
}

// learn notes where a member sent from; that is newer than what the configuration says.
func (t *transport) observeAddress(member uint64, address string) {
	if address != "" {
		t.addresses[member] = address
	}
}

// fit forgets addresses and ends senders that no member of the configuration needs.
func (t *transport) setMembers(configuration *protocol.CoreConfiguration) {
	for _, member := range configuration.GetMembers() {
		id, address := member.GetId(), member.GetAddress()
		if t.addresses[id] == "" || t.configured[id] != address {
			t.addresses[id] = address
		}
		t.configured[id] = address
	}
	members, needed := map[uint64]bool{}, map[string]bool{}
	for _, member := range configuration.GetMembers() {
		members[member.GetId()] = true
		needed[t.addresses[member.GetId()]] = true
	}
	for id := range t.addresses {
		if !members[id] {
			delete(t.addresses, id)
			delete(t.configured, id)
		}
	}
	for address, queue := range t.queues {
		if !needed[address] {
			close(queue)
			delete(t.queues, address)
		}
	}
}

func (t *transport) send(message *protocol.ConsensusMessage) {
	address := t.addresses[message.GetTo()]
	if address == "" {
		return
	}
	queue := t.queues[address]
	if queue == nil {
		queue = make(chan queuedMessage, queueCapacity)
		t.queues[address] = queue
		t.running.Add(1)
		go t.sendLoop(address, queue)
	}
	queued := queuedMessage{message: message, queuedAt: t.clock.Now()}
	for {
		select {
		case queue <- queued:
			return
		default:
		}
		select {
		case <-queue:
			t.metrics.messagesDropped.Inc()
		default:
		}
	}
}

// purge drops what waits, as when leadership was lost.
func (t *transport) purge() {
	for _, queue := range t.queues {
		for waiting := len(queue); waiting > 0; waiting-- {
			select {
			case <-queue:
				t.metrics.messagesDropped.Inc()
			default:
			}
		}
	}
}

func (t *transport) sendLoop(address string, queue <-chan queuedMessage) {
	defer t.running.Done()
	for {
		select {
		case <-t.context.Done():
			return
		case queued, open := <-queue:
			if !open {
				return
			}
			if t.clock.Now().Sub(queued.queuedAt) > t.maxQueueTime {
				t.metrics.messagesDropped.Inc()
				continue
			}
			t.call(address, queued.message)
		}
	}
}

func (t *transport) call(address string, message *protocol.ConsensusMessage) {
	ctx, cancel := context.WithTimeout(t.context, t.timeout)
	defer cancel()
	request := &protocol.Request{Body: &protocol.Request_Consensus{Consensus: message}}
	if _, err := t.caller.Call(ctx, address, request); err != nil {
		t.metrics.sendFailures.Inc()
		return
	}
	t.metrics.messagesSent.Inc()
}

func (t *transport) close() {
	t.cancel()
	t.running.Wait()
}
