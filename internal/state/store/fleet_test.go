package store_test

import (
	"context"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/state/ledgerclient"
	"github.com/rosestand/rosestand/internal/state/store"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

const (
	shardCount = 4
	// defaultReplicas is the number of replicas of each shard; a majority survives the loss of one.
	defaultReplicas = 3
	segmentBytes    = 16 << 10
	// defaultClockSpeedup shortens timers, but leaves a busy machine time to meet deadlines of seconds.
	defaultClockSpeedup = 5
	// defaultPeerTimeout lets stores soon continue without a suspended one.
	defaultPeerTimeout = 100 * time.Millisecond
	// awaitTimeout bounds how long a test waits for something that must happen.
	awaitTimeout = 20 * time.Second
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "store")
}

// testClock moves only when a test advances it.
type testClock struct {
	mutex  sync.Mutex
	now    time.Time
	timers map[int]testTimer
	next   int
}

type testTimer struct {
	due time.Time
	run func()
}

func newTestClock() *testClock {
	return &testClock{now: time.Unix(1_800_000_000, 0), timers: map[int]testTimer{}}
}

func (c *testClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *testClock) AfterFunc(wait time.Duration, run func()) func() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	number := c.next
	c.timers[number] = testTimer{due: c.now.Add(wait), run: run}
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.timers, number)
	}
}

func (c *testClock) advance(by time.Duration) {
	c.mutex.Lock()
	c.now = c.now.Add(by)
	var due []int
	for number, timer := range c.timers {
		if !timer.due.After(c.now) {
			due = append(due, number)
		}
	}
	sort.Ints(due)
	var runs []func()
	for _, number := range due {
		runs = append(runs, c.timers[number].run)
		delete(c.timers, number)
	}
	c.mutex.Unlock()
	for _, run := range runs {
		run()
	}
	runtime.Gosched()
}

// member is one store of the fleet with its disk, which outlives the process.
type member struct {
	name    string
	disk    *simdisk.Disk
	self    *protocol.Node
	store   *store.Supervisor
	failure chan error
	starts  uint64
}

// fleet is an in-memory cluster of stores; it also acts as their core.
type fleet struct {
	wrap    func(name string, filesystem storage.Filesystem) storage.Filesystem
	clock   *testClock
	members map[string]*member
	names   []string
	// clockSpeedup is how many times faster than the wall clock the fleet's clock runs while an operation is awaited.
	clockSpeedup time.Duration
	// peerTimeout bounds a request from one store to another, on the wall clock.
	peerTimeout time.Duration

	mutex sync.Mutex
	view  *corelink.View
	// partitioned stores neither send nor receive.
	partitioned map[string]bool
	// suspended stores neither send nor receive until the channel is closed; requests sent meanwhile arrive then.
	suspended map[string]chan struct{}
	// stale has the last views of stores that receive no new ones.
	stale     map[string]*corelink.View
	intercept func(to string, request *protocol.Request)
}

func newFleet(names ...string) *fleet {
	f := newStoppedFleet(names...)
	f.bootstrap(defaultReplicas)
	return f
}

// newFleetWithDisks returns a fleet whose stores use wrapped filesystems.
func newFleetWithDisks(
	wrap func(name string, filesystem storage.Filesystem) storage.Filesystem, names ...string,
) *fleet {
	return newFleetWithReplicas(defaultReplicas, wrap, names...)
}

// newFleetWithReplicas returns a fleet whose shards are on the first stores, one for each replica.
func newFleetWithReplicas(
	replicas int, wrap func(name string, filesystem storage.Filesystem) storage.Filesystem, names ...string,
) *fleet {
	f := newStoppedFleet(names...)
	f.wrap = wrap
	f.bootstrap(replicas)
	return f
}

// newFleetWithLongTimeouts returns a fleet whose stores wait for each other as long as a test does, so that no store is
// taken for unresponsive because the machine is busy. It is for requests that the test sends only once.
func newFleetWithLongTimeouts(names ...string) *fleet {
	f := newStoppedFleet(names...)
	f.peerTimeout, f.clockSpeedup = awaitTimeout, 1
	f.bootstrap(defaultReplicas)
	return f
}

// newStoppedFleet returns a fleet whose stores are not started yet.
func newStoppedFleet(names ...string) *fleet {
	return &fleet{
		wrap:  func(_ string, filesystem storage.Filesystem) storage.Filesystem { return filesystem },
		clock: newTestClock(), members: map[string]*member{}, names: names, partitioned: map[string]bool{},
		stale: map[string]*corelink.View{}, suspended: map[string]chan struct{}{}, view: &corelink.View{},
		clockSpeedup: defaultClockSpeedup, peerTimeout: defaultPeerTimeout,
	}
}

// bootstrap starts the stores, places each shard on the first of them, one for each replica, and waits until all have
// applied that placement.
func (f *fleet) bootstrap(replicas int) {
	GinkgoHelper()
	names := f.names
	for number, name := range names {
		f.members[name] = &member{name: name, disk: simdisk.New(rand.New(rand.NewPCG(uint64(number), 7)))}
		f.start(name)
	}
	placement := &protocol.Placement{}
	for shard := range uint32(shardCount) {
		placed := &protocol.ShardPlacement{Shard: shard}
		for _, name := range names[:replicas] {
			placed.Current = append(placed.Current, f.replica(name, protocol.ReplicaState_REPLICA_ACTIVE))
		}
		placement.Shards = append(placement.Shards, placed)
	}
	f.publish(placement.GetShards()...)
	DeferCleanup(f.stop)
	f.until(f.placementApplied)
}

func (f *fleet) replica(name string, state protocol.ReplicaState) *protocol.Replica {
	return &protocol.Replica{Store: name, StorageId: f.members[name].self.GetStorageId(), State: state}
}

func (f *fleet) start(name string) {
	m := f.members[name]
	openFolder := func() (*datafolder.Folder, error) { return datafolder.Open(f.wrap(name, m.disk), "data", segmentBytes) }
	folder, err := openFolder()
	Expect(err).NotTo(HaveOccurred())
	m.starts++
	self := &protocol.Node{Name: name, Kind: protocol.NodeKind_STORE, Incarnation: m.starts, Address: name}
	failure := make(chan error, 1)
	started, err := store.NewSupervisor(store.Options{
		Self: self, Caller: &network{fleet: f, from: name}, Core: &link{fleet: f, store: name}, Clock: f.clock, Groups: 2,
		Settings:    &protocol.StoreSettings{SegmentBytes: segmentBytes},
		PeerTimeout: f.peerTimeout, Logger: log.New(io.Discard), Fatal: func(err error) { failure <- err }, Seed: m.starts,
	}, folder, openFolder)
	Expect(err).NotTo(HaveOccurred())
	f.mutex.Lock()
	m.self, m.store, m.failure = self, started, failure
	f.mutex.Unlock()
	started.Start()
}

// running returns the store of a member, nil while it is stopped.
func (f *fleet) running(name string) *store.Supervisor {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.members[name].store
}

func (f *fleet) stop() {
	for _, name := range f.names {
		if running := f.running(name); running != nil {
			_ = running.Stop()
		}
	}
}

// stopOne ends one process; with a power loss, writes that were not synced are lost.
func (f *fleet) stopOne(name string, powerLoss bool) {
	m := f.members[name]
	f.setPartitioned(name, true)
	stopping := f.running(name)
	f.mutex.Lock()
	m.store = nil
	f.mutex.Unlock()
	_ = stopping.Stop()
	if powerLoss {
		m.disk.LosePower()
	}
}

func (f *fleet) restart(name string) {
	f.start(name)
	f.setPartitioned(name, false)
	f.publish()
}

// loseDisk restarts a store with an empty disk and publishes its replicas as rebuilding.
func (f *fleet) loseDisk(name string) {
	f.stopOne(name, false)
	f.restartEmpty(name)
}

// restartEmpty starts a stopped store with an empty disk and publishes its replicas as rebuilding.
func (f *fleet) restartEmpty(name string) {
	f.members[name].disk.Lose()
	f.start(name)
	f.setPartitioned(name, false)
	var changed []*protocol.ShardPlacement
	for _, placed := range f.View().Placement.GetShards() {
		placed = proto.CloneOf(placed)
		for i, replica := range placed.GetCurrent() {
			if replica.GetStore() == name {
				placed.Current[i] = f.replica(name, protocol.ReplicaState_REPLICA_REBUILDING)
			}
		}
		changed = append(changed, placed)
	}
	f.publish(changed...)
}

func (f *fleet) setPartitioned(name string, partitioned bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.partitioned[name] = partitioned
}

// publish makes a placement with the changed shards current, under the next epoch.
func (f *fleet) publish(changed ...*protocol.ShardPlacement) {
	f.mutex.Lock()
	before := f.view.Placement
	placement := &protocol.Placement{
		Epoch:  before.GetEpoch() + 1,
		Shards: append([]*protocol.ShardPlacement(nil), before.GetShards()...),
	}
	for _, placed := range changed {
		placed.Epoch = placement.GetEpoch()
		if int(placed.GetShard()) < len(placement.GetShards()) {
			placement.Shards[placed.GetShard()] = placed
		} else {
			placement.Shards = append(placement.Shards, placed)
		}
	}
	var nodes []*protocol.Node
	for _, name := range f.names {
		nodes = append(nodes, f.members[name].self)
	}
	f.view = &corelink.View{
		Placement:  placement,
		Membership: &protocol.MembershipView{Version: placement.GetEpoch(), Nodes: nodes},
	}
	f.mutex.Unlock()
	for _, name := range f.names {
		if running := f.running(name); running != nil {
			running.ViewChanged()
		}
	}
}

func (f *fleet) View() *corelink.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view
}

func (f *fleet) suspend(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.suspended[name] = make(chan struct{})
}

func (f *fleet) resume(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.suspended[name])
	delete(f.suspended, name)
}

func (f *fleet) isSuspended(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.suspended[name] != nil
}

// viewFor returns the view that a store receives.
func (f *fleet) viewFor(name string) *corelink.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if staleView := f.stale[name]; staleView != nil {
		return staleView
	}
	return f.view
}

// setStale withholds new views from a store, or delivers the latest one.
func (f *fleet) setStale(name string, stale bool) {
	f.mutex.Lock()
	delete(f.stale, name)
	if stale {
		f.stale[name] = f.view
	}
	f.mutex.Unlock()
	if running := f.running(name); running != nil {
		running.ViewChanged()
	}
}

// move publishes a placement that begins to move a replica of a shard to another store.
func (f *fleet) move(shard uint32, from, to string) {
	placed := proto.CloneOf(f.View().Placement.GetShards()[shard])
	for _, replica := range placed.GetCurrent() {
		if replica.GetStore() == from {
			placed.Next = append(placed.Next, f.replica(to, protocol.ReplicaState_REPLICA_REBUILDING))
		} else {
			placed.Next = append(placed.Next, proto.CloneOf(replica))
		}
	}
	f.publish(placed)
}

// shardCopied acts as the core does when a store reports a copied shard.
func (f *fleet) shardCopied(copied *protocol.ShardCopiedRequest) {
	placed := proto.CloneOf(f.View().Placement.GetShards()[copied.GetShard()])
	if placed.GetEpoch() != copied.GetEpoch() {
		return
	}
	if len(placed.GetNext()) > 0 {
		placed.Current, placed.Next = placed.GetNext(), nil
	}
	for _, replica := range placed.GetCurrent() {
		if replica.GetStore() == copied.GetStore() && replica.GetStorageId() == copied.GetStorageId() {
			replica.State = protocol.ReplicaState_REPLICA_ACTIVE
		}
	}
	f.publish(placed)
}

// until advances the clock until the condition is met.
func (f *fleet) until(condition func() bool) {
	GinkgoHelper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		Expect(time.Now().Before(deadline)).To(BeTrue(), "condition not met within awaitTimeout")
		f.clock.advance(50 * time.Millisecond)
	}
}

// placementApplied reports whether every reachable store acts under the latest placement.
func (f *fleet) placementApplied() bool { return f.placementAppliedExcept() }

// placementAppliedExcept is placementApplied without the stores that are down.
func (f *fleet) placementAppliedExcept(down ...string) bool {
	for name, m := range f.members {
		if slices.Contains(down, name) || f.partitioned[name] {
			continue
		}
		if m.store.Status().GetPlacementEpoch() != f.View().Placement.GetEpoch() {
			return false
		}
	}
	return true
}

// allReplicasActive reports whether no shard is being moved or rebuilt.
func (f *fleet) allReplicasActive() bool {
	for _, placed := range f.View().Placement.GetShards() {
		if len(placed.GetNext()) > 0 {
			return false
		}
		for _, replica := range placed.GetCurrent() {
			if replica.GetState() != protocol.ReplicaState_REPLICA_ACTIVE {
				return false
			}
		}
	}
	return true
}

func (f *fleet) client() *ledgerclient.Client {
	return ledgerclient.New(&network{fleet: f}, f.View, ledgerclient.Options{
		Deadline: awaitTimeout,
		Wait:     func(_ context.Context, wait time.Duration) { f.clock.advance(wait) },
	})
}

// do sends an operation as a front node does, while the clock advances.
func (f *fleet) do(operation *protocol.LedgerOperation) *protocol.LedgerResult {
	GinkgoHelper()
	return f.await(func() (*protocol.LedgerResult, error) { return f.client().Do(context.Background(), operation) })
}

// request sends an operation to one store only.
func (f *fleet) request(name string, limit time.Duration, operation *protocol.LedgerOperation) *protocol.LedgerResult {
	GinkgoHelper()
	operation = proto.CloneOf(operation)
	operation.PlacementEpoch = f.shardEpoch(operation)
	return f.await(func() (*protocol.LedgerResult, error) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		response, err := (&network{fleet: f}).Call(ctx, name,
			&protocol.Request{Body: &protocol.Request_Ledger{Ledger: operation}})
		return response.GetLedger(), err
	})
}

// shardEpoch returns the placement epoch of the shard of an operation's program.
func (f *fleet) shardEpoch(operation *protocol.LedgerOperation) uint64 {
	return placedShard(f.View(), operation).GetEpoch()
}

func placedShard(view *corelink.View, operation *protocol.LedgerOperation) *protocol.ShardPlacement {
	return view.Placement.GetShards()[ledger.ShardOf(operation.GetProgram(), shardCount)]
}

func boundedContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), shortTimeout)
}

func (f *fleet) await(run func() (*protocol.LedgerResult, error)) *protocol.LedgerResult {
	GinkgoHelper()
	type answer struct {
		result *protocol.LedgerResult
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		result, err := run()
		answers <- answer{result, err}
	}()
	last := time.Now()
	for {
		select {
		case got := <-answers:
			Expect(got.err).NotTo(HaveOccurred())
			return got.result
		default:
			now := time.Now()
			f.clock.advance(f.clockSpeedup * now.Sub(last))
			last = now
		}
	}
}
