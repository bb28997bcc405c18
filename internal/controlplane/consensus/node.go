package consensus

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Role is the role of a node in its term.
type Role int

// Roles. A pre-candidate finds out whether it would be elected, without starting a new term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// InitialState is the state that was recovered from disk. The zero value is that of a new member,
// which waits to be added to a cluster.
type InitialState struct {
	HardState *protocol.HardState
	// Snapshot describes the newest durable snapshot, which the state machine has restored.
	Snapshot *protocol.SnapshotMetadata
	// Entries are the log after the snapshot, without a gap.
	Entries []*protocol.Entry
}

// Node is one member of the consensus group. Only its owner goroutine may call its methods.
type Node struct {
	config Config
	role   Role
	term   uint64
	vote   uint64
	leader uint64
	// leaseLeader is the last leader whose lease may rely on this member to reject vote requests. It
	// is durable (HardState.promised_to), since that lease may outlive a restart of this member.
	leaseLeader uint64

	log            entryLog
	configurations configurationHistory

	electionDeadline time.Time
	// failedElections counts the campaigns of this member since its last contact with a leader.
	failedElections  int
	rejectVotesUntil time.Time
	// votes holds the responses to this member's campaign by voter; true is a granted vote.
	votes map[uint64]bool
	// transferCampaign is set while this member campaigns at the request of the leader.
	transferCampaign bool

	// The fields up to pendingReads are used only while this member leads.

	// peers are the other members, sorted by id.
	peers []*progress
	// termStart is the index of the first entry that this leader appended in its term.
	termStart uint64
	// uncommittedBytes is the data size of the entries of this term that are not committed.
	uncommittedBytes int
	// heartbeatSequence numbers the heartbeats; messages carry it in their field round, and
	// responses return it.
	heartbeatSequence uint64
	// recentHeartbeats are the heartbeats of the last election timeout, oldest first.
	recentHeartbeats []heartbeatBroadcast
	nextHeartbeat    time.Time
	transfer         transferState
	pendingReads     []pendingRead

	incomingSnapshot incomingSnapshot

	// savedHardState is the durable hard state.
	savedHardState *protocol.HardState
	// The remaining fields are output that Ready has not returned yet.
	receivedSnapshot *ReceivedSnapshot
	messages         []*protocol.ConsensusMessage
	readResults      []ReadResult
}

// New creates a node from its recovered state. The error is a *StateError.
//
// For one election timeout the new node rejects vote requests, since a lease may rely on that, except
// those of the leader that holds the lease. A node that led campaigns at once: if all members restarted,
// it is the only one that can be elected before the timeout.
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

// restore sets the log, the configurations and the hard state. The recovered hard state may be older
// than the entries, since it is written after them; the term is then that of the last entry.
func (n *Node) restore(initial InitialState) error {
	if n.config.ID == 0 || n.config.Random == nil {
		return &StateError{Reason: "Config.ID and Config.Random are required"}
	}
	n.log.restore(initial.Snapshot)
	n.configurations.restore(initial.Snapshot)
	for _, entry := range initial.Entries {
		if entry.GetIndex() != n.log.lastIndex()+1 || entry.GetTerm() < n.log.lastTerm() {
			return &StateError{Reason: "the entries have a gap or a decreasing term", Index: entry.GetIndex()}
		}
		n.log.entries = append(n.log.entries, entry)
		if err := n.configurations.appendIfConfiguration(entry); err != nil {
			return err
		}
	}
	n.log.stable = n.log.lastIndex()
	hardState := initial.HardState
	if hardState.GetCommit() > n.log.lastIndex() {
		return &StateError{
			Reason: fmt.Sprintf("the commit index is beyond the last entry, which is at index %d", n.log.lastIndex()),
			Index:  hardState.GetCommit(),
		}
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

// Tick passes the current time to the node. It must be called several times per heartbeat interval.
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

// tickLeader steps down if the leader has lost contact with a majority, since another leader may exist
// by then, or if a transfer expired; otherwise it sends heartbeats when they are due.
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
