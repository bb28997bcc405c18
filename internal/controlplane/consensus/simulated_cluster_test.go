package consensus

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// simulatedMember is a node with its simulated disk, its clock and the commands that it applied.
type simulatedMember struct {
	id        uint64
	node      *Node
	clockRate float64
	frozen    bool
	down      bool
	applied   []uint64

	hardState *protocol.HardState
	snapshot  *protocol.SnapshotMetadata
	state     []byte
	entries   []*protocol.Entry
}

type delivery struct {
	due     int64
	message *protocol.ConsensusMessage
}

type committedEntry struct {
	term uint64
	data string
}

// simulatedCluster runs members with clocks of different speeds over a network that loses, delays and
// duplicates messages and may be partitioned. It checks the invariants of the protocol at each step.
type simulatedCluster struct {
	t           *testing.T
	random      *rand.Rand
	now         int64 // milliseconds
	members     map[uint64]*simulatedMember
	network     []delivery
	loss        float64
	partitioned map[[2]uint64]bool

	leaderByTerm      map[uint64]uint64
	committedEntries  map[uint64]committedEntry
	loggedEntries     map[[2]uint64]committedEntry
	highestApplied    uint64
	minReadIndexes    map[uint64]uint64
	lastReadID        uint64
	lastCommand       uint64
	elections         int
	snapshotInstalls  int
	stepsWithLease    int
	confirmedReads    int
	membershipChanges int
	slowNetworkUntil  int64
	restarts          int
}

const simulatedChunkBytes = 256

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulatedCluster(t *testing.T, seed uint64, voters, learners int) *simulatedCluster {
	cluster := &simulatedCluster{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), members: map[uint64]*simulatedMember{},
		partitioned: map[[2]uint64]bool{}, leaderByTerm: map[uint64]uint64{}, committedEntries: map[uint64]committedEntry{},
		minReadIndexes: map[uint64]uint64{}, loggedEntries: map[[2]uint64]committedEntry{},
	}
	configuration, first := initialConfiguration(voters, learners)
	for _, configured := range configuration.GetMembers() {
		member := &simulatedMember{
			id: configured.GetId(), clockRate: 0.97 + 0.06*cluster.random.Float64(),
			hardState: &protocol.HardState{Term: 1, Commit: 1}, entries: []*protocol.Entry{first},
		}
		cluster.members[member.id] = member
		cluster.start(member)
	}
	return cluster
}

func (c *simulatedCluster) fatalf(format string, arguments ...any) {
	c.t.Helper()
	c.t.Fatalf("at %d ms: %s", c.now, fmt.Sprintf(format, arguments...))
}

func (m *simulatedMember) clock(now int64) time.Time {
	return simulationStart.Add(time.Duration(float64(now) * m.clockRate * float64(time.Millisecond)))
}

func (c *simulatedCluster) start(member *simulatedMember) {
	node, err := New(Config{
		ID: member.id, Random: rand.New(rand.NewPCG(c.random.Uint64(), member.id)),
		RetainedEntries: 4, SnapshotChunkBytes: simulatedChunkBytes, MaxInflight: 16,
	}, InitialState{HardState: member.hardState, Snapshot: member.snapshot, Entries: member.entries}, member.clock(c.now))
	if err != nil {
		c.fatalf("member %d failed to start: %v", member.id, err)
	}
	member.node, member.down = node, false
	member.applied = decodeState(member.state)
}

func (c *simulatedCluster) ids() []uint64 {
	var ids []uint64
	for id := range c.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// step advances the time by five milliseconds and runs all members that are neither down nor frozen.
func (c *simulatedCluster) step() {
	c.now += 5
	c.deliver()
	for _, id := range c.ids() {
		member := c.members[id]
		if member.down || member.frozen {
			continue
		}
		member.node.Tick(member.clock(c.now))
		c.processReady(member)
	}
	c.checkLeases()
}

func (c *simulatedCluster) deliver() {
	inFlight := c.network
	c.network = nil
	slices.SortStableFunc(inFlight, func(a, b delivery) int { return cmp.Compare(a.due, b.due) })
	for _, pending := range inFlight {
		member := c.members[pending.message.GetTo()]
		if pending.due > c.now || member != nil && member.frozen {
			c.network = append(c.network, pending)
			continue
		}
		if member == nil || member.down || c.partitioned[[2]uint64{pending.message.GetFrom(), pending.message.GetTo()}] {
			continue
		}
		if err := member.node.Step(pending.message, member.clock(c.now)); err != nil {
			c.fatalf("member %d rejected message %v: %v", member.id, pending.message, err)
		}
		c.processReady(member)
	}
}

func (c *simulatedCluster) send(message *protocol.ConsensusMessage) {
	copies := 1
	switch draw := c.random.Float64(); {
	case draw < c.loss:
		copies = 0
	case draw < c.loss+0.02:
		copies = 2
	}
	for range copies {
		delay := 1 + c.random.Int64N(10)
		if c.now < c.slowNetworkUntil || c.random.Float64() < 0.02 {
			delay += c.random.Int64N(1500)
		}

		c.network = append(c.network, delivery{due: c.now + delay, message: message})
	}
}

// processReady processes the member's output. The member may crash after any write.
func (c *simulatedCluster) processReady(member *simulatedMember) {
	for member.node.HasReady() {
		ready := member.node.Ready()
		if c.loss > 0 && ready.MustSync && c.random.Float64() < 0.002 {
			c.crashWhileWriting(member, ready)
			return
		}
		c.checkLogMatching(member, ready.Entries)
		member.persist(ready, len(ready.Entries), true)
		if ready.Snapshot != nil {
			member.applied = decodeState(ready.Snapshot.Data)
			c.snapshotInstalls++
		}
		var staleSnapshotPeers []uint64
		for _, message := range ready.Messages {
			if !member.fillChunk(message) {
				staleSnapshotPeers = append(staleSnapshotPeers, message.GetTo())
				continue
			}
			c.send(message)
		}
		for _, entry := range ready.Committed {
			c.apply(member, entry)
		}
		for _, read := range ready.Reads {
			c.checkRead(member, read)
		}
		member.node.Advance(ready, member.clock(c.now))
		for _, id := range staleSnapshotPeers {
			member.node.RestartSnapshot(id, member.clock(c.now))
		}
		c.checkNewLeader(member)
		c.maybeCompact(member)
	}
}

// persist makes the snapshot, a prefix of the entries and optionally the hard state durable.
func (m *simulatedMember) persist(ready Ready, entryCount int, hardState bool) {
	if ready.Snapshot != nil {
		m.snapshot, m.state, m.entries = ready.Snapshot.Metadata, ready.Snapshot.Data, nil
	}
	for _, entry := range ready.Entries[:entryCount] {
		position := entry.GetIndex() - m.snapshot.GetIndex() - 1
		m.entries = append(m.entries[:position:position], entry)
	}
	if hardState && ready.HardState != nil {
		m.hardState = ready.HardState
	}
}

func (c *simulatedCluster) crashWhileWriting(member *simulatedMember, ready Ready) {
	if ready.Snapshot == nil {
		member.persist(ready, c.random.IntN(len(ready.Entries)+1), false)
	}
	member.down = true
}

func (m *simulatedMember) fillChunk(message *protocol.ConsensusMessage) bool {
	if message.GetKind() != protocol.ConsensusMessageKind_SNAPSHOT_CHUNK {
		return true
	}
	if message.GetSnapshot().GetIndex() != m.snapshot.GetIndex() {
		return false
	}
	start := min(int(message.GetChunkOffset()), len(m.state))
	end := min(start+simulatedChunkBytes, len(m.state))
	message.Chunk, message.ChunkLast = m.state[start:end], end == len(m.state)
	return true
}

func (c *simulatedCluster) maybeCompact(member *simulatedMember) {
	status := member.node.Status()
	if status.Applied-status.SnapshotIndex < 50 {
		return
	}
	metadata := member.node.SnapshotMetadata()
	member.entries = slices.Clone(member.entries[metadata.GetIndex()-member.snapshot.GetIndex():])
	member.snapshot, member.state = metadata, encodeState(member.applied)
	member.node.Compact(metadata)
}

func encodeState(applied []uint64) []byte {
	var state []byte
	for _, command := range applied {
		state = binary.BigEndian.AppendUint64(state, command)
	}
	return state
}

func decodeState(state []byte) (applied []uint64) {
	for ; len(state) >= 8; state = state[8:] {
		applied = append(applied, binary.BigEndian.Uint64(state))
	}
	return applied
}

// apply applies an entry and checks state machine safety: all members apply the same entry at an index.
func (c *simulatedCluster) apply(member *simulatedMember, entry *protocol.Entry) {
	want, known := c.committedEntries[entry.GetIndex()]
	got := committedEntry{term: entry.GetTerm(), data: string(entry.GetData())}
	if known && want != got {
		c.fatalf("member %d applied data %q of term %d at index %d, but another member applied data %q of term %d",
			member.id, got.data, got.term, entry.GetIndex(), want.data, want.term)
	}
	c.committedEntries[entry.GetIndex()] = got
	c.highestApplied = max(c.highestApplied, entry.GetIndex())
	if entry.GetKind() == protocol.EntryKind_ENTRY_COMMAND {
		member.applied = append(member.applied, binary.BigEndian.Uint64(entry.GetData()))
	}
}

// checkLogMatching checks log matching: entries of the same index and term are equal, and so are all entries
// before them, which holds if their predecessors always have the same term.
func (c *simulatedCluster) checkLogMatching(member *simulatedMember, entries []*protocol.Entry) {
	for _, entry := range entries {
		previousTerm, inMemory := member.node.log.term(entry.GetIndex() - 1)
		if !inMemory {
			continue
		}
		position := [2]uint64{entry.GetIndex(), entry.GetTerm()}
		got := committedEntry{term: previousTerm, data: string(entry.GetData())}
		if want, known := c.loggedEntries[position]; known && want != got {
			c.fatalf("index %d of term %d: member %d logged %q after term %d, another member %q after term %d",
				entry.GetIndex(), entry.GetTerm(), member.id, got.data, got.term, want.data, want.term)
		}
		c.loggedEntries[position] = got
	}
}

// checkNewLeader checks election safety, and leader completeness once per term.
func (c *simulatedCluster) checkNewLeader(member *simulatedMember) {
	if member.node.Role() != Leader {
		return
	}
	term := member.node.Term()
	leader, seen := c.leaderByTerm[term]
	if seen && leader != member.id {
		c.fatalf("members %d and %d both lead term %d", leader, member.id, term)
	}
	if seen {
		return
	}
	c.leaderByTerm[term] = member.id
	c.elections++
	for index, entry := range c.committedEntries {
		own, inMemory := member.node.log.term(index)
		if entry.term < term && index > member.node.log.baseIndex && (!inMemory || own != entry.term) {
			c.fatalf("leader %d of term %d lacks committed entry %d", member.id, term, index)
		}
	}
}

// checkLeases checks that at most one member holds a lease at a time; frozen members count too.
func (c *simulatedCluster) checkLeases() {
	var holder uint64
	for _, id := range c.ids() {
		member := c.members[id]
		now := member.clock(c.now)
		if member.down || !now.Before(member.node.LeaseEnds(now)) {
			continue
		}
		if holder != 0 {
			c.fatalf("members %d and %d both hold a lease", holder, id)
		}
		holder = id
	}
	if holder != 0 {
		c.stepsWithLease++
	}
}

func (c *simulatedCluster) checkRead(member *simulatedMember, read ReadResult) {
	if read.Failed {
		return
	}
	c.confirmedReads++
	if read.Index < c.minReadIndexes[read.ID] {
		c.fatalf("read %d at member %d has index %d, but entry %d was applied before the read began",
			read.ID, member.id, read.Index, c.minReadIndexes[read.ID])
	}
}
