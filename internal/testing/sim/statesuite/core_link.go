package statesuite

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	coreCallTimeout = 600 * time.Millisecond
	coreRetryDelay  = 100 * time.Millisecond
	locateDelay     = 25 * time.Millisecond
	pollInterval    = 250 * time.Millisecond
)

// coreLink finds the leader of the core for a client process.
type coreLink struct {
	suite       *suite
	environment *sim.Environment
	endpoint    *endpoint
	leader      sim.Address
	// term is the term of the newest known leader.
	term uint64
}

// call sends a request to the leader, with retries, until it answers; done is called with nil after the timeout. The
// request must be idempotent.
func (l *coreLink) call(body any, timeout time.Duration, done func(any)) {
	deadline := l.environment.Now().Add(timeout)
	var attempt func()
	attempt = func() {
		if !l.environment.Now().Before(deadline) {
			done(nil)
			return
		}
		if l.leader == "" {
			l.locate(func() { l.environment.After(0, attempt) })
			return
		}
		l.endpoint.call(l.leader, body, coreCallTimeout, func(answer any) {
			switch answer := answer.(type) {
			case nil, notLeader:
				l.leader = ""
			case unknownOutcome:
			default:
				done(answer)
				return
			}
			l.environment.After(coreRetryDelay, attempt)
		})
	}
	attempt()
}

// locate queries all core members at once for the leader, as the real link does, and calls done when one names a leader
// of a term that is not older than the known one, or when all queries have failed.
func (l *coreLink) locate(done func()) {
	addresses := l.suite.coreAddresses()
	outstanding, ended := len(addresses), false
	for _, address := range addresses {
		l.endpoint.call(address, locateCore{}, coreCallTimeout, func(body any) {
			outstanding--
			answer, _ := body.(located)
			if !ended && answer.leader != "" && answer.term >= l.term {
				l.leader, l.term = answer.leader, answer.term
			}
			if !ended && (l.leader != "" || outstanding == 0) {
				ended = true
				l.environment.After(locateDelay, done)
			}
		})
	}
}

// read returns the view of a linearizable read, or nil, to done.
func (l *coreLink) read(timeout time.Duration, done func(*controlstate.View)) {
	known := l.suite.newestViewRead
	l.call(coreRead{}, timeout, func(answer any) {
		reply, found := answer.(readReply)
		if !found {
			done(nil)
			return
		}
		l.suite.rules.viewsMonotonic.Check(reply.view.Index >= known,
			"%s read view %d after %d had been read", l.environment.Address(), reply.view.Index, known)
		l.suite.newestViewRead = max(l.suite.newestViewRead, reply.view.Index)
		done(reply.view)
	})
}

// order submits a command to the core and passes its result, or nil when it is unknown, to done.
func (l *coreLink) order(command *protocol.Command, timeout time.Duration, done func(*protocol.CommandResult)) {
	data, err := proto.Marshal(command)
	if err != nil {
		done(nil)
		return
	}
	l.call(coreCommand{command: data}, timeout, func(answer any) {
		reply, _ := answer.(commandReply)
		l.suite.newestViewRead = max(l.suite.newestViewRead, reply.result.GetIndex())
		done(reply.result)
	})
}

// follow polls the view and applies each that is newer.
func (l *coreLink) follow(apply func(*controlstate.View)) {
	newest := uint64(0)
	var poll func()
	poll = func() {
		l.read(l.suite.shape.readTimeout, func(view *controlstate.View) {
			if view != nil && view.Index >= newest {
				newest = view.Index
				apply(view)
			}
			l.environment.After(l.suite.linkPollInterval(), poll)
		})
	}
	poll()
}

// renewLater renews a node's lease periodically.
func (l *coreLink) renewLater(node *protocol.Node, delay, interval time.Duration) {
	l.environment.After(delay, func() {
		l.call(renewNode{node: node}, interval, func(any) {})
		l.renewLater(node, interval, interval)
	})
}
