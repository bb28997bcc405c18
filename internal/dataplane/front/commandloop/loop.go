package commandloop

import "sync"

// commandQueueCapacity is the number of commands that may be queued; Post blocks while the queue is full.
const commandQueueCapacity = 1024

// Loop runs commands one after another on its own goroutine, which owns the data that the commands access. Its methods
// are safe for concurrent use.
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

// Post queues a command without waiting until it has run. It returns false once the loop is stopping.
func (l *Loop) Post(command func()) bool {
	select {
	case l.commands <- command:
		return true
	case <-l.stopping:
		return false
	}
}

// Do queues a command and waits until it has run. It returns false if the loop stopped before. It must not be called
// from a command, which would deadlock.
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

// Stop ends the loop and waits for the running command; commands that are still queued are not guaranteed to
// run.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stopping) })
	<-l.stopped
}

// Stopping returns a channel that is closed when Stop is called.
func (l *Loop) Stopping() <-chan struct{} { return l.stopping }

// Stopped returns a channel that is closed once the loop has stopped and no command runs any more.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }
