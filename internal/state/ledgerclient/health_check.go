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
	// probeInterval is the time between two rounds of probes.
	healthCheckInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe. It is longer than another front node takes to say that it has no answer.
	healthCheckTimeout = 450 * time.Millisecond
	// probesAtOnce bounds the shards that are probed in one round.
	maxConcurrentHealthChecks = 4
	// idleAfter is how long no shard has answered before one is probed that is not out.
	idleCheckAfter = time.Second
	// probeProgram begins the names of the programs that probes read; none of them exists.
	healthCheckProgramPrefix = "ledger-probe-"
)

// Run probes shards until the context ends: those that are out, to find out when they answer again, and one after the
// other when nothing else is asked of the ledger. Operations end early, and programs are said to be unreachable,
// only while it runs.
func (c *Client) Run(ctx context.Context) {
	c.checking.Store(true)
	defer c.checking.Store(false)
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.checkDueShards(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Unreachable reports whether the shard of a program has answered nothing for a while, neither to this front node
// nor by way of another one.
func (c *Client) Unreachable(program string) bool {
	count := c.shardCount()
	return count > 0 && c.checking.Load() && c.shardOutages.isOut(ledger.ShardOf(program, count), time.Now())
}

// CutOff reports whether this front node alone, or a smaller part of them, cannot reach the ledger. When most of the
// front nodes that it asks answer that they cannot either, the stores are at fault and not this node.
func (c *Client) Isolated() bool {
	now := time.Now()
	if !c.checking.Load() || c.shardOutages.sinceLastAnswer(now) < shardOutageAfter || !c.shardOutages.anyOut(c.shardCount(), now) {
		return false
	}
	others := c.relayAddresses()
	return len(others) > 0 && 2*c.relayAnswers.countRecent(others, now) <= len(others)
}

func (c *Client) shardCount() int { return len(c.view().Placement.GetShards()) }

// probeDue makes one round of probes.
func (c *Client) checkDueShards(ctx context.Context) {
	var checks sync.WaitGroup
	for _, shard := range c.dueShards() {
		checks.Go(func() { c.checkShard(ctx, shard) })
	}
	checks.Wait()
}

// dueShards names the shards to probe: some of those that are out, and one more when nothing was heard of the ledger.
func (c *Client) dueShards() []uint32 {
	now := time.Now()
	count := uint32(c.shardCount())
	idle := c.replicaOutages.sinceLastAnswer(now) >= idleCheckAfter
	var due []uint32
	for step := range count {
		shard := (c.nextChecked + step) % count
		if len(due) < maxConcurrentHealthChecks && c.isOut(shard, now) {
			due = append(due, shard)
		}
	}
	if len(due) > 0 {
		c.nextChecked = due[len(due)-1] + 1
	}
	for shard := uint32(0); idle && shard < count; shard++ {
		if !c.isOut(shard, now) {
			return append(due, shard)
		}
	}
	return due
}

func (c *Client) isOut(shard uint32, now time.Time) bool {
	return c.replicaOutages.isOut(shard, now) || c.shardOutages.isOut(shard, now)
}

// probe reads a turn that does not exist: from the replicas, and by way of other front nodes when those are out.
func (c *Client) checkShard(ctx context.Context, shard uint32) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	operation := newHealthCheck(shard, c.shardCount())
	var checks sync.WaitGroup
	checks.Go(func() { _, _, _ = c.run(ctx, operation, callOptions{replicasOnly: true, persistent: true}) })
	if c.replicaOutages.isOut(shard, time.Now()) {
		for _, address := range c.relayAddresses() {
			checks.Go(func() { c.attempt(ctx, target{address: address, relay: true}, operation) })
		}
	}
	checks.Wait()
}

// probeOf reads the last turn of a program of a shard that does not exist.
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
