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
	shutdownTimeout = 2 * time.Second
)

// operators is one process that acts for all operators: two race for the next route, one releases servers in turn.
type operators struct {
	suite       *suite
	environment *sim.Environment
	transport   *transport
	// routes is the number of routes that each operator knows of.
	routes [operatorCount]int
	orders int
}

func (s *suite) buildOperators(environment *sim.Environment) (sim.Process, error) {
	o := &operators{suite: s, environment: environment}
	o.transport = newTransport(environment, func(*stream, any) {})
	if s.enabled(ScenarioOperatorOrders) {
		for operator := range operatorCount {
			environment.After(faultsBegin, func() { o.addRoutes(operator) })
		}
		environment.After(faultsBegin, o.orderInvalid)
	}
	if s.enabled(ScenarioServerFaults) {
		environment.After(faultsBegin, func() { o.release(0) })
	}
	return o, nil
}

// Receive implements sim.Process.
func (o *operators) Receive(from sim.Address, message any) { o.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (o *operators) ConnectionBroken(peer sim.Address) { o.transport.connectionBroken(peer) }

func (o *operators) finished() bool { return o.suite.world.Elapsed() > faultsEnd }

// addRoutes orders the next route; the loser of a race continues behind the winner.
func (o *operators) addRoutes(operator int) {
	if o.finished() {
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

// orderInvalid gives invalid orders: a route behind routes that do not exist, and the drain of an unknown server.
func (o *operators) orderInvalid() {
	if o.finished() {
		return
	}
	ignore := func(any) {}
	o.transport.call(coreAddress, addRoute{name: "route-invalid", base: len(o.suite.core.routes) + invalidOrderGap},
		orderTimeout, ignore)
	o.transport.call(coreAddress, drainServer{id: "nobody"}, orderTimeout, ignore)
	o.environment.After(orderInterval, o.orderInvalid)
}

// release drains the model servers in turn; each shuts down once its drain is acknowledged and restarts under another
// id.
func (o *operators) release(index int) {
	if o.finished() {
		return
	}
	address := o.suite.models[index%len(o.suite.models)]
	running, runs := o.suite.world.Machine(address).Process().(*server)
	if !runs {
		o.environment.After(releaseInterval, func() { o.release(index + 1) })
		return
	}
	o.drain(running.description, func() {
		o.environment.After(releaseInterval, func() { o.release(index + 1) })
	})
}

// drain sends the order until it is answered, then shuts the server down.
func (o *operators) drain(target serverDescription, then func()) {
	o.transport.call(coreAddress, drainServer{id: target.id}, orderTimeout, func(body any) {
		answer, answered := body.(orderAnswer)
		switch {
		case !answered && !o.finished():
			o.environment.After(orderInterval, func() { o.drain(target, then) })
		case answer.accepted:
			o.environment.After(shutdownTimeout, func() {
				o.transport.call(sim.Address(target.address), shutdown{}, shutdownTimeout, func(any) { then() })
			})
		default:
			then()
		}
	})
}
