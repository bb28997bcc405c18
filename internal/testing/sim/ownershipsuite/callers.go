package ownershipsuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	callerTimeout   = 6 * time.Second
	sessionsPerProg = 4
	// callTries is how often a caller asks again for a call whose outcome is unknown.
	callTries = 3
)

// callers is all callers of the fleet; each session has one turn or call under way at a time.
type callers struct {
	node
	suite    *suite
	sessions []*callerSession
	// served marks the front nodes and sessions that answered a probe after the machines' return.
	served map[string]bool
}

type callerSession struct {
	name    string
	program string
	count   int
}

func (s *suite) buildCallers(environment *sim.Environment) (sim.Process, error) {
	c := &callers{node: newNode(environment), suite: s, served: make(map[string]bool)}
	s.callers = c
	for i := range s.options.Sessions {
		session := &callerSession{
			name: fmt.Sprintf("session-%d", i), program: fmt.Sprintf("program-%d", i/sessionsPerProg),
		}
		c.sessions = append(c.sessions, session)
		c.after(3*time.Second, func() { c.next(session) })
	}
	return c, nil
}

// Receive takes answers in.
func (c *callers) Receive(_ sim.Address, message any) {
	if received, isPacket := message.(packet); isPacket && received.reply {
		c.finish(received.id, received.body)
	}
}

// ConnectionBroken fails the requests under way at a front node whose process ended.
func (c *callers) ConnectionBroken(peer sim.Address) { c.broken(peer) }

// after waits a random time of at most the bound.
func (c *callers) after(bound time.Duration, run func()) {
	c.environment.After(time.Duration(c.environment.Random().Int64N(int64(bound))), run)
}

func (c *callers) anyFront() sim.Address {
	return c.suite.fronts[c.environment.Random().IntN(len(c.suite.fronts))]
}

// next begins the next turn or call of a session.
func (c *callers) next(session *callerSession) {
	session.count++
	request := turnRequest{
		requestID: fmt.Sprintf("%s-%d", session.name, session.count), session: session.name, program: session.program,
		call: c.environment.Random().IntN(3) == 0,
	}
	c.ask(session, request, callTries)
}

// ask sends a request; one whose outcome is unknown is asked for again under the same id.
func (c *callers) ask(session *callerSession, request turnRequest, tries int) {
	c.call(c.anyFront(), request, callerTimeout, func(body any) {
		answer, answered := body.(turnAnswer)
		switch {
		case answered && answer.code == "":
			c.after(time.Second, func() { c.next(session) })
		case answered && answer.code == failure.RequestRejected:
			c.suite.report.Refused++
			c.after(400*time.Millisecond, func() { c.next(session) })
		case tries > 0:
			c.suite.report.Refused++
			c.after(400*time.Millisecond, func() { c.ask(session, request, tries-1) })
		default:
			c.suite.report.Refused++
			c.after(400*time.Millisecond, func() { c.next(session) })
		}
	})
}

// callersProbe starts the probes once all machines are back.
func (s *suite) callersProbe() {
	for _, address := range s.fronts {
		s.callers.probe(string(address), address)
	}
	for _, session := range s.callers.sessions {
		s.callers.probeSession(session)
	}
	s.world.After(convergenceBound, s.rules.serviceIsBack)
}

// probe asks one front node for a turn of a session of its own until it is served.
func (c *callers) probe(name string, address sim.Address) {
	request := turnRequest{
		requestID: fmt.Sprintf("probe-%s-%d", name, c.lastCall), session: "probe-" + name, program: "probe-" + name,
	}
	c.call(address, request, 2*time.Second, func(body any) {
		if answer, answered := body.(turnAnswer); answered && answer.code == "" {
			c.served[name] = true
			return
		}
		c.environment.Tracef("probe of %s at %s: %v", name, address, body)
		c.after(200*time.Millisecond, func() { c.probe(name, address) })
	})
}

// probeSession asks any front node for a turn of a session that was under way before, until it is served.
func (c *callers) probeSession(session *callerSession) {
	request := turnRequest{
		requestID: fmt.Sprintf("probe-%s-%d", session.name, c.lastCall), session: session.name, program: session.program,
	}
	c.call(c.anyFront(), request, 2*time.Second, func(body any) {
		if answer, answered := body.(turnAnswer); answered && answer.code == "" {
			c.served[session.name] = true
			return
		}
		c.environment.Tracef("probe of %s: %v", session.name, body)
		c.after(200*time.Millisecond, func() { c.probeSession(session) })
	})
}
