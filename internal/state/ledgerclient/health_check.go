package ledgerclient

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	// healthCheckInterval is the time between two rounds of health checks; it bounds how late a client detects that a
	// shard answers again.
	healthCheckInterval = 250 * time.Millisecond
	// healthCheckTimeout bounds one health check. It is longer than relayedOperationTimeout, so that a relay can respond
	// that it reaches no replica either.
	healthCheckTimeout = 450 * time.Millisecond
	// maxConcurrentHealthChecks bounds the shards that are down and checked in one round.
	maxConcurrentHealthChecks = 4
	// idleCheckAfter is how long no shard must have answered before one that is not down is checked.
	idleCheckAfter = time.Second
	// healthCheckProgramPrefix is the prefix of the names of the programs that health checks read; none of them exists.
	healthCheckProgramPrefix = "ledger-probe-"
)

// Run checks the health of shards until the context ends: of those that are down, to detect when they answer again, and
// of one shard while no other operation is answered. Only while Run is running do operations fail early and programs
// count as unreachable.
func (c *Client) Run(ctx context.Context) {
	c.checking.Store(true)
	defer c.checking.Store(false)
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// The last round may have outlived the context and the next tick.
			if ctx.Err() != nil {
				return
			}
			c.checkDueShards(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Unreachable reports whether the shard of a program is down: its operations have gone unanswered for shardOutageAfter,
// both directly and through relays.
func (c *Client) Unreachable(program string) bool {
	count := c.shardCount()
	return count > 0 && c.checking.Load() && c.shardOutages.isDown(ledger.ShardOf(program, count), time.Now())
}

// Isolated reports whether this front node alone, or a minority of the front nodes, cannot reach the ledger. When most
// of its relays answer, even if only that they reach no store either, the stores are at fault and not this node.
func (c *Client) Isolated() bool {
	now := time.Now()
	if !c.checking.Load() || c.shardOutages.sinceLastAnswer(now) < shardOutageAfter {
		return false
	}
	if !c.shardOutages.anyDown(c.shardCount(), now) {
		return false
	}
	others := c.relayAddresses()
	return len(others) > 0 && 2*c.relayAnswers.countRecent(others, now) <= len(others)
}

func (c *Client) shardCount() int { return len(c.view().Placement.GetShards()) }

// checkDueShards performs one round of health checks.
func (c *Client) checkDueShards(ctx context.Context) {
	var checks sync.WaitGroup
	for _, shard := range c.dueShards() {
		checks.Go(func() { c.checkShard(ctx, shard) })
	}
	checks.Wait()
}

// dueShards returns the shards to check: some of those that are down, in rotation, and one more when no shard has
// answered recently.
func (c *Client) dueShards() []uint32 {
	now := time.Now()
	count := uint32(c.shardCount())
	shards := c.nextDownShards(count, now)
	if c.replicaOutages.sinceLastAnswer(now) < idleCheckAfter {
		return shards
	}
	for shard := range count {
		if !c.isDown(shard, now) {
			return append(shards, shard)
		}
	}
	return shards
}

// nextDownShards returns shards that are down, starting after those of the previous round.
func (c *Client) nextDownShards(count uint32, now time.Time) []uint32 {
	var down []uint32
	for step := range count {
		shard := (c.nextChecked + step) % count
		if len(down) < maxConcurrentHealthChecks && c.isDown(shard, now) {
			down = append(down, shard)
		}
	}
	if len(down) > 0 {
		c.nextChecked = down[len(down)-1] + 1
	}
	return down
}

func (c *Client) isDown(shard uint32, now time.Time) bool {
	return c.replicaOutages.isDown(shard, now) || c.shardOutages.isDown(shard, now)
}

// checkShard reads a turn that does not exist from the replicas, and also through relays when the replicas are down.
func (c *Client) checkShard(ctx context.Context, shard uint32) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	operation := newHealthCheck(shard, c.shardCount())
	var checks sync.WaitGroup
	checks.Go(func() { _, _, _ = c.run(ctx, operation, callOptions{replicasOnly: true, persistent: true}) })
	if c.replicaOutages.isDown(shard, time.Now()) {
		for _, address := range c.relayAddresses() {
			checks.Go(func() { c.attempt(ctx, target{address: address, isRelay: true}, operation) })
		}
	}
	checks.Wait()
}

// newHealthCheck returns a read of the last turn of a program of the shard that does not exist.
func newHealthCheck(shard uint32, count int) *protocol.LedgerOperation {
	for number := 0; ; number++ {
		name := healthCheckProgramPrefix + strconv.Itoa(number)
		if ledger.ShardOf(name, count) == shard {
			return &protocol.LedgerOperation{Program: name, Body: &protocol.LedgerOperation_ReadTurns{
				ReadTurns: &protocol.ReadTurns{LastTurn: name, Limit: 1},
			}}
		}
	}
}
