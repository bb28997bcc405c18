package replica

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// slowSyncFactor is the number of response times of the fastest voter that a slow sync of the leader exceeds.
	slowSyncFactor = 2
	// minSlowSync is the shortest sync that counts as slow; with shorter ones a transfer would gain too little.
	minSlowSync = 5 * time.Millisecond
	// syncWindow is the number of syncs after which the leader decides on a transfer, and minSlowSyncs the number of
	// them that must be slow.
	syncWindow   = 32
	minSlowSyncs = 24
	// minTransferInterval is the shortest time between two transfers by one member for this reason.
	minTransferInterval = time.Minute
)

// slowDiskDetector compares the sync times of a leader with the response times of the other voters, which
// include their syncs. A leader writes before it sends, so that its own slow disk delays every command. A single
// slow sync is no evidence of a slow disk; minSlowSyncs in a window are. It belongs to the owner goroutine.
type slowDiskDetector struct {
	comparedSyncs, slowSyncs int
	// ownSync is how long the leader took to write the entries up to awaitedIndex, which it sent at sentAt.
	// awaitedIndex is zero when no response is awaited.
	ownSync      time.Duration
	awaitedIndex uint64
	sentAt       time.Time
	// nextTransfer is the earliest time of the next transfer.
	nextTransfer time.Time
}

// begin starts a comparison, unless one is in progress.
func (s *slowDiskDetector) begin(index uint64, ownSync time.Duration, now time.Time) {
	if s.awaitedIndex != 0 {
		return
	}
	s.awaitedIndex, s.ownSync, s.sentAt = index, ownSync, now
}

// observeResponse ends the comparison at the first response of a voter, and reports whether the disk of this
// leader is slow.
func (s *slowDiskDetector) observeResponse(received inboundMessage) bool {
	response := received.message
	awaited := s.awaitedIndex != 0 && response.GetKind() == protocol.ConsensusMessageKind_APPEND_RESPONSE &&
		!response.GetReject() && response.GetLogIndex() >= s.awaitedIndex
	if !awaited {
		return false
	}
	s.awaitedIndex = 0
	s.comparedSyncs++
	if s.ownSync >= minSlowSync && s.ownSync > slowSyncFactor*received.receivedAt.Sub(s.sentAt) {
		s.slowSyncs++
	}
	if s.comparedSyncs < syncWindow {
		return false
	}
	isSlow := s.slowSyncs >= minSlowSyncs
	s.comparedSyncs, s.slowSyncs = 0, 0
	return isSlow
}

// reset drops the comparisons, as when leadership has ended.
func (s *slowDiskDetector) reset() { *s = slowDiskDetector{nextTransfer: s.nextTransfer} }

// trackSync records how long the leader's write of new entries took, which were just sent.
func (o *ownerLoop) trackSync(ready consensus.Ready, began, written time.Time) {
	if len(ready.Entries) == 0 || o.node.Role() != consensus.Leader {
		return
	}
	last := ready.Entries[len(ready.Entries)-1].GetIndex()
	o.slowDisk.begin(last, written.Sub(began), o.now())
}

// transferIfDiskSlow transfers leadership to the voter that sent the message if the leader's disk is much slower.
func (o *ownerLoop) transferIfDiskSlow(received inboundMessage) {
	if o.node.Role() != consensus.Leader {
		o.slowDisk.reset()
		return
	}
	from := received.message.GetFrom()
	if !o.isVoter(from) || !o.slowDisk.observeResponse(received) {
		return
	}
	now := o.now()
	if now.Before(o.slowDisk.nextTransfer) {
		return
	}
	o.slowDisk.nextTransfer = now.Add(minTransferInterval)
	if err := o.node.Transfer(from, now); err != nil {
		o.replica.logWarning("leadership transfer failed", "error", err)
		return
	}
	o.replica.logInfo("leadership transfer started: slow disk", "to", from)
}

func (o *ownerLoop) isVoter(id uint64) bool {
	configuration, _ := o.node.Configuration()
	return consensus.Member(configuration, id).GetVoter()
}
