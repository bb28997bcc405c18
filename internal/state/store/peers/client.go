// Package peers sends the requests of a store to other stores. While many requests are in flight,
// those that are answered from memory or after one sync are sent in batches, and an unresponsive
// store can delay only a bounded number of requests.
package peers

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// maxInFlight bounds the unanswered requests to one store.
	maxInFlight = 2048
	// maxConcurrentBatches bounds the batches in flight to one store; requests that arrive
	// meanwhile wait and are sent in the next batch.
	maxConcurrentBatches = 4
	// maxBatchRequests and maxBatchBytes bound the size of one batch.
	maxBatchRequests = 64
	maxBatchBytes    = 1 << 20
)

// Caller makes one call to the process at an address.
type Caller interface {
	Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error)
}

// Options configure a Client. All are required.
type Options struct {
	Caller Caller
	// Address returns the address of a store; it is empty when the store has no lease.
	Address func(store string) string
	// Timeout bounds the wait of a request for a batch, and then the call of the batch.
	Timeout time.Duration
}

// Client sends requests to other stores. All methods may be called by any goroutine.
type Client struct {
	// ctx cancels the calls in flight.
	ctx      context.Context
	options  Options
	routines sync.WaitGroup

	// mutex guards closed and the queues with all of their fields.
	mutex  sync.Mutex
	queues map[string]*queue
	closed bool
}

// queue contains the requests to one store.
type queue struct {
	// inFlight counts the unanswered requests, including those that wait for a batch.
	inFlight int
	// senders counts the goroutines that send batches.
	senders int
	waiting []pendingRequest
}

type pendingRequest struct {
	message *protocol.Request
	since   time.Time
	done    func(*protocol.Response, error)
}

// New returns a client. Its calls are canceled with ctx.
func New(ctx context.Context, options Options) *Client {
	return &Client{ctx: ctx, options: options, queues: map[string]*queue{}}
}

// Send sends a request in the background. done is called once, on another goroutine. Its error is
// a *NotLiveError when the request was not sent, an *AnswerError, the error of the Caller, or
// context.DeadlineExceeded when the request waited longer than the timeout for a batch because
// the store did not answer the requests before it.
func (c *Client) Send(store string, request *protocol.Request, done func(*protocol.Response, error)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	q := c.queues[store]
	if q == nil {
		q = &queue{}
		c.queues[store] = q
	}
	if c.closed || q.inFlight >= maxInFlight {
		go done(nil, &NotLiveError{Store: store})
		return
	}
	q.inFlight++
	pending := pendingRequest{message: request, since: time.Now(), done: done}
	if !isBatchable(request) {
		c.routines.Go(func() {
			c.deliver(store, []pendingRequest{pending})
			c.release(q, 1)
		})
		return
	}
	q.waiting = append(q.waiting, pending)
	if q.senders < maxConcurrentBatches {
		q.senders++
		c.routines.Go(func() { c.sendBatches(store, q) })
	}
}

// isBatchable reports whether a request is answered from memory or after one sync.
func isBatchable(request *protocol.Request) bool {
	switch request.GetBody().(type) {
	case *protocol.Request_Prepare, *protocol.Request_Accept, *protocol.Request_KeepTurn:
		return true
	default:
		return false
	}
}

func payloadBytes(request *protocol.Request) int {
	if retain := request.GetKeepTurn(); retain != nil {
		return proto.Size(retain.GetTurn())
	}
	return len(request.GetAccept().GetValue())
}

// sendBatches sends batches until no requests wait.
func (c *Client) sendBatches(store string, q *queue) {
	for {
		batch := c.nextBatch(q)
		if len(batch) == 0 {
			return
		}
		c.deliver(store, batch)
		c.release(q, len(batch))
	}
}

// nextBatch removes the next batch from the queue. If none is left it returns nil and counts the
// sender as ended.
func (c *Client) nextBatch(q *queue) []pendingRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count, size := 0, 0
	for count < len(q.waiting) && count < maxBatchRequests && size < maxBatchBytes {
		size += payloadBytes(q.waiting[count].message)
		count++
	}
	if count == 0 {
		q.senders--
		return nil
	}
	batch := append([]pendingRequest(nil), q.waiting[:count]...)
	left := copy(q.waiting, q.waiting[count:])
	clear(q.waiting[left:])
	q.waiting = q.waiting[:left]
	return batch
}

func (c *Client) release(q *queue, count int) {
	c.mutex.Lock()
	q.inFlight -= count
	c.mutex.Unlock()
}

// deliver makes one call for the batch and calls done of each request. Requests that have waited
// longer than the timeout of a call fail at once, since the store is unresponsive.
func (c *Client) deliver(store string, batch []pendingRequest) {
	batch = c.failOverdue(batch)
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.options.Timeout)
	defer cancel()
	if len(batch) == 1 {
		batch[0].done(c.Call(ctx, store, batch[0].message))
		return
	}
	answers, err := c.callBatch(ctx, store, batch)
	for i, pending := range batch {
		if err != nil {
			pending.done(nil, err)
			continue
		}
		pending.done(answers[i], nil)
	}
}

// failOverdue fails the requests that have waited longer than the timeout and returns the others.
func (c *Client) failOverdue(batch []pendingRequest) []pendingRequest {
	for len(batch) > 0 && time.Since(batch[0].since) > c.options.Timeout {
		batch[0].done(nil, context.DeadlineExceeded)
		batch = batch[1:]
	}
	return batch
}

// callBatch returns one answer for each request of the batch, in their order.
func (c *Client) callBatch(ctx context.Context, store string, batch []pendingRequest) ([]*protocol.Response, error) {
	request := &protocol.RequestBatch{Requests: make([]*protocol.Request, len(batch))}
	for i, pending := range batch {
		request.Requests[i] = pending.message
	}
	body := &protocol.Request_StoreBatch{StoreBatch: request}
	response, err := c.Call(ctx, store, &protocol.Request{Body: body})
	if err != nil {
		return nil, err
	}
	answers := response.GetStoreBatch().GetResponses()
	if len(answers) != len(batch) {
		return nil, &AnswerError{Store: store}
	}
	return answers, nil
}

// Call makes a request and waits for its answer. It is not subject to the limits of Send. The error
// is a *NotLiveError or that of the Caller.
func (c *Client) Call(ctx context.Context, store string, request *protocol.Request) (*protocol.Response, error) {
	address := c.options.Address(store)
	if address == "" {
		return nil, &NotLiveError{Store: store}
	}
	return c.options.Caller.Call(ctx, address, request)
}

// Close rejects further requests and waits for those in flight. The client's context must be
// canceled first.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.routines.Wait()
}
