package replica

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/replica/transport"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// ticksPerHeartbeat is how often the clock is looked at in a heartbeat interval.
	ticksPerHeartbeat = 4
	// maxBatch bounds what is taken from a queue before the log is written.
	maxBatch      = 512
	maxBatchBytes = 1 << 20
	// queueTimeDivisor: a message to another member is not sent after this part of the election
	// timeout in a queue.
	queueTimeDivisor = 2
)

// owner is everything that belongs to the one goroutine that runs the consensus node.
type owner struct {
	replica   *Replica
	node      *consensus.Node
	clusterID string
	transport *transport.Transport
	waiters   waiters
	snapshots snapshots
	slowDisk  slowDiskDetector

	configurationIndex uint64
	leadingTerm        uint64
	leadingSince       time.Time
	wasLeader          bool
	lastLeaderContact  time.Time
	leaderSignal       leaderSignal
	nextPlan           time.Time
	transferWaiters    []chan error
	failure            error
}

func (o *owner) init(replica *Replica, clusterID string, initial consensus.InitialState) error {
	o.replica, o.clusterID = replica, clusterID
	o.transport = replica.newTransport()
	o.snapshots = snapshots{saved: make(chan savedSnapshot, 1)}
	o.waiters = newWaiters()
	return o.buildNode(initial)
}

func (r *Replica) newTransport() *transport.Transport {
	return transport.New(transport.Options{
		Caller: r.options.Caller, Now: r.options.Clock.Now, CallTimeout: r.options.ElectionTimeout,
		MaxQueueTime: r.options.ElectionTimeout / queueTimeDivisor,
		Metrics: transport.Metrics{
			Sent: r.metrics.messagesSent, SendFailures: r.metrics.sendFailures, Dropped: r.metrics.messagesDropped,
		},
	})
}

func (o *owner) buildNode(initial consensus.InitialState) error {
	options := o.replica.options
	node, err := consensus.New(consensus.Config{
		ID: o.replica.self.GetId(), ElectionTimeout: options.ElectionTimeout,
		HeartbeatInterval: options.HeartbeatInterval, SnapshotChunkBytes: options.SnapshotChunkBytes, MaxCommandBytes: MaxCommandBytes,
		Random: rand.New(rand.NewPCG(options.Random.Uint64(), options.Random.Uint64())),
	}, initial, o.now())
	if err != nil {
		return err
	}
	o.node = node
	o.lastLeaderContact = o.now()
	// The node may have messages to send at its first tick.
	o.applyConfiguration()
	o.publish()
	return nil
}

func (o *owner) now() time.Time { return o.replica.options.Clock.Now() }

// run serves until the replica stops or its storage fails.
func (o *owner) run() {
	interval := o.replica.options.HeartbeatInterval / ticksPerHeartbeat
	timer := o.replica.options.Clock.NewTimer(0)
	defer func() { timer.Stop() }()
	for o.failure == nil {
		select {
		case <-o.replica.stop:
			return
		case arrived := <-o.replica.inbound:
			o.step(arrived)
		case proposal := <-o.replica.proposals:
			o.propose(proposal)
		case request := <-o.replica.requests:
			request.run()
		case saved := <-o.snapshots.saved:
			o.snapshotSaved(saved)
		case <-timer.C():
			timer = o.replica.options.Clock.NewTimer(interval)
		}
		o.drainQueues()
		o.node.Tick(o.now())
		o.advance()
		o.planMembership()
		o.advance()
		o.publish()
	}
}

// takeWaiting takes what else waits in the queues, so that one sync serves all of it.
func (o *owner) drainQueues() {
	for range maxBatch {
		select {
		case arrived := <-o.replica.inbound:
			o.step(arrived)
		case proposal := <-o.replica.proposals:
			o.propose(proposal)
		case request := <-o.replica.requests:
			request.run()
		default:
			return
		}
	}
}

// step hands a message to the node. The time is taken after the message was received: a
// promise that counts from an earlier time would end too soon.
func (o *owner) step(arrived inboundMessage) {
	message := arrived.message
	if message.GetTo() != o.replica.self.GetId() {
		return
	}
	if o.clusterID == "" {
		o.adoptCluster(message.GetClusterId())
	}
	if message.GetClusterId() != o.clusterID {
		return
	}
	o.transport.ObserveAddress(message.GetFrom(), message.GetFromAddress())
	if err := o.node.Step(message, o.now()); err != nil {
		o.replica.logWarning("consensus message refused", "from", message.GetFrom(), "error", err)
		return
	}
	o.transferIfDiskSlow(arrived)
}

// adopt joins a cluster whose leader addressed this empty member by its random id.
func (o *owner) adoptCluster(clusterID string) {
	if clusterID == "" {
		return
	}
	if err := o.replica.store.SaveClusterID(clusterID); err != nil {
		o.fail(err)
		return
	}
	o.clusterID = clusterID
	o.replica.logInfo("joined a cluster", "cluster", clusterID)
}

// advance carries out the node's output until there is none, and takes a snapshot when one is due.
func (o *owner) advance() {
	o.processReady()
	if o.failure == nil {
		o.maybeSnapshot()
	}
	o.restartTransfers()
}

// restartTransfers begins the transfers anew whose snapshot was not there any more; their first pieces go out with the next
// output. It does so once a turn of the owner: while a newer snapshot is on the disk that the node does not know of yet, the
// node goes on to name the one before it, which cannot be read any more.
func (o *owner) restartTransfers() {
	for _, member := range o.snapshots.staleTransfers {
		o.node.RestartSnapshot(member, o.now())
	}
	o.snapshots.staleTransfers = nil
}

func (o *owner) processReady() {
	for o.failure == nil && o.node.HasReady() {
		ready := o.node.Ready()
		began := o.now()
		if err := o.persist(ready); err != nil {
			o.fail(err)
			return
		}
		written := o.now()
		o.sendAll(ready.Messages)
		o.trackSync(ready, began, written)
		o.applyCommitted(ready.Committed)
		o.waiters.confirmReads(ready.Reads)
		o.node.Advance(ready, o.now())
		o.waiters.resolveReads(o.node.Applied())
	}
	o.applyConfiguration()
}

func (o *owner) persist(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := o.installSnapshot(ready); err != nil {
			return err
		}
	}
	if len(ready.Entries) == 0 && ready.HardState == nil {
		return nil
	}
	o.replica.metrics.batches.Inc()
	return o.replica.store.Save(ready)
}

// sendAll sends messages. A piece of a snapshot that is not there any more is
// left out, and the transfer to its member begins anew with the newest snapshot.
func (o *owner) sendAll(messages []*protocol.ConsensusMessage) {
	for _, message := range messages {
		if message.GetKind() == protocol.ConsensusMessageKind_SNAPSHOT_CHUNK && !o.fillChunk(message) {
			o.snapshots.staleTransfers = append(o.snapshots.staleTransfers, message.GetTo())
			continue
		}
		message.ClusterId, message.FromAddress = o.clusterID, o.replica.self.GetAddress()
		o.transport.Send(message)
	}
}

func (o *owner) applyCommitted(entries []*protocol.Entry) {
	for _, entry := range entries {
		o.snapshots.appliedBytes += len(entry.GetData())
		o.waiters.resolveEntry(entry, o.replica.applyToMachine(entry))
	}
}

// fitConfiguration lets the transport follow the membership.
func (o *owner) applyConfiguration() {
	configuration, index := o.node.Configuration()
	if index != o.configurationIndex {
		o.configurationIndex = index
		o.transport.SetMembers(configuration)
	}
}

// publish shows the state to other goroutines and notes changes of leadership.
func (o *owner) publish() {
	now, status := o.now(), o.node.Status()
	if status.Role != consensus.Leader || status.Term != o.leadingTerm {
		o.endLeadership(status.Role)
		o.waiters.leadershipLost(o.leadingTerm, o.replica.notLeader())
	}
	o.wasLeader = status.Role == consensus.Leader
	if status.Role == consensus.Leader && status.Term != o.leadingTerm {
		o.leadingTerm = status.Term
		o.replica.metrics.leaderships.Inc()
		o.replica.logInfo("became leader", "term", status.Term)
	}
	leaseEnds := o.node.LeaseEnds(now)
	if status.Role == consensus.Leader && o.leadingSince.IsZero() && status.Applied >= status.TermStart && now.Before(leaseEnds) {
		o.leadingSince = now
	}
	if status.Leader != 0 {
		o.lastLeaderContact = now
	}
	o.finishTransfers(&status)
	o.replica.metrics.observe(&status)
	o.replica.view.Store(&view{
		clusterID: o.clusterID, status: status, leaseEnds: leaseEnds,
		leadingSince: o.leadingSince, lastLeaderContact: o.lastLeaderContact,
		leaderAddress: o.leaderAddress(&status), leaderKnown: o.leaderSignal.observe(status.Leader != 0),
	})
}

// endLeadership forgets a leadership that is over. What it sent and has not left yet is dropped: its heartbeats
// would hold back the votes for the next leader.
func (o *owner) endLeadership(role consensus.Role) {
	o.leadingSince = time.Time{}
	if o.wasLeader && role == consensus.Follower {
		o.transport.Purge()
	}
	o.wasLeader = false
}

func (o *owner) leaderAddress(status *consensus.Status) string {
	if status.Leader == status.ID {
		return o.replica.self.GetAddress()
	}
	return o.transport.Address(status.Leader)
}

// found makes this member the first voter of a new cluster.
func (o *owner) foundCluster() {
	if o.clusterID != "" {
		return
	}
	founder := proto.CloneOf(o.replica.self)
	founder.Voter = true
	clusterID := randomName(o.replica.options.Random)
	initial, err := o.replica.store.Found(clusterID, founder)
	if err != nil {
		o.fail(err)
		return
	}
	o.clusterID = clusterID
	if err := o.buildNode(initial); err != nil {
		o.fail(err)
		return
	}
	o.replica.logInfo("founded a cluster", "cluster", clusterID)
}

// fail ends the run of this owner: after a failed write nothing more may be promised.
func (o *owner) fail(err error) {
	if o.failure == nil {
		o.failure = err
	}
}

// retire answers whoever waits with the cause and ends the senders.
func (o *owner) close(cause error) {
	o.leadingSince = time.Time{}
	shown := *o.replica.view.Load()
	shown.leaseEnds, shown.leadingSince = time.Time{}, time.Time{}
	shown.status.Role, shown.status.Leader = consensus.Follower, 0
	o.replica.view.Store(&shown)
	o.waiters.failAll(cause)
	for _, waiter := range o.transferWaiters {
		waiter <- cause
	}
	o.transport.Close()
	o.snapshots.wait()
}
