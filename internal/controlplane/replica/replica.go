package replica

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/replica/logstore"
	"github.com/rosestand/rosestand/internal/controlplane/replica/transport"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Capacities of the queues to the owner goroutine.
const (
	inboundCapacity  = 4096
	proposalCapacity = 4096
	requestCapacity  = 1024
)

// queueTimeDivisor is the part of the election timeout, as its divisor, for which a message to another member may be
// queued; a message that was queued for longer is not sent.
const queueTimeDivisor = 2

// Replica is one member of the core's consensus group. It is safe for concurrent use.
type Replica struct {
	// These fields do not change after New, except store, which the owner goroutine replaces when the log is
	// reopened.
	options Options
	metrics *metrics
	store   *logstore.Store
	self    *protocol.CoreMember

	inbound    chan inboundMessage
	proposals  chan *proposal
	requests   chan request
	stop       chan struct{}
	stopped    chan struct{}
	stopOnce   sync.Once
	goroutines sync.WaitGroup
	started    atomic.Bool
	// stopping is set by SetStopping.
	stopping atomic.Bool

	background context.Context
	cancel     context.CancelFunc

	view  atomic.Pointer[view]
	seeds atomic.Pointer[[]string]

	// The fields below belong to the owner goroutine after Start.

	owner ownerLoop
	// stateMachineIndex is the index of the last entry that the state machine has applied or restored from a
	// snapshot. After the log was reopened it is ahead of the node's applied index, since the state machine is not
	// reset.
	stateMachineIndex uint64
	// nonSpaceFailures counts the failures of the disk other than a full disk.
	nonSpaceFailures int
}

// New opens the data folder and restores the state machine from the newest snapshot. An error
// is a *logstore.CorruptStateError, a *consensus.StateError or one of package storage. The commands
// committed after the snapshot are applied from Start on.
func New(options Options) (*Replica, error) {
	options = options.withDefaults()
	identity, lost, err := logstore.OpenIdentity(options.Filesystem, options.Folder, func() string {
		return randomName(options.Random)
	})
	if err != nil {
		return nil, err
	}
	metrics, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	store, err := logstore.Open(options.Filesystem, options.Folder)
	if err != nil {
		return nil, err
	}
	replica := &Replica{
		options: options, metrics: metrics, store: store,
		self:      proto.CloneOf(options.Self),
		inbound:   make(chan inboundMessage, inboundCapacity),
		proposals: make(chan *proposal, proposalCapacity),
		requests:  make(chan request, requestCapacity),
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
	}
	replica.SetSeeds(options.Seeds)
	replica.self.Id, replica.self.Voter = memberID(identity.StorageID), false
	if lost != nil {
		replica.logWarning("log lost, member to join under a new id", "error", lost, "id", replica.self.GetId())
	}
	if err := replica.recoverState(); err != nil {
		_ = store.Close()
		return nil, err
	}
	return replica, nil
}

// recoverState recovers the node and the state machine from the store.
func (r *Replica) recoverState() error {
	recovered, err := r.store.Recover()
	if err != nil {
		return err
	}
	snapshot := recovered.Initial.Snapshot
	if snapshot.GetIndex() > r.stateMachineIndex {
		if err := r.restoreStateMachine(snapshot, recovered.SnapshotState); err != nil {
			return err
		}
	}
	return r.owner.init(r, recovered.ClusterID, recovered.Initial)
}

// Start starts the goroutines of the replica, which end with Stop. The replica joins or founds a cluster if the
// data folder has none. A second call returns a *StoppedError.
func (r *Replica) Start(context.Context) error {
	if r.started.Swap(true) {
		return &StoppedError{}
	}
	r.background, r.cancel = context.WithCancel(context.Background())
	r.goroutines.Go(r.run)
	r.goroutines.Go(func() { r.joinLoop(r.background) })
	return nil
}

// Stop stops the replica and closes its log. A leader transfers leadership first, and waits for that until ctx
// ends.
func (r *Replica) Stop(ctx context.Context) error {
	if !r.started.Load() {
		r.stopOnce.Do(func() { close(r.stop); close(r.stopped) })
		return r.store.Close()
	}
	if r.view.Load().status.Role == consensus.Leader {
		// If no other voter can take over now, the others elect one after an election timeout.
		_ = r.TransferLeadership(ctx, "")
	}
	r.stopOnce.Do(func() { close(r.stop) })
	r.cancel()
	r.goroutines.Wait()
	return r.store.Close()
}

// IsLeader reports whether this process is the leader, has applied all that earlier leaders committed, and now
// holds the leader lease.
func (r *Replica) IsLeader() bool {
	view := r.view.Load()
	return !view.leadingSince.IsZero() && r.options.Clock.Now().Before(view.leaseEnds)
}

// LeaderSince returns the monotonic time at which this process became a leader that had applied all that earlier
// leaders committed; zero when it is not the leader.
func (r *Replica) LeaderSince() time.Time { return r.view.Load().leadingSince }

// Leader returns the leader known to this process, or nil.
func (r *Replica) Leader() *protocol.CoreMember {
	return r.view.Load().leader()
}

// ID returns the random id of this member, which was created with its data folder.
func (r *Replica) ID() uint64 { return r.self.GetId() }

// memberID derives the id from the identity of the data folder, so that a process with an emptied
// folder is another member. It is never zero.
func memberID(storageID string) uint64 {
	sum := sha256.Sum256([]byte(storageID))
	return max(1, binary.BigEndian.Uint64(sum[:8]))
}

func randomName(random *rand.Rand) string {
	name := binary.BigEndian.AppendUint64(nil, random.Uint64())
	return hex.EncodeToString(binary.BigEndian.AppendUint64(name, random.Uint64()))
}

// newTransport creates a transport for one owner loop.
func (r *Replica) newTransport() *transport.Transport {
	return transport.New(transport.Options{
		Caller: r.options.Caller, Now: r.options.Clock.Now, CallTimeout: r.options.ElectionTimeout,
		MaxQueueTime: r.options.ElectionTimeout / queueTimeDivisor,
		Metrics: transport.Metrics{
			Sent: r.metrics.messagesSent, SendFailures: r.metrics.sendFailures, Dropped: r.metrics.messagesDropped,
		},
	})
}
