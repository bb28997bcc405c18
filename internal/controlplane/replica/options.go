package replica

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Defaults of Options.
const (
	DefaultTargetVoters      = 3
	DefaultReplaceVoterAfter = 10 * time.Second
	DefaultSnapshotEntries   = 4096
	DefaultSnapshotBytes     = 16 << 20
)

// StateMachine applies the committed commands of the log. All calls come from the owner goroutine.
type StateMachine interface {
	// Apply applies one committed command, in log order, and returns its result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot writes the complete state.
	Snapshot(writer io.Writer) error
	// Restore replaces the state by one that Snapshot wrote.
	Restore(reader io.Reader) error
}

// Clock provides monotonic time and timers.
type Clock interface {
	Now() time.Time
	// NewTimer returns a timer that fires once after the given time.
	NewTimer(after time.Duration) Timer
}

// Timer is a one-shot timer of a Clock.
type Timer interface {
	C() <-chan time.Time
	Stop()
}

// Options configure a Replica. Numbers that are zero take the defaults that their comments state.
type Options struct {
	// Self describes this process: name, internal address, HTTP address, zone, region. Its id and voter flag are
	// ignored.
	Self *protocol.CoreMember
	// Founders are the internal addresses of the processes that found a new cluster together.
	Founders []string
	// Seeds are internal addresses of other processes, of any kind. SetSeeds replaces them.
	Seeds []string
	// TargetVoters is the number of voters that the leader maintains. Default 3.
	TargetVoters int
	// ElectionTimeout is the shortest time without contact to a leader after which a voter campaigns.
	// Default 1 s.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of the leader. Default 100 ms.
	HeartbeatInterval time.Duration
	// ReplaceVoterAfter is the time without contact to a voter after which a standby replaces it.
	// Default 10 s.
	ReplaceVoterAfter time.Duration
	// SnapshotEntries is the number of applied entries between snapshots. Default 4096.
	SnapshotEntries uint64
	// SnapshotBytes is the size of applied commands after which a snapshot is taken, even if they
	// are fewer than SnapshotEntries. Default 16 MiB.
	SnapshotBytes int
	// SnapshotChunkBytes is the size of one chunk of a transferred snapshot. Default 256 KiB.
	SnapshotChunkBytes int

	// Folder is the folder, inside Filesystem, that holds the log, the snapshots and the identity.
	Folder     string
	Filesystem storage.Filesystem
	Caller     wire.Caller
	Machine    StateMachine
	// Clock defaults to SystemClock.
	Clock Clock
	// Random drives election timeouts, the member's id and the cluster's id. Default: seeded by the
	// runtime.
	Random *rand.Rand
	// Logger may be nil.
	Logger *log.Logger
	// Registerer registers the replica's metrics; it may be nil.
	Registerer prometheus.Registerer
	// OnFatal is called once, on its own goroutine, when storage failed in a way that the replica cannot recover
	// from: the replica has stopped, and the process must end.
	OnFatal func(error)
}

func (o Options) withDefaults() Options {
	if o.TargetVoters <= 0 {
		o.TargetVoters = DefaultTargetVoters
	}
	if o.ElectionTimeout <= 0 {
		o.ElectionTimeout = consensus.DefaultElectionTimeout
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = consensus.DefaultHeartbeatInterval
	}
	if o.ReplaceVoterAfter <= 0 {
		o.ReplaceVoterAfter = DefaultReplaceVoterAfter
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes <= 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.SnapshotChunkBytes <= 0 {
		o.SnapshotChunkBytes = consensus.DefaultSnapshotChunkBytes
	}
	if o.Clock == nil {
		o.Clock = SystemClock{}
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}
