package servingsuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	modelGroup = "models"
	toolGroup  = "tools"

	heartbeatInterval = 200 * time.Millisecond
	leastFirstToken   = 20 * time.Millisecond
	mostFirstToken    = 80 * time.Millisecond
	leastTokenTime    = 5 * time.Millisecond
	mostTokenTime     = 25 * time.Millisecond
	leastLateness     = time.Second
	mostLateness      = 6 * time.Second
	refusalRetry      = 200 * time.Millisecond
	// leaveGrace is how long a server that was told to leave goes on with what it runs.
	leaveGrace = 500 * time.Millisecond
)

// mood is how a server misbehaves for a while.
type mood int

const (
	moodGood mood = iota
	// moodGrey breaks off, garbles or exchanges part of the answers.
	moodGrey
	// moodForgetful does the work and loses the answer.
	moodForgetful
	// moodLate answers when the caller's next request is due.
	moodLate
	// moodFlapping refuses connections half of the time.
	moodFlapping
)

const (
	greyOneIn     = 3
	forgetOneIn   = 2
	lateOneIn     = 3
	flapInterval  = 300 * time.Millisecond
	serverBacklog = 2
)

// server is one life of a model server or tool server.
type server struct {
	suite       *suite
	environment *sim.Environment
	transport   *transport
	description serverDescription
	running     uint32
	queue       []*execution
	leaving     bool
	epochs      map[string]uint64
	// lastNonce is that of the request served before, for answers that are exchanged.
	lastNonce string
}

// execution is one request at a server.
type execution struct {
	server *server
	stream *stream
	work   work
	run    uint64
	place  int
	begun  bool
	over   bool
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
		created.beat()
		return created, nil
	}
}

// Receive takes a frame in.
func (s *server) Receive(from sim.Address, message any) { s.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (s *server) ConnectionBroken(peer sim.Address) { s.transport.connectionBroken(peer) }

func (s *server) mood() mood { return s.suite.moods[s.environment.Address()] }

func (s *server) beat() {
	if s.leaving {
		return
	}
	s.transport.call(coreAddress, heartbeat{server: s.description}, heartbeatInterval, func(any) {})
	s.environment.After(heartbeatInterval, s.beat)
}

func (s *server) oneIn(count int) bool { return s.environment.Random().IntN(count) == 0 }

func (s *server) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.environment.Random().Int64N(int64(most-least)+1))
}

func (s *server) accept(opened *stream, body any) {
	switch body := body.(type) {
	case connect:
		s.connect(opened, body)
	case leave:
		s.leave(opened)
	}
}

func (s *server) connect(opened *stream, request connect) {
	flapped := s.suite.world.Elapsed()/flapInterval%2 == 0
	if s.mood() == moodFlapping && flapped {
		s.suite.count(Flaps)
		opened.close()
		return
	}
	if request.server != s.description.id {
		s.suite.count(Misdirected)
		opened.send(misdirected{})
		return
	}
	taken := &execution{server: s, stream: opened}
	opened.handle = taken.receive
	opened.send(connected{})
}

// leave ends the process gently; the machine starts another one, with another id.
func (s *server) leave(opened *stream) {
	opened.send(orderAnswer{accepted: true})
	if s.leaving {
		return
	}
	s.leaving = true
	s.suite.count(ServersReleased)
	s.environment.After(leaveGrace, func() { s.environment.Exit(nil) })
}

// receive takes the request of a connection, or its end.
func (e *execution) receive(body any) {
	switch body := body.(type) {
	case work:
		e.work = body
		e.server.take(e)
	case broken:
		e.end()
	}
}

func (s *server) take(taken *execution) {
	s.suite.rules.reached(s.description.id)
	known := s.epochs[taken.work.session]
	if taken.work.epoch < known {
		s.suite.count(FencedAtServers)
		taken.stream.send(fencedOff{})
		return
	}
	s.epochs[taken.work.session] = taken.work.epoch
	switch {
	case s.leaving, len(s.queue) >= int(s.description.capacity)*serverBacklog:
		taken.stream.send(refused{retryAfter: refusalRetry})
	case s.running >= s.description.capacity:
		s.queue = append(s.queue, taken)
	default:
		taken.start()
	}
}

func (e *execution) start() {
	s := e.server
	s.running++
	e.begun = true
	s.suite.lastRun++
	e.run = s.suite.lastRun
	s.suite.rules.ran(e.work.requestID, s.description.id)
	first := s.between(leastFirstToken, mostFirstToken)
	if s.mood() == moodLate && s.oneIn(lateOneIn) {
		s.suite.count(LateAnswers)
		first += s.between(leastLateness, mostLateness)
	}
	s.environment.After(first, e.step)
}

// step sends the next token, or the end.
func (e *execution) step() {
	if e.over {
		return
	}
	s := e.server
	if s.mood() == moodGrey && s.oneIn(greyOneIn) {
		s.suite.count(GreyAnswers)
		e.misbehave()
		return
	}
	if e.work.call || e.place == e.work.tokens {
		e.finish()
		return
	}
	e.stream.send(token{requestID: e.work.requestID, run: e.run, place: e.place})
	e.place++
	s.environment.After(s.between(leastTokenTime, mostTokenTime), e.step)
}

// misbehave breaks the answer off, or ends it as the answer to another request.
func (e *execution) misbehave() {
	s := e.server
	if s.lastNonce == "" || s.oneIn(2) {
		e.stream.close()
	} else {
		s.suite.count(ExchangedAnswers)
		e.stream.send(workDone{nonce: s.lastNonce, run: e.run, running: s.running, tokens: e.place})
	}
	e.end()
}

func (e *execution) finish() {
	s := e.server
	s.lastNonce = e.work.nonce
	if s.mood() == moodForgetful && s.oneIn(forgetOneIn) {
		s.suite.count(LostAnswers)
		if s.oneIn(2) {
			e.stream.close()
		}
		e.end()
		return
	}
	e.stream.send(workDone{nonce: e.work.nonce, run: e.run, running: s.running, tokens: e.place})
	e.end()
}

// end frees the slot, or the place in the queue.
func (e *execution) end() {
	if e.over {
		return
	}
	e.over = true
	if e.begun {
		e.server.running--
	}
	e.server.startWaiting()
}

func (s *server) startWaiting() {
	for s.running < s.description.capacity && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.over {
			next.start()
		}
	}
}
