// Package lifecycle manages the goroutines of one store: it has a context for their calls, a
// channel that is closed when the store stops, and waits by the store's clock that end at the
// stop.
package lifecycle

import (
	"context"
	"sync"
	"time"
)

// Clock is a source of time and timers.
type Clock interface {
	Now() time.Time
	// AfterFunc calls run on a goroutine of its own after the wait, unless stop is called before.
	AfterFunc(wait time.Duration, run func()) (stop func())
}

// SystemClock is the system's Clock.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (SystemClock) AfterFunc(wait time.Duration, run func()) func() {
	timer := time.AfterFunc(wait, run)
	return func() { timer.Stop() }
}

// StoppedError reports that the store stopped before a wait or an operation was complete.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "the store stops" }

// Lifecycle is shared by all goroutines of a store.
type Lifecycle struct {
	clock    Clock
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}
	routines sync.WaitGroup
}

// New returns the lifecycle of a running store.
func New(clock Clock) *Lifecycle {
	ctx, cancel := context.WithCancel(context.Background())
	return &Lifecycle{clock: clock, ctx: ctx, cancel: cancel, stopped: make(chan struct{})}
}

// Clock returns the store's clock.
func (l *Lifecycle) Clock() Clock { return l.clock }

// Context returns a context that is canceled when the store stops.
func (l *Lifecycle) Context() context.Context { return l.ctx }

// Stopped returns a channel that is closed when the store stops.
func (l *Lifecycle) Stopped() <-chan struct{} { return l.stopped }

// Go starts a goroutine that Wait waits for.
func (l *Lifecycle) Go(run func()) { l.routines.Go(run) }

// Stop cancels the context and closes the channel of Stopped. It must be called only once.
func (l *Lifecycle) Stop() {
	l.cancel()
	close(l.stopped)
}

// Wait waits for all goroutines started by Go.
func (l *Lifecycle) Wait() { l.routines.Wait() }

// Sleep returns true after the duration, or false as soon as the store stops.
func (l *Lifecycle) Sleep(duration time.Duration) bool { return l.SleepOr(duration, nil) }

// SleepOr is like Sleep, but also returns true as soon as it receives from notified.
func (l *Lifecycle) SleepOr(duration time.Duration, notified <-chan struct{}) bool {
	passed := make(chan struct{})
	stop := l.clock.AfterFunc(duration, func() { close(passed) })
	select {
	case <-passed:
		return true
	case <-notified:
		stop()
		return true
	case <-l.stopped:
		stop()
		return false
	}
}

// Deadline returns the deadline of an operation by the store's clock: that of its context, or
// the current time plus fallback when the context has none.
func (l *Lifecycle) Deadline(ctx context.Context, fallback time.Duration) time.Time {
	left := fallback
	if end, bounded := ctx.Deadline(); bounded {
		left = time.Until(end)
	}
	return l.clock.Now().Add(left)
}

// Await returns the next value of a channel. The error is that of the context or a *StoppedError.
func Await[A any](ctx context.Context, l *Lifecycle, answers <-chan A) (A, error) {
	var none A
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.stopped:
		return none, &StoppedError{}
	}
}
