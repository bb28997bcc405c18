// Package ownership is the shell (I/O adapter) of a front node's session directory.
//
// It owns one directory.Directory and decides nothing itself. The owner goroutine
// of a Manager, begun by Start and ended by Stop, executes tasks from a queue and the
// directory's ticks; it alone touches the shell and the directory. Each
// request to another front node runs in a goroutine of its own, which posts the
// answer as a task. Grants admit turns and calls and are valid only
// while this node has authority.
package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Owner is the front node that owns a session.
type Owner = directory.Owner

// Manager is one front node's part in the session directory. Its methods are safe for concurrent use, but OnYield,
// Start and Stop belong to one goroutine.
type Manager struct {
	options Options
	metrics *metrics
	logger  *log.Logger

	tickets atomic.Uint64
	tasks   chan func(*shell)
	started atomic.Bool
	cancel  context.CancelFunc
	done    chan struct{}
	calls   sync.WaitGroup
	onYield []func(session string)
}

// New returns a manager that has not been started. It subscribes to the link's views.
func New(options Options) *Manager {
	options = withDefaults(options)
	manager := &Manager{
		options: options,
		metrics: newMetrics(options.Registerer),
		logger:  options.Logger,
		tasks:   make(chan func(*shell), taskQueueLength),
		done:    make(chan struct{}),
	}
	options.Link.Subscribe(manager.viewChanged)
	return manager
}

// OnYield registers a function that is called with each session that is given up, so that
// cached state of it is dropped. It runs on the owner goroutine and must not block. Call it before Start.
func (m *Manager) OnYield(notify func(session string)) {
	m.onYield = append(m.onYield, notify)
}

// Start begins the owner goroutine. The context bounds the start only; Stop ends the goroutine.
func (m *Manager) Start(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.cancel = cancel
	shell := newShell(running, m)
	m.started.Store(true)
	go func() {
		defer close(m.done)
		shell.run(running)
	}()
	m.viewChanged(m.options.Link.View())
	return nil
}

// Stop ends all goroutines, or returns the context's error before that. Drain first to hand off the node's part.
func (m *Manager) Stop(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	stopped := make(chan struct{})
	go func() {
		<-m.done
		m.calls.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post queues a task for the owner goroutine; false when that has ended.
func (m *Manager) post(task func(*shell)) bool {
	select {
	case m.tasks <- task:
		return true
	case <-m.done:
		return false
	}
}

// runAndWait queues a task and waits until it was executed; false when the owner goroutine does not run.
func (m *Manager) runAndWait(task func(*shell)) bool {
	if !m.started.Load() {
		return false
	}
	executed := make(chan struct{})
	if !m.post(func(s *shell) { task(s); close(executed) }) {
		return false
	}
	select {
	case <-executed:
		return true
	case <-m.done:
		return false
	}
}

// viewChanged puts a view in force before it returns, so that the link may acknowledge it.
func (m *Manager) viewChanged(view *corelink.View) {
	m.runAndWait(func(s *shell) { s.viewChanged(view) })
}

// PeerBroken reports that the connection to an address broke; pass it to wire.Pool.OnBroken.
// The peer is pinged, and lookups wait for the outcome.
func (m *Manager) PeerBroken(address string) {
	select {
	case m.tasks <- func(s *shell) { s.handle(directory.PeerBroken{Address: address}) }:
	default:
		// The queue is full; further calls to the peer will report their own failures.
	}
}

// Resolve finds the owner of a session and registers this node when it has
// none. It waits no longer than the context and ResolveTimeout allow. Its errors are
// failures with outcome NOT_RUN and a time after which to retry.
func (m *Manager) Resolve(ctx context.Context, session, program string) (Owner, error) {
	deadline := time.Now().Add(m.options.ResolveTimeout)
	if end, bounded := ctx.Deadline(); bounded && end.Before(deadline) {
		deadline = end
	}
	answer := make(chan directory.Resolved, 1)
	ticket := m.tickets.Add(1)
	request := directory.ResolveRequested{Ticket: ticket, Session: session, Program: program, Deadline: deadline}
	if !m.started.Load() || !m.post(func(s *shell) { s.resolve(request, answer) }) {
		return Owner{}, notRun(failure.NotReady, "the directory is not running")
	}
	select {
	case resolved := <-answer:
		if resolved.Code != "" {
			return Owner{}, failure.New(resolved.Code, protocol.Outcome_NOT_RUN, "no owner could be found for the session",
				failure.WithPath("session"), failure.WithRetryAfter(resolved.RetryAfter))
		}
		return resolved.Owner, nil
	case <-ctx.Done():
		m.post(func(s *shell) { s.cancelResolve(ticket) })
		return Owner{}, notRun(failure.DeadlineExceeded, "the deadline passed before the owner was found")
	case <-m.done:
		return Owner{}, notRun(failure.NotReady, "the directory is not running")
	}
}

// Forget drops the cached owner of a session, after that node answered
// `not_owner` or could not be reached.
func (m *Manager) Forget(session string) {
	m.post(func(s *shell) { s.handle(directory.OwnerInvalidated{Session: session}) })
}

// OwnerLost reports that a request could not be forwarded to the owner at an
// address, or that its connection broke before an answer, with the error of
// the call. The cached owner is dropped, and the cause decides what follows:
// a refused connection lets the next Resolve take the session over at once, a
// broken one after a ping, a timeout after FailureDetectionTimeout. Call it in place
// of Forget when a forward failed by its connection; answers such as `not_owner` are for Forget.
func (m *Manager) OwnerLost(session, address string, cause error) {
	evidence := classifyFailure(cause, false)
	m.post(func(s *shell) {
		s.handle(directory.OwnerInvalidated{Session: session})
		s.handle(directory.PeerFailed{Address: address, Failure: evidence})
	})
}

// Fenced yields a session after the ledger rejected this node's epoch of it.
func (m *Manager) Fenced(session string) {
	m.post(func(s *shell) { s.handle(directory.OwnershipLost{Session: session}) })
}

func notRun(code failure.Code, message string) error {
	return failure.New(code, protocol.Outcome_NOT_RUN, message, failure.WithRetryAfter(busyRetryAfter))
}
