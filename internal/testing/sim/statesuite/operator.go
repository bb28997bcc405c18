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
	operatorPause    = 30 * time.Millisecond
	operatorPatience = 3 * time.Second
	// wholeOneIn bundles are whole; the others add a route to the newest one.
	wholeOneIn = 12
)

// operator puts bundles, races with the other operators for their numbers, and sends acknowledged orders again.
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
	o.later(time.Second)
	return o, nil
}

// Receive implements sim.Process.
func (o *operator) Receive(from sim.Address, message any) { o.endpoint.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (o *operator) ConnectionBroken(peer sim.Address) { o.endpoint.connectionBroken(peer) }

func (o *operator) later(delay time.Duration) { o.environment.After(delay, o.act) }

func (o *operator) act() {
	if o.suite.stopping {
		return
	}
	next := func() { o.later(o.suite.pause(operatorPause)) }
	actions := []func(func()){
		o.putNext, o.putNext, o.putNext, o.sign, o.sign, o.rollOut, o.readVersion, o.announce, o.drain,
		o.resendOne, o.resendOne, o.emptyOrRetire, o.swapMember,
	}
	actions[o.environment.Random().IntN(len(actions))](next)
}

// putNext puts a bundle under the next number, against another operator.
func (o *operator) putNext(next func()) {
	o.withView(next, func(view *controlstate.View) {
		o.race(view.Newest + 1)
		o.put(view.Newest+1, next)
	})
}

// resendOne gives an order again that was acknowledged before.
func (o *operator) resendOne(next func()) {
	random := o.environment.Random()
	orders, members := o.suite.acknowledged, o.suite.memberOrders
	place := random.IntN(len(orders) + len(members) + 1)
	switch {
	case place < len(orders):
		o.resend(orders[place], next)
	case place < len(orders)+len(members):
		o.resendMemberOrder(members[place-len(orders)], next)
	default:
		next()
	}
}

// longestHeadStart is how much later another operator may put the same number.
const longestHeadStart = 30 * time.Millisecond

// race lets another operator put other content under the same number at about the same time.
func (o *operator) race(version uint64) {
	for _, machine := range o.suite.world.Machines() {
		rival, isOperator := machine.Process().(*operator)
		if isOperator && rival != o {
			delay := time.Duration(o.environment.Random().Int64N(int64(longestHeadStart)))
			rival.environment.After(delay, func() { rival.put(version, func() {}) })
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
	if version > 1 && o.environment.Random().IntN(wholeOneIn) > 0 {
		submitted.Partial, submitted.BaseVersion = true, version-1
	}
	command := &protocol.Command{
		OrderId: name, Body: &protocol.Command_PutBundle{PutBundle: &protocol.PutBundleCommand{Bundle: submitted}},
	}
	operation := o.suite.bundles.begin(version, putBundle{digest: bundle.Digest(submitted)}, o.suite.world.Elapsed())
	o.link.order(command, operatorPatience, func(result *protocol.CommandResult) {
		defer next()
		switch {
		case result == nil:
			return
		case result.GetAccepted():
			o.suite.bundles.end(operation, putAnswer{winner: result.GetBundle().GetSubmittedDigest(), accepted: true}, o.suite.world.Elapsed())
			o.suite.acknowledge(command, result)
		case result.GetRefusal().GetWinner() != nil:
			winner := result.GetRefusal().GetWinner().GetSubmittedDigest()
			o.suite.bundles.end(operation, putAnswer{winner: winner}, o.suite.world.Elapsed())
		default:
			o.suite.bundles.drop(operation)
		}
	})
}

const backEndCount = 3

func (o *operator) someBackEnd() string {
	return fmt.Sprintf("server-%d", o.environment.Random().IntN(backEndCount))
}

// announce lets a new incarnation of a back end be ready, as heartbeats do.
func (o *operator) announce(next func()) {
	id := o.someBackEnd()
	command := &protocol.Command{Body: &protocol.Command_UpsertBackEnd{UpsertBackEnd: &protocol.UpsertBackEndCommand{
		BackEnd: &protocol.BackEnd{
			Id: id, Address: id, State: protocol.BackEndState_READY, Incarnation: uint64(o.suite.world.Elapsed()),
		},
	}}}
	o.link.order(command, operatorPatience, func(*protocol.CommandResult) { next() })
}

// drain orders a back end to be drained; what the order's first answer says is kept for ever.
func (o *operator) drain(next func()) {
	drain := &protocol.DrainBackEndCommand{Id: o.someBackEnd()}
	o.order("drain", &protocol.Command{Body: &protocol.Command_DrainBackEnd{DrainBackEnd: drain}}, next)
}

// readVersion reads which bundle has one of the newest numbers.
func (o *operator) readVersion(next func()) {
	if o.suite.newestBundle == 0 {
		next()
		return
	}
	back := uint64(o.environment.Random().IntN(3))
	version := max(o.suite.newestBundle+1, back+1) - back
	operation := o.suite.bundles.begin(version, readBundle{}, o.suite.world.Elapsed())
	o.link.read(operatorPatience, func(view *controlstate.View) {
		defer next()
		if view == nil {
			o.suite.bundles.drop(operation)
			return
		}
		answer := putAnswer{}
		if record := view.Bundle(version); record != nil {
			answer.winner = record.Status.GetSubmittedDigest()
		}
		o.suite.bundles.end(operation, answer, o.suite.world.Elapsed())
	})
}

// resend gives an acknowledged order again: it must be acknowledged with the same result.
func (o *operator) resend(order acknowledgedOrder, next func()) {
	o.link.order(order.command, operatorPatience, func(result *protocol.CommandResult) {
		defer next()
		if result == nil {
			return
		}
		o.suite.rules.ordersKept.Check(sameResult(result, order.result),
			"order %s was acknowledged with %v and later answered with %v", order.command.GetOrderId(), order.result, result)
	})
}

// acknowledgedOrder is an order that an operator knows to have taken effect.
type acknowledgedOrder struct {
	command *protocol.Command
	result  *protocol.CommandResult
}

func sameResult(a, b *protocol.CommandResult) bool { return proto.Equal(a, b) }
