package ownershipsuite

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	leaseDuration = 5 * time.Second
	longPoll      = 10 * time.Second
	expiryCheck   = 50 * time.Millisecond
)

// coreState is what the core would have replicated: it outlives the core's process.
type coreState struct {
	version uint64
	leases  map[string]*leaseRecord
	// expired holds the true time at which each stretch of authority ended at the core.
	expired map[stretch]time.Duration
	// heard is when the core last received something of a node.
	heard map[string]time.Duration
	view  *protocol.MembershipView
}

type leaseRecord struct {
	node    *protocol.Node
	expires time.Time
}

// stretch is one incarnation of a node.
type stretch struct {
	name        string
	incarnation uint64
}

func newCoreState() *coreState {
	return &coreState{
		version: 1, leases: make(map[string]*leaseRecord), expired: make(map[stretch]time.Duration),
		heard: make(map[string]time.Duration), view: &protocol.MembershipView{Version: 1},
	}
}

func (c *coreState) membership() *protocol.MembershipView { return c.view }

func (c *coreState) changed() {
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
	polls       []heldPoll
}

type heldPoll struct {
	from  sim.Address
	id    uint64
	known uint64
	until time.Time
}

func (s *suite) buildCore(environment *sim.Environment) (sim.Process, error) {
	c := &core{suite: s, environment: environment, state: s.core}
	for _, record := range c.state.leases {
		record.expires = environment.Now().Add(leaseDuration)
	}
	environment.After(expiryCheck, c.check)
	return c, nil
}

// Receive serves renewals and polls.
func (c *core) Receive(from sim.Address, message any) {
	request, isPacket := message.(packet)
	if !isPacket || request.reply {
		return
	}
	c.state.heard[string(from)] = c.suite.world.Elapsed()
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
	held := c.state.leases[node.GetName()]
	if held != nil && held.node.GetIncarnation() > node.GetIncarnation() {
		return &protocol.RenewLeaseResponse{}
	}
	if _, ended := c.state.expired[stretch{node.GetName(), node.GetIncarnation()}]; ended && held == nil && request.GetRelease() {
		return &protocol.RenewLeaseResponse{}
	}
	switch {
	case request.GetRelease():
		c.end(node.GetName())
	case held == nil || !proto.Equal(held.node, node):
		c.join(node)
	default:
		held.expires = c.environment.Now().Add(leaseDuration)
	}
	return &protocol.RenewLeaseResponse{
		Granted: !request.GetRelease(), DurationMillis: uint32(leaseDuration.Milliseconds()),
		Latest: &protocol.ControlVersions{Membership: c.state.version},
	}
}

func (c *core) join(node *protocol.Node) {
	if held := c.state.leases[node.GetName()]; held != nil && held.node.GetIncarnation() != node.GetIncarnation() {
		c.noteEnd(held.node)
	}
	// A node may ask again under an incarnation whose first grant never reached it and ran out.
	delete(c.state.expired, stretch{node.GetName(), node.GetIncarnation()})
	c.state.leases[node.GetName()] = &leaseRecord{node: node, expires: c.environment.Now().Add(leaseDuration)}
	c.publish()
}

func (c *core) end(name string) {
	if held := c.state.leases[name]; held != nil {
		c.noteEnd(held.node)
		delete(c.state.leases, name)
		c.publish()
	}
}

func (c *core) noteEnd(node *protocol.Node) {
	c.state.expired[stretch{node.GetName(), node.GetIncarnation()}] = c.suite.world.Elapsed()
}

func (c *core) publish() {
	c.state.changed()
	c.environment.Tracef("view %v", c.state.view)
	c.suite.disturb()
	c.answerPolls()
}

func (c *core) check() {
	now := c.environment.Now()
	var ended []string
	for name, record := range c.state.leases {
		if !now.Before(record.expires) && c.suite.options.Mutation != MutationSilentAuthority {
			ended = append(ended, name)
		}
	}
	slices.Sort(ended)
	for _, name := range ended {
		c.end(name)
	}
	c.answerPolls()
	c.environment.After(expiryCheck, c.check)
}

func (c *core) poll(from sim.Address, id uint64, request *protocol.PollControlRequest) {
	until := c.environment.Now().Add(time.Duration(request.GetWaitMillis()) * time.Millisecond)
	c.polls = append(c.polls, heldPoll{from: from, id: id, known: request.GetKnown().GetMembership(), until: until})
	c.answerPolls()
}

func (c *core) answerPolls() {
	now := c.environment.Now()
	c.polls = slices.DeleteFunc(c.polls, func(held heldPoll) bool {
		if held.known >= c.state.version && now.Before(held.until) {
			return false
		}
		answer := &protocol.PollControlResponse{}
		if held.known < c.state.version {
			answer.Membership = c.state.membership()
		}
		c.environment.Send(held.from, packet{id: held.id, reply: true, body: answer})
		return true
	})
}
