// Package ownership is the shell (I/O adapter) of a front node's session directory.
//
// It drives one directory.Directory, which makes all decisions. The owner goroutine of a Manager, started by Start and
// stopped by Stop, executes tasks from a queue and the directory's ticks; no other goroutine accesses the shell and the
// directory. Each request to another front node runs in a goroutine of its own, which posts the outcome as a task.
// Grants admit turns and calls and are valid only while this node has authority.
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

// Manager is one front node's part in the session directory. Its methods are safe for concurrent use, except OnYield,
// Start and Stop, which must be called from one goroutine.
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

// New returns a manager that is not started yet. It subscribes to the views of the link.
func New(options Options) *Manager {
	options = withDefaults(options)
	manager := &Manager{
		options: options,
		metrics: newMetrics(options.Registerer),
		logger:  options.Logger,
		tasks:   make(chan func(*shell), taskQueueLength),
		done:    make(chan struct{}),
	}
	options.Link.Subscribe(manager.handleView)
	return manager
}

// OnYield registers a function that is called with each session that is given up, so that its cached state can be
// dropped. The function runs on the owner goroutine and must not block. OnYield must be called before Start.
func (m *Manager) OnYield(notify func(session string)) {
	m.onYield = append(m.onYield, notify)
}

// Start starts the owner goroutine. The context applies to the start only; Stop ends the goroutine.
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
	m.handleView(m.options.Link.View())
	return nil
}

// Stop ends all goroutines and waits for them, or returns the context's error if that comes first. Call Drain first to
// hand off the node's sessions and partition.
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

// post queues a task for the owner goroutine. It returns false if that goroutine has ended.
func (m *Manager) post(task func(*shell)) bool {
	select {
	case m.tasks <- task:
		return true
	case <-m.done:
		return false
	}
}

// runAndWait queues a task and waits until it is executed. It returns false if the owner goroutine is not running.
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

// handleView returns once the view is applied, so that the link may acknowledge it.
func (m *Manager) handleView(view *corelink.View) {
	m.runAndWait(func(s *shell) { s.handleView(view) })
}

// PeerBroken reports a broken connection to an address; it is meant for wire.Pool.OnBroken. The peer is pinged, and
// lookups wait for the outcome.
func (m *Manager) PeerBroken(address string) {
	select {
	case m.tasks <- func(s *shell) { s.handle(directory.PeerBroken{Address: address}) }:
	default:
		// The queue is full. Dropping the report is safe: further calls to the peer report their own failures.
	}
}

// Resolve returns the owner of a session, and registers this node as the owner if there is none. It waits no longer
// than the context and ResolveTimeout allow. Its errors are failures with outcome NOT_RUN and a time after which to
// retry.
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

// Forget drops the cached owner of a session, after that node answered `not_owner` or was unreachable.
func (m *Manager) Forget(session string) {
	m.post(func(s *shell) { s.handle(directory.OwnerInvalidated{Session: session}) })
}

// OwnerLost reports the error of a request that could not be forwarded to the owner at an address or whose connection
// broke before a response. The cached owner is dropped. Depending on the cause, the next Resolve may take over the
// session at once (refused connection), after a ping (broken connection) or after FailureDetectionTimeout (timeout).
// Call it instead of Forget when the connection of a forwarded request failed; Forget is for responses such as
// `not_owner`.
func (m *Manager) OwnerLost(session, address string, cause error) {
	callFailure := classifyFailure(cause, false)
	m.post(func(s *shell) {
		s.handle(directory.OwnerInvalidated{Session: session})
		s.handle(directory.PeerFailed{Address: address, Failure: callFailure})
	})
}

// Fenced yields a session after the ledger rejected this node's epoch of the session.
func (m *Manager) Fenced(session string) {
	m.post(func(s *shell) { s.handle(directory.OwnershipLost{Session: session}) })
}

func notRun(code failure.Code, message string) error {
	return failure.New(code, protocol.Outcome_NOT_RUN, message, failure.WithRetryAfter(busyRetryAfter))
}
