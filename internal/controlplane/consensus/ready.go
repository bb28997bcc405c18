package consensus

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Ready is a node's output. Its owner must, in this order:
//
//  1. make Snapshot durable, in place of the whole log and state, and restore the state machine;
//  2. write Entries, each in place of any at its index and above, then HardState, and sync when
//     MustSync is set (a crash may then lose a suffix of these writes, never one from their middle);
//  3. send Messages; only now, since they acknowledge and promise what steps 1 and 2 made durable;
//  4. apply Committed and answer Reads;
//  5. call Advance, before any other method of the node.
type Ready struct {
	Snapshot  *ReceivedSnapshot
	Entries   []*protocol.Entry
	HardState *protocol.HardState
	MustSync  bool
	// Messages of kind SNAPSHOT_CHUNK carry no chunk: the driver fills in chunk and chunk_last
	// from its snapshot at chunk_offset. Messages may be lost, delayed or doubled.
	Messages  []*protocol.ConsensusMessage
	Committed []*protocol.Entry
	Reads     []ReadResult
}

// HasReady reports whether Ready has anything to do.
func (n *Node) HasReady() bool {
	return n.receivedSnapshot != nil || n.log.stable < n.log.lastIndex() || n.hardStateChanged() ||
		len(n.messages) > 0 || n.log.applied < n.applicable() || len(n.readResults) > 0
}

// Ready hands out what is to be done; the node forgets the messages and results in it.
func (n *Node) Ready() Ready {
	ready := Ready{
		Snapshot: n.receivedSnapshot, Messages: n.messages, Reads: n.readResults,
		Entries: n.log.slice(n.log.stable+1, n.log.lastIndex(), int(^uint(0)>>1)),
	}
	if n.hardStateChanged() {
		ready.HardState = n.hardState()
	}
	ready.MustSync = ready.Snapshot != nil || len(ready.Entries) > 0 || n.voteStateChanged()
	ready.Committed = n.log.slice(n.log.applied+1, n.applicable(), maxCommittedBytes)
	n.receivedSnapshot, n.messages, n.readResults = nil, nil, nil
	return ready
}

// Advance tells the node that everything in ready was done.
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

// applicable is the last entry that may be applied: committed, and durable here.
func (n *Node) applicable() uint64 { return min(n.log.commit, n.log.stable) }

func (n *Node) hardStateChanged() bool {
	return n.voteStateChanged() || n.savedHardState.GetCommit() != n.log.commit
}

// promiseChanged reports whether the term, the vote or the leader promised to is not durable yet.
func (n *Node) voteStateChanged() bool {
	return n.savedHardState.GetTerm() != n.term || n.savedHardState.GetVotedFor() != n.vote || n.savedHardState.GetPromisedTo() != n.leaseLeader
}
