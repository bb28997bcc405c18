package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// DrainHook ends one part of the work of a process before it stops. It returns
// when nothing of that part is under way any more, or when the context ends.
type DrainHook func(context.Context) error

// Process is what a plane knows of the process it runs in.
type Process struct {
	// Self describes the process to its peers; addresses are resolved, so a
	// port of zero in the settings is the port in use here.
	Self *protocol.Node
	// Readiness decides what /readyz answers.
	Readiness *Readiness
	// Started is when the process started; it carries a monotonic reading.
	Started time.Time
	// FreshFolder is true when the data folder had no identity before this start.
	FreshFolder bool

	mutex    sync.Mutex
	hooks    []namedHook
	changed  []SettingsHook
	draining chan struct{}
	failures chan error
}

// SettingsHook hears of settings that were read again while the process runs.
// It must not block, and must not change what it is given.
type SettingsHook func(*protocol.NodeSettings)

type namedHook struct {
	name  string
	drain DrainHook
}

// NewProcess makes the description of a process; tests of planes use it too.
func NewProcess(self *protocol.Node, started time.Time) *Process {
	return &Process{
		Self:      self,
		Readiness: NewReadiness(),
		Started:   started,
		draining:  make(chan struct{}),
		failures:  make(chan error, 1),
	}
}

// OnDrain adds a hook that runs when the process is asked to stop gently,
// before any OnStop hook. Hooks run one after another in the order in which
// they were added and share the grace of the settings.
func (p *Process) OnDrain(name string, drain DrainHook) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hooks = append(p.hooks, namedHook{name: name, drain: drain})
}

// OnSettings adds a hook that is called with the common part of the settings
// each time the settings file was read again and was valid. Seeds and the log
// level are what may differ; everything else stands as it was at the start.
// Hooks run one after another on a goroutine of the daemon.
func (p *Process) OnSettings(changed SettingsHook) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.changed = append(p.changed, changed)
}

// announceSettings calls the hooks that OnSettings added.
func (p *Process) announceSettings(node *protocol.NodeSettings) {
	p.mutex.Lock()
	hooks := append([]SettingsHook(nil), p.changed...)
	p.mutex.Unlock()
	for _, hook := range hooks {
		hook(node)
	}
}

// Draining is closed when a gentle stop begins.
func (p *Process) Draining() <-chan struct{} {
	return p.draining
}

// Fail stops the process with exit code 1 because of an error that it cannot
// outlive, such as a failed sync. The first error counts; Fail returns at once.
func (p *Process) Fail(err error) {
	select {
	case p.failures <- err:
	default:
	}
}

// Failures gives the error that Fail was told first. One receiver gets it.
func (p *Process) Failures() <-chan error { return p.failures }

// Drain makes the process unready and runs the hooks of OnDrain one after another, as long as the context lasts.
func (p *Process) Drain(ctx context.Context) error {
	var failed error
	for _, hook := range p.beginDrain() {
		if ctx.Err() != nil {
			return failed
		}
		failed = errors.CombineErrors(failed, staged("drain "+hook.name, hook.drain(ctx)))
	}
	return failed
}

// beginDrain makes the process unready and returns the hooks to run.
func (p *Process) beginDrain() []namedHook {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.Readiness.Set(conditionDraining, "the process is stopping")
	close(p.draining)
	return append([]namedHook(nil), p.hooks...)
}
