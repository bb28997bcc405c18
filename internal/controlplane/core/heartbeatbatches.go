package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// relayingTable is what the leader knows of the members that send it batches of heartbeats. It is part of the owner.
type relayingTable struct {
	// heard is when the last batch of a member came.
	heard map[uint64]time.Time
}

func newRelayingTable() *relayingTable { return &relayingTable{heard: map[uint64]time.Time{}} }

func (t *relayingTable) reset() { clear(t.heard) }

// up lists those of the members that sent a batch a short while ago and have an address that back ends can be told.
func (t *relayingTable) up(members []*protocol.CoreMember, now time.Time) []*protocol.CoreMember {
	var up []*protocol.CoreMember
	for _, member := range members {
		heard, known := t.heard[member.GetId()]
		if known && now.Sub(heard) <= maxRelayAge && member.GetHttpAddress() != "" {
			up = append(up, member)
		}
	}
	return up
}

// renewBackEnds renews the leases of back ends whose heartbeats another member acknowledged.
func (s *Service) renewBackEnds(ctx context.Context, request *protocol.RenewBackEndsRequest) (*protocol.RenewBackEndsResponse, error) {
	if len(request.GetHeard()) > maxHeartbeats {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "too many heartbeats at once", failure.WithPath("heard"))
	}
	var answer *protocol.RenewBackEndsResponse
	refused := notLeaderFailure()
	asked := s.owner.ask(ctx, func(now time.Time) {
		if s.owner.leads() {
			answer, refused = s.owner.takeBatch(request, now)
		}
	})
	if !asked {
		return nil, contextFailure(ctx)
	}
	return answer, refused
}

// takeBatch renews leases at the leader. Only a member of the core is answered: one that was removed must not go on
// acknowledging heartbeats by a view that it gets no more news of.
func (o *owner) takeBatch(request *protocol.RenewBackEndsRequest, now time.Time) (*protocol.RenewBackEndsResponse, error) {
	members := o.consensus.Status().GetConfiguration().GetMembers()
	if !hasMember(members, request.GetMember()) {
		o.metrics.heartbeatBatches.WithLabelValues("refused").Inc()
		return nil, failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN, "the sender is no member of the core", failure.WithPath("member"))
	}
	o.metrics.heartbeatBatches.WithLabelValues("received").Inc()
	o.relaying.heard[request.GetMember()] = now
	answer := &protocol.RenewBackEndsResponse{Members: o.observeRelaying(now)}
	changes := &backEndChanges{view: o.machine.View()}
	for _, heard := range request.GetHeard() {
		if !o.takeHeard(heard, changes, now) {
			answer.Unknown = append(answer.Unknown, heard.GetId())
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
func (o *owner) takeHeard(heard *protocol.HeardBackEnd, changes *backEndChanges, now time.Time) bool {
	id, incarnation := heard.GetId(), heard.GetIncarnation()
	if o.late(id, incarnation, heard.GetSequence(), now) {
		o.metrics.backEndLeases.WithLabelValues("late").Inc()
		return true
	}
	held := changes.view.BackEnd(id)
	if held == nil || held.GetIncarnation() != incarnation {
		return false
	}
	if !o.backEnds.renew(id, incarnation, now.Add(-time.Duration(heard.GetAgeMillis())*time.Millisecond)) {
		return false
	}
	o.metrics.backEndLeases.WithLabelValues("renewed").Inc()
	return !changes.since(heard.GetBackEndsVersion(), id)
}

// observeRelaying brings up to date which members can be named to back ends.
func (o *owner) observeRelaying(now time.Time) []*protocol.CoreMember {
	up := o.relaying.up(o.consensus.Status().GetConfiguration().GetMembers(), now)
	o.nameMembers(up)
	return up
}

// backEndChanges answers for one batch which back ends changed after a version, looking each version up once.
type backEndChanges struct {
	view      *controlstate.View
	byVersion map[uint64]changedBackEnds
}

// changedBackEnds are the back ends that changed after a version, all of them when that is not remembered any more.
type changedBackEnds struct {
	ids        map[string]bool
	remembered bool
}

func (c *backEndChanges) since(version uint64, id string) bool {
	changed, known := c.byVersion[version]
	if !known {
		changed.ids, changed.remembered = c.view.BackEndsChangedSince(version)
		if c.byVersion == nil {
			c.byVersion = map[uint64]changedBackEnds{}
		}
		c.byVersion[version] = changed
	}
	return !changed.remembered || changed.ids[id]
}
