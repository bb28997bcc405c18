package wire

import (
	"context"
	"io"
	"sync"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// exchange is the client side of one request, with a bounded queue of answers.
type exchange struct {
	id     uint64
	client *clientConnection
	ctx    context.Context
	// single is true when one answer ends the exchange.
	single bool

	mutex   sync.Mutex
	answers []*protocol.Response
	ended   bool
	cause   error
	notify  chan struct{}
}

// deliver queues an answer; it reports false if maxQueuedAnswers wait already, which ends the exchange.
func (e *exchange) deliver(answer *protocol.Response) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.ended {
		return true
	}
	if len(e.answers) >= maxQueuedAnswers {
		e.ended = true
		e.cause = failure.New(failure.SlowReader, protocol.Outcome_UNKNOWN, "answers were not read in time")
		e.signal()
		return false
	}
	e.answers = append(e.answers, answer)
	e.ended = e.single
	e.signal()
	return true
}

// end closes the queue; the answers delivered before are still received.
func (e *exchange) end(cause error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.cause = cause
	e.signal()
}

func (e *exchange) signal() {
	select {
	case e.notify <- struct{}{}:
	default:
	}
}

func (e *exchange) next() (answer *protocol.Response, ended bool, cause error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.answers) > 0 {
		answer = e.answers[0]
		e.answers[0] = nil
		e.answers = e.answers[1:]
		return answer, false, nil
	}
	return nil, e.ended, e.cause
}

// Receive implements Stream.
func (e *exchange) Receive() (*protocol.Response, error) {
	for {
		answer, ended, cause := e.next()
		if answer != nil {
			return answer, nil
		}
		if ended {
			if cause == nil {
				return nil, io.EOF
			}
			return nil, cause
		}
		select {
		case <-e.notify:
		case <-e.ctx.Done():
			return nil, e.ctx.Err()
		}
	}
}

// Close implements Stream.
func (e *exchange) Close() {
	e.mutex.Lock()
	ended := e.ended
	e.ended = true
	if e.cause == nil && !ended {
		e.cause = context.Canceled
	}
	e.answers = nil
	e.mutex.Unlock()
	e.client.endExchange(e.id, !ended)
}
