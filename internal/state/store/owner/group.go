package owner

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/state/store/mailbox"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

// Log makes records durable. done is called on another goroutine; after an error the log
// accepts no further records.
type Log interface {
	AppendAsync(records [][]byte, done func([]storage.Position, error))
}

// Logs are the logs that a group writes to.
type Logs struct {
	Registers Log
	Turns     Log
}

// Options configure a Group. All are required.
type Options struct {
	// Segments is shared by all groups.
	Segments *turnindex.SegmentExpiry
	// Stopped is closed when the store stops.
	Stopped <-chan struct{}
	// Fail stops the store after an unrecoverable error.
	Fail func(error)
	// Written counts the bytes of records appended to a log, by the log's name.
	Written func(log string, bytes int)
}

// Group owns the tables of some shards. Only the goroutine that calls Run accesses its fields;
// other goroutines use Post and Call. Methods may be called by commands of the group only,
// unless their comments allow any goroutine.
type Group struct {
	options Options
	mailbox *mailbox.Mailbox
	logs    Logs
	tables  map[uint32]*shardtable.Table
	// unsynced contains the registers whose newest state is not durable yet.
	unsynced map[*shardtable.Register]*unsyncedWrites
	// unsyncedTurns contains the callbacks that wait for each turn that is being written.
	unsyncedTurns map[turnindex.Key][]func()
	// proposers interns the names of proposers, since every register contains two of them.
	proposers map[string]string
}

// NewGroup returns a group without tables. Before Run, the goroutine that created the group
// may load stored records into it.
func NewGroup(options Options) *Group {
	return &Group{
		options:       options,
		mailbox:       mailbox.New(),
		tables:        map[uint32]*shardtable.Table{},
		unsynced:      map[*shardtable.Register]*unsyncedWrites{},
		unsyncedTurns: map[turnindex.Key][]func(){},
		proposers:     map[string]string{},
	}
}

// Run executes the group's commands until Close.
func (g *Group) Run(logs Logs) {
	g.logs = logs
	g.mailbox.Run()
}

// Post queues a command and does not wait. Any goroutine may call it.
func (g *Group) Post(command func()) { g.mailbox.Post(command) }

// Close ends Run. Any goroutine may call it.
func (g *Group) Close() { g.mailbox.Close() }

// Call runs a command on the group's goroutine and returns its result. That goroutine itself
// must not use Call, which would deadlock. The error is a *lifecycle.StoppedError.
func Call[A any](g *Group, command func() A) (A, error) {
	answers := make(chan A, 1)
	g.Post(func() { answers <- command() })
	select {
	case answer := <-answers:
		return answer, nil
	case <-g.options.Stopped:
		var none A
		return none, &lifecycle.StoppedError{}
	}
}

// Table returns the table of a shard, which is empty when this store has no data of the shard.
func (g *Group) Table(shard uint32) *shardtable.Table {
	table := g.tables[shard]
	if table == nil {
		table = shardtable.New(shard)
		g.tables[shard] = table
	}
	return table
}

// Tables yields all tables with their shard numbers, in unspecified order.
func (g *Group) Tables() iter.Seq2[uint32, *shardtable.Table] { return maps.All(g.tables) }

// Shards returns the numbers of all shards that have a table, in unspecified order.
func (g *Group) Shards() []uint32 { return slices.Collect(maps.Keys(g.tables)) }

// ApplyView applies a new placement to the table of a shard. The table is cleared when the
// store must rejoin the shard.
func (g *Group) ApplyView(view register.ShardView) {
	table := g.Table(view.Shard)
	previous := table.View
	table.View = view
	if view.Role == register.RoleActive {
		// CaughtUp applies to joining and rebuilding replicas only; the next copy of this shard starts over.
		table.CaughtUp = false
	}
	if view.RequiresReset(previous) && (view.Role != register.RoleNone || !table.IsEmpty()) {
		g.Drop(view.Shard, func() {})
	}
}

// Drop clears a shard durably, before the store may rejoin it.
func (g *Group) Drop(shard uint32, done func()) {
	table := g.Table(shard)
	table.Clear()
	g.appendRegister(&protocol.StoreRecord{
		Shard: table.View.Shard,
		Body:  &protocol.StoreRecord_Drop{Drop: &protocol.DropShard{}},
	}, done)
}

// RemoveExpiredTurns removes the expired turns and those in segments before first.
func (g *Group) RemoveExpiredTurns(first uint64, now time.Time) {
	for _, table := range g.tables {
		table.Turns.RemoveExpired(first, now)
	}
}

// RemoveExpiredRegisters removes the registers whose retention has ended, except those that
// are being written and those for which inUse returns true. The error is a *records.UnreadableError.
func (g *Group) RemoveExpiredRegisters(now time.Time, inUse func(shardtable.Key) bool) error {
	for _, table := range g.tables {
		err := table.RemoveExpiredRegisters(now, func(key shardtable.Key, entry *shardtable.Register) bool {
			return g.unsynced[entry] != nil || inUse(key)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Groups are the groups of a store.
type Groups []*Group

// Index returns the index of the group that owns a shard.
func (s Groups) Index(shard uint32) int { return int(shard) % len(s) }

// Of returns the group that owns a shard.
func (s Groups) Of(shard uint32) *Group { return s[s.Index(shard)] }
