package front_test

import (
	"sync"
	"time"
)

// manualClock moves only when a story says so.
type manualClock struct {
	mutex  sync.Mutex
	now    time.Time
	alarms []alarm
}

type alarm struct {
	at   time.Time
	ring chan time.Time
}

func (c *manualClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *manualClock) After(wait time.Duration) <-chan time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	set := alarm{at: c.now.Add(wait), ring: make(chan time.Time, 1)}
	c.alarms = append(c.alarms, set)
	return set.ring
}

func (c *manualClock) advance(by time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(by)
	kept := c.alarms[:0]
	for _, set := range c.alarms {
		if set.at.After(c.now) {
			kept = append(kept, set)
			continue
		}
		set.ring <- c.now
	}
	c.alarms = kept
}
