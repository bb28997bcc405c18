package store

import "sync"

// mailbox is the queue of commands of one owner goroutine. Posting never
// blocks, so an owner can be told of completions by goroutines it waits for;
// what bounds the queue is the bound on requests under way.
type mailbox struct {
	mutex    sync.Mutex
	arrived  *sync.Cond
	commands []func()
	closed   bool
}

func newMailbox() *mailbox {
	m := &mailbox{}
	m.arrived = sync.NewCond(&m.mutex)
	return m
}

// post queues a command; after close it is dropped.
func (m *mailbox) post(command func()) {
	m.mutex.Lock()
	if !m.closed {
		m.commands = append(m.commands, command)
		if len(m.commands) == 1 {
			m.arrived.Signal()
		}
	}
	m.mutex.Unlock()
}

// take waits for commands and returns all of them, or false once closed.
func (m *mailbox) take(spare []func()) ([]func(), bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for len(m.commands) == 0 && !m.closed {
		m.arrived.Wait()
	}
	if m.closed {
		return nil, false
	}
	commands := m.commands
	m.commands = spare[:0]
	return commands, true
}

func (m *mailbox) close() {
	m.mutex.Lock()
	m.closed = true
	m.commands = nil
	m.arrived.Signal()
	m.mutex.Unlock()
}

// run works through the queue until close.
func (m *mailbox) run() {
	var spare []func()
	for {
		commands, open := m.take(spare)
		if !open {
			return
		}
		for i, command := range commands {
			command()
			commands[i] = nil
		}
		spare = commands
	}
}
