package replica

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
	"github.com/rosestand/rosestand/internal/testing/lab/simclock"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// maxMachines bounds the numbers of machines.
const maxMachines = 40

var errUnreachable = errors.New("unreachable")

// journal is a state machine that keeps its commands.
type commandLog struct {
	mutex    sync.Mutex
	commands []string
}

func (j *commandLog) Apply(_ uint64, command []byte) []byte {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.commands = append(j.commands, string(command))
	return fmt.Appendf(nil, "%d", len(j.commands))
}

func (j *commandLog) Snapshot(writer io.Writer) error {
	for _, command := range j.all() {
		if _, err := fmt.Fprintln(writer, command); err != nil {
			return err
		}
	}
	return nil
}

func (j *commandLog) Restore(reader io.Reader) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.commands = nil
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		j.commands = append(j.commands, lines.Text())
	}
	return lines.Err()
}

func (j *commandLog) all() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]string(nil), j.commands...)
}

// machine is a core machine: an address, a disk and, while it runs, a replica.
type machine struct {
	fleet   *fleet
	name    string
	zone    string
	address string
	disk    *simdisk.Disk
	replica *Replica
	state   *commandLog
	fatal   chan error
	clock   freezableClock
	// openLimiter watches the files that the replica opens.
	openLimiter openLimiter
	// syncTime is the time that the sync of a file takes from the next start on; zero stands for that of the fleet.
	syncTime time.Duration
}

// freezableClock is the clock of a machine that can be frozen. The owner of a replica asks it before all that it does.
type freezableClock struct{ *simclock.Clock }

// NewTimer implements Clock.
func (freezableClock) NewTimer(after time.Duration) Timer { return SystemClock{}.NewTimer(after) }

// freeze stops a machine; nothing reaches it or leaves it until it wakes.
func (m *machine) freeze() {
	m.clock.Freeze()
	m.fleet.setPartitioned(m.address, true)
}

func (m *machine) resume() {
	m.fleet.setPartitioned(m.address, false)
	m.clock.Wake()
}

// fleet is a network of machines in one process and in virtual time.
type fleet struct {
	t        *testing.T
	options  Options
	seeds    []string
	founders []string

	mutex       sync.Mutex
	machines    map[string]*machine
	partitioned map[string]bool
	// deaf machines get nothing, mute ones send nothing that arrives.
	inboundPartitioned, outboundPartitioned map[string]bool
	// dark addresses are those of machines without power: who asks them hears nothing, not even a refusal.
	unpowered map[string]bool
	// latency is the time that a message takes one way.
	latency time.Duration
	// syncTime is the time that the sync of a file takes.
	syncTime time.Duration
	started  uint64
}

// story runs a test in a bubble of virtual time that ends when all goroutines have ended.
func runScenario(t *testing.T, run func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, machines: map[string]*machine{}, partitioned: map[string]bool{},
			inboundPartitioned: map[string]bool{}, outboundPartitioned: map[string]bool{}, unpowered: map[string]bool{},
			options: Options{SnapshotEntries: 50, SnapshotChunkBytes: 512},
		}
		defer f.stopAll()
		run(f)
	})
}

func (f *fleet) machine(number int) *machine {
	address := fmt.Sprintf("127.0.0.1:%d", 7000+number)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.machines[address] == nil {
		f.machines[address] = &machine{
			fleet: f, name: fmt.Sprintf("core-%d", number), zone: fmt.Sprintf("zone-%d", number%3), address: address,
			disk: simdisk.New(rand.New(rand.NewPCG(uint64(number), 3))),
		}
	}
	return f.machines[address]
}

// found starts machines 1 to count as founders and waits until all are voters.
func (f *fleet) foundCluster(count int) *machine {
	f.t.Helper()
	for number := 1; number <= count; number++ {
		f.founders = append(f.founders, f.machine(number).address)
	}
	for number := 1; number <= count; number++ {
		f.machine(number).start()
	}
	f.eventually("all founders are voters", func() bool {
		leader := f.leader()
		return leader != nil && len(leader.voters()) == count
	})
	return f.leader()
}

func (m *machine) start() {
	m.fleet.t.Helper()
	if err := m.tryStart(); err != nil {
		m.fleet.t.Fatalf("%s does not start: %v", m.name, err)
	}
}

func (m *machine) tryStart() error {
	f := m.fleet
	f.started++
	options := f.options
	options.Self = &protocol.CoreMember{Name: m.name, Address: m.address, HttpAddress: "http-" + m.address, Zone: m.zone}
	options.Founders, options.Seeds = f.founders, f.seeds
	if options.Filesystem == nil {
		slowDisk := slowFilesystem{Filesystem: m.disk, syncTime: cmp.Or(m.syncTime, f.syncTime)}
		options.Folder, options.Filesystem = "core", limitedFilesystem{Filesystem: slowDisk, limiter: &m.openLimiter}
	}
	options.Caller = &caller{fleet: f, from: m.address}
	state, fatal, clock := &commandLog{}, make(chan error, 1), freezableClock{&simclock.Clock{}}
	options.Clock = clock
	options.Machine = state
	options.Random = rand.New(rand.NewPCG(f.started, 11))
	options.OnFatal = func(err error) {
		f.t.Logf("the storage of %s failed: %v", m.name, err)
		fatal <- err
	}
	replica, err := New(options)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	m.replica, m.state, m.fatal, m.clock = replica, state, fatal, clock
	f.mutex.Unlock()
	return replica.Start(context.Background())
}

// slowFilesystem makes each sync of a file take time.
type slowFilesystem struct {
	storage.Filesystem
	syncTime time.Duration
}

func (s slowFilesystem) Create(path string) (storage.File, error) {
	return s.slow(s.Filesystem.Create(path))
}

func (s slowFilesystem) Open(path string) (storage.File, error) {
	return s.slow(s.Filesystem.Open(path))
}

func (s slowFilesystem) slow(file storage.File, err error) (storage.File, error) {
	if err != nil || s.syncTime == 0 {
		return file, err
	}
	return slowFile{File: file, syncTime: s.syncTime}, nil
}

type slowFile struct {
	storage.File
	syncTime time.Duration
}

func (s slowFile) Sync() error {
	<-time.NewTimer(s.syncTime).C
	return s.File.Sync()
}

// crash ends the process at once and loses what was not synced.
func (m *machine) crash() {
	m.fleet.setPartitioned(m.address, true)
	m.disk.LosePower()
	m.kill()
	m.fleet.setPartitioned(m.address, false)
}

// halt ends the process without handing anything over.
func (m *machine) kill() {
	m.fleet.mutex.Lock()
	replica := m.replica
	m.replica = nil
	m.fleet.mutex.Unlock()
	if replica == nil {
		return
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = replica.Stop(ended)
}

// move gives a stopped machine another address.
func (m *machine) move(number int) string {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	delete(m.fleet.machines, m.address)
	m.address = fmt.Sprintf("127.0.0.1:%d", 7000+number)
	m.fleet.machines[m.address] = m
	return m.address
}

func (m *machine) voters() (names []string) {
	for _, member := range m.replica.Status().GetConfiguration().GetMembers() {
		if member.GetVoter() {
			names = append(names, member.GetName())
		}
	}
	return names
}

func (m *machine) propose(command string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _, err := m.replica.Propose(ctx, []byte(command))
	return err
}

func (f *fleet) setPartitioned(address string, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.partitioned[address] = cut
}

// setOneWay cuts off one direction of a machine's links.
func (f *fleet) setOneWayPartition(address string, deaf, mute bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inboundPartitioned[address], f.outboundPartitioned[address] = deaf, mute
}

// arrives reports whether what is sent from one address to another arrives; the fleet's lock is held.
func (f *fleet) reachable(from, to string) bool {
	return !f.partitioned[from] && !f.partitioned[to] && !f.outboundPartitioned[from] && !f.inboundPartitioned[to]
}

func (f *fleet) running() (running []*machine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for number := 1; number <= maxMachines; number++ {
		m := f.machines[fmt.Sprintf("127.0.0.1:%d", 7000+number)]
		if m != nil && m.replica != nil {
			running = append(running, m)
		}
	}
	return running
}

// leader returns the one machine that leads under its lease, and fails when there are two.
func (f *fleet) leader() *machine {
	f.t.Helper()
	var leader *machine
	for _, m := range f.running() {
		if m.clock.IsFrozen() || !m.replica.IsLeader() {
			continue
		}
		if leader != nil {
			f.t.Fatalf("%s and %s both lead", leader.name, m.name)
		}
		leader = m
	}
	return leader
}

func (f *fleet) waitForLeader() *machine {
	f.t.Helper()
	f.eventually("there is a leader", func() bool { return f.leader() != nil })
	return f.leader()
}

// pass lets virtual time go on, checking at each step that not two lead.
func (f *fleet) advance(duration time.Duration) {
	f.t.Helper()
	const step = 10 * time.Millisecond
	for ; duration > 0; duration -= step {
		<-time.NewTimer(step).C
		synctest.Wait()
		f.leader()
	}
}

// eventually passes virtual time until the condition holds, for a minute at most.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		f.advance(10 * time.Millisecond)
	}
	f.describe()
	f.t.Fatalf("not in a minute: %s", what)
}

// describe logs what the running machines know; a frozen one answers nothing.
func (f *fleet) describe() {
	f.t.Helper()
	for _, m := range f.running() {
		if !m.clock.IsFrozen() {
			f.t.Logf("%s: %v", m.name, m.replica.Status())
		}
	}
}

// agree waits until all running machines have applied exactly these commands.
func (f *fleet) awaitCommands(commands []string) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("all have %d commands", len(commands)), func() bool {
		for _, m := range f.running() {
			if !slices.Equal(m.state.all(), commands) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) stopAll() {
	for _, m := range f.running() {
		if m.clock.IsFrozen() {
			m.resume()
		}
		m.kill()
	}
}

// caller delivers requests to the replicas of a fleet.
type caller struct {
	fleet *fleet
	from  string
}

func (c *caller) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	c.fleet.mutex.Lock()
	m := c.fleet.machines[address]
	var target *Replica
	if m != nil && c.fleet.reachable(c.from, address) {
		target = m.replica
	}
	answered, dark := c.fleet.reachable(address, c.from), c.fleet.unpowered[address]
	c.fleet.mutex.Unlock()
	if dark {
		<-ctx.Done()
		return nil, &wire.NotSentError{Address: address, Cause: ctx.Err()}
	}
	if target == nil {
		return nil, &wire.NotSentError{Address: address, Cause: errUnreachable}
	}
	var copied protocol.Request
	data, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	if err := proto.Unmarshal(bytes.Clone(data), &copied); err != nil {
		return nil, err
	}
	if err := c.travel(ctx); err != nil {
		return nil, err
	}
	answer, err := target.ServeWire(ctx, &copied)
	if err := c.travel(ctx); err != nil {
		return nil, err
	}
	if !answered {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer, err
}

// travel passes the time of one way.
func (c *caller) travel(ctx context.Context) error {
	if c.fleet.latency == 0 {
		return nil
	}
	select {
	case <-time.NewTimer(c.fleet.latency).C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *caller) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errUnreachable
}
