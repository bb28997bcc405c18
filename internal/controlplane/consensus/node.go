package consensus

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Role of a node in its term.
type Role int

// Roles. A pre-candidate asks whether it would be elected, without starting a new term.
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

// InitialState is what a node recovered from its disk. The zero value is a new member that
// waits to be added to a cluster.
type InitialState struct {
	HardState *protocol.HardState
	// Snapshot describes the newest durable snapshot, which the state machine has restored.
	Snapshot *protocol.SnapshotMetadata
	// Entries follow the snapshot without a gap.
	Entries []*protocol.Entry
}

// Node is one member of the consensus group. It belongs to a single owner goroutine.
type Node struct {
	config Config
	role   Role
	term   uint64
	vote   uint64
	leader uint64
	// leaseLeader is the last leader whose lease may count on this member to reject votes. It is
	// durable (HardState.promised_to), since that lease may outlive a restart of this member.
	leaseLeader uint64

	log            entryLog
	configurations configurationHistory

	electionDeadline time.Time
	// failedElections counts the campaigns of this member since its last contact to a leader.
	failedElections  int
	rejectVotesUntil time.Time
	// votes holds the answers to this member's campaign; true is a granted vote.
	votes map[uint64]bool
	// transferCampaign is set while this member campaigns because the leader asked it to.
	transferCampaign bool

	// What follows, up to pendingReads, is used while this member leads.

	// peers are the other members, sorted by id.
	peers []*progress
	// termStart is the index of the leader's first entry, which is of its own term.
	termStart uint64
	// uncommittedBytes is the size of the entries of this term that are not committed.
	uncommittedBytes int
	// heartbeatSequence numbers the heartbeats; messages carry it in their field round, and
	// answers return it.
	heartbeatSequence uint64
	// recentHeartbeats are those of the last election timeout, the oldest first.
	recentHeartbeats []heartbeatBroadcast
	nextHeartbeat    time.Time
	transfer         transferState
	pendingReads     []pendingRead

	incomingSnapshot incomingSnapshot

	// Output that Ready has not returned yet, and the hard state that is durable.
	savedHardState   *protocol.HardState
	receivedSnapshot *ReceivedSnapshot
	messages         []*protocol.ConsensusMessage
	readResults      []ReadResult
}

// New builds a node from what its disk holds. The error is a *StateError.
//
// A node that starts rejects votes for one election timeout, since a lease may count on that,
// but not those for the leader of that lease. A node that led campaigns at once: where all
// members restarted, it is the only one that can be elected before the timeout.
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

// restore builds the log from what the disk holds. The hard state may be older than the
// entries, since it is written after them: the term is then that of the last entry.
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
		if err := n.configurations.appendIfConfiguration(entry); err != nil {
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
	n.savedHardState = n.HardState()
	if lastTerm := n.log.lastTerm(); lastTerm > n.term {
		n.term, n.vote = lastTerm, 0
	}
	return nil
}

// Tick passes the time to the node. It must be called several times in each heartbeat interval.
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

// tickLeader steps down without a majority in contact, since another leader may exist by then.
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
