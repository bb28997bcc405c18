package servingsuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	modelGroup = "models"
	toolGroup  = "tools"

	heartbeatInterval   = 200 * time.Millisecond
	minFirstToken       = 20 * time.Millisecond
	maxFirstToken       = 80 * time.Millisecond
	minTokenTime        = 5 * time.Millisecond
	maxTokenTime        = 25 * time.Millisecond
	minLateness         = time.Second
	maxLateness         = 6 * time.Second
	rejectionRetryAfter = 200 * time.Millisecond
	// shutdownGrace is how long a server continues its executions after a shutdown request.
	shutdownGrace = 500 * time.Millisecond
)

// faultMode is how a server misbehaves for a while.
type faultMode int

const (
	modeHealthy faultMode = iota
	// modeGreyFailure breaks off or exchanges some of the answers.
	modeGreyFailure
	// modeAnswerLoss runs requests and loses some of the answers.
	modeAnswerLoss
	// modeLateAnswers delays some answers until the caller's next request is due.
	modeLateAnswers
	// modeFlapping rejects connections half of the time.
	modeFlapping
)

const (
	greyFailureOneIn = 3
	answerLossOneIn  = 2
	lateAnswerOneIn  = 3
	flapInterval     = 300 * time.Millisecond
	serverBacklog    = 2
)

// server is one incarnation of a model server or tool server.
type server struct {
	suite        *suite
	environment  *sim.Environment
	transport    *transport
	description  serverDescription
	running      uint32
	queue        []*execution
	shuttingDown bool
	epochs       map[string]uint64
	// lastNonce is the nonce of the request served before, for exchanged answers.
	lastNonce string
}

// execution is one request at a server, queued or running.
type execution struct {
	server     *server
	stream     *stream
	work       work
	id         uint64
	sentTokens int
	started    bool
	ended      bool
}

func (s *suite) buildServer(group string, capacity uint32) sim.Builder {
	return func(environment *sim.Environment) (sim.Process, error) {
		address := string(environment.Address())
		created := &server{
			suite: s, environment: environment, epochs: make(map[string]uint64),
			description: serverDescription{
				id: fmt.Sprintf("%s.%d", address, environment.Incarnation()), address: address, group: group,
				zone: environment.Zone(), capacity: capacity,
			},
		}
		created.transport = newTransport(environment, created.accept)
		if environment.Incarnation() > 1 {
			s.count(AddressesTakenOver)
		}
		created.sendHeartbeat()
		return created, nil
	}
}

// Receive implements sim.Process.
func (s *server) Receive(from sim.Address, message any) { s.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (s *server) ConnectionBroken(peer sim.Address) { s.transport.connectionBroken(peer) }

func (s *server) faultMode() faultMode { return s.suite.faultModes[s.environment.Address()] }

func (s *server) sendHeartbeat() {
	if s.shuttingDown {
		return
	}
	s.transport.call(coreAddress, heartbeat{server: s.description}, heartbeatInterval, func(any) {})
	s.environment.After(heartbeatInterval, s.sendHeartbeat)
}

func (s *server) oneIn(count int) bool { return s.environment.Random().IntN(count) == 0 }

func (s *server) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.environment.Random().Int64N(int64(maximum-minimum)+1))
}

func (s *server) accept(opened *stream, body any) {
	switch body := body.(type) {
	case connect:
		s.connect(opened, body)
	case shutdown:
		s.shutDown(opened)
	}
}

func (s *server) connect(opened *stream, request connect) {
	flapped := s.suite.world.Elapsed()/flapInterval%2 == 0
	if s.faultMode() == modeFlapping && flapped {
		s.suite.count(Flaps)
		opened.close()
		return
	}
	if request.server != s.description.id {
		s.suite.count(MisroutedConnections)
		opened.send(wrongServer{})
		return
	}
	accepted := &execution{server: s, stream: opened}
	opened.handle = accepted.receive
	opened.send(connected{})
}

// shutDown ends the process after a grace period; the machine starts another one, with another id.
func (s *server) shutDown(opened *stream) {
	opened.send(orderAnswer{accepted: true})
	if s.shuttingDown {
		return
	}
	s.shuttingDown = true
	s.suite.count(ServersReleased)
	s.environment.After(shutdownGrace, func() { s.environment.Exit(nil) })
}

// receive handles the request of a connection, or its end.
func (e *execution) receive(body any) {
	switch body := body.(type) {
	case work:
		e.work = body
		e.server.enqueue(e)
	case broken:
		e.end()
	}
}

func (s *server) enqueue(arrived *execution) {
	s.suite.rules.observeArrival(s.description.id)
	known := s.epochs[arrived.work.session]
	if arrived.work.epoch < known {
		s.suite.count(FencedAtServers)
		arrived.stream.send(fenced{})
		return
	}
	s.epochs[arrived.work.session] = arrived.work.epoch
	switch {
	case s.shuttingDown, len(s.queue) >= int(s.description.capacity)*serverBacklog:
		arrived.stream.send(rejected{retryAfter: rejectionRetryAfter})
	case s.running >= s.description.capacity:
		s.queue = append(s.queue, arrived)
	default:
		arrived.start()
	}
}

func (e *execution) start() {
	s := e.server
	s.running++
	e.started = true
	s.suite.lastExecution++
	e.id = s.suite.lastExecution
	s.suite.rules.observeExecution(e.work.requestID, s.description.id)
	first := s.between(minFirstToken, maxFirstToken)
	if s.faultMode() == modeLateAnswers && s.oneIn(lateAnswerOneIn) {
		s.suite.count(LateAnswers)
		first += s.between(minLateness, maxLateness)
	}
	s.environment.After(first, e.step)
}

// step sends the next token, or the end.
func (e *execution) step() {
	if e.ended {
		return
	}
	s := e.server
	if s.faultMode() == modeGreyFailure && s.oneIn(greyFailureOneIn) {
		s.suite.count(GreyAnswers)
		e.corruptAnswer()
		return
	}
	if e.work.call || e.sentTokens == e.work.tokens {
		e.finish()
		return
	}
	e.stream.send(token{requestID: e.work.requestID, execution: e.id, index: e.sentTokens})
	e.sentTokens++
	s.environment.After(s.between(minTokenTime, maxTokenTime), e.step)
}

// corruptAnswer breaks the answer off, or ends it with the nonce of another request.
func (e *execution) corruptAnswer() {
	s := e.server
	if s.lastNonce == "" || s.oneIn(2) {
		e.stream.close()
	} else {
		s.suite.count(ExchangedAnswers)
		e.stream.send(workDone{nonce: s.lastNonce, execution: e.id, running: s.running, tokens: e.sentTokens})
	}
	e.end()
}

func (e *execution) finish() {
	s := e.server
	s.lastNonce = e.work.nonce
	if s.faultMode() == modeAnswerLoss && s.oneIn(answerLossOneIn) {
		s.suite.count(LostAnswers)
		if s.oneIn(2) {
			e.stream.close()
		}
		e.end()
		return
	}
	e.stream.send(workDone{nonce: e.work.nonce, execution: e.id, running: s.running, tokens: e.sentTokens})
	e.end()
}

// end frees the slot or leaves the queue.
func (e *execution) end() {
	if e.ended {
		return
	}
	e.ended = true
	if e.started {
		e.server.running--
	}
	e.server.startQueued()
}

func (s *server) startQueued() {
	for s.running < s.description.capacity && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.ended {
			next.start()
		}
	}
}
