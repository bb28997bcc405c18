package consensus

import "time"

// ReadResult is the outcome of a Read.
type ReadResult struct {
	// ID is the id that was passed to Read.
	ID uint64
	// Index is the index of the entry that must be applied before the state is read.
	Index uint64
	// Failed is set when leadership was lost before a majority confirmed it.
	Failed bool
}

// pendingRead is a read that waits until a majority acknowledges a heartbeat sent after the read began.
type pendingRead struct {
	id, index, heartbeatSequence uint64
}

// Read requests a linearizable read (section 6.4 of the dissertation): with a lease it is confirmed
// immediately, otherwise by a heartbeat that is sent now. Ready returns the result with the same id.
// The error is a *NotLeaderError.
func (n *Node) Read(id uint64, now time.Time) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	// The leader's first entry comes after all entries that earlier leaders committed.
	index := max(n.log.commit, n.termStart)
	if now.Before(n.LeaseEnds(now)) {
		n.readResults = append(n.readResults, ReadResult{ID: id, Index: index})
		return nil
	}
	pending := pendingRead{id: id, index: index, heartbeatSequence: n.heartbeatSequence + 1}
	n.pendingReads = append(n.pendingReads, pending)
	n.broadcastHeartbeat(now)
	return nil
}

// confirmReads completes the reads whose heartbeat a majority has acknowledged.
func (n *Node) confirmReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	confirmed := n.quorumAckedHeartbeat()
	for len(n.pendingReads) > 0 && n.pendingReads[0].heartbeatSequence <= confirmed {
		n.readResults = append(n.readResults, ReadResult{ID: n.pendingReads[0].id, Index: n.pendingReads[0].index})
		n.pendingReads = n.pendingReads[1:]
	}
}

func (n *Node) failReads() {
	for _, read := range n.pendingReads {
		n.readResults = append(n.readResults, ReadResult{ID: read.id, Failed: true})
	}
	n.pendingReads = nil
}
