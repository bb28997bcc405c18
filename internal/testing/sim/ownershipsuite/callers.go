package ownershipsuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	callerTimeout      = 6 * time.Second
	sessionsPerProgram = 4
	// callerAttempts is how often a caller sends a request again whose outcome is unknown.
	callerAttempts = 3
)

// callers is one process that acts for all callers of the fleet; each session has one turn or call in flight at a time.
type callers struct {
	node
	suite    *suite
	sessions []*callerSession
	// served marks the front nodes and sessions that answered a probe after the last fault.
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
			name: fmt.Sprintf("session-%d", i), program: fmt.Sprintf("program-%d", i/sessionsPerProgram),
		}
		c.sessions = append(c.sessions, session)
		c.after(3*time.Second, func() { c.next(session) })
	}
	return c, nil
}

// Receive implements sim.Process.
func (c *callers) Receive(_ sim.Address, message any) {
	if received, isPacket := message.(packet); isPacket && received.reply {
		c.finish(received.id, received.body)
	}
}

// ConnectionBroken fails the requests in flight at a front node whose process ended.
func (c *callers) ConnectionBroken(peer sim.Address) { c.connectionBroken(peer) }

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
	c.submit(session, request, callerAttempts)
}

// submit sends a request, and again under the same id while its outcome is unknown.
func (c *callers) submit(session *callerSession, request turnRequest, attempts int) {
	c.call(c.anyFront(), request, callerTimeout, func(body any) {
		answer, answered := body.(turnAnswer)
		switch {
		case answered && answer.code == "":
			c.after(time.Second, func() { c.next(session) })
		case answered && answer.code == failure.RequestRejected:
			c.suite.report.Rejections++
			c.after(400*time.Millisecond, func() { c.next(session) })
		case attempts > 0:
			c.suite.report.Rejections++
			c.after(400*time.Millisecond, func() { c.submit(session, request, attempts-1) })
		default:
			c.suite.report.Rejections++
			c.after(400*time.Millisecond, func() { c.next(session) })
		}
	})
}

// probeFleet starts the probes after the last fault.
func (s *suite) probeFleet() {
	for _, address := range s.fronts {
		s.callers.probe(string(address), address)
	}
	for _, session := range s.callers.sessions {
		s.callers.probeSession(session)
	}
	s.world.After(convergenceBound, s.rules.checkRecovery)
}

// probe sends turns of a session of its own to one front node until one is served.
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

// probeSession sends turns of an existing session to any front node until one is served.
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
