// Package mailbox implements the command queue of an owner goroutine: only the goroutine that
// runs the mailbox accesses the state that its commands use.
package mailbox

import "sync"

// Mailbox is the command queue of one owner goroutine. Post never blocks, so that goroutines that
// the owner waits for can notify it of completions. The queue has no limit of its own: it is
// bounded by the number of requests in flight.
type Mailbox struct {
	// mutex guards all fields.
	mutex    sync.Mutex
	arrived  *sync.Cond
	commands []func()
	closed   bool
}

// New returns an open mailbox, whose commands Run executes.
func New() *Mailbox {
	m := &Mailbox{}
	m.arrived = sync.NewCond(&m.mutex)
	return m
}

// Post queues a command. After Close it drops the command.
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

// next waits for commands and returns all of them, or false once the mailbox is closed. The queue
// reuses the memory of processed, the commands that were returned by the previous call.
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

// Close makes Run return after the commands that it has removed from the queue; commands still
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
