package core

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/protocol"
)

// leadership is one unbroken time in which this process leads.
type leadership struct {
	// lost is closed when it ends.
	lost chan struct{}
}

// isLeader reports whether this process leads at this moment, as the owner and the replica both see it.
func (o *ownerLoop) isLeader() bool { return o.leadership.Load() != nil && o.consensus.IsLeader() }

// requireLeader fails unless this process leads at this moment.
func (s *Service) requireLeader() error {
	if !s.owner.isLeader() {
		return controllog.NotLeader()
	}
	return nil
}

// currentLeadership returns the channel that is closed at the end of the present leadership, if this process leads.
func (o *ownerLoop) currentLeadership() (lost <-chan struct{}, isLeader bool) {
	current := o.leadership.Load()
	if current == nil || !o.consensus.IsLeader() {
		return nil, false
	}
	return current.lost, true
}

// remoteLeader is the leader as far as this member knows; nil when there is none, or this member leads.
func (o *ownerLoop) remoteLeader() *protocol.CoreMember {
	leader := o.consensus.Leader()
	if leader == nil || leader.GetAddress() == "" || leader.GetId() == o.consensus.Status().GetId() {
		return nil
	}
	return leader
}

// observeLeadership detects that leadership began, ended, or ended and began again since the last call.
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

// beginLeadership resets all tables. That gives every lease its full duration, since this leader does not know when
// the one before it renewed them.
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
