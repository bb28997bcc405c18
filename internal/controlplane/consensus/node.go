// Package consensus is the core's replicated log as a pure state machine, written after the
// published Raft algorithm (Ongaro and Ousterhout, 2014, and Ongaro's dissertation): terms,
// pre-vote, majority commit, check-quorum, snapshots, learners, one-at-a-time membership change,
// leadership transfer, a leader lease and linearizable reads.
//
// A Node takes messages and the time and keeps its output until Ready is called. It does no
// input or output: everything that must be durable before anything is sent stands in Ready.
package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Role of a node in its term.
type Role int

// Roles. A pre-candidate asks whether it could win, without a new term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Defaults of Config.
const (
	DefaultElectionTimeout    = time.Second
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultSnapshotChunkBytes = 256 << 10
	defaultMaxAppendBytes     = 256 << 10
	defaultMaxInflight        = 4096
	defaultMaxUncommitted     = 8192
	defaultMaxUncommittedSize = 64 << 20
	defaultMaxCommandBytes    = 8 << 20
	defaultRetainedEntries    = 1024
	defaultRetainedBytes      = 4 << 20
	defaultMaxSnapshotBytes   = 256 << 20
	maxCommittedBytes     = 4 << 20
	// One part in driftShare of the election timeout is kept back from the lease for clocks
	// that run at different speeds.
	clockDriftDivisor = 8
)

// Config of a Node. Zero numbers take defaults.
type Config struct {
	// ID of this member; random and never zero, made with its data folder.
	ID uint64
	// ElectionTimeout is the shortest silence of the leader before an election, and the time
	// for which a member that heard of a leader refuses to vote.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeat rounds.
	HeartbeatInterval time.Duration
	// ClockDrift is what the lease is shorter than ElectionTimeout. Default: an eighth of it.
	ClockDrift time.Duration
	// MaxAppendBytes bounds the entries of one append message.
	MaxAppendBytes int
	// MaxInflight bounds the entries sent to a member and not yet acknowledged.
	MaxInflight uint64
	// MaxUncommitted bounds the entries proposed and not yet committed.
	MaxUncommitted uint64
	// MaxUncommittedBytes bounds their size.
	MaxUncommittedBytes int
	// MaxCommandBytes bounds one command; it must fit into one message of the transport.
	MaxCommandBytes int
	// RetainedEntries are kept in memory below a snapshot for members that lag a little, as
	// far as they fit into RetainedBytes.
	RetainedEntries uint64
	RetainedBytes   int
	// SnapshotChunkBytes is the size of a piece of a transferred snapshot.
	SnapshotChunkBytes int
	// MaxSnapshotBytes bounds a snapshot that is received.
	MaxSnapshotBytes int
	// Random spreads election timeouts; required.
	Random *rand.Rand
}

// InitialState is what a node recovered from its disk. The zero value is a new member that
// waits to be added to a cluster.
type InitialState struct {
	HardState *protocol.HardState
	// Snapshot describes the newest durable snapshot, which the state machine has restored.
	Snapshot *protocol.SnapshotMetadata
	// Entries follow the snapshot without a gap.
	Entries []*protocol.Entry
}

// Node is one member. It has one owner and is not safe for use by many goroutines.
type Node struct {
	config Config
	role   Role
	term   uint64
	vote   uint64
	leader uint64
	// promisedTo is the last leader whose lease may rest on this member's promise not to vote; durable, since the
	// promise outlives a restart.
	leaseLeader uint64

	log            entryLog
	configurations configurationHistory

	electionDeadline time.Time
	// failedElections counts those that this member began since it last heard a leader.
	failedElections  int
	rejectVotesUntil time.Time
	votes            map[uint64]bool
	transferCampaign bool

	peers     []*progress
	termStart uint64
	// uncommittedBytes is the size of the own entries that are not committed.
	uncommittedBytes int
	heartbeatSequence            uint64
	recentHeartbeats           []heartbeatBroadcast
	nextHeartbeat    time.Time
	transfer         transferState
	pendingReads            []pendingRead

	incomingSnapshot incomingSnapshot

	savedHardState       *protocol.HardState
	receivedSnapshot    *ReceivedSnapshot
	messages    []*protocol.ConsensusMessage
	readResults []ReadResult
}

// New builds a node from what its disk holds. The error is a *StateError. A node that starts
// refuses to vote for one election timeout, since it may have promised so before, but not to the
// leader that it promised it to. A node that led stands for election at once: where all members
// restarted, nobody else need wait for that time-out.
func New(config Config, initial InitialState, now time.Time) (*Node, error) {
	node := &Node{config: config.withDefaults()}
	if err := node.restore(initial); err != nil {
		return nil, err
	}
	node.rejectVotesUntil = now.Add(node.config.ElectionTimeout)
	node.resetElectionDeadline(now)
	if node.leaseLeader == node.config.ID {
		node.electionDeadline = now
	}
	return node, nil
}

func (c Config) withDefaults() Config {
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.ClockDrift <= 0 {
		c.ClockDrift = c.ElectionTimeout / clockDriftDivisor
	}
	if c.MaxAppendBytes <= 0 {
		c.MaxAppendBytes = defaultMaxAppendBytes
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = defaultMaxInflight
	}
	if c.MaxUncommitted == 0 {
		c.MaxUncommitted = defaultMaxUncommitted
	}
	if c.MaxUncommittedBytes <= 0 {
		c.MaxUncommittedBytes = defaultMaxUncommittedSize
	}
	if c.MaxCommandBytes <= 0 {
		c.MaxCommandBytes = defaultMaxCommandBytes
	}
	if c.RetainedEntries == 0 {
		c.RetainedEntries = defaultRetainedEntries
	}
	if c.RetainedBytes <= 0 {
		c.RetainedBytes = defaultRetainedBytes
	}
	if c.SnapshotChunkBytes <= 0 {
		c.SnapshotChunkBytes = DefaultSnapshotChunkBytes
	}
	if c.MaxSnapshotBytes <= 0 {
		c.MaxSnapshotBytes = defaultMaxSnapshotBytes
	}
	return c
}

func (n *Node) restore(initial InitialState) error {
	if n.config.ID == 0 || n.config.Random == nil {
		return &StateError{Reason: "a node needs an id and a source of randomness"}
	}
	n.log.restore(initial.Snapshot)
	n.configurations.restore(initial.Snapshot)
	for _, entry := range initial.Entries {
		if entry.GetIndex() != n.log.lastIndex()+1 || entry.GetTerm() < n.log.lastTerm() {
			return &StateError{Reason: "the entries have a gap or a falling term", Index: entry.GetIndex()}
		}
		n.log.entries = append(n.log.entries, entry)
		if err := n.configurations.observe(entry); err != nil {
			return err
		}
	}
	n.log.stable = n.log.lastIndex()
	hardState := initial.HardState
	if hardState.GetCommit() > n.log.lastIndex() {
		return &StateError{Reason: "committed entries are missing", Index: hardState.GetCommit()}
	}
	n.log.commit = max(n.log.commit, hardState.GetCommit())
	n.term, n.vote = hardState.GetTerm(), hardState.GetVotedFor()
	n.leaseLeader = hardState.GetPromisedTo()
	n.savedHardState = n.hardState()
	if lastTerm := n.log.lastTerm(); lastTerm > n.term {
		n.term, n.vote = lastTerm, 0
	}
	return nil
}

// Tick tells the node the time; call it several times in each heartbeat interval.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionDeadline) {
		return
	}
	n.leader = 0
	n.transferCampaign = false
	if n.isVoter() {
		n.campaign(PreCandidate, now)
		if !n.resumesLeadership(now) {
			n.failedElections++
		}
		return
	}
	n.resetElectionDeadline(now)
}

func (n *Node) tickLeader(now time.Time) {
	if !n.quorumActive(now) || n.transferExpired(now) {
		n.becomeFollower(n.term, 0, now)
		return
	}
	if !now.Before(n.nextHeartbeat) {
		n.broadcastHeartbeat(now)
	}
}

func (n *Node) send(message *protocol.ConsensusMessage) {
	message.From = n.config.ID
	if message.GetTerm() == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

func (n *Node) hardState() *protocol.HardState {
	return &protocol.HardState{Term: n.term, VotedFor: n.vote, Commit: n.log.commit, PromisedTo: n.leaseLeader}
}
