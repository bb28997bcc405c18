package consensus

import "time"

// ReadResult answers a Read.
type ReadResult struct {
	// ID as given to Read.
	ID uint64
	// Index that must be applied before the read is answered.
	Index uint64
	// Failed is set when leadership was lost before it could be confirmed.
	Failed bool
}

type pendingRead struct {
	id, index, heartbeatSequence uint64
}

// Read asks for a linearizable read: under the lease it is confirmed at once, else by a
// heartbeat round that begins now. The result comes with Ready. The error is a *NotLeaderError.
func (n *Node) Read(id uint64, now time.Time) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	// The leader's first entry stands above all that earlier leaders committed.
	index := max(n.log.commit, n.termStart)
	if now.Before(n.LeaseEnds(now)) {
		n.readResults = append(n.readResults, ReadResult{ID: id, Index: index})
		return nil
	}
	n.pendingReads = append(n.pendingReads, pendingRead{id: id, index: index, heartbeatSequence: n.heartbeatSequence + 1})
	n.broadcastHeartbeat(now)
	return nil
}

// confirmReads answers the reads whose round a majority has answered.
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
