package core_test

import (
	"bytes"
	"context"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/controlplane/coremembership"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/protocol"
)

// waitTimeout bounds waits in wall-clock time, generously enough for a slow machine.
const waitTimeout = 30 * time.Second

func TestCore(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(waitTimeout)
	RunSpecs(t, "core")
}

// virtualClock advances only by step.
type virtualClock struct {
	mutex  sync.Mutex
	now    time.Time
	timers []*virtualTimer
}

type virtualTimer struct {
	clock *virtualClock
	due   time.Time
	fired chan time.Time
}

func newClock() *virtualClock { return &virtualClock{now: time.Unix(1_764_650_000, 0)} }

func (c *virtualClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *virtualClock) NewTimer(after time.Duration) replica.Timer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	timer := &virtualTimer{clock: c, due: c.now.Add(after), fired: make(chan time.Time, 1)}
	if after <= 0 {
		timer.fired <- c.now
		return timer
	}
	c.timers = append(c.timers, timer)
	return timer
}

func (t *virtualTimer) C() <-chan time.Time { return t.fired }

func (t *virtualTimer) Stop() {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	t.clock.timers = slices.DeleteFunc(t.clock.timers, func(other *virtualTimer) bool { return other == t })
}

func (c *virtualClock) step(by time.Duration) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(by)
	waiting := c.timers[:0]
	for _, timer := range c.timers {
		if timer.due.After(c.now) {
			waiting = append(waiting, timer)
			continue
		}
		timer.fired <- c.now
	}
	c.timers = waiting
	return c.now
}

// fleet is a core of several members that share one log in memory; at most one of them leads.
type fleet struct {
	clock   *virtualClock
	mutex   sync.Mutex
	index   uint64
	leader  *member
	members []*member
}

// member implements core.Consensus.
type member struct {
	fleet   *fleet
	core    *protocol.CoreMember
	machine *core.Machine
	service *core.Service
	since   time.Time
	// loseAnswers makes Propose apply the command and then return an error with an unknown outcome.
	loseAnswers bool
	// members are the current members of the core, and retired the removed ones.
	members, retired []*protocol.CoreMember
	// reachable maps addresses to the core processes that Identify finds there.
	reachable map[string]*protocol.CoreMember
	// dropProposals makes Propose drop the command and return an error with an unknown outcome.
	dropProposals bool
	// lagging makes committed commands go to the backlog instead of this member's machine.
	lagging bool
	backlog []logEntry
	// gate, if not nil, blocks proposals before they reach the log.
	gate *proposalGate
}

// logEntry is one committed command.
type logEntry struct {
	index   uint64
	command []byte
}

func newFleet(size int, configure func(*core.Options)) *fleet {
	baseline := goleak.IgnoreCurrent()
	f := &fleet{clock: newClock()}
	for i := range size {
		m := &member{fleet: f, machine: core.NewMachine(nil), core: &protocol.CoreMember{
			Id: uint64(i + 1), Name: string(rune('a' + i)), HttpAddress: "127.0.0.1:" + string(rune('1'+i)) + "000",
		}}
		options := core.Options{Consensus: m, Machine: m.machine, Clock: f.clock}
		if configure != nil {
			configure(&options)
		}
		m.service = core.New(options)
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		m.service.Start()
	}
	DeferCleanup(func() {
		for _, m := range f.members {
			m.service.Stop()
		}
		Eventually(func() error { return goleak.Find(baseline) }).Should(Succeed())
	})
	return f
}

// lead makes m the leader; with nil no member leads.
func (f *fleet) lead(m *member) *member {
	f.mutex.Lock()
	f.leader = m
	if m != nil {
		m.since = f.clock.now
	}
	f.mutex.Unlock()
	f.advance(50 * time.Millisecond)
	return m
}

// advance moves the clock in steps of the owners' tick and waits after each step until all owners are idle.
func (f *fleet) advance(by time.Duration) {
	GinkgoHelper()
	for by > 0 {
		by -= 50 * time.Millisecond
		now := f.clock.step(50 * time.Millisecond)
		f.awaitIdle(now)
	}
}

// awaitIdle waits until every owner has handled its tick at now and the tasks that the tick started.
func (f *fleet) awaitIdle(now time.Time) {
	GinkgoHelper()
	deadline := time.Now().Add(waitTimeout)
	for _, m := range f.members {
		for !m.service.Idle(now) {
			Expect(time.Now().Before(deadline)).To(BeTrue(), "owner of %s not idle after %v", m.core.GetName(), waitTimeout)
			runtime.Gosched()
		}
	}
}

// set runs change under the lock that proposals acquire.
func (f *fleet) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (m *member) leads() bool { return m.fleet.leader == m }

func (m *member) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	m.proposalGate().pass()
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	if !m.leads() {
		return nil, 0, &replica.NotLeaderError{}
	}
	if m.dropProposals {
		return nil, 0, &replica.UnknownOutcomeError{Cause: context.DeadlineExceeded}
	}
	m.fleet.index++
	var result []byte
	for _, other := range m.fleet.members {
		if other.lagging {
			other.backlog = append(other.backlog, logEntry{index: m.fleet.index, command: command})
			continue
		}
		applied := other.machine.Apply(m.fleet.index, command)
		if other == m {
			result = applied
		}
	}
	if m.loseAnswers {
		return nil, 0, &replica.UnknownOutcomeError{Cause: &replica.LeadershipLostError{}}
	}
	return result, m.fleet.index, nil
}

func (m *member) proposalGate() *proposalGate {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	return m.gate
}

func (m *member) Barrier(context.Context) error {
	if !m.IsLeader() {
		return &replica.NotLeaderError{}
	}
	return nil
}

func (m *member) IsLeader() bool {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	return m.leads()
}

func (m *member) LeaderSince() time.Time {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	if !m.leads() {
		return time.Time{}
	}
	return m.since
}

func (m *member) Leader() *protocol.CoreMember {
	m.fleet.mutex.Lock()
	defer m.fleet.mutex.Unlock()
	if m.fleet.leader == nil {
		return nil
	}
	return m.fleet.leader.core
}

func (m *member) Status() *protocol.CoreStatusResponse {
	return &protocol.CoreStatusResponse{
		Name: m.core.GetName(), Id: m.core.GetId(),
		Configuration: &protocol.CoreConfiguration{Members: m.members, Retired: m.retired},
	}
}

func (m *member) ServeWire(context.Context, *protocol.Request) (*protocol.Response, error) {
	return &protocol.Response{Body: &protocol.Response_CoreStatus{CoreStatus: m.Status()}}, nil
}

func (m *member) Identify(_ context.Context, address string) (*protocol.CoreMember, error) {
	member := m.reachable[address]
	if member == nil {
		return nil, &replica.MemberUnreachableError{Address: address, Cause: context.DeadlineExceeded}
	}
	return member, nil
}

func (m *member) Admit(_ context.Context, admitted *protocol.CoreMember) error {
	m.members = append(m.members, admitted)
	return nil
}

func (m *member) RemoveMember(_ context.Context, name string) error {
	for i, member := range m.members {
		if member.GetName() == name || strconv.FormatUint(member.GetId(), 10) == name {
			m.retired = append(m.retired, member)
			m.members = slices.Delete(slices.Clone(m.members), i, i+1)
			return nil
		}
	}
	for _, member := range m.retired {
		if member.GetName() == name || strconv.FormatUint(member.GetId(), 10) == name {
			return nil
		}
	}
	return &coremembership.MemberUnknownError{Member: name}
}

// call makes one request; err is the error that the peer would receive.
func (m *member) call(request *protocol.Request) (*protocol.Response, error) {
	var answer *protocol.Response
	err := m.service.Serve(context.Background(), request, func(response *protocol.Response) error {
		answer = response
		return nil
	})
	return answer, err
}

func (m *member) renew(node *protocol.Node, inForce *protocol.ControlVersions) bool {
	GinkgoHelper()
	answer, err := m.call(renewLeaseRequest(&protocol.RenewLeaseRequest{Node: node, InForce: inForce}))
	Expect(err).NotTo(HaveOccurred())
	return answer.GetRenewLease().GetGranted()
}

func (m *member) poll(
	node *protocol.Node, known *protocol.ControlVersions, wait uint32,
) (*protocol.PollControlResponse, error) {
	answer, err := m.call(pollRequest(&protocol.PollControlRequest{
		Node: node.GetName(), Incarnation: node.GetIncarnation(), Known: known, WaitMillis: wait,
	}))
	return answer.GetPollControl(), err
}

func (m *member) heartbeat(backEnds ...*protocol.BackEnd) {
	GinkgoHelper()
	relay := &protocol.RelayHeartbeatsRequest{}
	for _, backEnd := range backEnds {
		relay.Heartbeats = append(relay.Heartbeats, &protocol.BackEndHeartbeat{BackEnd: backEnd})
	}
	_, err := m.call(&protocol.Request{Body: &protocol.Request_RelayHeartbeats{RelayHeartbeats: relay}})
	Expect(err).NotTo(HaveOccurred())
}

// restart restores the member's machine from a snapshot of itself.
func (m *member) restart() {
	GinkgoHelper()
	var snapshot bytes.Buffer
	Expect(m.machine.Snapshot(&snapshot)).To(Succeed())
	Expect(m.machine.Restore(&snapshot)).To(Succeed())
}

func (m *member) names() []string {
	var names []string
	for _, node := range m.machine.View().Membership.GetNodes() {
		names = append(names, node.GetName())
	}
	return names
}

func frontNode(name string, incarnation uint64) *protocol.Node {
	return &protocol.Node{
		Name: name, Kind: protocol.NodeKind_FRONT, Incarnation: incarnation,
		Address: "10.0.0.1:" + name, Zone: "z1",
	}
}

func storeNode(name, zone string) *protocol.Node {
	return &protocol.Node{
		Name: name, Kind: protocol.NodeKind_STORE, Incarnation: 1, Address: "10.0.1.1:" + name,
		Zone: zone, StorageId: "disk",
	}
}

func modelServer(id string) *protocol.BackEnd {
	return &protocol.BackEnd{
		Id: id, Address: "10.1.0.1:" + id, Incarnation: 1, State: protocol.BackEndState_READY,
		Kind: protocol.BackEndKind_MODEL_SERVER,
	}
}

// The functions below wrap a body in a wire request.

func pollRequest(body *protocol.PollControlRequest) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_PollControl{PollControl: body}}
}

func renewLeaseRequest(body *protocol.RenewLeaseRequest) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_RenewLease{RenewLease: body}}
}

func renewBackEndsRequest(body *protocol.RenewBackEndsRequest) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_RenewBackEnds{RenewBackEnds: body}}
}

func shareOutcomesRequest(body *protocol.ShareOutcomesRequest) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_ShareOutcomes{ShareOutcomes: body}}
}

func watchSuspectsRequest(body *protocol.WatchSuspectsRequest) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_WatchSuspects{WatchSuspects: body}}
}

func drainRequest(body *protocol.DrainBackEndRequest) *protocol.Request {
	return &protocol.Request{Body: &protocol.Request_DrainBackEnd{DrainBackEnd: body}}
}
