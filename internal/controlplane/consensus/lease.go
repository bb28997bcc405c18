package consensus

import (
	"slices"
	"time"
)

// heartbeatRound is a round of heartbeats and the time at which its first one was sent.
type heartbeatBroadcast struct {
	sequence uint64
	sentAt   time.Time
}

// broadcastHeartbeat begins a round.
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

// noteAnswer takes a member's answer to a round.
func (n *Node) recordContact(peer *progress, round uint64, now time.Time) {
	peer.lastContact = now
	if round <= peer.ackedHeartbeat {
		return
	}
	for _, sent := range n.recentHeartbeats {
		if sent.sequence == round {
			peer.ackedHeartbeat, peer.ackedHeartbeatSentAt = round, sent.sentAt
		}
	}
	n.confirmReads()
}

// LeaseEnds is the time until which no other member can become leader, or the zero time when
// this node has no lease. It counts from the sending of the newest heartbeat round that a
// majority answered, since each of them refuses to vote for a whole election timeout from its receipt.
func (n *Node) LeaseEnds(now time.Time) time.Time {
	if n.role != Leader || n.transfer.timeoutNowSent {
		return time.Time{}
	}
	start, found := n.quorumAckedHeartbeatSentAt(now)
	if !found {
		return time.Time{}
	}
	return start.Add(n.config.ElectionTimeout - n.config.ClockDrift)
}

// quorumRoundSent is when the newest round was sent that a majority answered. The leader
// itself answers at once.
func (n *Node) quorumAckedHeartbeatSentAt(now time.Time) (time.Time, bool) {
	var sent []time.Time
	if n.isVoter() {
		sent = append(sent, now)
	}
	for _, peer := range n.peers {
		if peer.voter {
			sent = append(sent, peer.ackedHeartbeatSentAt)
		}
	}
	if len(sent) == 0 {
		return time.Time{}, false
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	start := sent[Quorum(len(sent))-1]
	return start, !start.IsZero()
}

// quorumRound is the newest round that a majority answered.
func (n *Node) quorumAckedHeartbeat() uint64 {
	var answered []uint64
	if n.isVoter() {
		answered = append(answered, n.heartbeatSequence)
	}
	for _, peer := range n.peers {
		if peer.voter {
			answered = append(answered, peer.ackedHeartbeat)
		}
	}
	if len(answered) == 0 {
		return 0
	}
	slices.Sort(answered)
	return answered[len(answered)-Quorum(len(answered))]
}
