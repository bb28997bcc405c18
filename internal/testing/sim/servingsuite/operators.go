package servingsuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	operatorCount   = 2
	orderTimeout    = time.Second
	orderInterval   = 700 * time.Millisecond
	invalidOrderGap = 5
	leaveTimeout    = 2 * time.Second
)

// operators is all operators: two race for the next route again and again, one releases servers one after another.
type operators struct {
	suite       *suite
	environment *sim.Environment
	transport   *transport
	// routes is how many routes each operator believes to be in force.
	routes [operatorCount]int
	orders int
}

func (s *suite) buildOperators(environment *sim.Environment) (sim.Process, error) {
	o := &operators{suite: s, environment: environment}
	o.transport = newTransport(environment, func(*stream, any) {})
	if s.has(KindOrders) {
		for operator := range operatorCount {
			environment.After(daysBegin, func() { o.addRoutes(operator) })
		}
		environment.After(daysBegin, o.orderInvalid)
	}
	if s.has(KindServers) {
		environment.After(daysBegin, func() { o.release(0) })
	}
	return o, nil
}

// Receive takes a frame in.
func (o *operators) Receive(from sim.Address, message any) { o.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (o *operators) ConnectionBroken(peer sim.Address) { o.transport.connectionBroken(peer) }

func (o *operators) over() bool { return o.suite.world.Elapsed() > daysEnd }

// addRoutes orders the next route; the loser of a race goes on behind the winner.
func (o *operators) addRoutes(operator int) {
	if o.over() {
		return
	}
	o.orders++
	name := fmt.Sprintf("route-%d-%d", operator, o.orders)
	o.addRoute(operator, addRoute{name: name, base: o.routes[operator]})
}

// addRoute sends one order until it is answered.
func (o *operators) addRoute(operator int, order addRoute) {
	o.transport.call(coreAddress, order, orderTimeout, func(body any) {
		answer, answered := body.(orderAnswer)
		if !answered {
			o.environment.After(orderInterval, func() { o.addRoute(operator, order) })
			return
		}
		o.routes[operator]++
		if answer.accepted {
			o.suite.count(RoutesAdded)
		}
		o.environment.After(orderInterval, func() { o.addRoutes(operator) })
	})
}

// orderInvalid orders what cannot be: a route behind many that do not exist, and the drain of an unknown server.
func (o *operators) orderInvalid() {
	if o.over() {
		return
	}
	ignore := func(any) {}
	o.transport.call(coreAddress, addRoute{name: "route-invalid", base: len(o.suite.core.routes) + invalidOrderGap}, orderTimeout, ignore)
	o.transport.call(coreAddress, drainServer{id: "nobody"}, orderTimeout, ignore)
	o.environment.After(orderInterval, o.orderInvalid)
}

// release drains the model servers one after another; each leaves once its drain is acknowledged and comes back under another id.
func (o *operators) release(place int) {
	if o.over() {
		return
	}
	address := o.suite.models[place%len(o.suite.models)]
	running, runs := o.suite.world.Machine(address).Process().(*server)
	if !runs {
		o.environment.After(releaseInterval, func() { o.release(place + 1) })
		return
	}
	o.drain(running.description, func() {
		o.environment.After(releaseInterval, func() { o.release(place + 1) })
	})
}

// drain sends the order until it is answered, then tells the server to leave.
func (o *operators) drain(target serverDescription, then func()) {
	o.transport.call(coreAddress, drainServer{id: target.id}, orderTimeout, func(body any) {
		answer, answered := body.(orderAnswer)
		switch {
		case !answered && !o.over():
			o.environment.After(orderInterval, func() { o.drain(target, then) })
		case answer.accepted:
			o.environment.After(leaveTimeout, func() {
				o.transport.call(sim.Address(target.address), leave{}, leaveTimeout, func(any) { then() })
			})
		default:
			then()
		}
	})
}
