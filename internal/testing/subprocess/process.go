// Package subprocess starts, signals and measures child processes. It is the only
// package that starts processes, and it signals only those that it started.
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

// Spec describes a process to start.
type Spec struct {
	Name   string
	Binary string
	Args   []string
	// LogFile is the file to which standard output and standard error are appended.
	LogFile string
	Folder  string
	// Environment is added to the environment of this process.
	Environment []string
}

// Process is one child process. It is safe for concurrent use.
type Process struct {
	spec    Spec
	command *exec.Cmd
	exited  chan struct{}
	result  error
}

// Spawner starts processes from one thread of its own that lives until Close,
// so that the kernel ends them when this process dies, however it dies.
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

// Name returns the name of the process in its Spec.
func (p *Process) Name() string { return p.spec.Name }

// Spec returns the description that the process was started from.
func (p *Process) Spec() Spec { return p.spec }

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process has not ended; it may be frozen.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Result returns how the process ended; it may be called after Exited is closed.
func (p *Process) Result() error { return p.result }

// ExitedError is returned for a process that ended unexpectedly.
type ExitedError struct {
	Name    string
	Result  error
	LogFile string
}

// Error implements error.
func (e *ExitedError) Error() string {
	return fmt.Sprintf("%s ended (%v), see %s", e.Name, e.Result, e.LogFile)
}

// UnexpectedExit returns an ExitedError for a process that ended unexpectedly.
func (p *Process) UnexpectedExit() error {
	return &ExitedError{Name: p.spec.Name, Result: p.result, LogFile: p.spec.LogFile}
}

// Signal sends a signal unless the process has ended.
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

// Freeze stops the process without ending it; Thaw resumes it.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

const killWait = 5 * time.Second

// Kill ends the process at once and waits for its end.
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

// dumpAndKill has the process write its goroutines to its log before it is killed.
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

// StillRunningError is returned when a killed process did not end.
type StillRunningError struct{ Name string }

// Error implements error.
func (e *StillRunningError) Error() string { return e.Name + " is still running after it was killed" }

// dumpWait bounds the time in which a process writes its goroutines.
const dumpWait = time.Second

// Stop sends SIGTERM, waits for the grace period and then kills the process, after it has written its goroutines
// to its log. Gentle reports whether it ended before that, with exit code 0.
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
	// The end may be noticed late, as when this process or the machine was frozen: both channels are ready then, or the
	// process has ended and was not waited for. Neither SIGQUIT nor SIGKILL leaves an exit code of 0.
	return p.result == nil, nil
}
