// Package mailbox is the queue of commands of an owner goroutine: the goroutine that runs
// the mailbox is the only one that uses the state that its commands touch.
package mailbox

import "sync"

// Mailbox is the queue of commands of one owner goroutine. Posting never blocks, so that
// goroutines for which the owner waits can notify it of completions. The queue has no bound
// of its own: it is bounded by the number of requests in flight.
type Mailbox struct {
	// mutex guards all fields.
	mutex    sync.Mutex
	arrived  *sync.Cond
	commands []func()
	closed   bool
}

// New returns an open mailbox. Run works through it.
func New() *Mailbox {
	m := &Mailbox{}
	m.arrived = sync.NewCond(&m.mutex)
	return m
}

// Post queues a command; after Close it is dropped.
func (m *Mailbox) Post(command func()) {
	m.mutex.Lock()
	if !m.closed {
		m.commands = append(m.commands, command)
		if len(m.commands) == 1 {
			m.arrived.Signal()
		}
	}
	m.mutex.Unlock()
}

// next waits for commands and returns all of them, or false once closed. The queue
// reuses the memory of processed, the commands returned before.
func (m *Mailbox) next(processed []func()) ([]func(), bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for len(m.commands) == 0 && !m.closed {
		m.arrived.Wait()
	}
	if m.closed {
		return nil, false
	}
	commands := m.commands
	m.commands = processed[:0]
	return commands, true
}

// Close ends Run once it is through with the commands that it has begun on; those still
// queued are dropped.
func (m *Mailbox) Close() {
	m.mutex.Lock()
	m.closed = true
	m.commands = nil
	m.arrived.Signal()
	m.mutex.Unlock()
}

// Run executes the commands in order until Close. It is called by the owner goroutine.
func (m *Mailbox) Run() {
	var processed []func()
	for {
		commands, open := m.next(processed)
		if !open {
			return
		}
		for i, command := range commands {
			command()
			commands[i] = nil
		}
		processed = commands
	}
}
