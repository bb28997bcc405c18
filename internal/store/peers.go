package store

import (
	"context"
	"sync"

	"github.com/rosestand/rosestand/internal/protocol"
)

// peers sends requests to other stores. A store that does not answer can hold
// up a bounded number of requests only; further ones fail at once.
type peers struct {
	store    *Store
	routines sync.WaitGroup

	mutex    sync.Mutex
	underWay map[string]int
	closed   bool
}

func newPeers(store *Store) *peers {
	return &peers{store: store, underWay: map[string]int{}}
}

// send makes a request in the background. done is called once, on another goroutine.
func (p *peers) send(store string, request *protocol.Request, done func(*protocol.Response, error)) {
	if !p.begin(store) {
		go done(nil, &PeerNotLiveError{Store: store})
		return
	}
	go func() {
		defer p.end(store)
		ctx, cancel := context.WithTimeout(p.store.ctx, p.store.options.PeerTimeout)
		defer cancel()
		done(p.call(ctx, store, request))
	}()
}

func (p *peers) begin(store string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.underWay[store] >= defaultPeerCalls {
		return false
	}
	p.underWay[store]++
	p.routines.Add(1)
	return true
}

func (p *peers) end(store string) {
	p.mutex.Lock()
	p.underWay[store]--
	p.mutex.Unlock()
	p.routines.Done()
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
