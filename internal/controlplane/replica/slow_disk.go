package replica

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// slowSyncFactor is how many times longer than the answer of the quickest voter a sync of the leader must take to be slow.
	slowSyncFactor = 2
	// shortestSlowSync is the shortest sync that counts as slow: handing over would save too little below it.
	minSlowSync = 5 * time.Millisecond
	// comparedSyncs is how many syncs are compared before the leader judges, and slowSyncs how many of them must be slow.
	syncWindow   = 32
	minSlowSyncs = 24
	// handOverPause is the shortest time between two hand-overs by one member.
	minTransferInterval = time.Minute
)

// arrivedMessage is a message and when it reached this process.
type inboundMessage struct {
	message    *protocol.ConsensusMessage
	receivedAt time.Time
}

// slowDisk compares the syncs of a leader with the answers of the others, which contain their syncs. A leader writes before it
// sends, so that its own disk holds up every command. One slow sync means nothing; most of a window do.
type slowDiskDetector struct {
	compared, slow int
	// ownSync is how long the entries up to index took to be written here; they were sent at sentAt. The index is zero
	// when no answer is awaited.
	ownSync time.Duration
	index   uint64
	sentAt  time.Time
	// nextHandOver is when leadership may be handed over again.
	nextTransfer time.Time
}

// sent begins a comparison, unless one is under way.
func (s *slowDiskDetector) begin(index uint64, ownSync time.Duration, now time.Time) {
	if s.index != 0 {
		return
	}
	s.index, s.ownSync, s.sentAt = index, ownSync, now
}

// answered ends the comparison at the first answer of a voter, and reports whether the disk of this leader is slow.
func (s *slowDiskDetector) observeAnswer(arrived inboundMessage) bool {
	answer := arrived.message
	awaited := s.index != 0 && answer.GetKind() == protocol.ConsensusMessageKind_APPEND_RESPONSE &&
		!answer.GetReject() && answer.GetLogIndex() >= s.index
	if !awaited {
		return false
	}
	s.index = 0
	s.compared++
	if s.ownSync >= minSlowSync && s.ownSync > slowSyncFactor*arrived.receivedAt.Sub(s.sentAt) {
		s.slow++
	}
	if s.compared < syncWindow {
		return false
	}
	isSlow := s.slow >= minSlowSyncs
	s.compared, s.slow = 0, 0
	return isSlow
}

// reset forgets what was compared, as when leadership has ended.
func (s *slowDiskDetector) reset() { *s = slowDiskDetector{nextTransfer: s.nextTransfer} }

// compareSync notes how long the leader's write of new entries took; they are on their way now.
func (o *owner) trackSync(ready consensus.Ready, began, written time.Time) {
	if len(ready.Entries) == 0 || o.node.Role() != consensus.Leader {
		return
	}
	last := ready.Entries[len(ready.Entries)-1].GetIndex()
	o.slowDisk.begin(last, written.Sub(began), o.now())
}

// handOverIfSlow hands leadership to the voter that answered when the disk here is much slower than others.
func (o *owner) transferIfDiskSlow(arrived inboundMessage) {
	if o.node.Role() != consensus.Leader {
		o.slowDisk.reset()
		return
	}
	from := arrived.message.GetFrom()
	if !o.isVoter(from) || !o.slowDisk.observeAnswer(arrived) {
		return
	}
	now := o.now()
	if now.Before(o.slowDisk.nextTransfer) {
		return
	}
	o.slowDisk.nextTransfer = now.Add(minTransferInterval)
	if err := o.node.Transfer(from, now); err != nil {
		o.replica.logWarning("leadership was not handed over", "error", err)
		return
	}
	o.replica.logInfo("the disk here is slower than others; leadership is handed over", "to", from)
}

func (o *owner) isVoter(id uint64) bool {
	configuration, _ := o.node.Configuration()
	return consensus.Member(configuration, id).GetVoter()
}
