package replica

import "time"

// SystemClock is the machine's monotonic clock.
type SystemClock struct{}

// Now returns the time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// NewTimer starts a timer of the machine's clock.
func (SystemClock) NewTimer(after time.Duration) Timer {
	return systemTimer{timer: time.NewTimer(after)}
}

type systemTimer struct{ timer *time.Timer }

// C is where the timer fires.
func (t systemTimer) C() <-chan time.Time { return t.timer.C }

// Stop ends the timer.
func (t systemTimer) Stop() { t.timer.Stop() }
