package owner

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/storage"
)

// notRejected is the rejection of a response that accepts the request.
const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

// unsyncedWrites delays the responses that show a state of a register which is not durable yet.
type unsyncedWrites struct {
	// inFlight counts the writes that are not durable.
	inFlight int
	// waiting are called in order; released counts those that were called before them.
	waiting  []func()
	released int
}

// Prepare processes a prepare request and calls reply on the group's goroutine.
func (g *Group) Prepare(request *protocol.PrepareRequest, reply func(*protocol.PrepareResponse)) {
	table := g.Table(request.GetShard())
	if rejection := table.View.Rejection(request.GetPlacementEpoch()); rejection != notRejected {
		reply(&protocol.PrepareResponse{Refusal: rejection, PlacementEpoch: table.View.Epoch})
		return
	}
	key := shardtable.KeyFromProto(request.GetKey())
	ballot := register.BallotFromProto(request.GetBallot())
	entry, found := table.Registers.Get(key)
	if !found {
		if ballot.IsZero() {
			reply(&protocol.PrepareResponse{})
			return
		}
		entry = table.Register(key)
	}
	next, answer, changed := entry.State.Prepare(ballot)
	if !changed {
		g.whenDurable(entry, func() { reply(answer) })
		return
	}
	g.put(table, key, entry, next, func() { reply(answer) })
}

// Accept processes an accept request and calls reply on the group's goroutine.
func (g *Group) Accept(request *protocol.AcceptRequest, reply func(*protocol.AcceptResponse)) {
	table := g.Table(request.GetShard())
	if rejection := table.View.Rejection(request.GetPlacementEpoch()); rejection != notRejected {
		reply(&protocol.AcceptResponse{Refusal: rejection, PlacementEpoch: table.View.Epoch})
		return
	}
	key := shardtable.KeyFromProto(request.GetKey())
	entry := table.Register(key)
	next, answer, changed := entry.State.Accept(
		register.BallotFromProto(request.GetBallot()), request.GetValue(), register.BallotFromProto(request.GetNextBallot()))
	if !changed {
		g.whenDurable(entry, func() { reply(answer) })
		return
	}
	g.put(table, key, entry, next, func() { reply(answer) })
}

// Learn adopts values that another replica accepted. Once all changes are durable it calls
// done with the number of registers that changed.
func (g *Group) Learn(shard uint32, states []*protocol.RegisterState, done func(learned int)) {
	table := g.Table(shard)
	learned, pending := 0, 1
	release := func() {
		if pending--; pending == 0 {
			done(learned)
		}
	}
	for _, message := range states {
		state := register.StateFromProto(message)
		if state.Accepted.IsZero() {
			continue
		}
		key := shardtable.KeyFromProto(message.GetKey())
		entry := table.Register(key)
		next, changed := entry.State.Learn(state.Accepted, state.Value)
		if changed {
			learned++
			pending++
			g.put(table, key, entry, next, release)
		}
	}
	release()
}

// Put replaces the state of a register and calls done once it is durable.
func (g *Group) Put(shard uint32, key shardtable.Key, state register.State, done func()) {
	table := g.Table(shard)
	g.put(table, key, table.Register(key), state, done)
}

func (g *Group) put(
	table *shardtable.Table, key shardtable.Key, entry *shardtable.Register, state register.State, done func(),
) {
	entry.SetState(g.intern(state))
	writes := g.unsynced[entry]
	if writes == nil {
		writes = &unsyncedWrites{}
		g.unsynced[entry] = writes
	}
	writes.inFlight++
	writes.waiting = append(writes.waiting, done)
	due := writes.released + len(writes.waiting)
	g.appendRegister(registerRecord(table.View.Shard, key, entry.State), func() { g.synced(entry, due) })
}

// synced releases the responses that waited for a write of the register. The responses of a register are numbered from
// its first unsynced write on, and syncs of one log complete in the order of its writes: a sync releases the responses
// up to its own write (due); the last write in flight releases all, including those that whenDurable added.
func (g *Group) synced(entry *shardtable.Register, due int) {
	writes := g.unsynced[entry]
	writes.inFlight--
	count := due - writes.released
	ready := writes.waiting[:count]
	if writes.inFlight == 0 {
		ready = writes.waiting
		delete(g.unsynced, entry)
	} else {
		writes.waiting = writes.waiting[count:]
		writes.released = due
	}
	for _, done := range ready {
		done()
	}
}

// whenDurable calls done once the current state of the register is durable.
func (g *Group) whenDurable(entry *shardtable.Register, done func()) {
	if writes := g.unsynced[entry]; writes != nil {
		writes.waiting = append(writes.waiting, done)
		return
	}
	done()
}

// appendRegister writes a record to the register log and calls done on the group's goroutine
// once it is durable. A failed log stops the store.
func (g *Group) appendRegister(record *protocol.StoreRecord, done func()) {
	encoded, err := records.Encode(record)
	if err != nil {
		g.options.Fail(err)
		return
	}
	g.options.Written(datafolder.RegisterLog, len(encoded))
	g.logs.Registers.AppendAsync([][]byte{encoded}, func(_ []storage.Position, err error) {
		if err != nil {
			g.options.Fail(&datafolder.LogError{Log: datafolder.RegisterLog, Cause: err})
			return
		}
		g.Post(done)
	})
}

// Load applies one record of the register log or of its snapshot. It is called before Run.
func (g *Group) Load(record *protocol.StoreRecord) {
	table := g.Table(record.GetShard())
	switch body := record.GetBody().(type) {
	case *protocol.StoreRecord_Register:
		key := shardtable.KeyFromProto(body.Register.GetKey())
		table.Register(key).SetState(g.intern(register.StateFromProto(body.Register)))
	case *protocol.StoreRecord_Drop:
		table.ClearRegisters()
	}
}

// RegisterRecords returns the states of all registers, for a snapshot. It does not copy values.
func (g *Group) RegisterRecords() []*protocol.StoreRecord {
	var stored []*protocol.StoreRecord
	for shard, table := range g.tables {
		for key, entry := range table.Registers.All() {
			stored = append(stored, registerRecord(shard, key, entry.State))
		}
	}
	return stored
}

func registerRecord(shard uint32, key shardtable.Key, state register.State) *protocol.StoreRecord {
	return &protocol.StoreRecord{
		Shard: shard,
		Body:  &protocol.StoreRecord_Register{Register: state.ToProto(key.ToProto())},
	}
}

// intern replaces the names of proposers by copies that all registers share.
func (g *Group) intern(state register.State) register.State {
	state.Promised.Proposer = g.internName(state.Promised.Proposer)
	state.Accepted.Proposer = g.internName(state.Accepted.Proposer)
	return state
}

func (g *Group) internName(name string) string {
	interned, found := g.proposers[name]
	if !found {
		g.proposers[name] = name
		return name
	}
	return interned
}
