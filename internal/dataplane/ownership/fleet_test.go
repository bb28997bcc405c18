package ownership_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/ownership"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// fakeLink is a fake of the connection to the core.
type fakeLink struct {
	mutex       sync.Mutex
	view        *corelink.View
	authority   *corelink.Authority
	subscribers []func(*corelink.View)
}

func (l *fakeLink) View() *corelink.View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.view
}

func (l *fakeLink) Authority() *corelink.Authority {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.authority
}

func (l *fakeLink) Subscribe(subscriber func(*corelink.View)) {
	l.subscribers = append(l.subscribers, subscriber)
}

func (l *fakeLink) SetOwning() {}

func (l *fakeLink) SetDraining(draining bool) {
	l.updateAuthority(func(self *protocol.Node, _ *time.Time) { self.Draining = draining })
}

func (l *fakeLink) updateAuthority(update func(self *protocol.Node, expiresAt *time.Time)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	next := &corelink.Authority{Self: proto.CloneOf(l.authority.Self), ExpiresAt: l.authority.ExpiresAt}
	update(next.Self, &next.ExpiresAt)
	l.authority = next
}

func (l *fakeLink) publish(view *corelink.View) {
	l.mutex.Lock()
	l.view = view
	l.mutex.Unlock()
	for _, subscriber := range l.subscribers {
		subscriber(view)
	}
}

// faultMode is the way in which calls to a node fail.
type faultMode int

const (
	reachable faultMode = iota
	connectionsBroken
	connectionsRefused
	unresponsive
)

// fleet is a set of managers in one process that call each other in virtual time.
type fleet struct {
	g       *WithT
	mutex   sync.Mutex
	nodes   map[string]*node
	faults  map[string]faultMode
	version uint64
	policy  *protocol.RecoveryPolicy
	// severed are the names of two nodes that cannot reach each other.
	severed [2]string
}

// nodeCaller makes the calls of one node.
type nodeCaller struct {
	*fleet
	name string
}

func (c nodeCaller) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	c.mutex.Lock()
	severed := c.severed == [2]string{c.name, address} || c.severed == [2]string{address, c.name}
	c.mutex.Unlock()
	if severed {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.fleet.Call(ctx, address, request)
}

type node struct {
	name     string
	link     *fakeLink
	manager  *ownership.Manager
	registry *prometheus.Registry
	mutex    sync.Mutex
	yielded  []string
}

func (f *fleet) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, &wire.NotSentError{}
}

func (f *fleet) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	f.mutex.Lock()
	target, fault := f.nodes[address], f.faults[address]
	f.mutex.Unlock()
	switch {
	case fault == connectionsRefused:
		return nil, &wire.NotSentError{Address: address, Cause: syscall.ECONNREFUSED}
	case fault == unresponsive:
		<-ctx.Done()
		return nil, ctx.Err()
	case target == nil || fault == connectionsBroken:
		return nil, &wire.BrokenError{Address: address, Cause: io.ErrUnexpectedEOF}
	}
	return target.manager.ServeDirectory(ctx, proto.CloneOf(request))
}

// withFleet runs a test with a fleet whose nodes have authority for one hour of virtual time and share one view.
func withFleet(t *testing.T, names []string, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{g: NewWithT(t), nodes: make(map[string]*node), faults: make(map[string]faultMode), version: 1}
		for _, name := range names {
			f.add(name)
		}
		f.publish(names...)
		defer f.stop()
		sleep(2 * time.Second)
		test(f)
	})
}

func (f *fleet) add(name string) *node {
	self := &protocol.Node{Name: name, Address: name, Kind: protocol.NodeKind_FRONT, Incarnation: 1}
	added := &node{name: name, registry: prometheus.NewRegistry(), link: &fakeLink{
		view:      &corelink.View{},
		authority: &corelink.Authority{Self: self, ExpiresAt: time.Now().Add(time.Hour)},
	}}
	added.manager = ownership.New(ownership.Options{
		Link: added.link, Caller: nodeCaller{fleet: f, name: name}, Random: rand.New(rand.NewPCG(1, 2)),
		Logger: log.New(io.Discard), Registerer: added.registry,
	})
	added.manager.OnYield(func(session string) {
		added.mutex.Lock()
		defer added.mutex.Unlock()
		added.yielded = append(added.yielded, session)
	})
	f.g.Expect(added.manager.Start(context.Background())).To(Succeed())
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes[name] = added
	return added
}

// publish delivers a view of the named nodes to each of them.
func (f *fleet) publish(names ...string) {
	f.version++
	membership := &protocol.MembershipView{Version: f.version}
	for _, name := range names {
		membership.Nodes = append(membership.Nodes, f.nodes[name].link.Authority().Self)
	}
	view := &corelink.View{Membership: membership, Configuration: &protocol.Configuration{
		Version: f.version, Active: &protocol.Bundle{Recovery: f.policy},
	}}
	for _, name := range names {
		f.nodes[name].link.publish(view)
	}
}

func (f *fleet) stop() {
	for _, node := range f.nodes {
		f.g.Expect(node.manager.Stop(context.Background())).To(Succeed())
	}
}

// breakConnections makes all calls to a node fail with a broken connection.
func (f *fleet) breakConnections(name string) { f.setFault(name, connectionsBroken) }

// setFault sets the way in which calls to a node fail.
func (f *fleet) setFault(name string, fault faultMode) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults[name] = fault
}

// partition makes calls between two nodes time out.
func (f *fleet) partition(one, other string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.severed = [2]string{one, other}
}

// resolvedOwner is the result of a Resolve.
type resolvedOwner struct {
	f     *fleet
	owner ownership.Owner
}

// resolveWithin resolves a session and requires an owner within the bound.
func (f *fleet) resolveWithin(bound time.Duration, name, session string) resolvedOwner {
	before := time.Now()
	owner := f.resolve(name, session)
	f.g.Expect(time.Since(before)).To(BeNumerically("<=", bound))
	return resolvedOwner{f: f, owner: owner}
}

func (o resolvedOwner) expectLocal() { o.f.g.Expect(o.owner.Local).To(BeTrue()) }

func (o resolvedOwner) expectName(name string) { o.f.g.Expect(o.owner.Name).To(Equal(name)) }

func (f *fleet) resolve(name, session string) ownership.Owner {
	owner, err := f.nodes[name].manager.Resolve(context.Background(), session, "program")
	f.g.Expect(err).NotTo(HaveOccurred())
	return owner
}

// ownedBy returns count sessions that the owner owns and whose registrations the holder holds.
func (f *fleet) ownedBy(owner, holder string, count int) []string {
	var sessions []string
	for i := 0; len(sessions) < count; i++ {
		session := owner + "-" + holder + "-" + time.Duration(i).String()
		if f.resolve(owner, session).PartitionHolder == holder {
			sessions = append(sessions, session)
		}
	}
	return sessions
}

func (n *node) yieldedSessions() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]string(nil), n.yielded...)
}

// metricSum returns the sum of a metric over its labels, for a histogram the number of its observations.
func (n *node) metricSum(name string) float64 {
	families, _ := n.registry.Gather()
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + float64(
				metric.GetHistogram().GetSampleCount(),
			)
		}
	}
	return sum
}

// sleep advances virtual time and waits until all goroutines are idle.
func sleep(duration time.Duration) {
	<-time.After(duration)
	synctest.Wait()
}
