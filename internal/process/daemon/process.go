package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

// DrainHook drains one component of a process before it stops. It returns when the
// component has no work in flight, or when the context ends.
type DrainHook func(context.Context) error

// Process describes the process that a plane runs in, and lets the plane take part in
// its shutdown and reloads. Its methods may be called from any goroutine; its exported
// fields are set before the plane is built.
type Process struct {
	// Self describes the process to its peers. Its addresses are resolved: where
	// the settings have port zero, it has the port in use.
	Self *protocol.Node
	// Readiness holds the conditions that /readyz reports.
	Readiness *Readiness
	// Started is the start time of the process, with a monotonic clock reading.
	Started time.Time
	// Memory accounts for what requests hold together; nil sets no limit.
	Memory *memorybudget.Budget
	// MaxOpenFiles is how many descriptors the process may open; zero sets no limit.
	MaxOpenFiles int
	// FreshFolder is true if the data folder had no identity before this start.
	FreshFolder bool

	// mutex guards both lists of hooks.
	mutex         sync.Mutex
	drainHooks    []namedDrainHook
	settingsHooks []SettingsHook
	draining      chan struct{}
	failures      chan error
}

// SettingsHook is called with settings that were reloaded while the process runs.
// It must not block, and must not change its argument.
type SettingsHook func(*protocol.NodeSettings)

type namedDrainHook struct {
	name  string
	drain DrainHook
}

// NewProcess returns a process that is not draining. Tests of planes use it too.
func NewProcess(self *protocol.Node, started time.Time) *Process {
	return &Process{
		Self:      self,
		Readiness: NewReadiness(),
		Started:   started,
		draining:  make(chan struct{}),
		failures:  make(chan error, 1),
	}
}

// OnDrain adds a hook that runs at the beginning of a graceful shutdown, before
// any OnStop hook. Hooks run one after another in the order in which they were
// added and share the grace period from the settings.
func (p *Process) OnDrain(name string, drain DrainHook) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.drainHooks = append(p.drainHooks, namedDrainHook{name: name, drain: drain})
}

// OnSettings adds a hook that is called with the common part of the settings each
// time that valid settings with changes are loaded. Only changes of the seeds and
// the log level take effect; other changes need a restart. Hooks run one after
// another on a goroutine of the daemon.
func (p *Process) OnSettings(changed SettingsHook) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.settingsHooks = append(p.settingsHooks, changed)
}

// notifySettings calls the hooks of OnSettings.
func (p *Process) notifySettings(node *protocol.NodeSettings) {
	p.mutex.Lock()
	hooks := slices.Clone(p.settingsHooks)
	p.mutex.Unlock()
	for _, hook := range hooks {
		hook(node)
	}
}

// Draining is closed when a graceful shutdown begins.
func (p *Process) Draining() <-chan struct{} {
	return p.draining
}

// Fail stops the process with exit code 1 because of an error after which it cannot
// continue, such as a failed sync. Only the first error is kept; Fail does not block.
func (p *Process) Fail(err error) {
	select {
	case p.failures <- err:
	default:
	}
}

// Failures receives the first error that was passed to Fail; only one receiver gets it.
func (p *Process) Failures() <-chan error { return p.failures }

// Drain makes the process unready and runs the hooks of OnDrain one after another
// until the context ends. It combines the errors of the hooks, each a *StageError.
func (p *Process) Drain(ctx context.Context) error {
	var drainError error
	for _, hook := range p.beginDrain() {
		if ctx.Err() != nil {
			return drainError
		}
		drainError = errors.CombineErrors(drainError, wrapStage("drain "+hook.name, hook.drain(ctx)))
	}
	return drainError
}

// beginDrain makes the process unready and returns the hooks to run.
func (p *Process) beginDrain() []namedDrainHook {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.Readiness.Set(conditionDraining, "the process is stopping")
	close(p.draining)
	return slices.Clone(p.drainHooks)
}
