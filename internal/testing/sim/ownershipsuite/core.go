package ownershipsuite

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	leaseDuration       = 5 * time.Second
	longPollTimeout     = 10 * time.Second
	expiryCheckInterval = 50 * time.Millisecond
)

// coreState stands for the core's replicated state: it outlives the core's process.
type coreState struct {
	version uint64
	leases  map[string]*leaseRecord
	// leaseEndedAt is the true time at which the lease of each incarnation ended at the core.
	leaseEndedAt map[incarnation]time.Duration
	// lastContact is when the core last received a message of a node.
	lastContact map[string]time.Duration
	view        *protocol.MembershipView
}

type leaseRecord struct {
	node    *protocol.Node
	expires time.Time
}

// incarnation names one incarnation of a node.
type incarnation struct {
	name        string
	incarnation uint64
}

func newCoreState() *coreState {
	return &coreState{
		version: 1, leases: make(map[string]*leaseRecord), leaseEndedAt: make(map[incarnation]time.Duration),
		lastContact: make(map[string]time.Duration), view: &protocol.MembershipView{Version: 1},
	}
}

func (c *coreState) membership() *protocol.MembershipView { return c.view }

func (c *coreState) publishView() {
	c.version++
	names := make([]string, 0, len(c.leases))
	for name := range c.leases {
		names = append(names, name)
	}
	slices.Sort(names)
	view := &protocol.MembershipView{Version: c.version}
	for _, name := range names {
		view.Nodes = append(view.Nodes, c.leases[name].node)
	}
	c.view = view
}

// core is the process that grants leases and answers polls.
type core struct {
	suite       *suite
	environment *sim.Environment
	state       *coreState
	polls       []pendingPoll
}

type pendingPoll struct {
	from     sim.Address
	id       uint64
	known    uint64
	deadline time.Time
}

func (s *suite) buildCore(environment *sim.Environment) (sim.Process, error) {
	c := &core{suite: s, environment: environment, state: s.core}
	for _, record := range c.state.leases {
		record.expires = environment.Now().Add(leaseDuration)
	}
	environment.After(expiryCheckInterval, c.expireLeases)
	return c, nil
}

// Receive serves renewals and polls.
func (c *core) Receive(from sim.Address, message any) {
	request, isPacket := message.(packet)
	if !isPacket || request.reply {
		return
	}
	c.state.lastContact[string(from)] = c.suite.world.Elapsed()
	switch body := request.body.(type) {
	case *protocol.CoreStatusRequest:
		c.environment.Send(from, packet{id: request.id, reply: true, body: &protocol.CoreStatusResponse{}})
	case *protocol.RenewLeaseRequest:
		c.environment.Send(from, packet{id: request.id, reply: true, body: c.renew(body)})
	case *protocol.PollControlRequest:
		c.poll(from, request.id, body)
	}
}

func (c *core) renew(request *protocol.RenewLeaseRequest) *protocol.RenewLeaseResponse {
	node := request.GetNode()
	record := c.state.leases[node.GetName()]
	if record != nil && record.node.GetIncarnation() > node.GetIncarnation() {
		return &protocol.RenewLeaseResponse{}
	}
	if _, ended := c.state.leaseEndedAt[incarnation{node.GetName(), node.GetIncarnation()}]; ended && record == nil &&
		request.GetRelease() {
		return &protocol.RenewLeaseResponse{}
	}
	switch {
	case request.GetRelease():
		c.endLease(node.GetName())
	case record == nil || !proto.Equal(record.node, node):
		c.grantLease(node)
	default:
		record.expires = c.environment.Now().Add(leaseDuration)
	}
	return &protocol.RenewLeaseResponse{
		Granted: !request.GetRelease(), DurationMillis: uint32(leaseDuration.Milliseconds()),
		Latest: &protocol.ControlVersions{Membership: c.state.version},
	}
}

func (c *core) grantLease(node *protocol.Node) {
	if record := c.state.leases[node.GetName()]; record != nil && record.node.GetIncarnation() != node.GetIncarnation() {
		c.recordLeaseEnd(record.node)
	}
	// A node may request a lease again under an incarnation whose first lease expired before the grant reached it.
	delete(c.state.leaseEndedAt, incarnation{node.GetName(), node.GetIncarnation()})
	c.state.leases[node.GetName()] = &leaseRecord{node: node, expires: c.environment.Now().Add(leaseDuration)}
	c.publish()
}

func (c *core) endLease(name string) {
	if record := c.state.leases[name]; record != nil {
		c.recordLeaseEnd(record.node)
		delete(c.state.leases, name)
		c.publish()
	}
}

func (c *core) recordLeaseEnd(node *protocol.Node) {
	c.state.leaseEndedAt[incarnation{node.GetName(), node.GetIncarnation()}] = c.suite.world.Elapsed()
}

func (c *core) publish() {
	c.state.publishView()
	c.environment.Tracef("view %v", c.state.view)
	c.suite.recordDisturbance()
	c.answerPolls()
}

func (c *core) expireLeases() {
	now := c.environment.Now()
	var ended []string
	for name, record := range c.state.leases {
		if !now.Before(record.expires) && c.suite.options.Mutation != MutationNeverExpireLease {
			ended = append(ended, name)
		}
	}
	slices.Sort(ended)
	for _, name := range ended {
		c.endLease(name)
	}
	c.answerPolls()
	c.environment.After(expiryCheckInterval, c.expireLeases)
}

func (c *core) poll(from sim.Address, id uint64, request *protocol.PollControlRequest) {
	until := c.environment.Now().Add(time.Duration(request.GetWaitMillis()) * time.Millisecond)
	c.polls = append(c.polls, pendingPoll{from: from, id: id, known: request.GetKnown().GetMembership(), deadline: until})
	c.answerPolls()
}

func (c *core) answerPolls() {
	now := c.environment.Now()
	c.polls = slices.DeleteFunc(c.polls, func(poll pendingPoll) bool {
		if poll.known >= c.state.version && now.Before(poll.deadline) {
			return false
		}
		answer := &protocol.PollControlResponse{}
		if poll.known < c.state.version {
			answer.Membership = c.state.membership()
		}
		c.environment.Send(poll.from, packet{id: poll.id, reply: true, body: answer})
		return true
	})
}
