package consensus

import (
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// electionSpread is the part of the election timeout by which deadlines are spread, so that voters rarely stand at once.
	electionJitterDivisor = 2
	// retryShare is the part of the election timeout after which a failed election is tried again, at the earliest.
	retryDivisor = 4
	// quickRetries is the number of failed elections after which a member waits for whole timeouts
	// again, as one that the others do not hear or do not want should.
	maxQuickRetries = 4
	// resumeShare is the part of the election timeout after which a member that led before its restart asks again.
	// It is short, since others that restarted with it vote for nobody else yet and no ties come about.
	resumeDivisor = 8
)

// resetElectionDeadline waits for an election timeout and a little more.
func (n *Node) resetElectionDeadline(now time.Time) {
	n.electionDeadline = now.Add(n.config.ElectionTimeout + n.jitter(n.config.ElectionTimeout/electionJitterDivisor))
}

// resetRetryDeadline waits for the answers to an election. Nobody leads then, as far as this member
// knows, so that after a tie it need not wait for a whole election timeout.
func (n *Node) resetRetryDeadline(now time.Time) {
	switch {
	case n.resumesLeadership(now):
		n.electionDeadline = now.Add(n.config.ElectionTimeout / resumeDivisor)
	case n.failedElections >= maxQuickRetries:
		n.resetElectionDeadline(now)
	default:
		n.electionDeadline = now.Add(n.config.ElectionTimeout/retryDivisor + n.jitter(n.config.ElectionTimeout/electionJitterDivisor))
	}
}

// resumesLeadership reports whether this member led before its restart and other members that restarted
// with it may still be bound by their promise to it.
func (n *Node) resumesLeadership(now time.Time) bool {
	return n.leaseLeader == n.config.ID && now.Before(n.rejectVotesUntil)
}

func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.config.Random.Int64N(int64(limit)))
}

// hearLeader notes a message of the leader of this term: the promise not to vote starts anew. It is durable, with
// the leader that it was given to, before the message is answered.
func (n *Node) observeLeader(leader uint64, now time.Time) {
	n.leader, n.leaseLeader = leader, leader
	n.failedElections = 0
	n.rejectVotesUntil = now.Add(n.config.ElectionTimeout)
	n.resetElectionDeadline(now)
}

// refusesVotesTo reports whether a lease may rest on this node that the candidate's election would break. A leader
// that stands for election has left the term that it led for good, so the promise given to it does not bind against itself.
func (n *Node) rejectsVotesFrom(candidate uint64, now time.Time) bool {
	if n.role == Leader {
		return now.Before(n.LeaseEnds(now))
	}
	return candidate != n.leaseLeader && now.Before(n.rejectVotesUntil)
}

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

// campaign stands for election, as PreCandidate without a new term or as Candidate with one.
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

func (n *Node) tallyVotes(now time.Time) {
	voters := Voters(n.configuration())
	granted, refused := 0, 0
	for _, voter := range voters {
		if grant, answered := n.votes[voter]; grant {
			granted++
		} else if answered {
			refused++
		}
	}
	quorum := Quorum(len(voters))
	switch {
	case granted >= quorum && n.role == PreCandidate:
		n.campaign(Candidate, now)
	case granted >= quorum:
		n.becomeLeader(now)
	case refused > len(voters)-quorum:
		n.becomeFollower(n.term, 0, now)
	}
}

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

func (n *Node) stepPreVote(message *protocol.ConsensusMessage, now time.Time) {
	grant := message.GetTerm() > n.term && !n.rejectsVotesFrom(message.GetFrom(), now) &&
		n.log.isUpToDate(message.GetLogIndex(), message.GetLogTerm())
	answer := &protocol.ConsensusMessage{
		Kind: protocol.ConsensusMessageKind_PRE_VOTE_RESPONSE, To: message.GetFrom(), Reject: !grant,
	}
	if grant {
		// The term asked for, so that the pre-candidate knows which question was answered.
		answer.Term = message.GetTerm()
	}
	n.send(answer)
	if grant && n.defersTo(message) {
		n.becomeFollower(n.term, 0, now)
	}
}

// yieldsTo reports whether this pre-candidate gives way to another one, so that two who stand at
// once do not split the votes: to the longer log, and of equal logs to the higher id.
func (n *Node) defersTo(rival *protocol.ConsensusMessage) bool {
	if n.role != PreCandidate || rival.GetTerm() != n.term+1 {
		return false
	}
	same := rival.GetLogIndex() == n.log.lastIndex() && rival.GetLogTerm() == n.log.lastTerm()
	return !same || rival.GetFrom() > n.config.ID
}

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
	answersThis := message.GetReject() || message.GetTerm() == n.term+1
	if n.role != PreCandidate || !answersThis {
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
