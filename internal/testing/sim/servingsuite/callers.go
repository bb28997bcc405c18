package servingsuite

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	conversationCount = 18
	callLoopCount     = 6
	routedLoopCount   = 6
	tenantCount       = 4
	burstPerProgram   = 3
	longestPause      = 700 * time.Millisecond
	resendAfter       = 300 * time.Millisecond
	resendTries       = 3
	// impatientOneIn is how rarely a caller sends a request to a second front node while the first is at it.
	impatientOneIn  = 12
	impatientAfter  = 150 * time.Millisecond
	burstSpread     = 100 * time.Millisecond
	probeAgainAfter = 300 * time.Millisecond
	probeTimeout    = 2 * time.Second
	// hangUpAfter is how long after its deadline a caller waits for an answer.
	hangUpAfter = answerSlack + time.Second
	// routedOneIn is how rarely a request names a route that operators added.
	namedRouteOneIn = 3
)

var (
	priorities = []protocol.Priority{protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE}
	timesLeft  = map[protocol.Priority]time.Duration{
		protocol.Priority_URGENT: 3 * time.Second, protocol.Priority_INTERACTIVE: 5 * time.Second, protocol.Priority_PROBE: 6 * time.Second,
	}
)

// callers is all callers of the fleet.
type callers struct {
	suite       *suite
	environment *sim.Environment
	transport   *transport
	requests    int
	programs    int
	served      map[string]bool
}

// conversation is one caller's loop of requests, one at a time.
type conversation struct {
	kind     requestKind
	session  string
	program  string
	previous string
}

func (s *suite) buildCallers(environment *sim.Environment) (sim.Process, error) {
	c := &callers{suite: s, environment: environment, served: make(map[string]bool)}
	c.transport = newTransport(environment, func(*stream, any) {})
	s.callers = c
	loops := map[requestKind]int{
		ledgeredTurn: conversationCount, routedTurn: routedLoopCount, recordedCall: callLoopCount, repeatableCall: callLoopCount,
	}
	for kind := ledgeredTurn; kind <= repeatableCall; kind++ {
		for range loops[kind] {
			started := &conversation{kind: kind}
			c.renew(started)
			c.after(2*time.Second, func() { c.next(started) })
		}
	}
	return c, nil
}

// Receive takes a frame in.
func (c *callers) Receive(from sim.Address, message any) { c.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (c *callers) ConnectionBroken(peer sim.Address) { c.transport.connectionBroken(peer) }

// after waits a random time of at most the bound.
func (c *callers) after(bound time.Duration, then func()) {
	c.environment.After(time.Duration(c.environment.Random().Int64N(int64(bound))), then)
}

func (c *callers) oneIn(count int) bool { return c.environment.Random().IntN(count) == 0 }

func (c *callers) anyFront() sim.Address {
	return c.suite.fronts[c.environment.Random().IntN(len(c.suite.fronts))]
}

// renew begins a conversation anew, in a program that has its whole budget.
func (c *callers) renew(started *conversation) {
	c.programs++
	started.program = fmt.Sprintf("program-%d", c.programs)
	started.session = fmt.Sprintf("session-%d", c.programs)
	started.previous = ""
}

func (c *callers) next(loop *conversation) {
	if c.suite.world.Elapsed() > c.suite.healed+steadyRest {
		return
	}
	request := c.request(loop, priorities[c.environment.Random().IntN(len(priorities))])
	c.ask(request, resendTries, func(ended ending) {
		switch ended.outcome {
		case outcomeCompleted:
			loop.previous = ended.turnID
		case outcomeUnknown, outcomeSpent:
			c.renew(loop)
		}
		c.environment.After(ended.retryAfter, func() {
			c.after(longestPause, func() { c.next(loop) })
		})
	})
}

// request makes the next request of a loop.
func (c *callers) request(loop *conversation, priority protocol.Priority) callerRequest {
	c.requests++
	c.suite.count(Requests)
	id := fmt.Sprintf("request-%d", c.requests)
	tenant := tenantOf(loop.program)
	made := callerRequest{kind: loop.kind, timeLeft: timesLeft[priority]}
	if c.suite.rules.knownRoutes() > 0 && c.oneIn(namedRouteOneIn) {
		made.route = c.suite.rules.anyRoute(c.environment.Random())
	}
	if loop.kind == recordedCall || loop.kind == repeatableCall {
		made.call = &protocol.ToolCallRequest{
			RequestId: id, Tenant: tenant, Program: loop.program, Session: loop.session, Tool: "tool", Nonce: "nonce-of-" + id,
			Priority: priority,
		}
		return made
	}
	made.turn = &protocol.TurnRequest{
		RequestId: id, Tenant: tenant, Program: loop.program, Session: loop.session, PreviousTurn: loop.previous,
		Nonce: "nonce-of-" + id, Priority: priority,
	}
	if loop.kind == routedTurn {
		made.turn.PreviousTurn = ""
		made.turn.FirstSend = true
		made.turn.ProgramBudget = programBudget
		made.turn.Http = &protocol.HttpRequest{}
	}
	return made
}

// tenantOf is the tenant whose program it is.
func tenantOf(program string) string {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(program))
	return fmt.Sprintf("tenant-%d", sum.Sum32()%tenantCount)
}

// ask sends a request to any front node; one whose outcome is unknown is sent again under its id, but for routed turns.
func (c *callers) ask(request callerRequest, tries int, done func(ending)) {
	finished := false
	once := func(ended ending) {
		if !finished {
			finished = true
			done(ended)
		}
	}
	c.send(c.anyFront(), request, request.timeLeft+hangUpAfter, func(ended ending) {
		again := ended.outcome == outcomeUnknown && tries > 0 && request.kind != routedTurn
		if !again || finished {
			once(ended)
			return
		}
		c.environment.After(resendAfter, func() { c.ask(request, tries-1, once) })
	})
	if request.kind != routedTurn && c.oneIn(impatientOneIn) {
		c.environment.After(impatientAfter, func() {
			c.send(c.anyFront(), request, request.timeLeft+hangUpAfter, func(ended ending) {
				if ended.outcome == outcomeCompleted {
					once(ended)
				}
			})
		})
	}
}

// send sends a request once; done is told once what became of it.
func (c *callers) send(to sim.Address, request callerRequest, patience time.Duration, done func(ending)) {
	reader := newAnswerReader(c.suite, request)
	var opened *stream
	over := false
	finish := func(ended ending) {
		over = true
		opened.close()
		c.countEnding(ended)
		done(ended)
	}
	opened = c.transport.open(to, request, func(body any) {
		if ended, final := reader.take(body); final && !over {
			finish(ended)
		}
	})
	c.environment.After(patience, func() {
		if !over {
			finish(ending{outcome: outcomeUnknown})
		}
	})
}

func (c *callers) countEnding(ended ending) {
	switch ended.outcome {
	case outcomeCompleted:
		c.suite.count(Completed)
	case outcomeUnknown:
		c.suite.count(UnknownOutcomes)
	default:
		c.suite.count(Refusals)
	}
}

// burst sends many requests at once, each of a conversation of its own. In a herd most are urgent.
func (c *callers) burst(count int, urgent bool) {
	c.suite.rules.burstBegan()
	for place := range count {
		kind := requestKind(c.environment.Random().IntN(int(repeatableCall) + 1))
		if !c.oneIn(3) {
			kind = ledgeredTurn
		}
		loop := &conversation{kind: kind}
		if place%burstPerProgram == 0 {
			c.programs++
		}
		loop.program = fmt.Sprintf("program-%d", c.programs)
		loop.session = fmt.Sprintf("session-%d-%d", c.programs, place)
		priority := priorities[c.environment.Random().IntN(len(priorities))]
		if urgent && !c.oneIn(3) {
			priority = protocol.Priority_URGENT
		}
		c.after(burstSpread, func() { c.ask(c.request(loop, priority), resendTries, func(ending) {}) })
	}
}

// probe asks one front node for a request of its own until it is served.
func (c *callers) probe(address sim.Address, kind requestKind) {
	loop := &conversation{kind: kind}
	c.renew(loop)
	request := c.request(loop, protocol.Priority_INTERACTIVE)
	request.route = ""
	request.timeLeft = probeTimeout
	c.send(address, request, probeTimeout, func(ended ending) {
		if ended.outcome == outcomeCompleted {
			c.served[probeName(address, kind)] = true
			return
		}
		c.environment.After(probeAgainAfter, func() { c.probe(address, kind) })
	})
}

func probeName(address sim.Address, kind requestKind) string {
	return fmt.Sprintf("%s/%d", address, kind)
}
