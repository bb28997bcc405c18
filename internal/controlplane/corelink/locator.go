package corelink

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	searchTimeout = time.Second
	// leaderWait is how long a core process without a known leader may keep the request pending until it has one.
	leaderWait = 400 * time.Millisecond
	// minSearchInterval is the minimum interval between a failed search and the next one, over all callers.
	minSearchInterval = 50 * time.Millisecond
	maxCoreAddresses  = 16
)

// CoreNotFoundError reports that no queried process returned the leader of the core.
type CoreNotFoundError struct {
	// Queried is the number of processes that were queried; zero if the search was
	// omitted because another one had just failed, or if there is no address.
	Queried int
}

// Error does not name the addresses, which change from one search to the next.
func (e *CoreNotFoundError) Error() string {
	return "core: no queried process knows the leader"
}

// locator finds the leader of the core by querying the core processes known from
// earlier answers, and the seeds. It is safe for concurrent use: the mutex guards
// the state of the search, and the pointers are replaced atomically.
type locator struct {
	caller  wire.Caller
	self    *protocol.Node
	metrics *metrics
	// The values that seeds and current point to are immutable.
	seeds   atomic.Pointer[[]string]
	current atomic.Pointer[protocol.LocateCoreResponse]

	mutex sync.Mutex
	// currentSearch is shared by concurrent callers; nil if no search is in progress.
	currentSearch *search
	// failingSince is when the first search in a row failed, failedAt when the last
	// one did; both are zero after a search that found the leader.
	failingSince, failedAt time.Time
}

// search is one search for the leader. The results may be read once done is closed.
type search struct {
	done   chan struct{}
	leader string
	err    error
}

func newLocator(caller wire.Caller, self *protocol.Node, seeds []string, metrics *metrics) *locator {
	l := &locator{caller: caller, self: self, metrics: metrics}
	l.setSeeds(seeds)
	l.current.Store(&protocol.LocateCoreResponse{})
	return l
}

func (l *locator) setSeeds(seeds []string) {
	copied := slices.Clone(seeds)
	l.seeds.Store(&copied)
}

func (l *locator) known() *protocol.LocateCoreResponse {
	return l.current.Load()
}

// invalidateLeader removes the leader's address if it is still the one that failed.
func (l *locator) invalidateLeader(address string) {
	current := l.current.Load()
	if current.GetLeaderAddress() != address {
		return
	}
	l.current.CompareAndSwap(current, &protocol.LocateCoreResponse{
		CoreAddresses: current.GetCoreAddresses(),
		Term:          current.GetTerm(),
		ClusterId:     current.GetClusterId(),
	})
}

// leader returns the leader's address, and searches for it if it is not known.
func (l *locator) leader(ctx context.Context) (string, error) {
	if address := l.known().GetLeaderAddress(); address != "" {
		return address, nil
	}
	return l.findLeader(ctx)
}

// findLeader searches for the leader, or waits for the search in progress.
func (l *locator) findLeader(ctx context.Context) (string, error) {
	l.mutex.Lock()
	shared := l.currentSearch
	if shared == nil && time.Since(l.failedAt) < minSearchInterval {
		l.mutex.Unlock()
		return "", &CoreNotFoundError{}
	}
	if shared == nil {
		shared = &search{done: make(chan struct{})}
		l.currentSearch = shared
		l.mutex.Unlock()
		l.runSearch(ctx, shared)
		return shared.leader, shared.err
	}
	l.mutex.Unlock()
	select {
	case <-shared.done:
		return shared.leader, shared.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// runSearch runs a search and publishes its result to all callers that share it.
func (l *locator) runSearch(ctx context.Context, shared *search) {
	shared.leader, shared.err = l.queryAll(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.currentSearch = nil
	if shared.err == nil {
		l.failingSince, l.failedAt = time.Time{}, time.Time{}
	} else {
		l.failedAt = time.Now()
	}
	if shared.err != nil && l.failingSince.IsZero() {
		l.failingSince = l.failedAt
	}
	close(shared.done)
}

// maxBackoff returns the limit of the backoff before the next search.
func (l *locator) maxBackoff() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failingSince.IsZero() || time.Since(l.failingSince) < electionDuration {
		return maxElectionBackoff
	}
	return maxOutageBackoff
}

// queryAll queries all known processes in parallel, each repeatedly, until one names
// a leader whose term is not older than the known one, or searchTimeout is over. An
// unresponsive process, such as one on a powered-off machine, does not delay the others.
func (l *locator) queryAll(ctx context.Context) (string, error) {
	l.metrics.leaderSearches.Inc()
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	answers := make(chan *protocol.LocateCoreResponse)
	queried := map[string]bool{}
	for {
		for _, address := range l.addresses() {
			if !queried[address] {
				queried[address] = true
				go l.queryRepeatedly(ctx, address, answers)
			}
		}
		if len(queried) == 0 {
			return "", &CoreNotFoundError{}
		}
		select {
		case answer := <-answers:
			if l.mergeAnswer(answer) {
				return l.known().GetLeaderAddress(), nil
			}
		case <-ctx.Done():
			return "", &CoreNotFoundError{Queried: len(queried)}
		}
	}
}

// queryRepeatedly queries one process with backoff and passes its answers on until the search ends.
func (l *locator) queryRepeatedly(ctx context.Context, address string, answers chan<- *protocol.LocateCoreResponse) {
	var backoff time.Duration
	for {
		if answer := l.query(ctx, address); answer != nil {
			select {
			case answers <- answer:
			case <-ctx.Done():
				return
			}
		}
		backoff = nextBackoff(backoff, l.maxBackoff())
		select {
		case <-time.After(jitter(backoff)):
		case <-ctx.Done():
			return
		}
	}
}

// addresses returns the known core processes, then the seeds, without this process itself.
func (l *locator) addresses() []string {
	all := append(slices.Clone(l.known().GetCoreAddresses()), *l.seeds.Load()...)
	unique := make([]string, 0, len(all))
	for _, address := range all {
		if address != "" && address != l.self.GetAddress() && !slices.Contains(unique, address) {
			unique = append(unique, address)
		}
	}
	return unique
}

func (l *locator) query(ctx context.Context, address string) *protocol.LocateCoreResponse {
	request := &protocol.Request{Body: &protocol.Request_LocateCore{LocateCore: &protocol.LocateCoreRequest{
		WaitMillis: uint32(leaderWait / time.Millisecond),
	}}}
	response, err := l.caller.Call(ctx, address, request)
	if err != nil {
		return nil
	}
	return response.GetLocateCore()
}

// mergeAnswer merges an answer into the known state of the core, and reports whether it
// named a leader whose term is not older than the known one. An answer of an older term
// still adds core addresses.
func (l *locator) mergeAnswer(answer *protocol.LocateCoreResponse) bool {
	for {
		current := l.current.Load()
		next := &protocol.LocateCoreResponse{
			LeaderAddress:     current.GetLeaderAddress(),
			LeaderHttpAddress: current.GetLeaderHttpAddress(),
			CoreAddresses:     mergeAddresses(answer, current),
			Term:              current.GetTerm(),
			ClusterId:         current.GetClusterId(),
		}
		if next.GetClusterId() == "" {
			next.ClusterId = answer.GetClusterId()
		}
		namesLeader := answer.GetLeaderAddress() != "" && answer.GetTerm() >= current.GetTerm()
		if namesLeader {
			next.LeaderAddress = answer.GetLeaderAddress()
			next.LeaderHttpAddress = answer.GetLeaderHttpAddress()
			next.Term = answer.GetTerm()
		}
		if l.current.CompareAndSwap(current, next) {
			return namesLeader
		}
	}
}

// mergeAddresses joins both lists, that of the newer term first, up to maxCoreAddresses.
func mergeAddresses(answer, current *protocol.LocateCoreResponse) []string {
	newer, older := answer.GetCoreAddresses(), current.GetCoreAddresses()
	if answer.GetTerm() < current.GetTerm() {
		newer, older = older, newer
	}
	merged := make([]string, 0, len(newer)+len(older))
	for _, address := range append(slices.Clone(newer), older...) {
		if address != "" && !slices.Contains(merged, address) && len(merged) < maxCoreAddresses {
			merged = append(merged, address)
		}
	}
	return merged
}
