package store

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// callsOfPeer is how many batches may be under way to one store; what comes
	// meanwhile waits and leaves together.
	callsOfPeer = 4
	// largestPeerBatch and largestPeerBatchBytes bound what one batch carries.
	largestPeerBatch      = 64
	largestPeerBatchBytes = 1 << 20
)

// peers sends requests to other stores. A store that does not answer can hold
// up a bounded number of requests only; further ones fail at once.
type peers struct {
	store    *Store
	routines sync.WaitGroup

	mutex  sync.Mutex
	lanes  map[string]*lane
	closed bool
}

// lane is what is under way to one store.
type lane struct {
	// held counts requests that are not answered yet, calls the goroutines that send batches.
	held    int
	calls   int
	waiting []peerRequest
}

type peerRequest struct {
	message *protocol.Request
	since   time.Time
	done    func(*protocol.Response, error)
}

func newPeers(store *Store) *peers {
	return &peers{store: store, lanes: map[string]*lane{}}
}

// send makes a request in the background. done is called once, on another goroutine.
func (p *peers) send(store string, request *protocol.Request, done func(*protocol.Response, error)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	to := p.lanes[store]
	if to == nil {
		to = &lane{}
		p.lanes[store] = to
	}
	if p.closed || to.held >= defaultPeerCalls {
		go done(nil, &PeerNotLiveError{Store: store})
		return
	}
	to.held++
	one := peerRequest{message: request, since: time.Now(), done: done}
	if !isBatchable(request) {
		p.routines.Go(func() {
			p.deliver(store, []peerRequest{one})
			p.release(to, 1)
		})
		return
	}
	to.waiting = append(to.waiting, one)
	if to.calls < callsOfPeer {
		to.calls++
		p.routines.Go(func() { p.run(store, to) })
	}
}

// isBatchable holds for requests that are answered from memory or after one sync.
func isBatchable(request *protocol.Request) bool {
	switch request.GetBody().(type) {
	case *protocol.Request_Prepare, *protocol.Request_Accept, *protocol.Request_KeepTurn:
		return true
	default:
		return false
	}
}

func payloadBytes(request *protocol.Request) int {
	if keep := request.GetKeepTurn(); keep != nil {
		return proto.Size(keep.GetTurn())
	}
	return len(request.GetAccept().GetValue())
}

// run sends batches until nothing waits.
func (p *peers) run(store string, to *lane) {
	for {
		batch := p.take(to)
		if len(batch) == 0 {
			return
		}
		p.deliver(store, batch)
		p.release(to, len(batch))
	}
}

// take gives the next batch; without any the call ends.
func (p *peers) take(to *lane) []peerRequest {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count, size := 0, 0
	for count < len(to.waiting) && count < largestPeerBatch && size < largestPeerBatchBytes {
		size += payloadBytes(to.waiting[count].message)
		count++
	}
	if count == 0 {
		to.calls--
		return nil
	}
	batch := append([]peerRequest(nil), to.waiting[:count]...)
	left := copy(to.waiting, to.waiting[count:])
	clear(to.waiting[left:])
	to.waiting = to.waiting[:left]
	return batch
}

func (p *peers) release(to *lane, count int) {
	p.mutex.Lock()
	to.held -= count
	p.mutex.Unlock()
}

// deliver makes one call for the batch and passes the answers on. What waited
// longer than a call may take fails at once: the store does not answer.
func (p *peers) deliver(store string, batch []peerRequest) {
	timeout := p.store.options.PeerTimeout
	for len(batch) > 0 && time.Since(batch[0].since) > timeout {
		batch[0].done(nil, context.DeadlineExceeded)
		batch = batch[1:]
	}
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(p.store.ctx, timeout)
	defer cancel()
	if len(batch) == 1 {
		batch[0].done(p.call(ctx, store, batch[0].message))
		return
	}
	request := &protocol.RequestBatch{Requests: make([]*protocol.Request, len(batch))}
	for place, one := range batch {
		request.Requests[place] = one.message
	}
	response, err := p.call(ctx, store, &protocol.Request{Body: &protocol.Request_StoreBatch{StoreBatch: request}})
	answers := response.GetStoreBatch().GetResponses()
	if err == nil && len(answers) != len(batch) {
		err = &AnswerError{Store: store}
	}
	for place, one := range batch {
		if err != nil {
			one.done(nil, err)
			continue
		}
		one.done(answers[place], nil)
	}
}

// call makes a request and waits for its answer.
func (p *peers) call(ctx context.Context, store string, request *protocol.Request) (*protocol.Response, error) {
	address := p.store.watch.current.Load().addresses[store]
	if address == "" {
		return nil, &PeerNotLiveError{Store: store}
	}
	return p.store.options.Caller.Call(ctx, address, request)
}

// wait refuses further requests and waits for those under way.
func (p *peers) wait() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.routines.Wait()
}
