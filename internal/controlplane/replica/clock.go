package replica

import "time"

// SystemClock is the monotonic clock of the operating system.
type SystemClock struct{}

// Now returns the time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// NewTimer starts a timer that fires once after the given time.
func (SystemClock) NewTimer(after time.Duration) Timer {
	return systemTimer{timer: time.NewTimer(after)}
}

type systemTimer struct{ timer *time.Timer }

// C returns the channel on which the timer fires.
func (t systemTimer) C() <-chan time.Time { return t.timer.C }

// Stop cancels the timer.
func (t systemTimer) Stop() { t.timer.Stop() }
