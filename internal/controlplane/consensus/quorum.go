package consensus

import (
	"cmp"
	"slices"
	"time"
)

// Quorum returns the number of voters that form a majority.
func Quorum(voters int) int { return voters/2 + 1 }

// quorumValue returns the highest value that a majority of the voters has reached, or the zero value
// when there are no voters. own is the value of this node, which counts only if the node is a voter;
// ofPeer returns the value of a peer.
func quorumValue[T any](n *Node, own T, ofPeer func(*progress) T, compare func(a, b T) int) T {
	var values []T
	if n.isVoter() {
		values = append(values, own)
	}
	for _, peer := range n.peers {
		if peer.voter {
			values = append(values, ofPeer(peer))
		}
	}
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.SortFunc(values, compare)
	return values[len(values)-Quorum(len(values))]
}

// quorumMatch returns the highest index that is durable on a majority of the voters.
func (n *Node) quorumMatch() uint64 {
	return quorumValue(n, n.log.stable, func(p *progress) uint64 { return p.match }, cmp.Compare[uint64])
}

// quorumAckedHeartbeat returns the newest heartbeat that a majority acknowledged.
func (n *Node) quorumAckedHeartbeat() uint64 {
	acked := func(p *progress) uint64 { return p.ackedHeartbeat }
	return quorumValue(n, n.heartbeatSequence, acked, cmp.Compare[uint64])
}

// quorumAckedHeartbeatSentAt returns when the newest heartbeat that a majority acknowledged was sent, or
// the zero time if there is none. The leader itself counts as acknowledging now.
func (n *Node) quorumAckedHeartbeatSentAt(now time.Time) time.Time {
	return quorumValue(n, now, func(p *progress) time.Time { return p.ackedHeartbeatSentAt }, time.Time.Compare)
}

// quorumActive reports whether a majority, including this node, responded within the election timeout.
func (n *Node) quorumActive(now time.Time) bool {
	lastContact := quorumValue(n, now, func(p *progress) time.Time { return p.lastContact }, time.Time.Compare)
	return now.Sub(lastContact) < n.config.ElectionTimeout
}
