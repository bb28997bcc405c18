package statesuite

import (
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	renewInterval  = 500 * time.Millisecond
	copyInterval   = 300 * time.Millisecond
	peerTimeout    = 300 * time.Millisecond
	storeOperation = 900 * time.Millisecond
	// storeLogBytes is the size of the log at which a store writes a snapshot.
	storeLogBytes = 96 << 10
)

// storeProcess is one incarnation of a store.
type storeProcess struct {
	suite       *suite
	environment *sim.Environment
	endpoint    *endpoint
	link        *coreLink
	self        *protocol.Node
	log         *storage.Log
	committer   *committer
	placement   *protocol.Placement
	shards      map[uint32]*shardTable
	proposals   map[registerKey]*proposal
	ballots     *register.BallotGenerator
	proposer    string
}

type registerKey struct{ program, call string }

func keyOf(message *protocol.RegisterKey) registerKey {
	return registerKey{program: message.GetProgram(), call: message.GetCall()}
}

func (k registerKey) message() *protocol.RegisterKey {
	return &protocol.RegisterKey{Program: k.program, Call: k.call}
}

// shardTable is a store's replica of a shard, with its role in the placement.
type shardTable struct {
	shard     uint32
	epoch     uint64
	role      register.Role
	quorum    register.Quorum
	placed    *protocol.ShardPlacement
	registers map[registerKey]*entry
	turns     map[string]*retainedTurn
	copying   bool
}

// entry is one register; answers that depend on it wait until its last write is durable.
type entry struct {
	state     register.State
	headEpoch uint64
	unsynced  int
	waiting   []func()
}

// retainedTurn is one turn; it counts once it is durable.
type retainedTurn struct {
	turn    *protocol.Turn
	durable bool
	waiting []func()
}

func (s *suite) buildStore(environment *sim.Environment) (sim.Process, error) {
	p := &storeProcess{
		suite: s, environment: environment,
		shards: map[uint32]*shardTable{}, proposals: map[registerKey]*proposal{},
	}
	p.endpoint = newEndpoint(environment, p.serve)
	p.link = &coreLink{suite: s, environment: environment, endpoint: p.endpoint}
	return p, p.start()
}

func (p *storeProcess) start() error {
	if err := p.suite.mutateStart(p.environment); err != nil {
		return err
	}
	disk := p.environment.Disk()
	identity, err := storage.OpenIdentity(disk, dataFolder, identityOptions(disk))
	if err != nil {
		return p.suite.checkStartFailure(p.environment, err)
	}
	p.log, err = storage.OpenLog(disk, logFolder, storage.LogOptions{SegmentBytes: segmentBytes})
	if err == nil {
		err = p.load()
	}
	if err != nil {
		return p.suite.checkStartFailure(p.environment, err)
	}
	p.committer = &committer{
		environment: p.environment, log: p.log, fatal: p.environment.Exit,
		acknowledgeFirst: p.suite.options.Mutation == StoreAcknowledgesBeforeSync,
	}
	name := string(p.environment.Address())
	p.self = &protocol.Node{
		Name: name, Kind: protocol.NodeKind_STORE, Address: name, Zone: p.environment.Zone(),
		Incarnation: uint64(p.environment.Incarnation()), StorageId: identity.StorageID,
	}
	if p.suite.options.Mutation != CoreIgnoresRegions {
		p.self.Region = p.suite.shape.regions[p.environment.Zone()]
	}
	p.proposer = fmt.Sprintf("%s/%d", name, p.environment.Incarnation())
	p.ballots = register.NewBallotGenerator(p.proposer)
	p.suite.recordStart(p.environment)
	p.link.renewLater(p.self, 0, renewInterval)
	p.copyPeriodically()
	p.link.follow(p.viewRead)
	return nil
}

// NeverRestartsError is returned by the start of a store under StoresNeverRestart.
type NeverRestartsError struct{}

// Error implements error.
func (e *NeverRestartsError) Error() string { return "the process stays down" }

// mutateStart applies the mutations of stores that start again.
func (s *suite) mutateStart(environment *sim.Environment) error {
	if environment.Incarnation() == 1 {
		return nil
	}
	switch s.options.Mutation {
	case StoresNeverRestart:
		return &NeverRestartsError{}
	case StoreLogsCorrupted:
		for _, path := range environment.Disk().Files(logFolder) {
			environment.Disk().Damage(path, 0, 1)
		}
	}
	return nil
}

// Receive implements sim.Process.
func (p *storeProcess) Receive(from sim.Address, message any) { p.endpoint.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (p *storeProcess) ConnectionBroken(peer sim.Address) { p.endpoint.connectionBroken(peer) }

func (p *storeProcess) table(shard uint32) *shardTable {
	known := p.shards[shard]
	if known == nil {
		known = &shardTable{
			shard: shard, registers: map[registerKey]*entry{}, turns: map[string]*retainedTurn{},
		}
		p.shards[shard] = known
	}
	return known
}

func (t *shardTable) entry(key registerKey) *entry {
	known := t.registers[key]
	if known == nil {
		known = &entry{}
		t.registers[key] = known
	}
	return known
}

// viewRead applies a placement that was read from the leader.
func (p *storeProcess) viewRead(view *controlstate.View) {
	if view.Placement.GetEpoch() < p.placement.GetEpoch() {
		return
	}
	p.placement = view.Placement
	for _, placed := range view.Placement.GetShards() {
		table := p.table(placed.GetShard())
		former := table.role
		table.epoch = register.ShardEpoch(view.Placement, placed)
		table.role = register.ShardRole(placed, p.self.GetName(), p.self.GetStorageId())
		if table.role == register.RoleRebuilding && p.suite.options.Mutation == StoreVotesAfterLostDisk {
			table.role = register.RoleActive
		}
		table.quorum, table.placed = register.NewQuorum(placed), placed
		if table.role == register.RoleNone && former != register.RoleNone {
			p.dropShard(table)
		}
	}
	p.copyShards()
}

func (p *storeProcess) dropShard(table *shardTable) {
	table.registers = map[registerKey]*entry{}
	table.turns = map[string]*retainedTurn{}
	p.committer.append(&protocol.StoreRecord{
		Shard: table.shard, Body: &protocol.StoreRecord_Drop{Drop: &protocol.DropShard{}},
	}, func() {})
}

// rejection returns why the replica must reject a request of an epoch, or notRejected.
func (p *storeProcess) rejection(t *shardTable, epoch uint64) protocol.ReplicaRefusal {
	if p.suite.options.Mutation == StoreAcceptsOldEpochs {
		epoch = t.epoch
	}
	switch {
	case t.epoch == 0 || t.epoch == epoch && !t.role.Votes():
		return protocol.ReplicaRefusal_REPLICA_NOT_READY
	case t.epoch != epoch:
		return protocol.ReplicaRefusal_REPLICA_WRONG_PLACEMENT
	default:
		return protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED
	}
}

const notRejected = protocol.ReplicaRefusal_REPLICA_REFUSAL_UNSPECIFIED

func (p *storeProcess) load() error {
	disk := p.environment.Disk()
	if err := storage.RemoveUnfinishedSnapshots(disk, snapshotFolder); err != nil {
		return err
	}
	segment, _, err := storage.LoadNewestSnapshot(disk, snapshotFolder, func(_ uint64, reader io.Reader) error {
		content, err := io.ReadAll(reader)
		if err != nil {
			return err
		}
		return p.restoreSnapshot(content)
	})
	if err != nil {
		return err
	}
	return p.log.Replay(storage.Position{Segment: segment}, func(_ storage.Position, data []byte) error {
		record := &protocol.StoreRecord{}
		if err := proto.Unmarshal(data, record); err != nil {
			return err
		}
		p.restore(record)
		return nil
	})
}

func (p *storeProcess) restore(record *protocol.StoreRecord) {
	table := p.table(record.GetShard())
	switch body := record.GetBody().(type) {
	case *protocol.StoreRecord_Register:
		table.entry(keyOf(body.Register.GetKey())).state = register.StateFromProto(body.Register)
	case *protocol.StoreRecord_Turn:
		table.turns[turnKey(body.Turn.GetProgram(), body.Turn.GetId())] = &retainedTurn{turn: body.Turn, durable: true}
	case *protocol.StoreRecord_Drop:
		clear(table.registers)
		clear(table.turns)
	}
}

func turnKey(program, id string) string { return program + "\x00" + id }

func (p *storeProcess) restoreSnapshot(content []byte) error {
	page := &protocol.FetchShardResponse{}
	for shard := uint32(0); len(content) > 0; shard++ {
		size := int(content[0])<<16 | int(content[1])<<8 | int(content[2])
		proto.Reset(page)
		if err := proto.Unmarshal(content[3:3+size], page); err != nil {
			return err
		}
		for _, state := range page.GetRegisters() {
			p.restore(&protocol.StoreRecord{Shard: shard, Body: &protocol.StoreRecord_Register{Register: state}})
		}
		for _, turn := range page.GetTurns() {
			p.restore(&protocol.StoreRecord{Shard: shard, Body: &protocol.StoreRecord_Turn{Turn: turn}})
		}
		content = content[3+size:]
	}
	return nil
}

// maybeSnapshot writes a snapshot of all shards and truncates the log when it is long.
func (p *storeProcess) maybeSnapshot() {
	if p.log.Size() < storeLogBytes {
		return
	}
	if err := p.saveSnapshot(); err != nil {
		p.environment.Exit(err)
	}
}

func (p *storeProcess) saveSnapshot() error {
	disk := p.environment.Disk()
	segment, err := p.log.Rotate()
	if err != nil {
		return err
	}
	err = storage.SaveSnapshot(disk, snapshotFolder, segment, func(writer io.Writer) error {
		for shard := range uint32(shardCount) {
			data, err := proto.Marshal(p.shardPage(p.table(shard)))
			if err != nil {
				return err
			}
			size := []byte{byte(len(data) >> 16), byte(len(data) >> 8), byte(len(data))}
			if _, err := writer.Write(append(size, data...)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	p.suite.counts.snapshots++
	if err := p.log.RemoveBefore(segment); err != nil {
		return err
	}
	return storage.RemoveSnapshotsBefore(disk, snapshotFolder, segment)
}

// shardPage returns all registers and turns of a shard.
func (p *storeProcess) shardPage(table *shardTable) *protocol.FetchShardResponse {
	page := &protocol.FetchShardResponse{Last: true}
	keys := make(map[string]registerKey, len(table.registers))
	for key := range table.registers {
		keys[turnKey(key.program, key.call)] = key
	}
	for _, name := range sortedKeys(keys) {
		key := keys[name]
		page.Registers = append(page.Registers, table.registers[key].state.ToProto(key.message()))
	}
	for _, key := range sortedKeys(table.turns) {
		page.Turns = append(page.Turns, table.turns[key].turn)
	}
	return page
}
