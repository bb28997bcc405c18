package statesuite

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	tickInterval    = 25 * time.Millisecond
	planInterval    = 200 * time.Millisecond
	snapshotEntries = 40
)

// Messages of clients to the core.
type (
	coreCommand struct{ command []byte }
	coreRead    struct{}
	// localRead requests a member's own view, which may be stale; only a mutation does so.
	localRead  struct{}
	locateCore struct{}
	joinCore   struct{ member *protocol.CoreMember }
	renewNode  struct{ node *protocol.Node }

	commandReply struct{ result *protocol.CommandResult }
	readReply    struct{ view *controlstate.View }
	joinReply    struct{}
	renewReply   struct{}
	notLeader    struct{}
	// located is the answer to locateCore: the leader that a member knows, and its term.
	located struct {
		leader sim.Address
		term   uint64
	}
	// unknownOutcome: the command may or may not take effect.
	unknownOutcome struct{}
)

// coreProcess is one incarnation of a core member. During a sync its inputs wait, as they do for the owner goroutine
// of a real core process.
type coreProcess struct {
	suite       *suite
	environment *sim.Environment
	endpoint    *endpoint
	self        *protocol.CoreMember
	disk        *coreDisk
	node        *consensus.Node
	state       *controlstate.State

	inputs  []func()
	syncing bool
	ticking bool

	proposals map[uint64]proposedCommand
	reads     map[uint64]func(confirmed bool)
	nextRead  uint64
	// confirmedReads wait for their index to be applied.
	confirmedReads []confirmedRead
	plan           corePlan
	addresses      map[uint64]sim.Address

	// firstSnapshot is used by CoreSnapshotsOldState only.
	firstSnapshot []byte
	chunkMetadata *protocol.SnapshotMetadata
	chunkData     []byte
}

type proposedCommand struct {
	term  uint64
	reply func(any)
}

type confirmedRead struct {
	index uint64
	done  func(bool)
}

func (s *suite) buildCore(founder bool) sim.Builder {
	return func(environment *sim.Environment) (sim.Process, error) {
		process := &coreProcess{
			suite: s, environment: environment,
			proposals: map[uint64]proposedCommand{}, reads: map[uint64]func(bool){}, addresses: map[uint64]sim.Address{},
		}
		process.endpoint = newEndpoint(environment, process.serve)
		return process, process.start(founder)
	}
}

func (p *coreProcess) start(founder bool) error {
	disk, err := openCoreDisk(p.environment.Disk())
	if err != nil {
		return p.suite.checkStartFailure(p.environment, err)
	}
	p.disk = disk
	id := disk.id
	if p.suite.options.Mutation == CoreVotesAfterLostDisk {
		id = hashOf(string(p.environment.Address()))
	}
	address := string(p.environment.Address())
	p.self = &protocol.CoreMember{
		Id: id, Name: address, Address: address, Zone: p.environment.Zone(),
		Region: p.suite.shape.regions[p.environment.Zone()],
	}
	initial, snapshot, err := disk.recoverState()
	if err != nil {
		return p.suite.checkStartFailure(p.environment, err)
	}
	if founder && p.environment.Incarnation() == 1 {
		initial = foundingState(p.self)
		if err := p.persistFounding(initial); err != nil {
			return err
		}
	}
	if err := p.restoreState(snapshot); err != nil {
		return err
	}
	if err := p.buildNode(initial); err != nil {
		return err
	}
	p.suite.recordStart(p.environment)
	p.tickLater()
	p.joinLater(planInterval)
	return nil
}

func foundingState(self *protocol.CoreMember) consensus.InitialState {
	founder := proto.Clone(self).(*protocol.CoreMember)
	founder.Voter = true
	data, _ := proto.Marshal(&protocol.CoreConfiguration{Members: []*protocol.CoreMember{founder}})
	entry := &protocol.Entry{Term: 1, Index: 1, Kind: protocol.EntryKind_ENTRY_CONFIGURATION, Data: data}
	return consensus.InitialState{
		HardState: &protocol.HardState{Term: 1, Commit: 1}, Entries: []*protocol.Entry{entry},
	}
}

func (p *coreProcess) persistFounding(initial consensus.InitialState) error {
	records := append(entryRecords(initial.Entries), hardStateRecord(initial.HardState))
	if err := p.disk.write(records...); err != nil {
		return err
	}
	return p.disk.log.Sync()
}

func (p *coreProcess) restoreState(snapshot *protocol.ControlState) error {
	if snapshot == nil {
		p.state = controlstate.New()
		return nil
	}
	state, err := controlstate.Restore(snapshot)
	p.state = state
	return err
}

func (p *coreProcess) buildNode(initial consensus.InitialState) error {
	random := p.environment.Random()
	node, err := consensus.New(consensus.Config{
		ID: p.self.GetId(), RetainedEntries: p.suite.shape.retainedEntries,
		SnapshotChunkBytes: p.suite.shape.snapshotChunkBytes,
		Random:             rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
	}, initial, p.environment.Now())
	p.node = node
	return err
}

// Receive implements sim.Process: it passes a message to the node or to the endpoint.
func (p *coreProcess) Receive(from sim.Address, message any) {
	consensusMessage, isConsensus := message.(*protocol.ConsensusMessage)
	if !isConsensus {
		p.endpoint.receive(from, message)
		return
	}
	p.enqueue(func() {
		p.addresses[consensusMessage.GetFrom()] = from
		if err := p.node.Step(consensusMessage, p.environment.Now()); err != nil {
			p.suite.rules.sameLog.Violatef("%s refused a message: %v", p.environment.Address(), err)
		}
	})
}

// ConnectionBroken implements sim.ConnectionObserver.
func (p *coreProcess) ConnectionBroken(peer sim.Address) { p.endpoint.connectionBroken(peer) }

func (p *coreProcess) tickLater() {
	p.environment.After(p.suite.coreTickInterval(), func() {
		if !p.ticking {
			p.ticking = true
			p.enqueue(func() {
				p.ticking = false
				p.node.Tick(p.environment.Now())
			})
		}
		p.tickLater()
	})
}

func (p *coreProcess) enqueue(input func()) {
	p.inputs = append(p.inputs, input)
	p.pump()
}

// enqueueNext enqueues an input after the events of this moment.
func (p *coreProcess) enqueueNext(input func()) {
	p.environment.After(0, func() { p.enqueue(input) })
}

// pump processes all queued inputs and then the node's output, so that one sync serves all of them.
func (p *coreProcess) pump() {
	for !p.syncing && len(p.inputs) > 0 && p.environment.Alive() {
		inputs := p.inputs
		p.inputs = nil
		for _, input := range inputs {
			input()
		}
		p.advance()
	}
}

func (p *coreProcess) fatal(err error) { p.environment.Exit(err) }

// advance handles the node's output until there is none or a sync is in progress.
func (p *coreProcess) advance() {
	for !p.syncing && p.environment.Alive() {
		if !p.node.HasReady() {
			p.afterReady()
			return
		}
		if err := p.handleReady(p.node.Ready()); err != nil {
			p.fatal(err)
			return
		}
	}
}

func (p *coreProcess) handleReady(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := p.install(ready); err != nil {
			return err
		}
	}
	records := entryRecords(ready.Entries)
	if ready.HardState != nil && p.suite.options.Mutation != CoreForgetsVotes {
		records = append(records, hardStateRecord(ready.HardState))
	}
	if err := p.disk.write(records...); err != nil {
		return err
	}
	switch {
	case !ready.MustSync:
		p.finish(ready)
	case p.suite.options.Mutation == CoreAcknowledgesBeforeSync:
		p.finish(ready)
		p.environment.After(mutatedSyncDelay, p.syncOrExit)
	default:
		p.syncThen(ready)
	}
	return nil
}

func (p *coreProcess) syncOrExit() {
	if err := p.disk.log.Sync(); err != nil {
		p.fatal(err)
	}
}

func (p *coreProcess) syncThen(ready consensus.Ready) {
	p.syncing = true
	p.environment.After(syncDelay(p.environment), func() {
		p.syncOrExit()
		if !p.environment.Alive() {
			return
		}
		p.syncing = false
		p.finish(ready)
		p.advance()
		p.pump()
	})
}

// finish sends, applies and confirms what ready allows once it is durable.
func (p *coreProcess) finish(ready consensus.Ready) {
	stale := p.sendAll(ready.Messages)
	p.apply(ready.Committed)
	for _, read := range ready.Reads {
		p.confirm(read)
	}
	p.node.Advance(ready, p.environment.Now())
	for _, member := range stale {
		p.node.RestartSnapshot(member, p.environment.Now())
	}
}

func (p *coreProcess) sendAll(messages []*protocol.ConsensusMessage) (stale []uint64) {
	configuration, _ := p.node.Configuration()
	for _, message := range messages {
		if message.GetKind() == protocol.ConsensusMessageKind_SNAPSHOT_CHUNK && !p.fillChunk(message) {
			stale = append(stale, message.GetTo())
			continue
		}
		address := p.addresses[message.GetTo()]
		if member := consensus.Member(configuration, message.GetTo()); member != nil {
			address = sim.Address(member.GetAddress())
		}
		p.suite.checkVote(message)
		if address != "" {
			p.environment.Send(address, message)
		}
	}
	return stale
}

func (p *coreProcess) apply(entries []*protocol.Entry) {
	for _, entry := range entries {
		p.suite.checkApplied(p.environment.Address(), entry)
		var result *protocol.CommandResult
		if entry.GetKind() == protocol.EntryKind_ENTRY_COMMAND {
			result = p.applyCommand(entry)
		}
		if proposed, found := p.proposals[entry.GetIndex()]; found {
			delete(p.proposals, entry.GetIndex())
			if proposed.term == entry.GetTerm() {
				proposed.reply(commandReply{result: result})
			} else {
				proposed.reply(unknownOutcome{})
			}
		}
	}
}

func (p *coreProcess) applyCommand(entry *protocol.Entry) *protocol.CommandResult {
	command := &protocol.Command{}
	if err := proto.Unmarshal(entry.GetData(), command); err != nil {
		p.fatal(err)
		return nil
	}
	if p.suite.options.Mutation == CoreIgnoresOrderIDs {
		command.OrderId = ""
	}
	result := p.state.Apply(entry.GetIndex(), command)
	winner := result.GetRefusal().GetWinner()
	if p.suite.options.Mutation == CoreAcceptsConflictingBundles && winner != nil {
		digest := bundle.Digest(command.GetPutBundle().GetBundle())
		return &protocol.CommandResult{
			Accepted: true, Index: winner.GetAcceptedIndex(), Bundle: &protocol.BundleStatus{SubmittedDigest: digest},
		}
	}
	return result
}

// afterReady runs when the node has no output left.
func (p *coreProcess) afterReady() {
	p.answerReads()
	p.dropProposals()
	p.suite.checkLease(p)
	p.maybeSnapshot()
	p.planMembership()
}

// dropProposals answers the clients of a former leader with an unknown outcome.
func (p *coreProcess) dropProposals() {
	if p.node.Role() == consensus.Leader || len(p.proposals) == 0 {
		return
	}
	for _, index := range sortedKeys(p.proposals) {
		p.proposals[index].reply(unknownOutcome{})
	}
	clear(p.proposals)
}
