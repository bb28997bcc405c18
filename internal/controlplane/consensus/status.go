package consensus

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Status is a copy of a node's state. Peers is empty unless the node leads.
type Status struct {
	ID, Term, Leader uint64
	Role             Role
	Commit, Applied  uint64
	FirstIndex       uint64
	LastIndex        uint64
	SnapshotIndex    uint64
	// TermStart is the index of the first entry that the leader appended in its term: once it is
	// applied, the state machine has all entries that earlier leaders committed.
	TermStart     uint64
	Transferring  bool
	Configuration *protocol.CoreConfiguration
	// ConfigurationIndex is the index of Configuration in the log, which may be uncommitted.
	ConfigurationIndex uint64
	Peers              []PeerStatus
}

// PeerStatus describes the replication from the leader to another member.
type PeerStatus struct {
	ID uint64
	// Match is the last index that the member acknowledged as durable.
	Match uint64
	Voter bool
	// LastContact is when the member last responded, or when the leader started to track it.
	LastContact time.Time
}

// Status returns the status of the node.
func (n *Node) Status() Status {
	latest := n.configurations.latest()
	status := Status{
		ID: n.config.ID, Term: n.term, Leader: n.leader, Role: n.role,
		Commit: n.log.commit, Applied: n.log.applied,
		FirstIndex: n.log.baseIndex + 1, LastIndex: n.log.lastIndex(),
		SnapshotIndex: n.log.snapshot.GetIndex(), TermStart: n.termStart,
		Transferring: n.transfer.target != 0, Configuration: latest.configuration,
		ConfigurationIndex: latest.index,
	}
	for _, peer := range n.peers {
		status.Peers = append(status.Peers, PeerStatus{
			ID: peer.id, Match: peer.match, Voter: peer.voter, LastContact: peer.lastContact,
		})
	}
	return status
}

// HardState returns the current hard state: term, vote, commit index and lease leader.
func (n *Node) HardState() *protocol.HardState {
	return &protocol.HardState{Term: n.term, VotedFor: n.vote, Commit: n.log.commit, PromisedTo: n.leaseLeader}
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the id of the leader of this term, or zero while none is known.
func (n *Node) Leader() uint64 { return n.leader }

// Entries returns the entries in memory from index on. The caller must not modify them.
func (n *Node) Entries(index uint64) []*protocol.Entry {
	return n.log.slice(max(index, n.log.baseIndex+1), n.log.lastIndex(), noSizeLimit)
}

// Applied returns the last applied index.
func (n *Node) Applied() uint64 { return n.log.applied }

// Configuration returns the newest configuration, which may be uncommitted, and its index.
func (n *Node) Configuration() (*protocol.CoreConfiguration, uint64) {
	latest := n.configurations.latest()
	return latest.configuration, latest.index
}
