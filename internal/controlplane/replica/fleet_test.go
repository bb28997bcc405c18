package replica

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
	"github.com/rosestand/rosestand/internal/testing/lab/simclock"
)

// maxMachines is the highest number of a machine.
const maxMachines = 40

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
	// openLimiter limits the files that the replica opens.
	openLimiter openLimiter
	// syncTime is the duration of a file sync after the next start; zero means that of the fleet.
	syncTime time.Duration
}

// freezableClock is the clock of a machine that can be frozen: reading it then blocks, and with it the owner
// goroutine of the replica, which reads the clock before each step.
type freezableClock struct{ *simclock.Clock }

// NewTimer implements Clock.
func (freezableClock) NewTimer(after time.Duration) Timer { return SystemClock{}.NewTimer(after) }

// freeze stops a machine and partitions it until it is resumed.
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
	// A machine with an inbound partition receives nothing; what one with an outbound partition sends is lost.
	inboundPartitioned, outboundPartitioned map[string]bool
	// unpowered contains the addresses at which requests are neither answered nor rejected.
	unpowered map[string]bool
	// latency is the one-way delay of a message.
	latency time.Duration
	// syncTime is the duration of a file sync.
	syncTime time.Duration
	// starts counts the starts of machines; it seeds their random numbers.
	starts uint64
}

// runScenario runs a test in virtual time, which ends when all goroutines have ended.
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

// foundCluster starts machines 1 to count as founders, waits until all are voters and returns the leader.
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
		m.fleet.t.Fatalf("%s failed to start: %v", m.name, err)
	}
}

func (m *machine) tryStart() error {
	f := m.fleet
	f.starts++
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
	options.Random = rand.New(rand.NewPCG(f.starts, 11))
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

// crash ends the process immediately and loses what was not synced.
func (m *machine) crash() {
	m.fleet.setPartitioned(m.address, true)
	m.disk.LosePower()
	m.kill()
	m.fleet.setPartitioned(m.address, false)
}

// kill ends the process without a transfer of leadership.
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

// move changes the address of a stopped machine and returns the new one.
func (m *machine) move(number int) string {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	delete(m.fleet.machines, m.address)
	m.address = fmt.Sprintf("127.0.0.1:%d", 7000+number)
	m.fleet.machines[m.address] = m
	return m.address
}

// members returns the members in the machine's newest configuration.
func (m *machine) members() []*protocol.CoreMember {
	return m.replica.Status().GetConfiguration().GetMembers()
}

// voters returns the names of the voters among the members.
func (m *machine) voters() (names []string) {
	for _, member := range m.members() {
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

func (f *fleet) setPartitioned(address string, partitioned bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.partitioned[address] = partitioned
}

// setOneWayPartition partitions the inbound or the outbound direction of a machine's links.
func (f *fleet) setOneWayPartition(address string, inbound, outbound bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inboundPartitioned[address], f.outboundPartitioned[address] = inbound, outbound
}

// reachable reports whether a message from one address to another arrives; the caller holds the fleet's mutex.
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

// leader returns the machine that leads under its lease, or nil, and fails the test when there are two.
func (f *fleet) leader() *machine {
	f.t.Helper()
	var leader *machine
	for _, m := range f.running() {
		if m.clock.IsFrozen() || !m.replica.IsLeader() {
			continue
		}
		if leader != nil {
			f.t.Fatalf("%s and %s are leaders at the same time", leader.name, m.name)
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

// advance advances virtual time and checks at each step that at most one machine leads.
func (f *fleet) advance(duration time.Duration) {
	f.t.Helper()
	const step = 10 * time.Millisecond
	for ; duration > 0; duration -= step {
		<-time.NewTimer(step).C
		synctest.Wait()
		f.leader()
	}
}

// eventually advances virtual time until the condition holds, and fails the test after a minute.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		f.advance(10 * time.Millisecond)
	}
	f.logStatuses()
	f.t.Fatalf("condition not met within a minute: %s", what)
}

// logStatuses logs the status of each running machine that is not frozen; reading that of a frozen one blocks.
func (f *fleet) logStatuses() {
	f.t.Helper()
	for _, m := range f.running() {
		if !m.clock.IsFrozen() {
			f.t.Logf("%s: %v", m.name, m.replica.Status())
		}
	}
}

// awaitCommands waits until all running machines have applied exactly these commands.
func (f *fleet) awaitCommands(commands []string) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("all machines have the %d commands", len(commands)), func() bool {
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
