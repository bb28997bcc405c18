package statesuite

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Syncs take between these times.
const (
	shortestSync = 200 * time.Microsecond
	longestSync  = 8 * time.Millisecond
	// slowSyncOneIn syncs take up to slowestSync.
	slowSyncOneIn = 40
	slowestSync   = 150 * time.Millisecond
	// lazySync is how late mutations sync that acknowledge first.
	lazySync = time.Second
)

func syncDelay(environment *sim.Environment) time.Duration {
	random := environment.Random()
	longest := longestSync
	if random.IntN(slowSyncOneIn) == 0 {
		longest = slowestSync
	}
	return shortestSync + time.Duration(random.Int64N(int64(longest)))
}

// committer is a group committer in virtual time: one sync for all that waits when it begins.
type committer struct {
	environment *sim.Environment
	log         *storage.Log
	// early calls back before the sync: a mutation.
	early   bool
	fatal   func(error)
	waiting []func()
	syncing bool
}

// append writes a record and calls done once it is durable.
func (c *committer) append(record proto.Message, done func()) {
	data, err := proto.Marshal(record)
	if err == nil {
		_, err = c.log.Write(data)
	}
	if err != nil {
		c.fatal(err)
		return
	}
	if c.early {
		done()
		done = func() {}
	}
	c.waiting = append(c.waiting, done)
	c.begin()
}

func (c *committer) begin() {
	if c.syncing || len(c.waiting) == 0 {
		return
	}
	c.syncing = true
	batch := c.waiting
	c.waiting = nil
	if err := c.log.Flush(); err != nil {
		c.fatal(err)
		return
	}
	delay := syncDelay(c.environment)
	if c.early {
		delay = lazySync
	}
	c.environment.After(delay, func() {
		if err := c.log.Sync(); err != nil {
			c.fatal(err)
			return
		}
		c.syncing = false
		for _, done := range batch {
			done()
		}
		c.begin()
	})
}

// quiesce calls done once all that was appended before is durable.
func (c *committer) quiesce(done func()) {
	if !c.syncing && len(c.waiting) == 0 {
		done()
		return
	}
	c.waiting = append(c.waiting, done)
	c.begin()
}
