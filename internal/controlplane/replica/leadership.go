package replica

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
)

// publish records changes of leadership and stores the view that other goroutines read.
func (o *ownerLoop) publish() {
	now, status := o.now(), o.node.Status()
	leaseEnds := o.node.LeaseEnds(now)
	o.trackLeadership(&status)
	hasLease := now.Before(leaseEnds)
	hasAppliedAll := status.Applied >= status.TermStart
	if status.Role == consensus.Leader && o.leadingSince.IsZero() && hasAppliedAll && hasLease {
		o.leadingSince = now
	}
	if status.Leader != 0 {
		o.lastLeaderContact = now
	}
	o.finishLeadershipTransfers(&status)
	o.replica.metrics.observe(&status)
	o.replica.view.Store(&view{
		clusterID: o.clusterID, status: status, leaseEnds: leaseEnds,
		leadingSince: o.leadingSince, lastLeaderContact: o.lastLeaderContact,
		leaderAddress: o.leaderAddress(&status), leaderKnown: o.leaderSignal.observe(status.Leader != 0),
	})
}

// trackLeadership records the end and the start of this member's leadership. Both can happen in one iteration
// of the owner loop.
func (o *ownerLoop) trackLeadership(status *consensus.Status) {
	isLeader := status.Role == consensus.Leader
	isNewTerm := status.Term != o.leadingTerm
	if !isLeader || isNewTerm {
		o.endLeadership(status.Role)
		o.waiters.leadershipLost(o.leadingTerm, o.replica.notLeader())
	}
	o.wasLeader = isLeader
	if isLeader && isNewTerm {
		o.leadingTerm = status.Term
		o.replica.metrics.leaderships.Inc()
		o.replica.logInfo("became leader", "term", status.Term)
	}
}

// endLeadership drops the queued messages of a leader that steps down: its old heartbeats would make their
// receivers reject votes for the next leader.
func (o *ownerLoop) endLeadership(role consensus.Role) {
	o.leadingSince = time.Time{}
	if o.wasLeader && role == consensus.Follower {
		o.transport.Purge()
	}
	o.wasLeader = false
}

// leaderAddress returns the newest known address of the leader, or an empty string.
func (o *ownerLoop) leaderAddress(status *consensus.Status) string {
	if status.Leader == status.ID {
		return o.replica.self.GetAddress()
	}
	return o.transport.Address(status.Leader)
}

// leaderSignal notifies goroutines that wait for a leader. It belongs to the owner goroutine.
type leaderSignal struct {
	channel   chan struct{}
	hasLeader bool
}

// observe records whether a leader is known and returns the channel that is closed while one is known.
func (s *leaderSignal) observe(known bool) <-chan struct{} {
	switch {
	case s.channel == nil || s.hasLeader && !known:
		s.channel = make(chan struct{})
		if known {
			close(s.channel)
		}
	case known && !s.hasLeader:
		close(s.channel)
	}
	s.hasLeader = known
	return s.channel
}
