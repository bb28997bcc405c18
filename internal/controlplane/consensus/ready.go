package consensus

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// maxCommittedBytes bounds the committed entries of one Ready, so that applying them does not block
// the node for long.
const maxCommittedBytes = 4 << 20

// Ready is the output of a node. The owner must, in this order:
//
//  1. make Snapshot durable, replacing the log and the state, and restore the state machine from it;
//  2. write Entries, each replacing any entries at its index and above, then HardState, and sync if
//     MustSync is set (a crash may then lose a suffix of these writes, but never one from the middle);
//  3. send Messages, not earlier, since they acknowledge what steps 1 and 2 made durable;
//  4. apply Committed and complete Reads;
//  5. call Advance, before any other method of the node.
type Ready struct {
	Snapshot  *ReceivedSnapshot
	Entries   []*protocol.Entry
	HardState *protocol.HardState
	MustSync  bool
	// Messages of kind SNAPSHOT_CHUNK carry no chunk: the owner sets chunk and chunk_last from its
	// snapshot at chunk_offset. Messages may be lost, delayed or duplicated.
	Messages  []*protocol.ConsensusMessage
	Committed []*protocol.Entry
	Reads     []ReadResult
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return n.receivedSnapshot != nil || n.log.stable < n.log.lastIndex() || n.hardStateChanged() ||
		len(n.messages) > 0 || n.log.applied < n.lastApplicable() || len(n.readResults) > 0
}

// Ready returns the pending work. Messages, reads and a snapshot are returned only once, entries and
// the hard state repeatedly until Advance confirms them.
func (n *Node) Ready() Ready {
	ready := Ready{
		Snapshot: n.receivedSnapshot, Messages: n.messages, Reads: n.readResults,
		Entries: n.log.slice(n.log.stable+1, n.log.lastIndex(), noSizeLimit),
	}
	if n.hardStateChanged() {
		ready.HardState = n.HardState()
	}
	ready.MustSync = ready.Snapshot != nil || len(ready.Entries) > 0 || n.voteStateChanged()
	ready.Committed = n.log.slice(n.log.applied+1, n.lastApplicable(), maxCommittedBytes)
	n.receivedSnapshot, n.messages, n.readResults = nil, nil, nil
	return ready
}

// Advance confirms that everything in ready was processed.
func (n *Node) Advance(ready Ready, now time.Time) {
	if ready.HardState != nil {
		n.savedHardState = ready.HardState
	}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		if n.log.matches(last.GetIndex(), last.GetTerm()) {
			n.log.stable = max(n.log.stable, last.GetIndex())
		}
	}
	if count := len(ready.Committed); count > 0 {
		n.log.applied = max(n.log.applied, ready.Committed[count-1].GetIndex())
	}
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// lastApplicable returns the last index that may be applied: committed, and durable on this member.
func (n *Node) lastApplicable() uint64 { return min(n.log.commit, n.log.stable) }

func (n *Node) hardStateChanged() bool {
	return n.voteStateChanged() || n.savedHardState.GetCommit() != n.log.commit
}

// voteStateChanged reports whether the current term, vote or lease leader is not durable yet. The commit
// index need not be synced, since it can be recovered from the other members.
func (n *Node) voteStateChanged() bool {
	saved := n.savedHardState
	return saved.GetTerm() != n.term || saved.GetVotedFor() != n.vote || saved.GetPromisedTo() != n.leaseLeader
}
