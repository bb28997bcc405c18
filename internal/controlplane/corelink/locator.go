package corelink

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	locateTimeout = time.Second
	// leaderWait is how long a core process that knows no leader is asked to hold its answer back until it knows one.
	leaderWait = 400 * time.Millisecond
	// searchGap is the shortest time between a search that failed and the next one, whoever asks for it.
	searchGap       = 50 * time.Millisecond
	firstRetryDelay = 25 * time.Millisecond
	// electionRetry is the longest wait between two searches while an election may be under way,
	// outageRetry after a search has failed for longer than electionSpan.
	electionRetry    = 100 * time.Millisecond
	electionSpan     = 3 * time.Second
	outageRetry      = 500 * time.Millisecond
	maxCoreAddresses = 16
)

// CoreNotFoundError says that no process asked knows a leader of the core.
type CoreNotFoundError struct {
	Asked int
}

func (e *CoreNotFoundError) Error() string {
	return "no process asked knows the leader of the core"
}

// locator finds the leader of the core by asking core processes known before and the seeds.
type locator struct {
	caller  wire.Caller
	self    *protocol.Node
	metrics *metrics
	// seeds and current are replaced as a whole; what they point to is never changed.
	seeds   atomic.Pointer[[]string]
	current atomic.Pointer[protocol.LocateCoreResponse]

	mutex sync.Mutex
	// running is the search under way, which concurrent callers share; nil without one.
	running *search
	// failingSince is when searches began to fail, failedAt when the last one did; zero after one that found the leader.
	failingSince, failedAt time.Time
}

// search is one search for the leader; the results may be read once done is closed.
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

// forget drops the leader when it is still the one that failed.
func (l *locator) forget(address string) {
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

// leader returns the leader's address, asking for it when it is not known.
func (l *locator) leader(ctx context.Context) (string, error) {
	if address := l.known().GetLeaderAddress(); address != "" {
		return address, nil
	}
	return l.locate(ctx)
}

// locate searches for the leader, or waits for the search that is under way.
func (l *locator) locate(ctx context.Context) (string, error) {
	l.mutex.Lock()
	shared := l.running
	if shared == nil && time.Since(l.failedAt) < searchGap {
		l.mutex.Unlock()
		return "", &CoreNotFoundError{}
	}
	if shared == nil {
		shared = &search{done: make(chan struct{})}
		l.running = shared
		l.mutex.Unlock()
		l.search(ctx, shared)
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

// search looks for the leader for all that wait for it.
func (l *locator) search(ctx context.Context, shared *search) {
	shared.leader, shared.err = l.askAll(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running = nil
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

// longestRetry is the longest wait until the next search.
func (l *locator) longestRetry() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failingSince.IsZero() || time.Since(l.failingSince) < electionSpan {
		return electionRetry
	}
	return outageRetry
}

// askAll asks all processes it may ask, each again and again, until one names a leader of a term not older than the one
// known or the time for a search is over. No process is waited for before another one is asked again, since a machine
// without power answers late and not at all.
func (l *locator) askAll(ctx context.Context) (string, error) {
	l.metrics.locates.Inc()
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	answers := make(chan *protocol.LocateCoreResponse)
	asked := map[string]bool{}
	for {
		for _, address := range l.addresses() {
			if !asked[address] {
				asked[address] = true
				go l.askRepeatedly(ctx, address, answers)
			}
		}
		if len(asked) == 0 {
			return "", &CoreNotFoundError{}
		}
		select {
		case answer := <-answers:
			if l.learn(answer) {
				return l.known().GetLeaderAddress(), nil
			}
		case <-ctx.Done():
			return "", &CoreNotFoundError{Asked: len(asked)}
		}
	}
}

// askRepeatedly asks one process with growing pauses and hands its answers on until the search ends.
func (l *locator) askRepeatedly(ctx context.Context, address string, answers chan<- *protocol.LocateCoreResponse) {
	var wait time.Duration
	for {
		if answer := l.ask(ctx, address); answer != nil {
			select {
			case answers <- answer:
			case <-ctx.Done():
				return
			}
		}
		wait = nextWait(wait, l.longestRetry())
		select {
		case <-time.After(jitter(wait)):
		case <-ctx.Done():
			return
		}
	}
}

// addresses lists cores known before, then the seeds, without this process itself.
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

func (l *locator) ask(ctx context.Context, address string) *protocol.LocateCoreResponse {
	request := &protocol.Request{Body: &protocol.Request_LocateCore{LocateCore: &protocol.LocateCoreRequest{
		WaitMillis: uint32(leaderWait / time.Millisecond),
	}}}
	response, err := l.caller.Call(ctx, address, request)
	if err != nil {
		return nil
	}
	return response.GetLocateCore()
}

// learn takes an answer in and reports whether it named a leader that is no older than the one known.
// An answer of an older term still adds core addresses.
func (l *locator) learn(answer *protocol.LocateCoreResponse) bool {
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
		leads := answer.GetLeaderAddress() != "" && answer.GetTerm() >= current.GetTerm()
		if leads {
			next.LeaderAddress = answer.GetLeaderAddress()
			next.LeaderHttpAddress = answer.GetLeaderHttpAddress()
			next.Term = answer.GetTerm()
		}
		if l.current.CompareAndSwap(current, next) {
			return leads
		}
	}
}

// mergeAddresses puts the newer list first and keeps the total bounded.
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

// CallCore sends a request to the leader of the core. It looks for another
// leader and tries again, with jittered backoff until the context ends, when
// the process asked does not lead or could not be reached. A connection that
// broke while the request was under way is tried again only for requests that
// the core takes twice with the effect of once.
func (l *Link) CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	var wait time.Duration
	var last error
	for {
		response, again, err := l.tryCore(ctx, request)
		if err == nil || !again {
			return response, err
		}
		last = err
		wait = nextWait(wait, l.locator.longestRetry())
		select {
		case <-ctx.Done():
			return nil, errors.CombineErrors(last, ctx.Err())
		case <-time.After(jitter(wait)):
		}
	}
}

func (l *Link) tryCore(ctx context.Context, request *protocol.Request) (response *protocol.Response, again bool, err error) {
	address, err := l.locator.leader(ctx)
	if err != nil {
		return nil, ctx.Err() == nil, err
	}
	response, err = l.options.Caller.Call(ctx, address, request)
	if err == nil {
		return response, false, nil
	}
	var closed *wire.ClosedError
	if errors.As(err, &closed) {
		return nil, false, err
	}
	if ctx.Err() != nil {
		// A leader that let a whole deadline pass may be cut off; ask again who leads.
		l.locator.forget(address)
		return nil, false, err
	}
	again = mayRetry(err, request)
	if again || isConnectionError(err) {
		l.locator.forget(address)
	}
	return nil, again, err
}

func mayRetry(err error, request *protocol.Request) bool {
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) || failure.Is(err, failure.NotLeader) || failure.Is(err, failure.NoLeader) {
		return true
	}
	return isConnectionError(err) && isIdempotent(request)
}

func isConnectionError(err error) bool {
	var notSent *wire.NotSentError
	var broken *wire.BrokenError
	return errors.As(err, &notSent) || errors.As(err, &broken)
}

// isIdempotent reports whether the core takes the request twice with the effect
// of once. Counts of roll-out arms are the one kind that would be added twice.
func isIdempotent(request *protocol.Request) bool {
	_, counts := request.GetBody().(*protocol.Request_ReportArms)
	return !counts
}
