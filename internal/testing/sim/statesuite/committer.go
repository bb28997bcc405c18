package statesuite

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Durations of syncs.
const (
	minSyncTime = 200 * time.Microsecond
	maxSyncTime = 8 * time.Millisecond
	// slowSyncOneIn: one sync in so many takes up to maxSlowSyncTime.
	slowSyncOneIn   = 40
	maxSlowSyncTime = 150 * time.Millisecond
	// mutatedSyncDelay is the delay of syncs under mutations that acknowledge first.
	mutatedSyncDelay = time.Second
)

func syncDelay(environment *sim.Environment) time.Duration {
	random := environment.Random()
	maxTime := maxSyncTime
	if random.IntN(slowSyncOneIn) == 0 {
		maxTime = maxSlowSyncTime
	}
	return minSyncTime + time.Duration(random.Int64N(int64(maxTime)))
}

// committer is a group committer in virtual time: one sync serves all records that wait when it begins.
type committer struct {
	environment *sim.Environment
	log         *storage.Log
	// acknowledgeFirst calls back before the sync, as a mutation.
	acknowledgeFirst bool
	fatal            func(error)
	waiting          []func()
	syncing          bool
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
	if c.acknowledgeFirst {
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
	if c.acknowledgeFirst {
		delay = mutatedSyncDelay
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

// whenDurable calls done once all records appended before are durable.
func (c *committer) whenDurable(done func()) {
	if !c.syncing && len(c.waiting) == 0 {
		done()
		return
	}
	c.waiting = append(c.waiting, done)
	c.begin()
}
