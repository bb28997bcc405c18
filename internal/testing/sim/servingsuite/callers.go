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
	maxThinkTime      = 700 * time.Millisecond
	resendAfter       = 300 * time.Millisecond
	resendAttempts    = 3
	// hedgeOneIn: one request in so many is also sent to a second front node, after hedgeDelay.
	hedgeOneIn    = 12
	hedgeDelay    = 150 * time.Millisecond
	burstSpread   = 100 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 2 * time.Second
	// answerTimeoutMargin is how long after the deadline of its request a caller still waits for an answer.
	answerTimeoutMargin = answerSlack + time.Second
	// namedRouteOneIn: one request in so many names a route that operators added.
	namedRouteOneIn = 3
)

var (
	priorities = []protocol.Priority{protocol.Priority_URGENT, protocol.Priority_INTERACTIVE, protocol.Priority_PROBE}
	timesLeft  = map[protocol.Priority]time.Duration{
		protocol.Priority_URGENT: 3 * time.Second, protocol.Priority_INTERACTIVE: 5 * time.Second,
		protocol.Priority_PROBE: 6 * time.Second,
	}
)

// callers is one process that acts for all callers of the fleet.
type callers struct {
	suite       *suite
	environment *sim.Environment
	transport   *transport
	requests    int
	programs    int
	served      map[string]bool
}

// conversation is one caller's loop of requests, one in flight at a time.
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
		ledgeredTurn: conversationCount, routedTurn: routedLoopCount, nonIdempotentCall: callLoopCount,
		idempotentCall: callLoopCount,
	}
	for kind := ledgeredTurn; kind <= idempotentCall; kind++ {
		for range loops[kind] {
			started := &conversation{kind: kind}
			c.startProgram(started)
			c.after(2*time.Second, func() { c.next(started) })
		}
	}
	return c, nil
}

// Receive implements sim.Process.
func (c *callers) Receive(from sim.Address, message any) { c.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (c *callers) ConnectionBroken(peer sim.Address) { c.transport.connectionBroken(peer) }

// after waits a random time of at most the bound.
func (c *callers) after(bound time.Duration, run func()) {
	c.environment.After(time.Duration(c.environment.Random().Int64N(int64(bound))), run)
}

func (c *callers) oneIn(count int) bool { return c.environment.Random().IntN(count) == 0 }

func (c *callers) anyFront() sim.Address {
	return c.suite.fronts[c.environment.Random().IntN(len(c.suite.fronts))]
}

// startProgram continues a conversation in a new session of a new program, with its full budget.
func (c *callers) startProgram(started *conversation) {
	c.programs++
	started.program = fmt.Sprintf("program-%d", c.programs)
	started.session = fmt.Sprintf("session-%d", c.programs)
	started.previous = ""
}

func (c *callers) next(loop *conversation) {
	if c.suite.world.Elapsed() > c.suite.faultsOver+steadyLoadTail {
		return
	}
	request := c.request(loop, priorities[c.environment.Random().IntN(len(priorities))])
	c.submit(request, resendAttempts, func(result requestResult) {
		switch result.outcome {
		case outcomeCompleted:
			loop.previous = result.turnID
		case outcomeUnknown, outcomeBudgetSpent:
			c.startProgram(loop)
		}
		c.environment.After(result.retryAfter, func() {
			c.after(maxThinkTime, func() { c.next(loop) })
		})
	})
}

// request builds the next request of a conversation.
func (c *callers) request(loop *conversation, priority protocol.Priority) callerRequest {
	c.requests++
	c.suite.count(Requests)
	id := fmt.Sprintf("request-%d", c.requests)
	tenant := tenantOf(loop.program)
	made := callerRequest{kind: loop.kind, timeLeft: timesLeft[priority]}
	if c.suite.rules.knownRoutes() > 0 && c.oneIn(namedRouteOneIn) {
		made.route = c.suite.rules.anyRoute(c.environment.Random())
	}
	if loop.kind == nonIdempotentCall || loop.kind == idempotentCall {
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

// tenantOf returns the tenant of a program.
func tenantOf(program string) string {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(program))
	return fmt.Sprintf("tenant-%d", sum.Sum32()%tenantCount)
}

// submit sends a request to any front node, and again under its id while the outcome is unknown, except routed turns.
func (c *callers) submit(request callerRequest, attempts int, done func(requestResult)) {
	finished := false
	once := func(result requestResult) {
		if !finished {
			finished = true
			done(result)
		}
	}
	c.send(c.anyFront(), request, request.timeLeft+answerTimeoutMargin, func(result requestResult) {
		resend := result.outcome == outcomeUnknown && attempts > 0 && request.kind != routedTurn
		if !resend || finished {
			once(result)
			return
		}
		c.environment.After(resendAfter, func() { c.submit(request, attempts-1, once) })
	})
	if request.kind != routedTurn && c.oneIn(hedgeOneIn) {
		c.environment.After(hedgeDelay, func() {
			c.send(c.anyFront(), request, request.timeLeft+answerTimeoutMargin, func(result requestResult) {
				if result.outcome == outcomeCompleted {
					once(result)
				}
			})
		})
	}
}

// send sends a request once; done is called once with the result.
func (c *callers) send(to sim.Address, request callerRequest, timeout time.Duration, done func(requestResult)) {
	reader := newAnswerReader(c.suite, request)
	var opened *stream
	finished := false
	finish := func(result requestResult) {
		finished = true
		opened.close()
		c.countResult(result)
		done(result)
	}
	opened = c.transport.open(to, request, func(body any) {
		if result, final := reader.readEvent(body); final && !finished {
			finish(result)
		}
	})
	c.environment.After(timeout, func() {
		if !finished {
			finish(requestResult{outcome: outcomeUnknown})
		}
	})
}

func (c *callers) countResult(result requestResult) {
	switch result.outcome {
	case outcomeCompleted:
		c.suite.count(Completed)
	case outcomeUnknown:
		c.suite.count(UnknownOutcomes)
	default:
		c.suite.count(Rejections)
	}
}

// burst sends many requests at once, each of a conversation of its own. In an urgent burst most are of class urgent.
func (c *callers) burst(count int, urgent bool) {
	c.suite.rules.observeBurst()
	for index := range count {
		kind := requestKind(c.environment.Random().IntN(int(idempotentCall) + 1))
		if !c.oneIn(3) {
			kind = ledgeredTurn
		}
		loop := &conversation{kind: kind}
		if index%burstPerProgram == 0 {
			c.programs++
		}
		loop.program = fmt.Sprintf("program-%d", c.programs)
		loop.session = fmt.Sprintf("session-%d-%d", c.programs, index)
		priority := priorities[c.environment.Random().IntN(len(priorities))]
		if urgent && !c.oneIn(3) {
			priority = protocol.Priority_URGENT
		}
		c.after(burstSpread, func() { c.submit(c.request(loop, priority), resendAttempts, func(requestResult) {}) })
	}
}

// probe sends requests of its own to one front node until one is served.
func (c *callers) probe(address sim.Address, kind requestKind) {
	loop := &conversation{kind: kind}
	c.startProgram(loop)
	request := c.request(loop, protocol.Priority_INTERACTIVE)
	request.route = ""
	request.timeLeft = probeTimeout
	c.send(address, request, probeTimeout, func(result requestResult) {
		if result.outcome == outcomeCompleted {
			c.served[probeName(address, kind)] = true
			return
		}
		c.environment.After(probeInterval, func() { c.probe(address, kind) })
	})
}

func probeName(address sim.Address, kind requestKind) string {
	return fmt.Sprintf("%s/%d", address, kind)
}
