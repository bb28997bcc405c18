package statesuite

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	coreCallPatience = 600 * time.Millisecond
	coreRetryDelay   = 100 * time.Millisecond
	locateDelay      = 25 * time.Millisecond
	pollInterval     = 250 * time.Millisecond
)

// coreLink finds the leader of the core for a client process.
type coreLink struct {
	suite       *suite
	environment *sim.Environment
	endpoint    *endpoint
	leader      sim.Address
	// term is that of the newest leader known.
	term uint64
}

// call asks the leader until it answers or patience ends; done gets nil then. A command
// must be one that may be sent again.
func (l *coreLink) call(body any, patience time.Duration, done func(any)) {
	deadline := l.environment.Now().Add(patience)
	var try func()
	try = func() {
		if !l.environment.Now().Before(deadline) {
			done(nil)
			return
		}
		if l.leader == "" {
			l.locate(func() { l.environment.After(0, try) })
			return
		}
		l.endpoint.call(l.leader, body, coreCallPatience, func(answer any) {
			switch answer := answer.(type) {
			case nil, notLeader:
				l.leader = ""
			case unknownOutcome:
			default:
				done(answer)
				return
			}
			l.environment.After(coreRetryDelay, try)
		})
	}
	try()
}

// locate asks all core members at once who leads, as the real link does, and goes on when one names a leader of a
// term that is not older than the one known, or when all have failed to.
func (l *coreLink) locate(done func()) {
	addresses := l.suite.coreAddresses()
	left, ended := len(addresses), false
	for _, address := range addresses {
		l.endpoint.call(address, locateCore{}, coreCallPatience, func(body any) {
			left--
			answer, _ := body.(located)
			if !ended && answer.leader != "" && answer.term >= l.term {
				l.leader, l.term = answer.leader, answer.term
			}
			if !ended && (l.leader != "" || left == 0) {
				ended = true
				l.environment.After(locateDelay, done)
			}
		})
	}
}

// read gives the view of a linearizable read, or nil.
func (l *coreLink) read(patience time.Duration, done func(*controlstate.View)) {
	known := l.suite.newestViewRead
	l.call(coreRead{}, patience, func(answer any) {
		reply, found := answer.(readReply)
		if !found {
			done(nil)
			return
		}
		l.suite.rules.viewsAdvance.Check(reply.view.Index >= known,
			"%s read view %d after %d had been read", l.environment.Address(), reply.view.Index, known)
		l.suite.newestViewRead = max(l.suite.newestViewRead, reply.view.Index)
		done(reply.view)
	})
}

// order gives a command to the core and its result, or nil when that stays unknown.
func (l *coreLink) order(command *protocol.Command, patience time.Duration, done func(*protocol.CommandResult)) {
	data, err := proto.Marshal(command)
	if err != nil {
		done(nil)
		return
	}
	l.call(coreCommand{command: data}, patience, func(answer any) {
		reply, _ := answer.(commandReply)
		l.suite.newestViewRead = max(l.suite.newestViewRead, reply.result.GetIndex())
		done(reply.result)
	})
}

// follow reads the view again and again and hands on each that is newer.
func (l *coreLink) follow(apply func(*controlstate.View)) {
	newest := uint64(0)
	var poll func()
	poll = func() {
		l.read(l.suite.shape.readPatience, func(view *controlstate.View) {
			if view != nil && view.Index >= newest {
				newest = view.Index
				apply(view)
			}
			l.environment.After(l.suite.poll(), poll)
		})
	}
	poll()
}

// renewLater renews a node's lease again and again.
func (l *coreLink) renewLater(node *protocol.Node, delay, interval time.Duration) {
	l.environment.After(delay, func() {
		l.call(renewNode{node: node}, interval, func(any) {})
		l.renewLater(node, interval, interval)
	})
}
