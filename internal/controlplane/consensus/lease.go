package consensus

import "time"

// heartbeatBroadcast records when a heartbeat was sent to all peers.
type heartbeatBroadcast struct {
	sequence uint64
	sentAt   time.Time
}

// broadcastHeartbeat sends the next heartbeat to all peers.
func (n *Node) broadcastHeartbeat(now time.Time) {
	n.heartbeatSequence++
	n.recentHeartbeats = append(n.recentHeartbeats, heartbeatBroadcast{sequence: n.heartbeatSequence, sentAt: now})
	for len(n.recentHeartbeats) > 1 && now.Sub(n.recentHeartbeats[0].sentAt) > n.config.ElectionTimeout {
		n.recentHeartbeats = n.recentHeartbeats[1:]
	}
	n.nextHeartbeat = now.Add(n.config.HeartbeatInterval)
	for _, peer := range n.peers {
		n.sendHeartbeat(peer, now)
	}
	n.confirmReads()
}

// recordContact records a response of a peer and the heartbeat that it acknowledges.
func (n *Node) recordContact(peer *progress, heartbeat uint64, now time.Time) {
	peer.lastContact = now
	if heartbeat <= peer.ackedHeartbeat {
		return
	}
	for _, broadcast := range n.recentHeartbeats {
		if broadcast.sequence == heartbeat {
			peer.ackedHeartbeat, peer.ackedHeartbeatSentAt = heartbeat, broadcast.sentAt
		}
	}
	n.confirmReads()
}

// LeaseEnds returns the time until which no other member can become leader, or the zero time if this
// node has no lease. The lease starts when the newest heartbeat that a majority acknowledged was sent,
// since each of these members rejects vote requests for an election timeout after it received the heartbeat.
func (n *Node) LeaseEnds(now time.Time) time.Time {
	if n.role != Leader || n.transfer.timeoutNowSent {
		return time.Time{}
	}
	start := n.quorumAckedHeartbeatSentAt(now)
	if start.IsZero() {
		return time.Time{}
	}
	return start.Add(n.config.ElectionTimeout - n.config.ClockDrift)
}
