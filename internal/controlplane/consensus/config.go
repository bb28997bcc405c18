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
	// By default the lease is shorter than the election timeout by 1/clockDriftDivisor of it.
	clockDriftDivisor = 8
)

// Config configures a Node. Zero and negative numbers are replaced by the defaults above.
type Config struct {
	// ID identifies this member. It is random, never zero, and created together with the data directory.
	ID uint64
	// ElectionTimeout is the shortest time without contact with a leader after which a voter
	// campaigns, and the time for which a member that had such contact rejects vote requests.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between heartbeats of the leader.
	HeartbeatInterval time.Duration
	// ClockDrift is the margin by which the lease is shorter than ElectionTimeout, to allow for
	// clocks that run at different speeds. Default: an eighth of ElectionTimeout.
	ClockDrift time.Duration
	// MaxAppendBytes bounds the entries of one append message, in bytes.
	MaxAppendBytes int
	// MaxInflight bounds the number of entries sent to a member but not yet acknowledged.
	MaxInflight uint64
	// MaxUncommitted bounds the number of entries proposed but not yet committed.
	MaxUncommitted uint64
	// MaxUncommittedBytes bounds the size of the data of those entries, in bytes.
	MaxUncommittedBytes int
	// MaxCommandBytes bounds the size of a command, which must fit into one message of the transport.
	MaxCommandBytes int
	// RetainedEntries is the number of entries before a snapshot that are kept in memory for
	// members that lag slightly; fewer are kept if their data exceeds RetainedBytes.
	RetainedEntries uint64
	RetainedBytes   int
	// SnapshotChunkBytes is the size of the chunks in which a snapshot is transferred.
	SnapshotChunkBytes int
	// MaxSnapshotBytes bounds the size of a received snapshot.
	MaxSnapshotBytes int
	// Random supplies the jitter of election timeouts; required.
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
