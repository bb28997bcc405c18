// Package ownership is the shell round the session directory of a front node:
// one owner goroutine works through a queue of events, directory requests go
// out and come in over the internal protocol, and turns get grants that are
// valid only while this node has authority.
package ownership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Defaults of Options.
const (
	DefaultResolveWait = 2 * time.Second
	DefaultDrainWait   = time.Second
	queueLength        = 1024
	shortestTick       = 5 * time.Millisecond
	longestTick        = 250 * time.Millisecond
	// busyRetryAfter is what a caller is told when this node cannot act as owner at the moment.
	busyRetryAfter = time.Second
)

// Link is what the manager needs of the connection to the core.
type Link interface {
	View() *corelink.View
	Subscribe(func(*corelink.View))
	Authority() *corelink.Authority
	SetDraining(bool)
	SetOwning()
}

// Options configure a Manager. Link and Caller are required.
type Options struct {
	Link   Link
	Caller wire.Caller
	// VirtualPlaces must be the same on every front node.
	VirtualNodes int
	// ResolveWait bounds how long Resolve may wait for an owner.
	ResolveWait time.Duration
	// SilenceLimit is how long a front node may be silent before it is suspected.
	FailureDetectionTimeout time.Duration
	// DrainWait bounds how long a drain whose sessions are given up waits to hand
	// the partition off, as while no view comes that shows the drain.
	DrainWait time.Duration
	// Random jitters delays; nil seeds one.
	Random *rand.Rand

	Logger     *log.Logger
	Registerer prometheus.Registerer
}

// Owner is the front node that owns a session.
type Owner = directory.Owner

// Manager is one front node's part in the session directory.
type Manager struct {
	options Options
	metrics *metrics
	logger  *log.Logger

	tickets  atomic.Uint64
	commands chan func(*shell)
	started  atomic.Bool
	cancel   context.CancelFunc
	done     chan struct{}
	workers  sync.WaitGroup
	onYield  []func(session string)
}

// New returns a manager that has not been started. It subscribes to the link's views.
func New(options Options) *Manager {
	options = withDefaults(options)
	manager := &Manager{
		options:  options,
		metrics:  newMetrics(options.Registerer),
		logger:   options.Logger,
		commands: make(chan func(*shell), queueLength),
		done:     make(chan struct{}),
	}
	options.Link.Subscribe(manager.viewChanged)
	return manager
}

func withDefaults(options Options) Options {
	if options.VirtualNodes == 0 {
		options.VirtualNodes = ring.DefaultVirtualNodes
	}
	if options.ResolveWait == 0 {
		options.ResolveWait = DefaultResolveWait
	}
	if options.DrainWait == 0 {
		options.DrainWait = DefaultDrainWait
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger == nil {
		options.Logger = log.Default()
	}
	if options.Registerer == nil {
		options.Registerer = prometheus.NewRegistry()
	}
	return options
}

// OnYield registers a function that is told each session given up, so that
// what is cached of it is dropped. It must not block. Call it before Start.
func (m *Manager) OnYield(notify func(session string)) {
	m.onYield = append(m.onYield, notify)
}

// Start begins to work through the queue.
func (m *Manager) Start(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.cancel = cancel
	shell := newShell(m, running)
	m.started.Store(true)
	go func() {
		defer close(m.done)
		shell.run()
	}()
	m.viewChanged(m.options.Link.View())
	return nil
}

// Stop ends all goroutines. Drain first to hand the node's part over.
func (m *Manager) Stop(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	stopped := make(chan struct{})
	go func() {
		<-m.done
		m.workers.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post queues a command for the owner goroutine; false when it has ended.
func (m *Manager) post(command func(*shell)) bool {
	select {
	case m.commands <- command:
		return true
	case <-m.done:
		return false
	}
}

// run queues a command and waits until it was worked through.
func (m *Manager) run(command func(*shell)) bool {
	if !m.started.Load() {
		return false
	}
	worked := make(chan struct{})
	if !m.post(func(s *shell) { command(s); close(worked) }) {
		return false
	}
	select {
	case <-worked:
		return true
	case <-m.done:
		return false
	}
}

// viewChanged puts a view in force before it returns, so that the link may confirm it.
func (m *Manager) viewChanged(view *corelink.View) {
	m.run(func(s *shell) { s.viewChanged(view) })
}

// PeerBroken says that the connection to an address broke; pass it to wire.Pool.OnBroken.
// Lookups go round the peer for a moment; only its lease decides whether it is gone.
func (m *Manager) PeerBroken(address string) {
	select {
	case m.commands <- func(s *shell) { s.handle(directory.PeerBroken{Address: address}) }:
	default:
		// The queue is full; calls to the peer will fail by themselves.
	}
}

// Resolve finds the owner of a session and registers this node when nobody owns
// it. It waits no longer than the context and ResolveWait allow. On failure
// nothing was run, and the failure says when to come back.
func (m *Manager) Resolve(ctx context.Context, session, program string) (Owner, error) {
	deadline := time.Now().Add(m.options.ResolveWait)
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

// OwnerLost says that a request could not be passed on to the owner at an
// address, or that its connection broke before an answer, with the error that
// the call gave. The cached owner is dropped, and the cause decides what follows:
// a refused connection lets the next Resolve take the session over at once, a
// broken one after the address was asked again, silence after as long as
// SilenceLimit. Call it in place of Forget when a forward failed by its connection;
// answers such as `not_owner` are for Forget.
func (m *Manager) OwnerLost(session, address string, cause error) {
	evidence := evidenceOf(cause, false)
	m.post(func(s *shell) {
		s.handle(directory.OwnerInvalidated{Session: session})
		s.handle(directory.PeerFailed{Address: address, Failure: evidence})
	})
}

// Fenced gives a session up after the ledger refused this node's epoch of it.
func (m *Manager) Fenced(session string) {
	m.post(func(s *shell) { s.handle(directory.OwnershipLost{Session: session}) })
}

// authorityWatch is how often a drain looks whether authority has ended.
const authorityWatch = 100 * time.Millisecond

// Drain gives up this node's sessions, each after its last turn is settled, and
// hands its partition off. It returns when both are done, or with the context's
// error. Without authority there is nothing left to hand over: others take the
// sessions and the partition for lost, so Drain returns then, too, as when no core
// answers any more.
func (m *Manager) Drain(ctx context.Context) error {
	m.options.Link.SetDraining(true)
	drained := make(chan struct{})
	if !m.run(func(s *shell) { s.drain(drained) }) {
		return notRun(failure.NotReady, "the directory is not running")
	}
	watch := time.NewTicker(authorityWatch)
	defer watch.Stop()
	for {
		select {
		case <-drained:
			return nil
		case <-watch.C:
			if !m.options.Link.Authority().Valid() {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-m.done:
			return notRun(failure.NotReady, "the directory is not running")
		}
	}
}

func notRun(code failure.Code, message string) error {
	return failure.New(code, protocol.Outcome_NOT_RUN, message, failure.WithRetryAfter(busyRetryAfter))
}
