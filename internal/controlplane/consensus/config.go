package consensus

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	DefaultElectionTimeout    = time.Second
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultSnapshotChunkBytes = 256 << 10

	defaultMaxAppendBytes      = 256 << 10
	defaultMaxInflight         = 4096
	defaultMaxUncommitted      = 8192
	defaultMaxUncommittedBytes = 64 << 20
	defaultMaxCommandBytes     = 8 << 20
	defaultRetainedEntries     = 1024
	defaultRetainedBytes       = 4 << 20
	defaultMaxSnapshotBytes    = 256 << 20
	// clockDriftDivisor: by default the lease is shorter than the election timeout by this part of it.
	clockDriftDivisor = 8
)

// Config of a Node. Zero and negative numbers take the defaults above.
type Config struct {
	// ID of this member; random and never zero, made with its data folder.
	ID uint64
	// ElectionTimeout is the shortest time without contact to a leader after which a voter
	// campaigns, and the time for which a member that had such contact rejects votes.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of the leader.
	HeartbeatInterval time.Duration
	// ClockDrift is what the lease is shorter than ElectionTimeout, for clocks that run at
	// different speeds. Default: an eighth of ElectionTimeout.
	ClockDrift time.Duration
	// MaxAppendBytes bounds the entries of one append message, in bytes.
	MaxAppendBytes int
	// MaxInflight bounds the entries sent to a member and not yet acknowledged.
	MaxInflight uint64
	// MaxUncommitted bounds the entries proposed and not yet committed.
	MaxUncommitted uint64
	// MaxUncommittedBytes bounds the data of those entries, in bytes.
	MaxUncommittedBytes int
	// MaxCommandBytes bounds one command; it must fit into one message of the transport.
	MaxCommandBytes int
	// RetainedEntries are kept in memory below a snapshot, for members that lag a little, as
	// far as their data fits into RetainedBytes.
	RetainedEntries uint64
	RetainedBytes   int
	// SnapshotChunkBytes is the size of a chunk of a transferred snapshot.
	SnapshotChunkBytes int
	// MaxSnapshotBytes bounds a snapshot that is received.
	MaxSnapshotBytes int
	// Random spreads election timeouts; required.
	Random *rand.Rand
}

func (c Config) withDefaults() Config {
	c.ElectionTimeout = positiveOr(c.ElectionTimeout, DefaultElectionTimeout)
	c.HeartbeatInterval = positiveOr(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.ClockDrift = positiveOr(c.ClockDrift, c.ElectionTimeout/clockDriftDivisor)
	c.MaxAppendBytes = positiveOr(c.MaxAppendBytes, defaultMaxAppendBytes)
	c.MaxInflight = positiveOr(c.MaxInflight, defaultMaxInflight)
	c.MaxUncommitted = positiveOr(c.MaxUncommitted, defaultMaxUncommitted)
	c.MaxUncommittedBytes = positiveOr(c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	c.MaxCommandBytes = positiveOr(c.MaxCommandBytes, defaultMaxCommandBytes)
	c.RetainedEntries = positiveOr(c.RetainedEntries, defaultRetainedEntries)
	c.RetainedBytes = positiveOr(c.RetainedBytes, defaultRetainedBytes)
	c.SnapshotChunkBytes = positiveOr(c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	c.MaxSnapshotBytes = positiveOr(c.MaxSnapshotBytes, defaultMaxSnapshotBytes)
	return c
}

func positiveOr[T cmp.Ordered](value, fallback T) T {
	var zero T
	if value <= zero {
		return fallback
	}
	return value
}
