package servingsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	leaseDuration = 3 * time.Second
	leaseMargin   = 500 * time.Millisecond
	coreCheck     = 50 * time.Millisecond
	// serverSilence is how long a server may be silent before it leaves the view.
	serverSilence = 1500 * time.Millisecond
	// lostAnswerOneIn is how rarely an acknowledgement of an order is lost on bad days of operators.
	lostAnswerOneIn = 3
)

type leaseRecord struct {
	incarnation uint64
	inForce     uint64
	expires     time.Time
}

type registeredServer struct {
	description serverDescription
	heardAt     time.Time
}

// coreState is what the core's replicated log would hold.
type coreState struct {
	view    *view
	leases  map[string]*leaseRecord
	servers map[string]*registeredServer
	routes  []string
	// drained are the ids that were told to drain; they stay so when they were silent for a while.
	drained map[string]bool
}

func newCoreState() *coreState {
	return &coreState{
		view: &view{version: 1}, leases: make(map[string]*leaseRecord), servers: make(map[string]*registeredServer),
		drained: make(map[string]bool),
	}
}

// publish makes the next view.
func (c *coreState) publish() {
	next := &view{version: c.view.version + 1, routes: slices.Clone(c.routes)}
	for _, address := range sortedKeys(c.servers) {
		next.servers = append(next.servers, c.servers[address].description)
	}
	c.view = next
}

// core is the process that grants leases, delivers views and takes orders.
type core struct {
	suite       *suite
	environment *sim.Environment
	transport   *transport
	state       *coreState
	// waiting are orders that are acknowledged once the view is in force everywhere.
	waiting []waitingOrder
}

type waitingOrder struct {
	version uint64
	done    func()
}

func (s *suite) buildCore(environment *sim.Environment) (sim.Process, error) {
	c := &core{suite: s, environment: environment, state: s.core}
	c.transport = newTransport(environment, c.serve)
	for _, record := range c.state.leases {
		record.expires = environment.Now().Add(leaseDuration)
	}
	for _, registered := range c.state.servers {
		registered.heardAt = environment.Now()
	}
	environment.After(coreCheck, c.check)
	return c, nil
}

// Receive takes a frame in.
func (c *core) Receive(from sim.Address, message any) { c.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (c *core) ConnectionBroken(peer sim.Address) { c.transport.connectionBroken(peer) }

func (c *core) serve(opened *stream, body any) {
	switch body := body.(type) {
	case renewLease:
		opened.send(c.renew(body))
	case heartbeat:
		c.register(body.server)
		opened.send(struct{}{})
	case drainServer:
		c.drain(body, opened)
	case addRoute:
		c.addRoute(body, opened)
	}
}

func (c *core) renew(request renewLease) leaseGranted {
	held := c.state.leases[request.name]
	if held != nil && held.incarnation > request.incarnation {
		return leaseGranted{}
	}
	if held == nil || held.incarnation != request.incarnation {
		held = &leaseRecord{incarnation: request.incarnation}
		c.state.leases[request.name] = held
	}
	held.expires = c.environment.Now().Add(leaseDuration)
	held.inForce = max(held.inForce, request.inForce)
	c.acknowledge()
	answer := leaseGranted{granted: true, version: c.state.view.version}
	if request.inForce < c.state.view.version {
		answer.fresh = c.state.view
	}
	return answer
}

func (c *core) register(server serverDescription) {
	known := c.state.servers[server.address]
	if known != nil && known.description.id == server.id {
		known.heardAt = c.environment.Now()
		return
	}
	server.draining = c.state.drained[server.id]
	c.state.servers[server.address] = &registeredServer{description: server, heardAt: c.environment.Now()}
	c.state.publish()
}

// drain marks a server; the order is acknowledged when every lease has the view in force.
func (c *core) drain(order drainServer, opened *stream) {
	for _, address := range sortedKeys(c.state.servers) {
		registered := c.state.servers[address]
		if registered.description.id != order.id {
			continue
		}
		if !registered.description.draining {
			registered.description.draining = true
			c.state.drained[order.id] = true
			c.state.publish()
		}
		c.acknowledgeLater(func() {
			c.suite.rules.drainAcknowledged(order.id)
			c.answer(opened, orderAnswer{accepted: true})
		})
		return
	}
	c.suite.count(InvalidOrders)
	c.answer(opened, orderAnswer{})
}

// addRoute puts a route at the place that the order names, if it is the next one.
func (c *core) addRoute(order addRoute, opened *stream) {
	if order.base < len(c.state.routes) && c.state.routes[order.base] == order.name {
		c.suite.count(RepeatedOrders)
		c.routeAcknowledged(order, opened)
		return
	}
	if order.base != len(c.state.routes) {
		answer := orderAnswer{}
		if order.base < len(c.state.routes) {
			answer.winner = c.state.routes[order.base]
			c.suite.count(LostRaces)
		} else {
			c.suite.count(InvalidOrders)
		}
		c.answer(opened, answer)
		return
	}
	c.state.routes = append(c.state.routes, order.name)
	c.state.publish()
	c.routeAcknowledged(order, opened)
}

func (c *core) routeAcknowledged(order addRoute, opened *stream) {
	c.acknowledgeLater(func() {
		c.suite.rules.routeAcknowledged(order.name)
		c.answer(opened, orderAnswer{accepted: true})
	})
}

// answer acknowledges an order; on bad days of operators acknowledgements get lost.
func (c *core) answer(opened *stream, body orderAnswer) {
	if c.suite.has(KindOrders) && c.environment.Random().IntN(lostAnswerOneIn) == 0 {
		c.suite.count(LostAcknowledgements)
		return
	}
	opened.send(body)
}

func (c *core) acknowledgeLater(done func()) {
	if c.suite.options.Mutation == MutationEarlyAcknowledgement {
		done()
		return
	}
	c.waiting = append(c.waiting, waitingOrder{version: c.state.view.version, done: done})
	c.acknowledge()
}

// acknowledge ends the orders that are in force at every node with a lease.
func (c *core) acknowledge() {
	least := c.state.view.version
	for _, record := range c.state.leases {
		least = min(least, record.inForce)
	}
	waiting := c.waiting
	c.waiting = nil
	for _, order := range waiting {
		if order.version <= least {
			order.done()
			continue
		}
		c.waiting = append(c.waiting, order)
	}
}

// check ends leases and forgets servers that are silent.
func (c *core) check() {
	now := c.environment.Now()
	for _, name := range sortedKeys(c.state.leases) {
		if !now.Before(c.state.leases[name].expires) {
			delete(c.state.leases, name)
		}
	}
	for _, address := range sortedKeys(c.state.servers) {
		if now.Sub(c.state.servers[address].heardAt) > serverSilence {
			delete(c.state.servers, address)
			c.state.publish()
		}
	}
	c.acknowledge()
	c.environment.After(coreCheck, c.check)
}
