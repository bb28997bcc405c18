package front_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front"
)

// minLedgerBackoff and maxLedgerBackoff bound the time that a turn waits until it queries the ledger again.
const (
	minLedgerBackoff = 50 * time.Millisecond
	maxLedgerBackoff = 2 * time.Second
)

// manualClock moves only when a spec advances it.
type manualClock struct {
	mutex  sync.Mutex
	now    time.Time
	alarms []*alarm
}

// alarm is one wait of a manualClock.
type alarm struct {
	at   time.Time
	wait time.Duration
	ring func(now time.Time)
}

func (c *manualClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *manualClock) After(wait time.Duration) <-chan time.Time {
	rung := make(chan time.Time, 1)
	c.set(wait, func(now time.Time) { rung <- now })
	return rung
}

// WithTimeout implements front.Clock.
func (c *manualClock) WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx := &timeoutContext{Context: parent, done: make(chan struct{})}
	set := c.set(limit, func(time.Time) { ctx.end(context.DeadlineExceeded) })
	stop := context.AfterFunc(parent, func() { ctx.end(parent.Err()) })
	return ctx, func() {
		c.unset(set)
		stop()
		ctx.end(context.Canceled)
	}
}

// timeoutContext ends with its parent or when its end method is called.
type timeoutContext struct {
	context.Context
	done chan struct{}

	mutex sync.Mutex
	err   error
}

func (c *timeoutContext) Done() <-chan struct{} { return c.done }

func (c *timeoutContext) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}

func (c *timeoutContext) end(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err == nil {
		c.err = err
		close(c.done)
	}
}

func (c *manualClock) set(wait time.Duration, ring func(now time.Time)) *alarm {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	set := &alarm{at: c.now.Add(wait), wait: wait, ring: ring}
	c.alarms = append(c.alarms, set)
	return set
}

func (c *manualClock) unset(former *alarm) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.alarms = slices.DeleteFunc(c.alarms, func(set *alarm) bool { return set == former })
}

func (c *manualClock) advance(by time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(by)
	pending := make([]*alarm, 0, len(c.alarms))
	for _, set := range c.alarms {
		if set.at.After(c.now) {
			pending = append(pending, set)
			continue
		}
		set.ring(c.now)
	}
	c.alarms = pending
}

// isSet reports whether somebody waits for an alarm that was set to ring after just that time.
func (c *manualClock) isSet(wait time.Duration) bool {
	return c.isAnySet(func(set time.Duration) bool { return set == wait })
}

// countSet is how many alarms were set to ring after just that time.
func (c *manualClock) countSet(wait time.Duration) (set int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, pending := range c.alarms {
		if pending.wait == wait {
			set++
		}
	}
	return set
}

// awaitsSample reports whether a front node waits until it requests the next server's load.
func (c *manualClock) awaitsSample() bool {
	return c.isAnySet(func(set time.Duration) bool {
		return set >= front.SampleInterval/2 && set < front.SampleInterval*3/2 && set != front.SampleTimeout
	})
}

func (c *manualClock) isAnySet(matches func(wait time.Duration) bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.ContainsFunc(c.alarms, func(set *alarm) bool { return matches(set.wait) })
}

// passBackoff lets the time pass for which a request waits until it looks for an owner again. No time passes while none
// waits, so that a busy machine takes nothing from the time in which a request is answered.
func (c *manualClock) passBackoff() {
	for wait := front.FirstBackoff; ; wait = min(2*wait, front.MaxBackoff) {
		if c.isSet(wait) {
			c.advance(wait)
			return
		}
		if wait == front.MaxBackoff {
			return
		}
	}
}

// passBackoffs advances the clock by the time that a turn waits until it queries the ledger again, and not while
// none waits.
func (c *manualClock) passBackoffs() {
	for wait := minLedgerBackoff; wait < maxLedgerBackoff; wait *= 2 {
		if c.isSet(wait) {
			c.advance(wait)
			return
		}
	}
	if c.isSet(maxLedgerBackoff) {
		c.advance(maxLedgerBackoff)
	}
}
