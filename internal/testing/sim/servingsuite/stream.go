package servingsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// frame is one message of a stream. Bodies are never changed once sent.
type frame struct {
	stream   uint64
	toServer bool
	sequence int
	body     any
	sentAt   time.Duration
}

// closed is the body of the last frame of a stream that its sender ends.
type closed struct{}

// broken is what a stream's handler gets when the peer ended the stream or its process ended.
type broken struct{}

type streamKey struct {
	peer   sim.Address
	id     uint64
	server bool
}

// stream is one exchange between two processes. What a side sends arrives in order and once, as over TCP; a lost
// frame stops the direction for good, as a connection does whose peer is not heard any more.
type stream struct {
	transport *transport
	key       streamKey
	sent      int
	received  int
	early     map[int]any
	handle    func(body any)
	ended     bool
}

// transport holds the streams of one process life.
type transport struct {
	environment *sim.Environment
	bornAt      time.Duration
	next        uint64
	streams     map[streamKey]*stream
	// accept takes the first message of a stream that a peer opened.
	accept func(opened *stream, body any)
}

func newTransport(environment *sim.Environment, accept func(*stream, any)) *transport {
	return &transport{
		environment: environment, bornAt: environment.World().Elapsed(), streams: make(map[streamKey]*stream), accept: accept,
		next: uint64(environment.Incarnation()) << 32,
	}
}

func (t *transport) add(key streamKey) *stream {
	added := &stream{transport: t, key: key, early: make(map[int]any)}
	t.streams[key] = added
	return added
}

// open begins a stream with its first message; handle gets what comes back.
func (t *transport) open(to sim.Address, body any, handle func(body any)) *stream {
	t.next++
	opened := t.add(streamKey{peer: to, id: t.next})
	opened.handle = handle
	opened.send(body)
	return opened
}

// call opens a stream for one answer; done gets nil when none came in time.
func (t *transport) call(to sim.Address, body any, timeout time.Duration, done func(body any)) {
	var opened *stream
	finish := func(answer any) {
		opened.abandon()
		done(answer)
	}
	opened = t.open(to, body, func(answer any) {
		if _, ended := answer.(broken); ended {
			answer = nil
		}
		finish(answer)
	})
	t.environment.After(timeout, func() {
		if !opened.ended {
			finish(nil)
		}
	})
}

// send gives a message to the peer.
func (s *stream) send(body any) {
	if s.ended {
		return
	}
	message := frame{
		stream: s.key.id, toServer: !s.key.server, sequence: s.sent, body: body,
		sentAt: s.transport.environment.World().Elapsed(),
	}
	s.sent++
	s.transport.environment.Send(s.key.peer, message)
}

// close ends the stream and tells the peer.
func (s *stream) close() {
	s.send(closed{})
	s.abandon()
}

// abandon ends the stream in silence.
func (s *stream) abandon() {
	s.ended = true
	s.early = nil
}

// receive takes a frame in.
func (t *transport) receive(from sim.Address, message any) {
	received, isFrame := message.(frame)
	if !isFrame || received.sentAt < t.bornAt {
		// What was sent to a former life of this process reaches no later one.
		return
	}
	key := streamKey{peer: from, id: received.stream, server: received.toServer}
	found := t.streams[key]
	if found == nil && !received.toServer {
		return
	}
	if found == nil {
		found = t.add(key)
	}
	found.take(received)
}

func (s *stream) take(received frame) {
	if s.ended || received.sequence < s.received {
		return
	}
	s.early[received.sequence] = received.body
	for !s.ended {
		body, arrived := s.early[s.received]
		if !arrived {
			return
		}
		delete(s.early, s.received)
		s.received++
		s.deliver(body)
	}
}

func (s *stream) deliver(body any) {
	if _, ends := body.(closed); ends {
		s.breakOff()
		return
	}
	if s.handle == nil {
		s.transport.accept(s, body)
		return
	}
	s.handle(body)
}

func (s *stream) breakOff() {
	if s.ended {
		return
	}
	s.abandon()
	if s.handle != nil {
		s.handle(broken{})
	}
}

// connectionBroken ends the streams to a peer whose process ended.
func (t *transport) connectionBroken(peer sim.Address) {
	var lost []*stream
	for key, candidate := range t.streams {
		if key.peer == peer && !candidate.ended {
			lost = append(lost, candidate)
		}
	}
	slices.SortFunc(lost, func(a, b *stream) int { return compareKeys(a.key, b.key) })
	for _, candidate := range lost {
		candidate.breakOff()
	}
}

func compareKeys(a, b streamKey) int {
	switch {
	case a.id < b.id:
		return -1
	case a.id > b.id:
		return 1
	case a.server == b.server:
		return 0
	case a.server:
		return 1
	default:
		return -1
	}
}
