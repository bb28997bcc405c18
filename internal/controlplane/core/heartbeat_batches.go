package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// relayingTable is what the leader knows of the members that send it batches of heartbeats. It is part of the owner.
type relayingMembers struct {
	// heard is when the last batch of a member came.
	lastBatch map[uint64]time.Time
}

func newRelayingMembers() *relayingMembers {
	return &relayingMembers{lastBatch: map[uint64]time.Time{}}
}

func (t *relayingMembers) reset() { clear(t.lastBatch) }

// up lists those of the members that sent a batch a short while ago and have an address that back ends can be told.
func (t *relayingMembers) up(members []*protocol.CoreMember, now time.Time) []*protocol.CoreMember {
	var up []*protocol.CoreMember
	for _, member := range members {
		lastBatch, known := t.lastBatch[member.GetId()]
		if known && now.Sub(lastBatch) <= maxRelayAge && member.GetHttpAddress() != "" {
			up = append(up, member)
		}
	}
	return up
}

// renewBackEnds renews the leases of back ends whose heartbeats another member acknowledged.
func (s *Service) renewBackEnds(ctx context.Context, request *protocol.RenewBackEndsRequest) (*protocol.RenewBackEndsResponse, error) {
	if len(request.GetHeard()) > maxHeartbeatBatch {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "too many heartbeats at once", failure.WithPath("heard"))
	}
	var answer *protocol.RenewBackEndsResponse
	err := controllog.NotLeader()
	executed := s.owner.execute(ctx, func(now time.Time) {
		if s.owner.isLeader() {
			answer, err = s.owner.mergeBatch(request, now)
		}
	})
	if !executed {
		return nil, controllog.Interrupted(ctx)
	}
	return answer, err
}

// takeBatch renews leases at the leader. Only a member of the core is answered: one that was removed must not go on
// acknowledging heartbeats by a view that it gets no more news of.
func (o *owner) mergeBatch(request *protocol.RenewBackEndsRequest, now time.Time) (*protocol.RenewBackEndsResponse, error) {
	members := o.consensus.Status().GetConfiguration().GetMembers()
	if !hasMember(members, request.GetMember()) {
		o.metrics.heartbeatBatches.WithLabelValues("refused").Inc()
		return nil, failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN, "the sender is no member of the core", failure.WithPath("member"))
	}
	o.metrics.heartbeatBatches.WithLabelValues("received").Inc()
	o.relayingMembers.lastBatch[request.GetMember()] = now
	answer := &protocol.RenewBackEndsResponse{Members: o.updateHeartbeatMembers(now)}
	changes := &backEndChanges{view: o.machine.View()}
	for _, heartbeat := range request.GetHeard() {
		if !o.mergeHeartbeat(heartbeat, changes, now) {
			answer.Unknown = append(answer.Unknown, heartbeat.GetId())
		}
	}
	return answer, nil
}

func hasMember(members []*protocol.CoreMember, id uint64) bool {
	for _, member := range members {
		if member.GetId() == id {
			return true
		}
	}
	return false
}

// takeHeard renews the lease of a back end, counted from when the member heard it. It reports false when the member must
// bring its next announcement to the leader: the back end is not there, is being removed, or was changed since the view that
// the member compared it with.
func (o *owner) mergeHeartbeat(heartbeat *protocol.HeardBackEnd, changes *backEndChanges, now time.Time) bool {
	id, incarnation := heartbeat.GetId(), heartbeat.GetIncarnation()
	if o.isOutdated(id, incarnation, heartbeat.GetSequence(), now) {
		o.metrics.backEndLeases.WithLabelValues("late").Inc()
		return true
	}
	current := changes.view.BackEnd(id)
	if current == nil || current.GetIncarnation() != incarnation {
		return false
	}
	if !o.backEnds.Renew(leases.BackEndHolder(current), now.Add(-time.Duration(heartbeat.GetAgeMillis())*time.Millisecond)) {
		return false
	}
	o.metrics.backEndLeases.WithLabelValues("renewed").Inc()
	return !changes.changedSince(heartbeat.GetBackEndsVersion(), id)
}

// observeRelaying brings up to date which members can be named to back ends.
func (o *owner) updateHeartbeatMembers(now time.Time) []*protocol.CoreMember {
	up := o.relayingMembers.up(o.consensus.Status().GetConfiguration().GetMembers(), now)
	o.setHeartbeatMembers(up)
	return up
}

// backEndChanges answers for one batch which back ends changed after a version, looking each version up once.
type backEndChanges struct {
	view      *controlstate.View
	byVersion map[uint64]changedBackEnds
}

// changedBackEnds are the back ends that changed after a version, all of them when that is not remembered any more.
type changedBackEnds struct {
	ids       map[string]bool
	inHistory bool
}

func (c *backEndChanges) changedSince(version uint64, id string) bool {
	changed, known := c.byVersion[version]
	if !known {
		changed.ids, changed.inHistory = c.view.BackEndsChangedSince(version)
		if c.byVersion == nil {
			c.byVersion = map[uint64]changedBackEnds{}
		}
		c.byVersion[version] = changed
	}
	return !changed.inHistory || changed.ids[id]
}
