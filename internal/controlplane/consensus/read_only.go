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
	id, index, round uint64
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
	n.reads = append(n.reads, pendingRead{id: id, index: index, round: n.round + 1})
	n.broadcastHeartbeat(now)
	return nil
}

// confirmReads answers the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 {
		return
	}
	confirmed := n.quorumRound()
	for len(n.reads) > 0 && n.reads[0].round <= confirmed {
		n.readResults = append(n.readResults, ReadResult{ID: n.reads[0].id, Index: n.reads[0].index})
		n.reads = n.reads[1:]
	}
}

func (n *Node) failReads() {
	for _, read := range n.reads {
		n.readResults = append(n.readResults, ReadResult{ID: read.id, Failed: true})
	}
	n.reads = nil
}
