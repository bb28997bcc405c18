package statesuite

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	operatorInterval = 30 * time.Millisecond
	operatorTimeout  = 3 * time.Second
	// completeBundleOneIn: one bundle in so many is complete; the others add a route to the newest one.
	completeBundleOneIn = 12
)

// operator puts bundles, races with the other operators for their versions, and resends acknowledged orders.
type operator struct {
	suite       *suite
	environment *sim.Environment
	endpoint    *endpoint
	link        *coreLink
	orders      int
}

func (s *suite) buildOperator(environment *sim.Environment) (sim.Process, error) {
	o := &operator{suite: s, environment: environment}
	o.endpoint = newEndpoint(environment, func(sim.Address, any, func(any)) {})
	o.link = &coreLink{suite: s, environment: environment, endpoint: o.endpoint}
	o.scheduleAction(time.Second)
	return o, nil
}

// Receive implements sim.Process.
func (o *operator) Receive(from sim.Address, message any) { o.endpoint.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (o *operator) ConnectionBroken(peer sim.Address) { o.endpoint.connectionBroken(peer) }

func (o *operator) scheduleAction(delay time.Duration) { o.environment.After(delay, o.runAction) }

func (o *operator) runAction() {
	if o.suite.loadStopped {
		return
	}
	next := func() { o.scheduleAction(o.suite.loadInterval(operatorInterval)) }
	actions := []func(func()){
		o.putNext, o.putNext, o.putNext, o.sign, o.sign, o.rollOut, o.readVersion, o.announce, o.drain,
		o.resendAny, o.resendAny, o.emptyOrRetire, o.replaceMember,
	}
	actions[o.environment.Random().IntN(len(actions))](next)
}

// putNext puts a bundle under the next version, racing another operator.
func (o *operator) putNext(next func()) {
	o.withView(next, func(view *controlstate.View) {
		o.race(view.Newest + 1)
		o.put(view.Newest+1, next)
	})
}

// resendAny resends an order that was acknowledged before.
func (o *operator) resendAny(next func()) {
	random := o.environment.Random()
	orders, members := o.suite.acknowledgedOrders, o.suite.memberOrders
	index := random.IntN(len(orders) + len(members) + 1)
	switch {
	case index < len(orders):
		o.resend(orders[index], next)
	case index < len(orders)+len(members):
		o.resendMemberOrder(members[index-len(orders)], next)
	default:
		next()
	}
}

// maxRaceDelay bounds the delay after which another operator puts the same version.
const maxRaceDelay = 30 * time.Millisecond

// race has the other operators put other content under the same version at about the same time.
func (o *operator) race(version uint64) {
	for _, machine := range o.suite.world.Machines() {
		competitor, isOperator := machine.Process().(*operator)
		if isOperator && competitor != o {
			delay := time.Duration(o.environment.Random().Int64N(int64(maxRaceDelay)))
			competitor.environment.After(delay, func() { competitor.put(version, func() {}) })
		}
	}
}

func (o *operator) put(version uint64, next func()) {
	name := o.name("order")
	submitted := &protocol.Bundle{
		Version: version,
		Routes:  []*protocol.Route{{Name: name, Model: name, Group: "group"}},
		Groups:  []*protocol.ServerGroup{{Name: "group"}},
	}
	if version > 1 && o.environment.Random().IntN(completeBundleOneIn) > 0 {
		submitted.Partial, submitted.BaseVersion = true, version-1
	}
	command := &protocol.Command{
		OrderId: name, Body: &protocol.Command_PutBundle{PutBundle: &protocol.PutBundleCommand{Bundle: submitted}},
	}
	operation := o.suite.bundles.begin(version, putBundle{digest: bundle.Digest(submitted)}, o.suite.world.Elapsed())
	o.link.order(command, operatorTimeout, func(result *protocol.CommandResult) {
		defer next()
		switch {
		case result == nil:
			return
		case result.GetAccepted():
			o.suite.bundles.end(operation, putAnswer{winner: result.GetBundle().GetSubmittedDigest(), accepted: true},
				o.suite.world.Elapsed())
			o.suite.acknowledge(command, result)
		case result.GetRefusal().GetWinner() != nil:
			winner := result.GetRefusal().GetWinner().GetSubmittedDigest()
			o.suite.bundles.end(operation, putAnswer{winner: winner}, o.suite.world.Elapsed())
		default:
			o.suite.bundles.discard(operation)
		}
	})
}

const backEndCount = 3

func (o *operator) someBackEnd() string {
	return fmt.Sprintf("server-%d", o.environment.Random().IntN(backEndCount))
}

// announce reports a new incarnation of a back end as ready, as heartbeats do.
func (o *operator) announce(next func()) {
	id := o.someBackEnd()
	command := &protocol.Command{Body: &protocol.Command_UpsertBackEnd{UpsertBackEnd: &protocol.UpsertBackEndCommand{
		BackEnd: &protocol.BackEnd{
			Id: id, Address: id, State: protocol.BackEndState_READY, Incarnation: uint64(o.suite.world.Elapsed()),
		},
	}}}
	o.link.order(command, operatorTimeout, func(*protocol.CommandResult) { next() })
}

// drain orders a back end to be drained.
func (o *operator) drain(next func()) {
	drain := &protocol.DrainBackEndCommand{Id: o.someBackEnd()}
	o.order("drain", &protocol.Command{Body: &protocol.Command_DrainBackEnd{DrainBackEnd: drain}}, next)
}

// readVersion reads the bundle of one of the newest versions.
func (o *operator) readVersion(next func()) {
	if o.suite.newestBundle == 0 {
		next()
		return
	}
	back := uint64(o.environment.Random().IntN(3))
	version := max(o.suite.newestBundle+1, back+1) - back
	operation := o.suite.bundles.begin(version, readBundle{}, o.suite.world.Elapsed())
	o.link.read(operatorTimeout, func(view *controlstate.View) {
		defer next()
		if view == nil {
			o.suite.bundles.discard(operation)
			return
		}
		answer := putAnswer{}
		if record := view.Bundle(version); record != nil {
			answer.winner = record.Status.GetSubmittedDigest()
		}
		o.suite.bundles.end(operation, answer, o.suite.world.Elapsed())
	})
}

// resend resends an acknowledged order: it must be acknowledged with the same result.
func (o *operator) resend(order acknowledgedOrder, next func()) {
	o.link.order(order.command, operatorTimeout, func(result *protocol.CommandResult) {
		defer next()
		if result == nil {
			return
		}
		o.suite.rules.ordersIdempotent.Check(sameResult(result, order.result),
			"order %s was acknowledged with %v and later answered with %v", order.command.GetOrderId(), order.result, result)
	})
}

// acknowledgedOrder is an order whose effect was acknowledged to an operator.
type acknowledgedOrder struct {
	command *protocol.Command
	result  *protocol.CommandResult
}

func sameResult(a, b *protocol.CommandResult) bool { return proto.Equal(a, b) }
