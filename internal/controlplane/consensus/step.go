package consensus

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Step handles a message from another member. Messages that are addressed to another id, or of an unknown
// kind, are ignored. The error is a *StateError: the message violates the invariants of the log.
func (n *Node) Step(message *protocol.ConsensusMessage, now time.Time) error {
	if message.GetTo() != n.config.ID || message.GetFrom() == n.config.ID || message.GetTerm() == 0 {
		return nil
	}
	if err := checkEntries(message); err != nil {
		return err
	}
	switch {
	case message.GetTerm() < n.term:
		n.rejectStaleTerm(message)
		return nil
	case !n.enterTerm(message, now):
		return nil
	}
	return n.dispatch(message, now)
}

// enterTerm adopts the term of the message if the message kind requires it. It returns false if the
// message must not be handled.
func (n *Node) enterTerm(message *protocol.ConsensusMessage, now time.Time) bool {
	newer := message.GetTerm() > n.term
	switch message.GetKind() {
	case protocol.ConsensusMessageKind_PRE_VOTE:
		return true
	case protocol.ConsensusMessageKind_PRE_VOTE_RESPONSE:
		if newer && message.GetReject() {
			n.becomeFollower(message.GetTerm(), 0, now)
			return false
		}
		return true
	case protocol.ConsensusMessageKind_VOTE:
		// A higher term does not override a lease: otherwise a removed or partitioned member could depose
		// the leader that holds it.
		if n.rejectsVotesFrom(message.GetFrom(), now) && !message.GetTransfer() {
			return false
		}
	case protocol.ConsensusMessageKind_TIMEOUT_NOW:
		return !newer && n.promotable()
	}
	if newer {
		n.becomeFollower(message.GetTerm(), 0, now)
	}
	return true
}

// promotable reports whether this member may campaign at the leader's request.
func (n *Node) promotable() bool { return n.role == Follower && n.isVoter() }

func (n *Node) dispatch(message *protocol.ConsensusMessage, now time.Time) error {
	switch message.GetKind() {
	case protocol.ConsensusMessageKind_PRE_VOTE:
		n.stepPreVote(message, now)
	case protocol.ConsensusMessageKind_PRE_VOTE_RESPONSE:
		n.stepPreVoteResponse(message, now)
	case protocol.ConsensusMessageKind_VOTE:
		n.stepVote(message, now)
	case protocol.ConsensusMessageKind_VOTE_RESPONSE:
		n.stepVoteResponse(message, now)
	case protocol.ConsensusMessageKind_APPEND:
		return n.stepAppend(message, now)
	case protocol.ConsensusMessageKind_APPEND_RESPONSE:
		n.stepAppendResponse(message, now)
	case protocol.ConsensusMessageKind_SNAPSHOT_CHUNK:
		return n.stepSnapshotChunk(message, now)
	case protocol.ConsensusMessageKind_SNAPSHOT_CHUNK_RESPONSE:
		n.stepSnapshotChunkResponse(message, now)
	case protocol.ConsensusMessageKind_TIMEOUT_NOW:
		n.transferCampaign = true
		n.campaign(Candidate, now)
	}
	return nil
}

// rejectStaleTerm rejects a request of an old term. The response carries the current term.
func (n *Node) rejectStaleTerm(message *protocol.ConsensusMessage) {
	response := &protocol.ConsensusMessage{To: message.GetFrom(), Reject: true}
	switch message.GetKind() {
	case protocol.ConsensusMessageKind_PRE_VOTE:
		response.Kind = protocol.ConsensusMessageKind_PRE_VOTE_RESPONSE
	case protocol.ConsensusMessageKind_VOTE:
		response.Kind = protocol.ConsensusMessageKind_VOTE_RESPONSE
	case protocol.ConsensusMessageKind_APPEND, protocol.ConsensusMessageKind_SNAPSHOT_CHUNK:
		response.Kind = protocol.ConsensusMessageKind_APPEND_RESPONSE
	default:
		return
	}
	n.send(response)
}

// checkEntries rejects an append whose entries have a gap, a decreasing term or a term above the sender's.
func checkEntries(message *protocol.ConsensusMessage) error {
	index, term := message.GetLogIndex(), message.GetLogTerm()
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() != index+1 || entry.GetTerm() < term || entry.GetTerm() > message.GetTerm() {
			return &StateError{
				Reason: fmt.Sprintf("the append of member %d has a gap or an invalid term", message.GetFrom()),
				Index:  entry.GetIndex(),
			}
		}
		index, term = entry.GetIndex(), entry.GetTerm()
	}
	return nil
}
