// Package simclock is the clock of a simulated machine whose processor can be frozen: a goroutine that reads the time
// meanwhile blocks until the machine wakes. It freezes code that reads its clock before it acts, as the owner
// goroutines of a core replica and of a store do.
package simclock

import (
	"sync"
	"time"
)

// Clock returns the time of the calling goroutine, which is virtual in a testing/synctest bubble. The zero value runs.
// It is safe for concurrent use.
type Clock struct {
	mutex sync.Mutex
	// woken is closed when the machine wakes; nil while it is not frozen.
	woken chan struct{}
}

// Freeze blocks all further reads of the clock.
func (c *Clock) Freeze() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.woken == nil {
		c.woken = make(chan struct{})
	}
}

// Wake unblocks all reads of the clock.
func (c *Clock) Wake() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.woken != nil {
		close(c.woken)
		c.woken = nil
	}
}

// IsFrozen reports whether the clock is frozen.
func (c *Clock) IsFrozen() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.woken != nil
}

// Now gives the time once the clock is not frozen.
func (c *Clock) Now() time.Time {
	c.mutex.Lock()
	woken := c.woken
	c.mutex.Unlock()
	if woken != nil {
		<-woken
	}
	return time.Now()
}

// AfterFunc calls run on a goroutine of its own once the time has passed and the clock is not frozen, unless stop was
// called before.
func (c *Clock) AfterFunc(wait time.Duration, run func()) (stop func()) {
	timer := time.AfterFunc(wait, func() {
		c.Now()
		run()
	})
	return func() { timer.Stop() }
}
