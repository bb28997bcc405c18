package lifecycle

import (
	"context"
	"errors"
	"testing"
	"time"
)

// stoppedClock never reaches the end of a wait.
type stoppedClock struct{}

func (stoppedClock) Now() time.Time                                { return time.Unix(1_800_000_000, 0) }
func (stoppedClock) AfterFunc(time.Duration, func()) (stop func()) { return func() {} }

func TestStopEndsSleepAndAwait(t *testing.T) {
	l := New(stoppedClock{})
	slept := make(chan bool, 1)
	awaited := make(chan error, 1)
	l.Go(func() { slept <- l.Sleep(time.Hour) })
	l.Go(func() {
		_, err := Await(context.Background(), l, make(chan int))
		awaited <- err
	})
	l.Stop()
	l.Wait()
	if <-slept {
		t.Error("the sleep ended as if its time had passed")
	}
	if _, stopped := errors.AsType[*StoppedError](<-awaited); !stopped {
		t.Error("the wait did not end with the store")
	}
	if l.Context().Err() == nil {
		t.Error("the context has not ended")
	}
}

func TestNotificationEndsSleep(t *testing.T) {
	l := New(stoppedClock{})
	defer l.Stop()
	notified := make(chan struct{}, 1)
	notified <- struct{}{}
	if !l.SleepOr(time.Hour, notified) {
		t.Error("the sleep ended as if the store stopped")
	}
}

func TestDeadlineIsTheContextsOrTheFallback(t *testing.T) {
	l := New(stoppedClock{})
	defer l.Stop()
	now := l.Clock().Now()
	if got := l.Deadline(context.Background(), time.Minute); got != now.Add(time.Minute) {
		t.Errorf("without a deadline it ends at %v", got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if got := l.Deadline(ctx, time.Minute); got.Before(now.Add(59*time.Minute)) || got.After(now.Add(time.Hour)) {
		t.Errorf("with a deadline in an hour it ends at %v", got)
	}
}
