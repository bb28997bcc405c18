package servingsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	leaseDuration     = 3 * time.Second
	leaseMargin       = 500 * time.Millisecond
	coreCheckInterval = 50 * time.Millisecond
	// serverHeartbeatTimeout is how long after its last heartbeat a server is removed from the view.
	serverHeartbeatTimeout = 1500 * time.Millisecond
	// lostAcknowledgementOneIn: under ScenarioOperatorOrders one acknowledgement in so many is lost.
	lostAcknowledgementOneIn = 3
)

type leaseRecord struct {
	incarnation uint64
	inForce     uint64
	expires     time.Time
}

type registeredServer struct {
	description   serverDescription
	lastHeartbeat time.Time
}

// coreState stands for the state that the core's replicated log determines; it outlives the process.
type coreState struct {
	view    *view
	leases  map[string]*leaseRecord
	servers map[string]*registeredServer
	routes  []string
	// draining are the ids of servers under a drain order, also while they are not registered.
	draining map[string]bool
}

func newCoreState() *coreState {
	return &coreState{
		view: &view{version: 1}, leases: make(map[string]*leaseRecord), servers: make(map[string]*registeredServer),
		draining: make(map[string]bool),
	}
}

// publish creates the next version of the view.
func (c *coreState) publish() {
	next := &view{version: c.view.version + 1, routes: slices.Clone(c.routes)}
	for _, address := range sortedKeys(c.servers) {
		next.servers = append(next.servers, c.servers[address].description)
	}
	c.view = next
}

// core is the process that grants leases, delivers views and accepts operators' orders.
type core struct {
	suite       *suite
	environment *sim.Environment
	transport   *transport
	state       *coreState
	// pendingOrders are acknowledged once the view is in force at every node with a lease.
	pendingOrders []pendingOrder
}

type pendingOrder struct {
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
		registered.lastHeartbeat = environment.Now()
	}
	environment.After(coreCheckInterval, c.check)
	return c, nil
}

// Receive implements sim.Process.
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
	record := c.state.leases[request.name]
	if record != nil && record.incarnation > request.incarnation {
		return leaseGranted{}
	}
	if record == nil || record.incarnation != request.incarnation {
		record = &leaseRecord{incarnation: request.incarnation}
		c.state.leases[request.name] = record
	}
	record.expires = c.environment.Now().Add(leaseDuration)
	record.inForce = max(record.inForce, request.inForce)
	c.acknowledge()
	answer := leaseGranted{granted: true, newestVersion: c.state.view.version}
	if request.inForce < c.state.view.version {
		answer.newerView = c.state.view
	}
	return answer
}

func (c *core) register(server serverDescription) {
	known := c.state.servers[server.address]
	if known != nil && known.description.id == server.id {
		known.lastHeartbeat = c.environment.Now()
		return
	}
	server.draining = c.state.draining[server.id]
	c.state.servers[server.address] = &registeredServer{description: server, lastHeartbeat: c.environment.Now()}
	c.state.publish()
}

// drain marks a server as draining; the order is acknowledged when every node with a lease has the view in force.
func (c *core) drain(order drainServer, opened *stream) {
	for _, address := range sortedKeys(c.state.servers) {
		registered := c.state.servers[address]
		if registered.description.id != order.id {
			continue
		}
		if !registered.description.draining {
			registered.description.draining = true
			c.state.draining[order.id] = true
			c.state.publish()
		}
		c.acknowledgeLater(func() {
			c.suite.rules.observeDrainAcknowledged(order.id)
			c.answer(opened, orderAnswer{accepted: true})
		})
		return
	}
	c.suite.count(InvalidOrders)
	c.answer(opened, orderAnswer{})
}

// addRoute appends a route if the order names the next index.
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
		c.suite.rules.observeRouteAcknowledged(order.name)
		c.answer(opened, orderAnswer{accepted: true})
	})
}

// answer acknowledges an order, unless the acknowledgement is lost.
func (c *core) answer(opened *stream, body orderAnswer) {
	if c.suite.enabled(ScenarioOperatorOrders) && c.environment.Random().IntN(lostAcknowledgementOneIn) == 0 {
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
	c.pendingOrders = append(c.pendingOrders, pendingOrder{version: c.state.view.version, done: done})
	c.acknowledge()
}

// acknowledge completes the orders that are in force at every node with a lease.
func (c *core) acknowledge() {
	minInForce := c.state.view.version
	for _, record := range c.state.leases {
		minInForce = min(minInForce, record.inForce)
	}
	orders := c.pendingOrders
	c.pendingOrders = nil
	for _, order := range orders {
		if order.version <= minInForce {
			order.done()
			continue
		}
		c.pendingOrders = append(c.pendingOrders, order)
	}
}

// check expires leases and removes servers without a recent heartbeat.
func (c *core) check() {
	now := c.environment.Now()
	for _, name := range sortedKeys(c.state.leases) {
		if !now.Before(c.state.leases[name].expires) {
			delete(c.state.leases, name)
		}
	}
	for _, address := range sortedKeys(c.state.servers) {
		if now.Sub(c.state.servers[address].lastHeartbeat) > serverHeartbeatTimeout {
			delete(c.state.servers, address)
			c.state.publish()
		}
	}
	c.acknowledge()
	c.environment.After(coreCheckInterval, c.check)
}
