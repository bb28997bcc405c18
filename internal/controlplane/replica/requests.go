package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Names of the queues to the owner goroutine, for OverloadedError.
const (
	messageQueueName  = "messages"
	proposalQueueName = "proposals"
	requestQueueName  = "requests"
)

// inboundMessage is a message of another member with the time at which this process received it.
type inboundMessage struct {
	message    *protocol.ConsensusMessage
	receivedAt time.Time
}

// request is work for the owner goroutine. Exactly one of its functions is called, unless the replica
// stops first.
type request struct {
	run func()
	// reject is called instead of run while the replica waits until its disk can be used again.
	reject func(err error)
}

// runOnOwner runs a function on the owner goroutine and waits for it. Errors: *OverloadedError,
// *StoppedError, *DiskUnavailableError (the function did not run), *UnknownOutcomeError.
func (r *Replica) runOnOwner(ctx context.Context, run func()) error {
	done := make(chan error, 1)
	err := enqueue(r, r.requests, request{
		run:    func() { run(); done <- nil },
		reject: func(err error) { done <- err },
	}, requestQueueName)
	if err != nil {
		return err
	}
	return r.waitForError(ctx, done)
}

// waitForError waits for the result from the owner goroutine and returns it. Other errors: *UnknownOutcomeError
// when the context ends, *StoppedError.
func (r *Replica) waitForError(ctx context.Context, done <-chan error) error {
	answer, interrupted := waitFor(ctx, r.stopped, done)
	var stopped *StoppedError
	switch {
	case interrupted == nil:
		return answer
	case errors.As(interrupted, &stopped):
		return stopped
	default:
		return &UnknownOutcomeError{Cause: interrupted}
	}
}

// waitFor waits for an answer from the owner goroutine. The wait is interrupted by the end of the context, with
// its error, or when the replica stops without an answer, with a *StoppedError.
func waitFor[T any](ctx context.Context, stopped <-chan struct{}, done <-chan T) (answer T, interrupted error) {
	select {
	case answer = <-done:
		return answer, nil
	case <-ctx.Done():
		return answer, ctx.Err()
	case <-stopped:
	}
	// The answer may have arrived at the same time.
	select {
	case answer = <-done:
		return answer, nil
	default:
		return answer, &StoppedError{}
	}
}

// enqueue queues an item for the owner goroutine without blocking; after an error the item is not queued.
// Errors: *StoppedError, *OverloadedError with the name of the queue.
func enqueue[T any](r *Replica, queue chan<- T, item T, name string) error {
	select {
	case <-r.stopped:
		return &StoppedError{}
	default:
	}
	select {
	case queue <- item:
		return nil
	default:
		r.metrics.overloads.Inc()
		return &OverloadedError{Queue: name}
	}
}
