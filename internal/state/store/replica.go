package store

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

const notRefused = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// prepare answers a prepare request through reply, on the group's goroutine.
func (g *group) prepare(request *protocol.PrepareRequest, reply func(*protocol.PrepareResponse)) {
	table := g.table(request.GetShard())
	if refusal := table.View.Rejection(request.GetPlacementEpoch()); refusal != notRefused {
		reply(&protocol.PrepareResponse{Refusal: refusal, PlacementEpoch: table.View.Epoch})
		return
	}
	key := shardtable.KeyFromProto(request.GetKey())
	ballot := register.BallotFromProto(request.GetBallot())
	held, found := table.Registers.Get(key)
	if !found {
		if ballot.IsZero() {
			reply(&protocol.PrepareResponse{})
			return
		}
		held = table.Register(key)
	}
	next, answer, changed := held.State.Prepare(ballot)
	if !changed {
		g.whenDurable(held, func() { reply(answer) })
		return
	}
	g.put(table, key, held, next, func() { reply(answer) })
}

// accept answers an accept request through reply, on the group's goroutine.
func (g *group) accept(request *protocol.AcceptRequest, reply func(*protocol.AcceptResponse)) {
	table := g.table(request.GetShard())
	if refusal := table.View.Rejection(request.GetPlacementEpoch()); refusal != notRefused {
		reply(&protocol.AcceptResponse{Refusal: refusal, PlacementEpoch: table.View.Epoch})
		return
	}
	key := shardtable.KeyFromProto(request.GetKey())
	held := table.Register(key)
	next, answer, changed := held.State.Accept(
		register.BallotFromProto(request.GetBallot()), request.GetValue(), register.BallotFromProto(request.GetNextBallot()))
	if !changed {
		g.whenDurable(held, func() { reply(answer) })
		return
	}
	g.put(table, key, held, next, func() { reply(answer) })
}

// learn takes over what another replica accepted.
func (g *group) learn(shard uint32, states []*protocol.RegisterState, done func(learned int)) {
	table := g.table(shard)
	learned, left := 0, 1
	release := func() {
		if left--; left == 0 {
			done(learned)
		}
	}
	for _, message := range states {
		state := register.StateFromProto(message)
		if state.Accepted.IsZero() {
			continue
		}
		key := shardtable.KeyFromProto(message.GetKey())
		held := table.Register(key)
		next, changed := held.State.Learn(state.Accepted, state.Value)
		if changed {
			learned++
			left++
			g.put(table, key, held, next, release)
		}
	}
	release()
}

// dropShard forgets a shard durably, before the store may join it anew.
func (g *group) dropShard(table *shardtable.Table, done func()) {
	table.Clear()
	g.appendRegister(&protocol.StoreRecord{
		Shard: table.View.Shard,
		Body:  &protocol.StoreRecord_Drop{Drop: &protocol.DropShard{}},
	}, done)
}
