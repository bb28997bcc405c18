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
	// ticksPerHeartbeat is the number of ticks of the node in a heartbeat interval.
	ticksPerHeartbeat = 4
	// maxBatch and maxBatchBytes bound what is taken from a queue before the log is written.
	maxBatch      = 512
	maxBatchBytes = 1 << 20
	// maxGrowthDivisor gives the part of SnapshotBytes by which the log may grow while a snapshot is being saved.
	maxGrowthDivisor = 4
)

// ownerLoop is the state of the owner goroutine, which alone uses it while the replica runs. It is replaced
// when the log is reopened.
type ownerLoop struct {
	replica *Replica
	node    *consensus.Node
	// clusterID is empty until a cluster was founded or joined.
	clusterID string
	transport *transport.Transport
	waiters   waiters
	snapshots snapshots
	slowDisk  slowDiskDetector

	// configurationIndex is the log index of the configuration that the transport uses.
	configurationIndex uint64

	// leadingTerm is the last term that this member led; wasLeader is true if it led after the last iteration of the
	// owner loop.
	leadingTerm uint64
	wasLeader   bool
	// leadingSince is when it had the lease and had applied all that earlier leaders committed; zero
	// while it does not lead.
	leadingSince time.Time
	// lastLeaderContact is when it last followed a leader, or led.
	lastLeaderContact time.Time
	leaderSignal      leaderSignal
	transferWaiters   []chan error
	// nextPlan is when the next change of membership is planned.
	nextPlan time.Time
	// failure is the error that ends the owner loop; nil while there is none.
	failure error
}

func (o *ownerLoop) init(replica *Replica, clusterID string, initial consensus.InitialState) error {
	o.replica, o.clusterID = replica, clusterID
	o.transport = replica.newTransport()
	o.snapshots = snapshots{saved: make(chan savedSnapshot, 1)}
	o.waiters = newWaiters()
	return o.buildNode(initial)
}

// buildNode creates the consensus node: at the start, after the founding of a cluster and when the log was
// reopened.
func (o *ownerLoop) buildNode(initial consensus.InitialState) error {
	options := o.replica.options
	node, err := consensus.New(consensus.Config{
		ID:                 o.replica.self.GetId(),
		ElectionTimeout:    options.ElectionTimeout,
		HeartbeatInterval:  options.HeartbeatInterval,
		SnapshotChunkBytes: options.SnapshotChunkBytes,
		MaxCommandBytes:    MaxCommandBytes,
		Random:             rand.New(rand.NewPCG(options.Random.Uint64(), options.Random.Uint64())),
	}, initial, o.now())
	if err != nil {
		return err
	}
	o.node = node
	o.lastLeaderContact = o.now()
	// The node may have messages to send at its first tick, so the transport needs the members before it.
	o.applyConfiguration()
	o.publish()
	return nil
}

func (o *ownerLoop) now() time.Time { return o.replica.options.Clock.Now() }

// run is the loop of the owner goroutine: it serves requests until the replica stops or its storage fails.
func (o *ownerLoop) run() {
	interval := o.replica.options.HeartbeatInterval / ticksPerHeartbeat
	timer := o.replica.options.Clock.NewTimer(0)
	defer func() { timer.Stop() }()
	for o.failure == nil {
		select {
		case <-o.replica.stop:
			return
		case received := <-o.replica.inbound:
			o.step(received)
		case proposal := <-o.acceptedProposals():
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

// drainQueues processes up to maxBatch more queued items, so that one sync covers all of them.
func (o *ownerLoop) drainQueues() {
	for range maxBatch {
		select {
		case received := <-o.replica.inbound:
			o.step(received)
		case proposal := <-o.acceptedProposals():
			o.propose(proposal)
		case request := <-o.replica.requests:
			request.run()
		default:
			return
		}
	}
}

// step passes a message to the node, with a time that is read after the message was received: with an earlier
// one this member would stop rejecting votes while the lease of the leader still depends on that.
func (o *ownerLoop) step(received inboundMessage) {
	message := received.message
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
		o.replica.logWarning("consensus message rejected", "from", message.GetFrom(), "error", err)
		return
	}
	o.transferIfDiskSlow(received)
}

// adoptCluster joins the cluster of a leader that sent a message to the random id of this empty member.
func (o *ownerLoop) adoptCluster(clusterID string) {
	if clusterID == "" {
		return
	}
	if err := o.replica.store.SaveClusterID(clusterID); err != nil {
		o.fail(err)
		return
	}
	o.clusterID = clusterID
	o.replica.logInfo("cluster joined", "cluster", clusterID)
}

// advance processes the node's output until there is none, and takes a snapshot when one is due.
func (o *ownerLoop) advance() {
	o.processReady()
	if o.failure == nil {
		o.maybeSnapshot()
	}
	o.restartSnapshotTransfers()
}

// restartSnapshotTransfers restarts the transfers whose snapshot has been removed; their first chunks are sent
// with the node's next output. It runs once per iteration of the owner loop: while the disk has a newer snapshot
// of which the node is not yet notified, the node keeps naming the previous one, which can no longer be read, so
// an immediate restart would repeat without end.
func (o *ownerLoop) restartSnapshotTransfers() {
	for _, member := range o.snapshots.staleTransfers {
		o.node.RestartSnapshot(member, o.now())
	}
	o.snapshots.staleTransfers = nil
}

// processReady carries out the node's output, in the order that consensus.Ready requires, until there is none.
func (o *ownerLoop) processReady() {
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

func (o *ownerLoop) persist(ready consensus.Ready) error {
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

// sendAll sends messages. A chunk of a snapshot that has been removed is left out, and the transfer to
// its member restarts with the newest snapshot.
func (o *ownerLoop) sendAll(messages []*protocol.ConsensusMessage) {
	for _, message := range messages {
		if message.GetKind() == protocol.ConsensusMessageKind_SNAPSHOT_CHUNK && !o.fillChunk(message) {
			o.snapshots.staleTransfers = append(o.snapshots.staleTransfers, message.GetTo())
			continue
		}
		message.ClusterId = o.clusterID
		message.FromAddress = o.replica.self.GetAddress()
		o.transport.Send(message)
	}
}

func (o *ownerLoop) applyCommitted(entries []*protocol.Entry) {
	for _, entry := range entries {
		o.snapshots.appliedBytes += len(entry.GetData())
		o.waiters.resolveEntry(entry, o.replica.applyToStateMachine(entry))
	}
}

// applyConfiguration passes a new configuration to the transport.
func (o *ownerLoop) applyConfiguration() {
	configuration, index := o.node.Configuration()
	if index != o.configurationIndex {
		o.configurationIndex = index
		o.transport.SetMembers(configuration)
	}
}

// foundCluster makes this member the only voter of a new cluster.
func (o *ownerLoop) foundCluster() {
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
	o.replica.logInfo("cluster founded", "cluster", clusterID)
}

// fail records the first failure, which ends the owner loop: after a failed write nothing more may be
// acknowledged.
func (o *ownerLoop) fail(err error) {
	if o.failure == nil {
		o.failure = err
	}
}

// close publishes a view in which this member is not the leader, fails all waiters with the cause, and waits
// until the goroutines that send messages and save a snapshot have ended.
func (o *ownerLoop) close(cause error) {
	o.leadingSince = time.Time{}
	closedView := *o.replica.view.Load()
	closedView.leaseEnds, closedView.leadingSince = time.Time{}, time.Time{}
	closedView.status.Role, closedView.status.Leader = consensus.Follower, 0
	o.replica.view.Store(&closedView)
	o.waiters.failAll(cause)
	for _, waiter := range o.transferWaiters {
		waiter <- cause
	}
	o.transport.Close()
	o.snapshots.wait()
}
