package core

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/protocol"
)

// leadership is one uninterrupted period in which this process leads.
type leadership struct {
	// lost is closed when the leadership ends.
	lost chan struct{}
}

// isLeader reports whether both the owner and the replica currently regard this process as the leader.
func (o *ownerLoop) isLeader() bool { return o.leadership.Load() != nil && o.consensus.IsLeader() }

// requireLeader returns an error unless this process currently leads.
func (s *Service) requireLeader() error {
	if !s.owner.isLeader() {
		return controllog.NotLeader()
	}
	return nil
}

// currentLeadership returns the channel that is closed at the end of the current leadership, if this process leads.
func (o *ownerLoop) currentLeadership() (lost <-chan struct{}, isLeader bool) {
	current := o.leadership.Load()
	if current == nil || !o.consensus.IsLeader() {
		return nil, false
	}
	return current.lost, true
}

// remoteLeader returns the leader known to this member, or nil if none is known or this member leads.
func (o *ownerLoop) remoteLeader() *protocol.CoreMember {
	leader := o.consensus.Leader()
	if leader == nil || leader.GetAddress() == "" || leader.GetId() == o.consensus.Status().GetId() {
		return nil
	}
	return leader
}

// observeLeadership detects that the leadership of this process began, ended, or ended and began again since the last
// call.
func (o *ownerLoop) observeLeadership(now time.Time) {
	isLeader, since := o.consensus.IsLeader(), o.consensus.LeaderSince()
	current := o.leadership.Load()
	if current != nil && (!isLeader || !since.Equal(o.leaderSince)) {
		o.endLeadership()
		current = nil
	}
	if current == nil && isLeader {
		o.beginLeadership(now, since)
	}
}

// beginLeadership resets all tables. The reset starts every lease with its full duration, because this leader cannot
// know when its predecessor last renewed them.
func (o *ownerLoop) beginLeadership(now, since time.Time) {
	o.leaderSince = since
	o.nodes.Reset(now)
	o.backEnds.Reset(now)
	o.sequences.Reset()
	o.relay.Reset()
	o.relayingMembers.Reset()
	o.heartbeatMembers.Store(nil)
	o.variants.Reset()
	o.reconciler.Reset()
	o.leadership.Store(&leadership{lost: make(chan struct{})})
	o.machine.leading.Store(true)
	o.metrics.leading.Set(1)
	o.logger.Info("leadership began", "term", o.consensus.Status().GetTerm())
}

func (o *ownerLoop) endLeadership() {
	ended := o.leadership.Swap(nil)
	if ended == nil {
		return
	}
	close(ended.lost)
	o.failDrains()
	o.machine.leading.Store(false)
	o.metrics.leading.Set(0)
	o.logger.Info("leadership ended")
}
