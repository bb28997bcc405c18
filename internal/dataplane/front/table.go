package front

import "sync"

// commandLoop is the queue of commands of one owner goroutine. What the commands
// touch belongs to that goroutine alone.
type commandLoop struct {
	commands chan func()
	quit     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

const commandQueueCapacity = 1024

func newCommandLoop() *commandLoop {
	t := &commandLoop{commands: make(chan func(), commandQueueCapacity), quit: make(chan struct{}), done: make(chan struct{})}
	go t.run()
	return t
}

func (t *commandLoop) run() {
	defer close(t.done)
	for {
		select {
		case command := <-t.commands:
			command()
		case <-t.quit:
			return
		}
	}
}

// post queues a command without waiting for it; it reports false once the table is stopped.
func (t *commandLoop) post(command func()) bool {
	select {
	case t.commands <- command:
		return true
	case <-t.quit:
		return false
	}
}

// do runs a command and waits for it; it reports false once the table is stopped.
func (t *commandLoop) do(command func()) bool {
	finished := make(chan struct{})
	if !t.post(func() { command(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-t.done:
		return false
	}
}

func (t *commandLoop) stop() {
	t.stopOnce.Do(func() { close(t.quit) })
	<-t.done
}
