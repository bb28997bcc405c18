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
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe. It is longer than another front node takes to say that it has no answer.
	probeTimeout = 450 * time.Millisecond
	// probesAtOnce bounds the shards that are probed in one round.
	probesAtOnce = 4
	// idleAfter is how long no shard has answered before one is probed that is not out.
	idleAfter = time.Second
	// probeProgram begins the names of the programs that probes read; none of them exists.
	probeProgram = "ledger-probe-"
)

// Run probes shards until the context ends: those that are out, to find out when they answer again, and one after the
// other when nothing else is asked of the ledger. Operations end early, and programs are said to be unreachable,
// only while it runs.
func (c *Client) Run(ctx context.Context) {
	c.watched.Store(true)
	defer c.watched.Store(false)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.probeDue(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Unreachable reports whether the shard of a program has answered nothing for a while, neither to this front node
// nor by way of another one.
func (c *Client) Unreachable(program string) bool {
	count := c.shardCount()
	return count > 0 && c.watched.Load() && c.shards.isOut(ledger.ShardOf(program, count), time.Now())
}

// CutOff reports whether this front node alone, or a smaller part of them, cannot reach the ledger. When most of the
// front nodes that it asks answer that they cannot either, the stores are at fault and not this node.
func (c *Client) Isolated() bool {
	now := time.Now()
	if !c.watched.Load() || c.shards.silentFor(now) < shardOutageAfter || !c.shards.anyOut(c.shardCount(), now) {
		return false
	}
	others := c.relayAddresses()
	return len(others) > 0 && 2*c.relays.countHeard(others, now) <= len(others)
}

func (c *Client) shardCount() int { return len(c.view().Placement.GetShards()) }

// probeDue makes one round of probes.
func (c *Client) probeDue(ctx context.Context) {
	var probes sync.WaitGroup
	for _, shard := range c.dueShards() {
		probes.Go(func() { c.probe(ctx, shard) })
	}
	probes.Wait()
}

// dueShards names the shards to probe: some of those that are out, and one more when nothing was heard of the ledger.
func (c *Client) dueShards() []uint32 {
	now := time.Now()
	count := uint32(c.shardCount())
	idle := c.replicas.silentFor(now) >= idleAfter
	var due []uint32
	for step := range count {
		shard := (c.firstProbed + step) % count
		if len(due) < probesAtOnce && c.isOut(shard, now) {
			due = append(due, shard)
		}
	}
	if len(due) > 0 {
		c.firstProbed = due[len(due)-1] + 1
	}
	for shard := uint32(0); idle && shard < count; shard++ {
		if !c.isOut(shard, now) {
			return append(due, shard)
		}
	}
	return due
}

func (c *Client) isOut(shard uint32, now time.Time) bool {
	return c.replicas.isOut(shard, now) || c.shards.isOut(shard, now)
}

// probe reads a turn that does not exist: from the replicas, and by way of other front nodes when those are out.
func (c *Client) probe(ctx context.Context, shard uint32) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	operation := probeOf(shard, c.shardCount())
	var probes sync.WaitGroup
	probes.Go(func() { _, _, _ = c.run(ctx, operation, raceOptions{directly: true, patient: true}) })
	if c.replicas.isOut(shard, time.Now()) {
		for _, address := range c.relayAddresses() {
			probes.Go(func() { c.attempt(ctx, target{address: address, relay: true}, operation) })
		}
	}
	probes.Wait()
}

// probeOf reads the last turn of a program of a shard that does not exist.
func probeOf(shard uint32, count int) *protocol.LedgerOperation {
	for number := 0; ; number++ {
		name := probeProgram + strconv.Itoa(number)
		if ledger.ShardOf(name, count) == shard {
			return &protocol.LedgerOperation{Program: name, Body: &protocol.LedgerOperation_ReadTurns{
				ReadTurns: &protocol.ReadTurns{LastTurn: name, Limit: 1},
			}}
		}
	}
}
