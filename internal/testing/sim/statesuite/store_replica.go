package statesuite

import (
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
		p.serveKeep(body, reply)
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
	if refusal := p.refusal(table, request.GetPlacementEpoch()); refusal != notRefused {
		reply(&protocol.PrepareResponse{Refusal: refusal, PlacementEpoch: table.epoch})
		return
	}
	key := keyOf(request.GetKey())
	held := table.entry(key)
	next, answer, changed := held.state.Prepare(register.BallotFromProto(request.GetBallot()))
	if !changed {
		p.whenDurable(held, func() { reply(answer) })
		return
	}
	p.put(table, key, held, next, func() { reply(answer) })
}

func (p *storeProcess) accept(request *protocol.AcceptRequest, reply func(*protocol.AcceptResponse)) {
	table := p.table(request.GetShard())
	if refusal := p.refusal(table, request.GetPlacementEpoch()); refusal != notRefused {
		reply(&protocol.AcceptResponse{Refusal: refusal, PlacementEpoch: table.epoch})
		return
	}
	key := keyOf(request.GetKey())
	held := table.entry(key)
	next, answer, changed := held.state.Accept(
		register.BallotFromProto(request.GetBallot()), request.GetValue(), register.BallotFromProto(request.GetNextBallot()))
	if !changed {
		p.whenDurable(held, func() { reply(answer) })
		return
	}
	p.put(table, key, held, next, func() { reply(answer) })
}

// put replaces a register's state and calls done once it is durable.
func (p *storeProcess) put(table *shardTable, key registerKey, held *entry, state register.State, done func()) {
	held.state = state
	held.unsynced++
	p.committer.append(&protocol.StoreRecord{
		Shard: table.shard, Body: &protocol.StoreRecord_Register{Register: state.ToProto(key.message())},
	}, func() {
		held.unsynced--
		done()
		if held.unsynced > 0 {
			return
		}
		waiting := held.waiting
		held.waiting = nil
		for _, release := range waiting {
			release()
		}
	})
}

func (p *storeProcess) whenDurable(held *entry, done func()) {
	if held.unsynced == 0 {
		done()
		return
	}
	held.waiting = append(held.waiting, done)
}

// keepTurn makes a turn durable here.
func (p *storeProcess) keepTurn(table *shardTable, turn *protocol.Turn, done func()) {
	key := turnKey(turn.GetProgram(), turn.GetId())
	if known := table.turns[key]; known != nil {
		if known.durable {
			done()
		} else {
			known.waiting = append(known.waiting, done)
		}
		return
	}
	kept := &keptTurn{turn: turn, waiting: []func(){done}}
	table.turns[key] = kept
	p.committer.append(&protocol.StoreRecord{
		Shard: table.shard, Body: &protocol.StoreRecord_Turn{Turn: turn},
	}, func() {
		kept.durable = true
		for _, release := range kept.waiting {
			release()
		}
		kept.waiting = nil
	})
}

func (p *storeProcess) serveKeep(request *protocol.KeepTurnRequest, reply func(any)) {
	table := p.table(request.GetShard())
	if refusal := p.refusal(table, request.GetPlacementEpoch()); refusal != notRefused {
		reply(&protocol.KeepTurnResponse{Refusal: refusal})
		return
	}
	p.keepTurn(table, request.GetTurn(), func() { reply(&protocol.KeepTurnResponse{}) })
}

func (p *storeProcess) serveFetchTurns(request *protocol.FetchTurnsRequest, reply func(any)) {
	table := p.table(request.GetShard())
	if refusal := p.refusal(table, request.GetPlacementEpoch()); refusal != notRefused {
		reply(&protocol.FetchTurnsResponse{Refusal: refusal})
		return
	}
	found := &protocol.FetchTurnsResponse{}
	if kept := table.turns[turnKey(request.GetProgram(), request.GetLastTurn())]; kept != nil && kept.durable {
		found.Turns = append(found.Turns, kept.turn)
	}
	reply(found)
}

// serveFetchShard copies the shard once all that it shows is durable. From then on requests of older epochs are refused.
func (p *storeProcess) serveFetchShard(request *protocol.FetchShardRequest, reply func(any)) {
	table := p.table(request.GetShard())
	if table.epoch != request.GetPlacementEpoch() || table.role != register.RoleActive {
		reply(nil)
		return
	}
	page := p.page(table)
	p.committer.quiesce(func() { reply(page) })
}

func (p *storeProcess) copyLater() {
	p.environment.After(copyInterval, func() {
		p.copyShards()
		p.copyLater()
	})
}

func (p *storeProcess) copyShards() {
	for _, shard := range sortedKeys(p.shards) {
		table := p.shards[shard]
		if (table.role == register.RoleRebuilding || table.role == register.RoleJoining) && p.needsCopy(table) && !table.copying {
			p.copyShard(table)
		}
	}
}

// needsCopy says whether the placement still waits for this store's copy.
func (p *storeProcess) needsCopy(table *shardTable) bool {
	for _, replica := range append(table.placed.GetCurrent()[:len(table.placed.GetCurrent()):len(table.placed.GetCurrent())], table.placed.GetNext()...) {
		if replica.GetStore() == p.self.GetName() && replica.GetStorageId() == p.self.GetStorageId() {
			return replica.GetState() == protocol.ReplicaState_REPLICA_REBUILDING
		}
	}
	return false
}

// copyShard fetches the shard from a majority of the replicas in force, and tells the core once it is durable here.
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
		p.endpoint.call(sim.Address(replica.GetStore()), request, peerPatience, func(answer any) {
			page, answered := answer.(*protocol.FetchShardResponse)
			if !answered || page == nil || table.epoch != epoch {
				finish()
				return
			}
			p.learn(table, page)
			p.committer.quiesce(func() {
				copied++
				finish()
			})
		})
	}
	finish()
}

func (p *storeProcess) learn(table *shardTable, page *protocol.FetchShardResponse) {
	for _, message := range page.GetRegisters() {
		state := register.StateFromProto(message)
		if state.Accepted.IsZero() {
			continue
		}
		key := keyOf(message.GetKey())
		held := table.entry(key)
		if next, changed := held.state.Learn(state.Accepted, state.Value); changed {
			p.put(table, key, held, next, func() {})
		}
	}
	for _, turn := range page.GetTurns() {
		p.keepTurn(table, turn, func() {})
	}
}

func (p *storeProcess) shardCopied(table *shardTable, epoch uint64) {
	p.suite.counts.copies++
	command := &protocol.Command{Body: &protocol.Command_ShardCopied{ShardCopied: &protocol.ShardCopiedCommand{
		Store: p.self.GetName(), StorageId: p.self.GetStorageId(), Shard: table.shard, Epoch: epoch,
	}}}
	p.link.order(command, coreCallPatience, func(*protocol.CommandResult) {})
}

func decodeProgram(value []byte) *protocol.ProgramRecord {
	if len(value) == 0 {
		return nil
	}
	record := &protocol.ProgramRecord{}
	if proto.Unmarshal(value, record) != nil {
		return nil
	}
	return record
}

func decodeCall(value []byte) *protocol.CallRecord {
	if len(value) == 0 {
		return nil
	}
	record := &protocol.CallRecord{}
	if proto.Unmarshal(value, record) != nil {
		return nil
	}
	return record
}
