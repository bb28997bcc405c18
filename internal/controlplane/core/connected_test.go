package core_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

var errPartitioned = errors.New("the network is partitioned")

// network carries requests between the members of a fleet and counts those that arrive.
type network struct {
	mutex   sync.Mutex
	members map[string]*member
	// partitioned are the addresses that no request reaches or leaves.
	partitioned map[string]bool
	// loseAnswers are the addresses whose requests are served but whose responses are lost.
	loseAnswers map[string]bool
	received    map[string]*traffic
	// unresponsive are the addresses that accept requests but send no response until their channel is closed.
	unresponsive map[string]chan struct{}
}

// traffic counts the requests that arrived at one address.
type traffic struct {
	requests, announcements, heartbeats, bytes int
}

// link is the wire.Caller of one member.
type link struct {
	network *network
	from    string
}

func (l *link) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errPartitioned
}

func (l *link) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	target, answerLost, unresponsive := l.network.route(l.from, address, request)
	if unresponsive != nil {
		<-unresponsive
		return nil, errPartitioned
	}
	if target == nil {
		return nil, errPartitioned
	}
	var answer *protocol.Response
	err := target.service.Serve(ctx, request, func(response *protocol.Response) error {
		answer = response
		return nil
	})
	if answerLost {
		return nil, errPartitioned
	}
	return answer, err
}

// route counts a request and returns its receiver, nil if the network is partitioned, and the channel that the request
// blocks on if the receiver is unresponsive.
func (n *network) route(
	from, address string, request *protocol.Request,
) (target *member, loseAnswer bool, unresponsive chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.partitioned[from] || n.partitioned[address] {
		return nil, false, nil
	}
	counted := n.trafficTo(address)
	counted.requests++
	counted.bytes += proto.Size(request)
	counted.heartbeats += len(request.GetRenewBackEnds().GetHeard())
	if request.GetAnnounceBackEnd() != nil {
		counted.announcements++
	}
	return n.members[address], n.loseAnswers[from], n.unresponsive[address]
}

func (n *network) trafficTo(address string) *traffic {
	if n.received[address] == nil {
		n.received[address] = &traffic{}
	}
	return n.received[address]
}

// takeTraffic returns the traffic that arrived at a member and resets the counts of all members.
func (n *network) takeTraffic(m *member) traffic {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	counted := *n.trafficTo(m.core.GetAddress())
	n.received = map[string]*traffic{}
	return counted
}

func (n *network) setPartitioned(m *member, partitioned bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitioned[m.core.GetAddress()] = partitioned
}

func (n *network) setLoseAnswers(m *member, lose bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loseAnswers[m.core.GetAddress()] = lose
}

// setUnresponsive makes a member send no responses until release is called.
func (n *network) setUnresponsive(m *member) (release func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	released := make(chan struct{})
	n.unresponsive[m.core.GetAddress()] = released
	return sync.OnceFunc(func() { close(released) })
}

// newConnectedFleet returns a fleet whose members can call each other; each is in a zone of its own.
func newConnectedFleet(size int) (*fleet, *network) {
	n := &network{
		members: map[string]*member{}, partitioned: map[string]bool{}, loseAnswers: map[string]bool{},
		received: map[string]*traffic{}, unresponsive: map[string]chan struct{}{},
	}
	var all []*protocol.CoreMember
	f := newFleet(size, func(options *core.Options) {
		m := options.Consensus.(*member)
		m.core.Address, m.core.Zone = "internal-"+m.core.GetName(), "zone-"+m.core.GetName()
		n.members[m.core.GetAddress()] = m
		all = append(all, m.core)
		options.Caller = &link{network: n, from: m.core.GetAddress()}
		for _, known := range n.members {
			known.members = all
		}
	})
	return f, n
}

// catchUp applies the backlog of a lagging member.
func (m *member) catchUp() {
	m.fleet.set(func() {
		for _, entry := range m.backlog {
			m.machine.Apply(entry.index, entry.command)
		}
		m.lagging, m.backlog = false, nil
	})
}

// announce sends one heartbeat to a member.
func (m *member) announce(backEnd *protocol.BackEnd, sequence uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return m.service.AnnounceBackEnd(ctx, backEnd, sequence)
}

// announceEverySecond sends a heartbeat per second to a member for the duration and returns the last sequence.
func (f *fleet) announceEverySecond(
	to *member, backEnd *protocol.BackEnd, sequence uint64, duration time.Duration,
) (uint64, error) {
	for ; duration > 0; duration -= time.Second {
		sequence++
		if err := to.announce(backEnd, sequence); err != nil {
			return sequence, err
		}
		f.advance(time.Second)
	}
	return sequence, nil
}

// context returns a context that bounds the calls of a spec.
func (f *fleet) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	ginkgo.DeferCleanup(cancel)
	return ctx
}
