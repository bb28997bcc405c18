package consensus

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// checkCanPropose rejects proposals unless this node leads, and during a leadership transfer, whose target
// must catch up with the log.
func (n *Node) checkCanPropose() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.transfer.target != 0 {
		return &TransferringError{Target: n.transfer.target}
	}
	return nil
}

// Propose appends commands and returns the index of the first one and their term. On an error none of
// the commands is appended. Errors: *NotLeaderError, *TransferringError, *OverloadedError,
// *CommandSizeError.
func (n *Node) Propose(commands [][]byte, now time.Time) (index, term uint64, err error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if err := n.checkUncommittedLimits(commands); err != nil {
		return 0, 0, err
	}
	index = n.log.lastIndex() + 1
	for _, command := range commands {
		n.appendEntry(protocol.EntryKind_ENTRY_COMMAND, command)
	}
	n.broadcastAppend(now)
	return index, n.term, nil
}

func (n *Node) checkUncommittedLimits(commands [][]byte) error {
	size := n.uncommittedBytes
	for _, command := range commands {
		if len(command) > n.config.MaxCommandBytes {
			return &CommandSizeError{Size: len(command), Limit: n.config.MaxCommandBytes}
		}
		size += len(command)
	}
	uncommitted := n.log.lastIndex() - n.log.commit
	if uncommitted+uint64(len(commands)) > n.config.MaxUncommitted || size > n.config.MaxUncommittedBytes {
		return &OverloadedError{Uncommitted: uncommitted}
	}
	return nil
}

// commitTo raises the leader's commit index and subtracts the newly committed entries from
// uncommittedBytes.
func (n *Node) commitTo(index uint64) {
	for _, entry := range n.log.slice(n.log.commit+1, index, noSizeLimit) {
		if entry.GetTerm() == n.term {
			n.uncommittedBytes -= len(entry.GetData())
		}
	}
	n.log.commit = index
}

// appendEntry appends an entry of this leader. This node counts towards the commit quorum once the entry
// is durable on its own disk.
func (n *Node) appendEntry(kind protocol.EntryKind, data []byte) uint64 {
	entry := &protocol.Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, entry)
	n.uncommittedBytes += len(data)
	// ProposeConfiguration marshalled the configuration, so parsing cannot fail.
	_ = n.configurations.appendIfConfiguration(entry)
	return entry.GetIndex()
}

func (n *Node) broadcastAppend(now time.Time) {
	for _, peer := range n.peers {
		n.maybeSendAppend(peer, now)
	}
}

// maybeSendAppend sends the entries that the peer lacks, as far as flow control allows.
func (n *Node) maybeSendAppend(peer *progress, now time.Time) {
	if peer.state == stateSnapshot || peer.state == stateProbe && peer.probeSent {
		return
	}
	if peer.next-1 < n.log.baseIndex {
		n.startSnapshot(peer, now)
		return
	}
	if entries := n.entriesFor(peer); len(entries) > 0 {
		n.sendAppend(peer, entries)
	}
}

func (n *Node) entriesFor(peer *progress) []*protocol.Entry {
	return n.log.slice(peer.next, peer.match+n.config.MaxInflight, n.config.MaxAppendBytes)
}

// sendAppend sends entries from peer.next on, possibly none, with the index and term of the entry before
// them for the log matching check. Its round is the newest heartbeat, so that the response to any append also
// acknowledges that heartbeat: the append was not sent before it.
func (n *Node) sendAppend(peer *progress, entries []*protocol.Entry) {
	previous := peer.next - 1
	term, _ := n.log.term(previous)
	n.send(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_APPEND, To: peer.id, Round: n.heartbeatSequence,
		LogIndex: previous, LogTerm: term, Entries: entries, Commit: n.log.commit,
	})
	if peer.state == stateReplicate {
		peer.next += uint64(len(entries))
		return
	}
	peer.probeSent = true
}

// sendHeartbeat always sends an append, since it renews the lease. The append carries entries if the peer
// lacks some and is responsive.
func (n *Node) sendHeartbeat(peer *progress, now time.Time) {
	if peer.state != stateSnapshot && peer.next-1 < n.log.baseIndex {
		n.startSnapshot(peer, now)
	}
	if peer.state == stateSnapshot {
		// An append after index zero matches any log.
		n.send(&protocol.ConsensusMessage{
			Kind: protocol.ConsensusMessageKind_APPEND, To: peer.id, Round: n.heartbeatSequence,
		})
		n.resendChunk(peer, now)
		return
	}
	var entries []*protocol.Entry
	if now.Sub(peer.lastContact) < n.config.ElectionTimeout {
		// An unresponsive peer receives entries only once it responds; until then they would pile up in its queue.
		entries = n.entriesFor(peer)
	}
	n.sendAppend(peer, entries)
}

// stepAppend stores the entries of the leader if the entry before them matches. The response, which is sent
// once they are durable, contains the last index that is certain to match the leader's log; this member
// commits no further than that.
func (n *Node) stepAppend(message *protocol.ConsensusMessage, now time.Time) error {
	if err := n.followLeader(message.GetFrom(), message.GetLogIndex(), now); err != nil {
		return err
	}
	previous, previousTerm, entries := n.skipCommitted(message)
	response := &protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_APPEND_RESPONSE, To: message.GetFrom(), Round: message.GetRound(),
	}
	if !n.log.matches(previous, previousTerm) {
		response.Reject, response.LogIndex, response.RejectHint = true, previous, n.log.conflictHint(previous)
		n.send(response)
		return nil
	}
	if err := n.storeEntries(entries); err != nil {
		return err
	}
	response.LogIndex = previous + uint64(len(entries))
	n.log.commit = max(n.log.commit, min(message.GetCommit(), response.GetLogIndex()))
	n.send(response)
	return nil
}

// skipCommitted drops the part of an append that this node has already committed, since a committed
// entry is never replaced.
func (n *Node) skipCommitted(message *protocol.ConsensusMessage) (index, term uint64, entries []*protocol.Entry) {
	index, term, entries = message.GetLogIndex(), message.GetLogTerm(), message.GetEntries()
	if index >= n.log.commit {
		return index, term, entries
	}
	skipped := min(n.log.commit-index, uint64(len(entries)))
	term, _ = n.log.term(n.log.commit)
	return n.log.commit, term, entries[skipped:]
}

// storeEntries stores entries whose predecessor matches, and updates the configuration history.
func (n *Node) storeEntries(entries []*protocol.Entry) error {
	first := n.log.merge(entries)
	if first == 0 {
		return nil
	}
	n.configurations.truncate(first)
	for _, entry := range n.log.entries[first-n.log.baseIndex-1:] {
		if err := n.configurations.appendIfConfiguration(entry); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) stepAppendResponse(message *protocol.ConsensusMessage, now time.Time) {
	peer := n.peer(message.GetFrom())
	if n.role != Leader || peer == nil {
		return
	}
	if message.GetLogIndex() > n.log.lastIndex() {
		// No correct member acknowledges an entry that this leader does not have.
		return
	}
	n.recordContact(peer, message.GetRound(), now)
	if message.GetReject() {
		n.handleRejection(peer, message, now)
		return
	}
	advanced := peer.acknowledge(message.GetLogIndex())
	switch {
	case peer.snapshotDone(n.log.baseIndex):
		// If the log has been compacted beyond that snapshot meanwhile, this sends the newest snapshot.
		peer.becomeProbe(peer.match + 1)
		n.maybeSendAppend(peer, now)
	case peer.state == stateProbe && peer.next-1 == message.GetLogIndex():
		peer.becomeReplicate()
	}
	if advanced && n.advanceCommit(now) {
		return
	}
	n.maybeSendAppend(peer, now)
	n.continueTransfer(now)
}

// handleRejection probes for the last matching entry before a rejected append. Rejections of appends
// sent before the current probe are ignored, since they would restart the search.
func (n *Node) handleRejection(peer *progress, message *protocol.ConsensusMessage, now time.Time) {
	rejectedIndex := message.GetLogIndex()
	stale := rejectedIndex <= peer.match || peer.state == stateSnapshot ||
		peer.state == stateProbe && rejectedIndex != peer.next-1
	if stale {
		return
	}
	peer.becomeProbe(min(rejectedIndex, message.GetRejectHint()+1))
	n.maybeSendAppend(peer, now)
}

// advanceCommit commits the entries that are durable on a majority, if the last of them is of this term:
// entries of earlier terms must not be committed by counting replicas alone (section 5.4.2 of the paper). It
// reports whether the node stepped down because it committed its own removal. Peers receive the new commit
// index with the next append or heartbeat.
func (n *Node) advanceCommit(now time.Time) bool {
	index := n.quorumMatch()
	if term, _ := n.log.term(index); index <= n.log.commit || term != n.term {
		return false
	}
	n.commitTo(index)
	if n.isVoter() || n.configurations.latest().index > n.log.commit {
		return false
	}
	n.broadcastHeartbeat(now)
	n.becomeFollower(n.term, 0, now)
	return true
}
