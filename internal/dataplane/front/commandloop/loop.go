package commandloop

import "sync"

// commandQueueCapacity is how many commands may wait; a caller of Post blocks beyond that.
const commandQueueCapacity = 1024

// Loop runs commands one after another on its own goroutine, which owns
// everything that the commands touch. Its methods may be called from any goroutine.
type Loop struct {
	commands chan func()
	stopOnce sync.Once
	stopping chan struct{}
	stopped  chan struct{}
}

// New starts a loop, which runs until Stop.
func New() *Loop {
	l := &Loop{
		commands: make(chan func(), commandQueueCapacity), stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
	go l.run()
	return l
}

func (l *Loop) run() {
	defer close(l.stopped)
	for {
		select {
		case command := <-l.commands:
			command()
		case <-l.stopping:
			return
		}
	}
}

// Post queues a command without waiting until it has run; it reports false once the loop stops.
func (l *Loop) Post(command func()) bool {
	select {
	case l.commands <- command:
		return true
	case <-l.stopping:
		return false
	}
}

// Do runs a command and waits for it; it reports false once the loop is stopped.
// It must not be called from a command.
func (l *Loop) Do(command func()) bool {
	finished := make(chan struct{})
	if !l.Post(func() { command(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.stopped:
		return false
	}
}

// Stop ends the loop and waits for the command that runs; those that are still queued do not run.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stopping) })
	<-l.stopped
}

// Stopping is closed once Stop was called.
func (l *Loop) Stopping() <-chan struct{} { return l.stopping }

// Stopped is closed once no command runs any more.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }
