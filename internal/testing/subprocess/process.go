// Package subprocess starts, signals and measures the processes of a rig. It is
// the only place of the project that starts processes, and it signals those
// alone that it started.
package subprocess

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Spec says what to start.
type Spec struct {
	Name   string
	Binary string
	Args   []string
	// LogFile takes standard output and standard error, appended.
	LogFile string
	Folder  string
	// Environment is added to the rig's own.
	Environment []string
}

// Process is one process of the rig.
type Process struct {
	spec    Spec
	command *exec.Cmd
	exited  chan struct{}
	result  error
}

// Spawner starts processes from one thread of its own that lives until Close,
// so that the kernel ends them when the rig dies, however it dies.
type Spawner struct {
	orders chan spawnOrder
}

type spawnOrder struct {
	spec  Spec
	reply chan spawnReply
}

type spawnReply struct {
	process *Process
	err     error
}

// NewSpawner starts the thread.
func NewSpawner() *Spawner {
	s := &Spawner{orders: make(chan spawnOrder)}
	go s.loop()
	return s
}

func (s *Spawner) loop() {
	runtime.LockOSThread()
	for order := range s.orders {
		started, err := start(order.spec)
		order.reply <- spawnReply{started, err}
	}
}

// Close ends the thread; processes that still run are killed with it.
func (s *Spawner) Close() { close(s.orders) }

// Start starts a process.
func (s *Spawner) Start(spec Spec) (*Process, error) {
	order := spawnOrder{spec: spec, reply: make(chan spawnReply, 1)}
	s.orders <- order
	reply := <-order.reply
	return reply.process, reply.err
}

func start(spec Spec) (*Process, error) {
	log, err := os.OpenFile(spec.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	//nolint:noctx // A process outlives the call that starts it; Stop and Close end it.
	command := exec.Command(spec.Binary, spec.Args...)
	command.Dir = spec.Folder
	command.Stdout = log
	command.Stderr = log
	command.Env = append(os.Environ(), spec.Environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err = command.Start()
	if closed := log.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", spec.Name)
	}
	p := &Process{spec: spec, command: command, exited: make(chan struct{})}
	go func() {
		p.result = command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Name is the name of the process within its rig.
func (p *Process) Name() string { return p.spec.Name }

// Spec is what it was started from.
func (p *Process) Spec() Spec { return p.spec }

// ID is the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Exited is closed when the process is gone.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process is there, frozen or not.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Result is how the process ended; it may be read after Exited is closed.
func (p *Process) Result() error { return p.result }

// ExitedError says that a process ended that should run.
type ExitedError struct {
	Name    string
	Result  error
	LogFile string
}

// Error implements error.
func (e *ExitedError) Error() string {
	return fmt.Sprintf("%s ended (%v), see %s", e.Name, e.Result, e.LogFile)
}

// Gone describes the end of a process that should run.
func (p *Process) Gone() error {
	return &ExitedError{Name: p.spec.Name, Result: p.result, LogFile: p.spec.LogFile}
}

// Signal sends a signal unless the process is gone.
func (p *Process) Signal(signal os.Signal) error {
	if !p.Running() {
		return nil
	}
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Wrapf(err, "signal %s", p.spec.Name)
}

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

const killWait = 5 * time.Second

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(killWait):
		return &StillRunningError{Name: p.spec.Name}
	}
}

// dumpAndKill has the process write its goroutines down before it is killed.
func (p *Process) dumpAndKill() error {
	if err := p.Signal(syscall.SIGQUIT); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(dumpWait):
		return p.Kill()
	}
}

// StillRunningError says that a killed process did not go.
type StillRunningError struct{ Name string }

// Error implements error.
func (e *StillRunningError) Error() string { return e.Name + " is still running after it was killed" }

// dumpWait is how long a process may take to write its goroutines down.
const dumpWait = time.Second

// Stop asks the process to end, waits for the grace and then kills it, after it has written its goroutines
// into its log. Gentle reports whether it ended by itself and with exit code 0.
func (p *Process) Stop(grace time.Duration) (gentle bool, err error) {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	return p.stopBefore(timer.C)
}

func (p *Process) stopBefore(expired <-chan time.Time) (gentle bool, err error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	select {
	case <-p.exited:
		return p.result == nil, nil
	case <-expired:
	}
	if err := p.dumpAndKill(); err != nil {
		return false, err
	}
	// An end may be noticed late, as when this process or the machine stood still: both channels are ready then, or the
	// process is gone and has not been waited for. Neither SIGQUIT nor SIGKILL leaves an exit code of 0.
	return p.result == nil, nil
}
