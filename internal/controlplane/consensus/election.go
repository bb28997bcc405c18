package consensus

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// Deadlines have a random jitter of up to 1/electionJitterDivisor of the election timeout, so that voters
	// rarely campaign at the same time.
	electionJitterDivisor = 2
	// A failed campaign is retried after 1/campaignRetryDivisor of the election timeout at the earliest.
	campaignRetryDivisor = 4
	// maxQuickRetries is the number of failed campaigns after which a member waits for full election
	// timeouts again: the others are unreachable, or reject it for a lasting reason.
	maxQuickRetries = 4
	// A member that led before its restart retries after 1/formerLeaderRetryDivisor of the election timeout.
	// The delay is short, since members that restarted with it reject all other candidates at first, so that
	// votes are not split.
	formerLeaderRetryDivisor = 8
)

// resetElectionDeadline sets the deadline to an election timeout from now, with jitter.
func (n *Node) resetElectionDeadline(now time.Time) {
	n.electionDeadline = now.Add(n.config.ElectionTimeout + n.jitter(n.config.ElectionTimeout/electionJitterDivisor))
}

// resetRetryDeadline sets the deadline for the campaign that follows one started now. Since this member has no
// leader, it need not wait for a full election timeout after a split vote.
func (n *Node) resetRetryDeadline(now time.Time) {
	switch {
	case n.resumesLeadership(now):
		n.electionDeadline = now.Add(n.config.ElectionTimeout / formerLeaderRetryDivisor)
	case n.failedElections >= maxQuickRetries:
		n.resetElectionDeadline(now)
	default:
		jitter := n.jitter(n.config.ElectionTimeout / electionJitterDivisor)
		n.electionDeadline = now.Add(n.config.ElectionTimeout/campaignRetryDivisor + jitter)
	}
}

// resumesLeadership reports whether this member led before its restart and members that restarted with
// it may still reject vote requests of all others.
func (n *Node) resumesLeadership(now time.Time) bool {
	return n.leaseLeader == n.config.ID && now.Before(n.rejectVotesUntil)
}

func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.config.Random.Int64N(int64(limit)))
}

// followLeader follows the sender of an append or a snapshot, which leads this term. It returns a
// *StateError at the given index if this node leads the term itself, since a term has at most one leader.
func (n *Node) followLeader(leader, index uint64, now time.Time) error {
	if n.role == Leader {
		return &StateError{Reason: fmt.Sprintf("member %d also leads term %d", leader, n.term), Index: index}
	}
	if n.role != Follower {
		n.becomeFollower(n.term, leader, now)
	}
	n.observeLeader(leader, now)
	return nil
}

// observeLeader records contact with the leader of this term: vote requests are rejected for an election
// timeout from now. The leader's id is durable before the response is sent, since the response extends
// the lease.
func (n *Node) observeLeader(leader uint64, now time.Time) {
	n.leader, n.leaseLeader = leader, leader
	n.failedElections = 0
	n.rejectVotesUntil = now.Add(n.config.ElectionTimeout)
	n.resetElectionDeadline(now)
}

// rejectsVotesFrom reports whether the election of the candidate might violate a lease that relies on this
// node. The holder of that lease may be elected, since it gave up the lease by campaigning.
func (n *Node) rejectsVotesFrom(candidate uint64, now time.Time) bool {
	if n.role == Leader {
		return now.Before(n.LeaseEnds(now))
	}
	return candidate != n.leaseLeader && now.Before(n.rejectVotesUntil)
}

// becomeFollower follows the leader (zero if unknown) in the current or a newer term. The vote is cleared
// only when the term changes, so that a member never votes twice in a term.
func (n *Node) becomeFollower(term, leader uint64, now time.Time) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	if n.role == Leader {
		n.failReads()
	}
	switch {
	case n.role == Follower:
	case leader == 0:
		n.resetRetryDeadline(now)
	default:
		n.resetElectionDeadline(now)
	}
	n.role, n.leader = Follower, leader
	n.votes, n.peers, n.recentHeartbeats = nil, nil, nil
	n.transfer = transferState{}
	n.transferCampaign = false
}

// campaign requests votes, as PreCandidate without a new term or as Candidate with one.
func (n *Node) campaign(role Role, now time.Time) {
	n.role, n.leader = role, 0
	n.incomingSnapshot = incomingSnapshot{}
	n.votes = map[uint64]bool{n.config.ID: true}
	n.resetRetryDeadline(now)
	kind, term := protocol.ConsensusMessageKind_PRE_VOTE, n.term+1
	if role == Candidate {
		n.term++
		n.vote = n.config.ID
		kind, term = protocol.ConsensusMessageKind_VOTE, n.term
	}
	for _, voter := range Voters(n.configuration()) {
		if voter == n.config.ID {
			continue
		}
		n.send(&protocol.ConsensusMessage{
			Kind: kind, To: voter, Term: term, Transfer: n.transferCampaign,
			LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
	n.tallyVotes(now)
}

// tallyVotes counts the responses of the voters in the newest configuration and acts on the outcome.
func (n *Node) tallyVotes(now time.Time) {
	voters := Voters(n.configuration())
	granted, rejected := 0, 0
	for _, voter := range voters {
		if voteGranted, responded := n.votes[voter]; voteGranted {
			granted++
		} else if responded {
			rejected++
		}
	}
	quorum := Quorum(len(voters))
	switch {
	case granted >= quorum && n.role == PreCandidate:
		n.campaign(Candidate, now)
	case granted >= quorum:
		n.becomeLeader(now)
	case rejected > len(voters)-quorum:
		n.becomeFollower(n.term, 0, now)
	}
}

// becomeLeader starts to lead and appends an empty entry of the new term: committing it commits the
// entries of earlier leaders, and reads wait for it.
func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader, n.votes = Leader, n.config.ID, nil
	n.leaseLeader = n.config.ID
	n.transferCampaign = false
	n.failedElections = 0
	n.transfer = transferState{}
	n.recentHeartbeats, n.peers, n.pendingReads = nil, nil, nil
	n.uncommittedBytes = 0
	n.syncPeers(now)
	n.termStart = n.appendEntry(protocol.EntryKind_ENTRY_EMPTY, nil)
	n.broadcastHeartbeat(now)
}

// stepPreVote responds whether this member would vote for the sender. The term and the vote do not
// change, so that a member that cannot win does not depose a leader by campaigning.
func (n *Node) stepPreVote(message *protocol.ConsensusMessage, now time.Time) {
	grant := message.GetTerm() > n.term && !n.rejectsVotesFrom(message.GetFrom(), now) &&
		n.log.isUpToDate(message.GetLogIndex(), message.GetLogTerm())
	response := &protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_PRE_VOTE_RESPONSE, To: message.GetFrom(), Reject: !grant,
	}
	if grant {
		// The requested term, so that the pre-candidate can match the response to its request.
		response.Term = message.GetTerm()
	}
	n.send(response)
	if grant && n.defersTo(message) {
		n.becomeFollower(n.term, 0, now)
	}
}

// defersTo reports whether this pre-candidate abandons its campaign in favour of another one, so that
// concurrent campaigns do not split the votes: the more up-to-date log wins, then the higher id.
func (n *Node) defersTo(other *protocol.ConsensusMessage) bool {
	if n.role != PreCandidate || other.GetTerm() != n.term+1 {
		return false
	}
	sameLog := other.GetLogIndex() == n.log.lastIndex() && other.GetLogTerm() == n.log.lastTerm()
	return !sameLog || other.GetFrom() > n.config.ID
}

// stepVote grants this member's vote of the term to a candidate whose log is up to date. The vote is
// durable before the response is sent.
func (n *Node) stepVote(message *protocol.ConsensusMessage, now time.Time) {
	grant := (n.vote == 0 || n.vote == message.GetFrom()) && (n.role == Follower || n.role == PreCandidate) &&
		n.log.isUpToDate(message.GetLogIndex(), message.GetLogTerm())
	if grant {
		n.becomeFollower(n.term, 0, now)
		n.vote = message.GetFrom()
		n.resetElectionDeadline(now)
	}
	n.send(&protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_VOTE_RESPONSE, To: message.GetFrom(), Reject: !grant,
	})
}

func (n *Node) stepPreVoteResponse(message *protocol.ConsensusMessage, now time.Time) {
	isForThisCampaign := message.GetReject() || message.GetTerm() == n.term+1
	if n.role != PreCandidate || !isForThisCampaign {
		return
	}
	n.votes[message.GetFrom()] = !message.GetReject()
	n.tallyVotes(now)
}

func (n *Node) stepVoteResponse(message *protocol.ConsensusMessage, now time.Time) {
	if n.role != Candidate {
		return
	}
	n.votes[message.GetFrom()] = !message.GetReject()
	n.tallyVotes(now)
}
