package statesuite

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/bundle"
	"github.com/rosestand/rosestand/internal/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/sim"
)

const (
	operatorPause    = 120 * time.Millisecond
	operatorPatience = 3 * time.Second
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
	next := func() { o.later(operatorPause) }
	random := o.environment.Random()
	switch random.IntN(6) {
	case 0, 1:
		o.link.read(operatorPatience, func(view *controlstate.View) {
			if view == nil {
				next()
				return
			}
			o.suite.newestBundle = max(o.suite.newestBundle, view.Newest)
			o.race(view.Newest + 1)
			o.put(view.Newest+1, next)
		})
	case 2:
		o.readVersion(next)
	case 3:
		o.announce(next)
	case 4:
		o.drain(next)
	default:
		if len(o.suite.acknowledged) == 0 {
			next()
			return
		}
		o.resend(o.suite.acknowledged[random.IntN(len(o.suite.acknowledged))], next)
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
	o.orders++
	name := fmt.Sprintf("%s-%d-%d", o.environment.Address(), o.environment.Life(), o.orders)
	submitted := &protocol.Bundle{
		Version: version,
		Routes:  []*protocol.Route{{Name: name, Model: "model", Group: "group"}},
		Groups:  []*protocol.ServerGroup{{Name: "group"}},
	}
	command := &protocol.Command{
		OrderId: "order-" + name, Body: &protocol.Command_PutBundle{PutBundle: &protocol.PutBundleCommand{Bundle: submitted}},
	}
	operation := o.suite.bundles.begin(version, putBundle{digest: bundle.Digest(submitted)}, o.suite.world.Elapsed())
	o.link.order(command, operatorPatience, func(result *protocol.CommandResult) {
		defer next()
		switch {
		case result == nil:
			return
		case result.GetAccepted():
			o.suite.bundles.end(operation, putAnswer{winner: result.GetBundle().GetSubmittedDigest(), accepted: true}, o.suite.world.Elapsed())
			o.suite.acknowledged = append(o.suite.acknowledged, acknowledgedOrder{command: command, result: result})
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
	o.orders++
	command := &protocol.Command{
		OrderId: fmt.Sprintf("drain-%s-%d-%d", o.environment.Address(), o.environment.Life(), o.orders),
		Body:    &protocol.Command_DrainBackEnd{DrainBackEnd: &protocol.DrainBackEndCommand{Id: o.someBackEnd()}},
	}
	o.link.order(command, operatorPatience, func(result *protocol.CommandResult) {
		if result.GetAccepted() {
			o.suite.acknowledged = append(o.suite.acknowledged, acknowledgedOrder{command: command, result: result})
		}
		next()
	})
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
