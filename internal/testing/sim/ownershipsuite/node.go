package ownershipsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// packet is a request or its answer. Bodies are never changed once sent.
type packet struct {
	id    uint64
	reply bool
	body  any
	// origin is who is to be answered, when the packet came through the relay; destination where it goes.
	origin, destination sim.Address
}

// answerTo is where the answer to a packet goes.
func (p packet) answerTo(from sim.Address) sim.Address {
	if p.origin != "" {
		return p.origin
	}
	return from
}

const (
	// lateOneIn is how rarely a packet takes the relay, which delays it by up to longestDelay.
	lateOneIn    = 25
	longestDelay = 12 * time.Second
)

// relay passes packets on late, as a network or a stopped sender may, after their sender gave them up.
type relay struct {
	environment *sim.Environment
}

func (s *suite) buildRelay(environment *sim.Environment) (sim.Process, error) {
	return &relay{environment: environment}, nil
}

// Receive passes one packet on.
func (r *relay) Receive(from sim.Address, message any) {
	late, isPacket := message.(packet)
	if !isPacket || late.destination == "" {
		return
	}
	late.origin = from
	delay := time.Duration(r.environment.Random().Int64N(int64(longestDelay)))
	r.environment.After(delay, func() { r.environment.Send(late.destination, late) })
}

// node makes calls over the simulated network.
type node struct {
	environment *sim.Environment
	calls       map[uint64]*pendingCall
	lastCall    uint64
	// failure is why the call that is being finished has no answer.
	failure directory.CallFailure
}

type pendingCall struct {
	to      sim.Address
	sentAt  time.Time
	timeout time.Duration
	answer  func(body any)
}

func newNode(environment *sim.Environment) node {
	// A late answer to a former life of the machine must not be taken for one to this life.
	return node{environment: environment, calls: make(map[uint64]*pendingCall), lastCall: uint64(environment.Incarnation()) << 32}
}

// call sends a request; answer gets nil when none came in time or the connection broke.
func (n *node) call(to sim.Address, body any, timeout time.Duration, answer func(body any)) uint64 {
	n.lastCall++
	id := n.lastCall
	n.calls[id] = &pendingCall{to: to, sentAt: n.environment.Now(), timeout: timeout, answer: answer}
	n.environment.Send(to, packet{id: id, body: body})
	n.environment.After(timeout, func() { n.expire(id) })
	return id
}

// callLate is a call whose request may arrive very late.
func (n *node) callLate(to sim.Address, body any, timeout time.Duration, answer func(body any)) {
	if n.environment.Random().IntN(lateOneIn) != 0 {
		n.call(to, body, timeout, answer)
		return
	}
	n.lastCall++
	id := n.lastCall
	n.calls[id] = &pendingCall{to: to, sentAt: n.environment.Now(), timeout: timeout, answer: answer}
	n.environment.Send(relayAddress, packet{id: id, body: body, destination: to})
	n.environment.After(timeout, func() { n.expire(id) })
}

// stallFactor is how much longer than its time-out a call may have lasted for its silence to count.
const stallFactor = 1.5

// expire ends a call that had no answer in time. A process that itself stood still saw nothing.
func (n *node) expire(id uint64) {
	pending := n.calls[id]
	if pending == nil {
		return
	}
	n.failure = directory.CallTimedOut
	if n.environment.Now().Sub(pending.sentAt) > time.Duration(stallFactor*float64(pending.timeout)) {
		n.failure = directory.CallInconclusive
	}
	n.finish(id, nil)
}

func (n *node) finish(id uint64, body any) {
	if pending := n.calls[id]; pending != nil {
		delete(n.calls, id)
		pending.answer(body)
	}
}

func (n *node) reply(to sim.Address, id uint64, body any) {
	n.environment.Send(to, packet{id: id, reply: true, body: body})
}

// broken fails all calls to a peer whose process ended.
func (n *node) broken(peer sim.Address) {
	var failed []uint64
	for id, pending := range n.calls {
		if pending.to == peer {
			failed = append(failed, id)
		}
	}
	slices.Sort(failed)
	for _, id := range failed {
		n.failure = directory.CallBroken
		n.finish(id, nil)
	}
}
