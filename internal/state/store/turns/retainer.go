package turns

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/backoff"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

// Retainer retains turns of the shards of one group. It belongs to the group's goroutine.
type Retainer struct {
	service *Service
	group   *owner.Group
	backoff *backoff.Backoff
}

// AddRetainer adds the retainer of the next group and returns it. Retainers must be added in
// the order of the groups, before the service is used.
func (s *Service) AddRetainer(group *owner.Group, waits *backoff.Backoff) *Retainer {
	retainer := &Retainer{service: s, group: group, backoff: waits}
	s.retainers = append(s.retainers, retainer)
	return retainer
}

// Retainer returns the retainer of the group that owns a shard.
func (s *Service) Retainer(shard uint32) *Retainer { return s.retainers[s.options.Groups.Index(shard)] }

// ServeRetain retains a turn for a proposer and calls reply on the group's goroutine. The
// placement is checked again once the turn is durable: a copy of the shard that was made
// meanwhile under a newer placement may lack the turn.
func (r *Retainer) ServeRetain(request *protocol.KeepTurnRequest, reply func(*protocol.KeepTurnResponse)) {
	table := r.group.Table(request.GetShard())
	answer := func() *protocol.KeepTurnResponse {
		return &protocol.KeepTurnResponse{
			Refusal: table.View.Rejection(request.GetPlacementEpoch()), PlacementEpoch: table.View.Epoch,
		}
	}
	if before := answer(); before.GetRefusal() != notRejected {
		reply(before)
		return
	}
	r.retainWithChain(request.GetShard(), request.GetTurn(), func(retained bool) {
		after := answer()
		if !retained && after.GetRefusal() == notRejected {
			after.Refusal = protocol.ReplicaRefusal_REPLICA_NOT_READY
		}
		reply(after)
	})
}

// retainWithChain retains a turn and calls done on the group's goroutine. A replica that lacks
// the previous turn, because it was unreachable when that one was retained, copies the chain
// first: a majority that includes this replica for the turn must include it for the chain too,
// which is retained for as long. A joining replica receives the chain by the copy of its shard.
func (r *Retainer) retainWithChain(shard uint32, turn *protocol.Turn, done func(retained bool)) {
	table := r.group.Table(shard)
	previous := turnindex.PreviousKey(turn)
	_, found := table.Turns.Get(previous)
	// Writes to a log become durable in their order, so a turn being written is durable before this one.
	hasChain := found || previous.IsZero() || r.group.IsWriting(previous)
	if hasChain || table.View.Role != register.RoleActive {
		r.group.RetainTurn(shard, turn, func() { done(true) })
		return
	}
	view := table.View
	r.service.options.Lifecycle.Go(func() {
		complete := r.service.fetchChain(view, turn)
		r.group.Post(func() {
			if !complete {
				done(false)
				return
			}
			r.group.RetainTurn(shard, turn, func() { done(true) })
		})
	})
}
