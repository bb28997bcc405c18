package statesuite

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

func (p *storeProcess) serve(_ sim.Address, body any, reply func(any)) {
	switch body := body.(type) {
	case *protocol.PrepareRequest:
		p.prepare(body, func(answer *protocol.PrepareResponse) { reply(answer) })
	case *protocol.AcceptRequest:
		p.accept(body, func(answer *protocol.AcceptResponse) { reply(answer) })
	case *protocol.KeepTurnRequest:
		p.serveRetainTurn(body, reply)
	case *protocol.FetchTurnsRequest:
		p.serveFetchTurns(body, reply)
	case *protocol.FetchShardRequest:
		p.serveFetchShard(body, reply)
	case *protocol.LedgerOperation:
		p.serveLedger(body, func(result *protocol.LedgerResult) { reply(result) })
	case listOperation:
		p.serveList(body, reply)
	}
	p.maybeSnapshot()
}

func (p *storeProcess) prepare(request *protocol.PrepareRequest, reply func(*protocol.PrepareResponse)) {
	table := p.table(request.GetShard())
	if reason := p.rejection(table, request.GetPlacementEpoch()); reason != notRejected {
		reply(&protocol.PrepareResponse{Refusal: reason, PlacementEpoch: table.epoch})
		return
	}
	key := keyOf(request.GetKey())
	current := table.entry(key)
	next, answer, changed := current.state.Prepare(register.BallotFromProto(request.GetBallot()))
	if !changed {
		p.whenDurable(current, func() { reply(answer) })
		return
	}
	p.put(table, key, current, next, func() { reply(answer) })
}

func (p *storeProcess) accept(request *protocol.AcceptRequest, reply func(*protocol.AcceptResponse)) {
	table := p.table(request.GetShard())
	if reason := p.rejection(table, request.GetPlacementEpoch()); reason != notRejected {
		reply(&protocol.AcceptResponse{Refusal: reason, PlacementEpoch: table.epoch})
		return
	}
	key := keyOf(request.GetKey())
	current := table.entry(key)
	next, answer, changed := current.state.Accept(
		register.BallotFromProto(request.GetBallot()), request.GetValue(), register.BallotFromProto(request.GetNextBallot()))
	if !changed {
		p.whenDurable(current, func() { reply(answer) })
		return
	}
	p.put(table, key, current, next, func() { reply(answer) })
}

// put replaces a register's state and calls done once it is durable.
func (p *storeProcess) put(table *shardTable, key registerKey, current *entry, state register.State, done func()) {
	current.state = state
	current.unsynced++
	p.committer.append(&protocol.StoreRecord{
		Shard: table.shard, Body: &protocol.StoreRecord_Register{Register: state.ToProto(key.message())},
	}, func() {
		current.unsynced--
		done()
		if current.unsynced > 0 {
			return
		}
		waiting := current.waiting
		current.waiting = nil
		for _, release := range waiting {
			release()
		}
	})
}

func (p *storeProcess) whenDurable(current *entry, done func()) {
	if current.unsynced == 0 {
		done()
		return
	}
	current.waiting = append(current.waiting, done)
}

// retainTurn makes a turn durable on this store.
func (p *storeProcess) retainTurn(table *shardTable, turn *protocol.Turn, done func()) {
	key := turnKey(turn.GetProgram(), turn.GetId())
	if known := table.turns[key]; known != nil {
		if known.durable {
			done()
		} else {
			known.waiting = append(known.waiting, done)
		}
		return
	}
	added := &retainedTurn{turn: turn, waiting: []func(){done}}
	table.turns[key] = added
	p.committer.append(&protocol.StoreRecord{
		Shard: table.shard, Body: &protocol.StoreRecord_Turn{Turn: turn},
	}, func() {
		added.durable = true
		for _, release := range added.waiting {
			release()
		}
		added.waiting = nil
	})
}

func (p *storeProcess) serveRetainTurn(request *protocol.KeepTurnRequest, reply func(any)) {
	table := p.table(request.GetShard())
	if reason := p.rejection(table, request.GetPlacementEpoch()); reason != notRejected {
		reply(&protocol.KeepTurnResponse{Refusal: reason})
		return
	}
	p.retainTurn(table, request.GetTurn(), func() { reply(&protocol.KeepTurnResponse{}) })
}

func (p *storeProcess) serveFetchTurns(request *protocol.FetchTurnsRequest, reply func(any)) {
	table := p.table(request.GetShard())
	if reason := p.rejection(table, request.GetPlacementEpoch()); reason != notRejected {
		reply(&protocol.FetchTurnsResponse{Refusal: reason})
		return
	}
	response := &protocol.FetchTurnsResponse{}
	if retained := table.turns[turnKey(request.GetProgram(), request.GetLastTurn())]; retained != nil && retained.durable {
		response.Turns = append(response.Turns, retained.turn)
	}
	reply(response)
}

// serveFetchShard returns the shard once all of it is durable. Requests of older epochs are rejected from then on.
func (p *storeProcess) serveFetchShard(request *protocol.FetchShardRequest, reply func(any)) {
	table := p.table(request.GetShard())
	if table.epoch != request.GetPlacementEpoch() || table.role != register.RoleActive {
		reply(nil)
		return
	}
	page := p.shardPage(table)
	p.committer.whenDurable(func() { reply(page) })
}

func (p *storeProcess) copyPeriodically() {
	p.environment.After(copyInterval, func() {
		p.copyShards()
		p.copyPeriodically()
	})
}

func (p *storeProcess) copyShards() {
	for _, shard := range sortedKeys(p.shards) {
		table := p.shards[shard]
		if (table.role == register.RoleRebuilding || table.role == register.RoleJoining) && p.needsCopy(table) &&
			!table.copying {
			p.copyShard(table)
		}
	}
}

// needsCopy reports whether the placement still waits for this store to copy the shard.
func (p *storeProcess) needsCopy(table *shardTable) bool {
	for _, replica := range slices.Concat(table.placed.GetCurrent(), table.placed.GetNext()) {
		if replica.GetStore() == p.self.GetName() && replica.GetStorageId() == p.self.GetStorageId() {
			return replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING
		}
	}
	return false
}

// copyShard fetches the shard from a majority of the active replicas, and notifies the core once it is durable here.
func (p *storeProcess) copyShard(table *shardTable) {
	epoch := table.epoch
	if p.suite.options.Mutation == StoreReportsCopiedEarly {
		p.shardCopied(table, epoch)
		return
	}
	table.copying = true
	needed := len(table.placed.GetCurrent())/2 + 1
	copied, left := 0, 0
	finish := func() {
		if left--; left > 0 {
			return
		}
		table.copying = false
		if copied >= needed && table.epoch == epoch {
			p.shardCopied(table, epoch)
		}
	}
	left = 1
	for _, replica := range table.placed.GetCurrent() {
		if replica.GetStore() == p.self.GetName() || replica.GetState() != protocol.ReplicaState_REPLICA_ACTIVE {
			continue
		}
		left++
		request := &protocol.FetchShardRequest{Shard: table.shard, PlacementEpoch: epoch}
		p.endpoint.call(sim.Address(replica.GetStore()), request, peerTimeout, func(answer any) {
			page, answered := answer.(*protocol.FetchShardResponse)
			if !answered || page == nil || table.epoch != epoch {
				finish()
				return
			}
			p.merge(table, page)
			p.committer.whenDurable(func() {
				copied++
				finish()
			})
		})
	}
	finish()
}

func (p *storeProcess) merge(table *shardTable, page *protocol.FetchShardResponse) {
	for _, message := range page.GetRegisters() {
		state := register.StateFromProto(message)
		if state.Accepted.IsZero() {
			continue
		}
		key := keyOf(message.GetKey())
		current := table.entry(key)
		if next, changed := current.state.Learn(state.Accepted, state.Value); changed {
			p.put(table, key, current, next, func() {})
		}
	}
	for _, turn := range page.GetTurns() {
		p.retainTurn(table, turn, func() {})
	}
}

func (p *storeProcess) shardCopied(table *shardTable, epoch uint64) {
	p.suite.counts.copies++
	command := &protocol.Command{Body: &protocol.Command_ShardCopied{ShardCopied: &protocol.ShardCopiedCommand{
		Store: p.self.GetName(), StorageId: p.self.GetStorageId(), Shard: table.shard, Epoch: epoch,
	}}}
	p.link.order(command, coreCallTimeout, func(*protocol.CommandResult) {})
}

func decodeProgram(value []byte) *protocol.ProgramRecord {
	record := &protocol.ProgramRecord{}
	if len(value) == 0 || proto.Unmarshal(value, record) != nil {
		return nil
	}
	return record
}

func decodeCall(value []byte) *protocol.CallRecord {
	record := &protocol.CallRecord{}
	if len(value) == 0 || proto.Unmarshal(value, record) != nil {
		return nil
	}
	return record
}
