package ownershipsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// packet is a request or its answer. Bodies are immutable once sent.
type packet struct {
	id    uint64
	reply bool
	body  any
	// origin is the sender and destination the receiver of a packet that is sent through the relay.
	origin, destination sim.Address
}

// answerTo returns the address for the answer to a packet.
func (p packet) answerTo(from sim.Address) sim.Address {
	if p.origin != "" {
		return p.origin
	}
	return from
}

const (
	// delayedOneIn: one packet in so many takes the relay, which delays it by up to maxRelayDelay.
	delayedOneIn  = 25
	maxRelayDelay = 12 * time.Second
)

// relay forwards packets after their sender timed out, as a network or a frozen sender may.
type relay struct {
	environment *sim.Environment
}

func (s *suite) buildRelay(environment *sim.Environment) (sim.Process, error) {
	return &relay{environment: environment}, nil
}

// Receive implements sim.Process.
func (r *relay) Receive(from sim.Address, message any) {
	late, isPacket := message.(packet)
	if !isPacket || late.destination == "" {
		return
	}
	late.origin = from
	delay := time.Duration(r.environment.Random().Int64N(int64(maxRelayDelay)))
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
	// A late answer to an earlier incarnation must not match a call of this one.
	return node{
		environment: environment, calls: make(map[uint64]*pendingCall),
		lastCall: uint64(environment.Incarnation()) << 32,
	}
}

// call sends a request; answer is called with nil when none came in time or the connection broke.
func (n *node) call(to sim.Address, body any, timeout time.Duration, answer func(body any)) uint64 {
	n.lastCall++
	id := n.lastCall
	n.calls[id] = &pendingCall{to: to, sentAt: n.environment.Now(), timeout: timeout, answer: answer}
	n.environment.Send(to, packet{id: id, body: body})
	n.environment.After(timeout, func() { n.expire(id) })
	return id
}

// callMaybeDelayed is a call whose request may take the relay.
func (n *node) callMaybeDelayed(to sim.Address, body any, timeout time.Duration, answer func(body any)) {
	if n.environment.Random().IntN(delayedOneIn) != 0 {
		n.call(to, body, timeout, answer)
		return
	}
	n.lastCall++
	id := n.lastCall
	n.calls[id] = &pendingCall{to: to, sentAt: n.environment.Now(), timeout: timeout, answer: answer}
	n.environment.Send(relayAddress, packet{id: id, body: body, destination: to})
	n.environment.After(timeout, func() { n.expire(id) })
}

// stallFactor is the bound, in time-outs, on how long a call lasted for its time-out to count against the peer.
const stallFactor = 1.5

// expire ends a call that had no answer in time. That shows nothing of the peer when this process was frozen.
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

// connectionBroken fails all calls to a peer whose process ended.
func (n *node) connectionBroken(peer sim.Address) {
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
