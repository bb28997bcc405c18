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
	// TermStart is the index of the leader's first entry: once it is applied the state machine
	// has all that earlier leaders committed.
	TermStart     uint64
	Transferring  bool
	Configuration *protocol.CoreConfiguration
	// ConfigurationIndex is the index of Configuration in the log; it may be uncommitted.
	ConfigurationIndex uint64
	Peers              []PeerStatus
}

// PeerStatus is what the leader knows of another member.
type PeerStatus struct {
	ID uint64
	// Match is the last index known to be durable there.
	Match uint64
	Voter bool
	// LastContact is when it last answered, or when it was first sent to.
	LastContact time.Time
}

// Status describes the node.
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

// Role returns the role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the id of the leader of this term, or zero while none is known.
func (n *Node) Leader() uint64 { return n.leader }

// Entries returns the entries in memory from index on; they must not be changed.
func (n *Node) Entries(index uint64) []*protocol.Entry {
	return n.log.slice(max(index, n.log.baseIndex+1), n.log.lastIndex(), noSizeLimit)
}

// Applied returns the last applied index.
func (n *Node) Applied() uint64 { return n.log.applied }

// Configuration returns the newest configuration and its index; it may be uncommitted.
func (n *Node) Configuration() (*protocol.CoreConfiguration, uint64) {
	latest := n.configurations.latest()
	return latest.configuration, latest.index
}
