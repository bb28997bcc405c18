package lifecycle

import (
	"context"
	"errors"
	"testing"
	"time"
)

// stoppedClock returns a constant time and never fires a timer.
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
		t.Error("Sleep returned true when the store stopped, want false")
	}
	if _, stopped := errors.AsType[*StoppedError](<-awaited); !stopped {
		t.Error("Await did not return a StoppedError when the store stopped")
	}
	if l.Context().Err() == nil {
		t.Error("the context is not canceled after Stop")
	}
}

func TestNotificationEndsSleep(t *testing.T) {
	l := New(stoppedClock{})
	defer l.Stop()
	notified := make(chan struct{}, 1)
	notified <- struct{}{}
	if !l.SleepOr(time.Hour, notified) {
		t.Error("SleepOr returned false after a notification, want true")
	}
}

func TestDeadlineIsTheContextsOrTheFallback(t *testing.T) {
	l := New(stoppedClock{})
	defer l.Stop()
	now := l.Clock().Now()
	if got := l.Deadline(context.Background(), time.Minute); got != now.Add(time.Minute) {
		t.Errorf("Deadline of a context without deadline: got %v, want one minute after the current time", got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if got := l.Deadline(ctx, time.Minute); got.Before(now.Add(59*time.Minute)) || got.After(now.Add(time.Hour)) {
		t.Errorf("Deadline of a context that ends in one hour: got %v, want between 59 and 60 minutes after the current time",
			got)
	}
}
