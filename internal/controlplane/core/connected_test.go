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

var errCut = errors.New("the link is cut")

// network carries requests between the members of a fleet and counts those that arrive.
type network struct {
	mutex   sync.Mutex
	members map[string]*member
	// cut are the addresses whose requests do not get through.
	cut map[string]bool
	// loseAnswers are the addresses that send requests but get no answers.
	loseAnswers map[string]bool
	arrived     map[string]*traffic
	// held are the addresses that take requests and say nothing until their channel is closed.
	held map[string]chan struct{}
}

// traffic is what arrived at one address.
type traffic struct {
	requests, announcements, heartbeats, bytes int
}

// link is the wire.Caller of one member.
type link struct {
	network *network
	from    string
}

func (l *link) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errCut
}

func (l *link) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	target, lost, held := l.network.admit(l.from, address, request)
	if held != nil {
		<-held
		return nil, errCut
	}
	if target == nil {
		return nil, errCut
	}
	var answered *protocol.Response
	err := target.service.Serve(ctx, request, func(response *protocol.Response) error {
		answered = response
		return nil
	})
	if lost {
		return nil, errCut
	}
	return answered, err
}

// admit counts a request and finds who gets it, nil when the link is cut, and whether it is held there.
func (n *network) admit(from, address string, request *protocol.Request) (target *member, loseAnswer bool, held chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cut[from] || n.cut[address] {
		return nil, false, nil
	}
	counted := n.at(address)
	counted.requests++
	counted.bytes += proto.Size(request)
	counted.heartbeats += len(request.GetRenewBackEnds().GetHeard())
	if request.GetAnnounceBackEnd() != nil {
		counted.announcements++
	}
	return n.members[address], n.loseAnswers[from], n.held[address]
}

func (n *network) at(address string) *traffic {
	if n.arrived[address] == nil {
		n.arrived[address] = &traffic{}
	}
	return n.arrived[address]
}

// arrivedAt is what arrived at a member since the last call.
func (n *network) arrivedAt(m *member) traffic {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	counted := *n.at(m.core.GetAddress())
	n.arrived = map[string]*traffic{}
	return counted
}

func (n *network) setCut(m *member, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[m.core.GetAddress()] = cut
}

func (n *network) setLoseAnswers(m *member, lose bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loseAnswers[m.core.GetAddress()] = lose
}

// hold makes a member fall silent; release ends that.
func (n *network) hold(m *member) (release func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	held := make(chan struct{})
	n.held[m.core.GetAddress()] = held
	return sync.OnceFunc(func() { close(held) })
}

// newConnectedFleet makes a fleet whose members reach each other; each is in a zone of its own.
func newConnectedFleet(size int, configure func(*core.Options)) (*fleet, *network) {
	n := &network{members: map[string]*member{}, cut: map[string]bool{}, loseAnswers: map[string]bool{}, arrived: map[string]*traffic{}, held: map[string]chan struct{}{}}
	var all []*protocol.CoreMember
	f := newFleet(size, func(options *core.Options) {
		m := options.Consensus.(*member)
		m.core.Address, m.core.Zone = "internal-"+m.core.GetName(), "zone-"+m.core.GetName()
		n.members[m.core.GetAddress()] = m
		all = append(all, m.core)
		options.Caller = &link{network: n, from: m.core.GetAddress()}
		if configure != nil {
			configure(options)
		}
		for _, known := range n.members {
			known.members = all
		}
	})
	return f, n
}

// catchUp applies what was held back from a lagging member.
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return m.service.AnnounceBackEnd(ctx, backEnd, sequence)
}

// announceEverySecond sends heartbeats to a member for a time and returns the last sequence.
func (f *fleet) announceEverySecond(to *member, backEnd *protocol.BackEnd, sequence uint64, duration time.Duration) (uint64, error) {
	for ; duration > 0; duration -= time.Second {
		sequence++
		if err := to.announce(backEnd, sequence); err != nil {
			return sequence, err
		}
		f.advance(time.Second)
	}
	return sequence, nil
}

// context bounds a call of a spec.
func (f *fleet) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	ginkgo.DeferCleanup(cancel)
	return ctx
}
