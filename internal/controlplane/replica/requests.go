package replica

import "context"

// request is work for the owner goroutine. Exactly one of its functions is called, unless the replica stops first.
type request struct {
	run func()
	// refuse is called in place of run while the replica waits for its disk.
	reject func(err error)
}

// do runs a function on the owner goroutine and waits for it.
func (r *Replica) runOnOwner(ctx context.Context, run func()) error {
	done := make(chan error, 1)
	err := r.enqueue(request{
		run:    func() { run(); done <- nil },
		reject: func(err error) { done <- err },
	})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &UnknownOutcomeError{Cause: ctx.Err()}
	case <-r.stopped:
	}
	select {
	case err := <-done:
		return err
	default:
		return &StoppedError{}
	}
}

// enqueue hands a request to the owner goroutine; after an error it is surely not run.
func (r *Replica) enqueue(asked request) error {
	select {
	case <-r.stopped:
		return &StoppedError{}
	default:
	}
	select {
	case r.requests <- asked:
		return nil
	default:
		r.metrics.overloads.Inc()
		return &OverloadedError{Queue: "requests"}
	}
}
