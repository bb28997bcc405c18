package store

import (
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/mailbox"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

// unsyncedWrites holds back the answers that show a state of a register which is not durable yet.
type unsyncedWrites struct {
	writes int
	// waiting are called in order; released counts those that were called before them.
	waiting  []func()
	released int
}

// group owns the tables of some shards. All fields are used by its one
// goroutine only; others post commands to its mailbox.
type group struct {
	store     *Store
	mailbox   *mailbox.Mailbox
	shards    map[uint32]*shardtable.Table
	unsynced  map[*shardtable.Register]*unsyncedWrites
	proposals map[shardtable.Key]*proposal
	ballots   *register.BallotGenerator
	random    *rand.Rand
	// proposers holds one copy of each proposer's name, since every register names two.
	proposers map[string]string
	keeping   map[turnindex.Key][]func()
}

func newGroup(store *Store, number int) *group {
	return &group{
		store:     store,
		mailbox:   mailbox.New(),
		shards:    map[uint32]*shardtable.Table{},
		unsynced:  map[*shardtable.Register]*unsyncedWrites{},
		proposals: map[shardtable.Key]*proposal{},
		ballots:   register.NewBallotGenerator(store.proposerName),
		random:    rand.New(rand.NewPCG(store.options.Seed, uint64(number))),
		proposers: map[string]string{},
		keeping:   map[turnindex.Key][]func(){},
	}
}

// ask runs a command on the group's goroutine and waits for what it returns. It
// must not be called by that goroutine. The error is a *StoppedError.
func ask[A any](g *group, command func() A) (A, error) {
	answers := make(chan A, 1)
	g.mailbox.Post(func() { answers <- command() })
	select {
	case answer := <-answers:
		return answer, nil
	case <-g.store.stopped:
		var none A
		return none, &StoppedError{}
	}
}

// table gives the table of a shard, empty when this store holds nothing of it.
func (g *group) table(shard uint32) *shardtable.Table {
	known := g.shards[shard]
	if known == nil {
		known = shardtable.New(shard)
		g.shards[shard] = known
	}
	return known
}

// restore takes one record of the log or snapshot at the start.
func (g *group) restore(record *protocol.StoreRecord) {
	table := g.table(record.GetShard())
	switch body := record.GetBody().(type) {
	case *protocol.StoreRecord_Register:
		table.Register(shardtable.KeyFromProto(body.Register.GetKey())).SetState(g.intern(register.StateFromProto(body.Register)))
	case *protocol.StoreRecord_Drop:
		table.ClearRegisters()
	}
}

// intern shares the names of proposers among all registers.
func (g *group) intern(state register.State) register.State {
	state.Promised.Proposer = g.internName(state.Promised.Proposer)
	state.Accepted.Proposer = g.internName(state.Accepted.Proposer)
	return state
}

func (g *group) internName(name string) string {
	known, found := g.proposers[name]
	if !found {
		g.proposers[name] = name
		return name
	}
	return known
}

// copyRegisters gives the states of all registers for a snapshot.
func (g *group) copyRegisters() []*protocol.StoreRecord {
	var records []*protocol.StoreRecord
	for shard, table := range g.shards {
		for key, held := range table.Registers.All() {
			records = append(records, registerRecord(shard, key, held.State))
		}
	}
	return records
}

func registerRecord(shard uint32, key shardtable.Key, state register.State) *protocol.StoreRecord {
	return &protocol.StoreRecord{
		Shard: shard,
		Body:  &protocol.StoreRecord_Register{Register: state.ToProto(key.ToProto())},
	}
}

// put replaces the state of a register and calls done once it is durable.
func (g *group) put(table *shardtable.Table, key shardtable.Key, held *shardtable.Register, state register.State, done func()) {
	held.SetState(g.intern(state))
	pending := g.unsynced[held]
	if pending == nil {
		pending = &unsyncedWrites{}
		g.unsynced[held] = pending
	}
	pending.writes++
	pending.waiting = append(pending.waiting, done)
	due := pending.released + len(pending.waiting)
	g.appendRegister(registerRecord(table.View.Shard, key, held.State), func() {
		g.synced(held, due)
	})
}

// synced releases the answers that waited for a write of the register.
func (g *group) synced(held *shardtable.Register, due int) {
	pending := g.unsynced[held]
	pending.writes--
	count := due - pending.released
	ready := pending.waiting[:count]
	if pending.writes == 0 {
		ready = pending.waiting
		delete(g.unsynced, held)
	} else {
		pending.waiting = pending.waiting[count:]
		pending.released = due
	}
	for _, done := range ready {
		done()
	}
}

// whenDurable calls done once the state that is shown now is durable.
func (g *group) whenDurable(held *shardtable.Register, done func()) {
	if pending := g.unsynced[held]; pending != nil {
		pending.waiting = append(pending.waiting, done)
		return
	}
	done()
}

// appendRegister writes a record to the register log and calls done on the
// group's goroutine once it is durable. A failed log ends the store.
func (g *group) appendRegister(record *protocol.StoreRecord, done func()) {
	encoded, err := records.Encode(record)
	if err != nil {
		g.store.fail(err)
		return
	}
	g.store.metrics.written.WithLabelValues(datafolder.RegisterLog).Add(float64(len(encoded)))
	g.store.registerCommits.AppendAsync([][]byte{encoded}, func(_ []storage.Position, err error) {
		if err != nil {
			g.store.fail(&datafolder.LogError{Log: datafolder.RegisterLog, Cause: err})
			return
		}
		g.mailbox.Post(done)
	})
}

// collectRegisters removes registers that nobody may ask for any more.
func (g *group) collectRegisters(now time.Time) error {
	inUse := func(key shardtable.Key, register *shardtable.Register) bool {
		return g.unsynced[register] != nil || g.proposals[key] != nil
	}
	for _, table := range g.shards {
		if err := table.RemoveExpiredRegisters(now, inUse); err != nil {
			return err
		}
	}
	return nil
}
