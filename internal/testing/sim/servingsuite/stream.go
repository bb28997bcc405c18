package servingsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// frame is one message of a stream. Bodies are immutable once sent.
type frame struct {
	stream   uint64
	toServer bool
	sequence int
	body     any
	sentAt   time.Duration
}

// closed is the body of the last frame of a stream that its sender closes.
type closed struct{}

// broken is passed to a stream's handler when the peer closed the stream or its process ended.
type broken struct{}

type streamKey struct {
	peer   sim.Address
	id     uint64
	server bool
}

// stream is one connection between two processes. Frames arrive in order and once, as over TCP; a lost frame stops
// its direction for good, as when the peer becomes unreachable.
type stream struct {
	transport  *transport
	key        streamKey
	sent       int
	received   int
	outOfOrder map[int]any
	handle     func(body any)
	ended      bool
}

// transport holds the streams of one incarnation of a process.
type transport struct {
	environment *sim.Environment
	startedAt   time.Duration
	next        uint64
	streams     map[streamKey]*stream
	// accept handles the first message of a stream that a peer opened.
	accept func(opened *stream, body any)
}

func newTransport(environment *sim.Environment, accept func(*stream, any)) *transport {
	return &transport{
		environment: environment, startedAt: environment.World().Elapsed(), streams: make(map[streamKey]*stream),
		accept: accept,
		next:   uint64(environment.Incarnation()) << 32,
	}
}

func (t *transport) add(key streamKey) *stream {
	added := &stream{transport: t, key: key, outOfOrder: make(map[int]any)}
	t.streams[key] = added
	return added
}

// open begins a stream with its first message; handle receives the peer's messages.
func (t *transport) open(to sim.Address, body any, handle func(body any)) *stream {
	t.next++
	opened := t.add(streamKey{peer: to, id: t.next})
	opened.handle = handle
	opened.send(body)
	return opened
}

// call opens a stream for one answer; done is called with nil when none came in time.
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

// send sends a message to the peer.
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

// close ends the stream and notifies the peer.
func (s *stream) close() {
	s.send(closed{})
	s.abandon()
}

// abandon ends the stream without notifying the peer.
func (s *stream) abandon() {
	s.ended = true
	s.outOfOrder = nil
}

// receive handles a frame.
func (t *transport) receive(from sim.Address, message any) {
	received, isFrame := message.(frame)
	if !isFrame || received.sentAt < t.startedAt {
		// The frame was sent to an earlier incarnation of this process.
		return
	}
	key := streamKey{peer: from, id: received.stream, server: received.toServer}
	target := t.streams[key]
	if target == nil && !received.toServer {
		return
	}
	if target == nil {
		target = t.add(key)
	}
	target.receiveFrame(received)
}

func (s *stream) receiveFrame(received frame) {
	if s.ended || received.sequence < s.received {
		return
	}
	s.outOfOrder[received.sequence] = received.body
	for !s.ended {
		body, arrived := s.outOfOrder[s.received]
		if !arrived {
			return
		}
		delete(s.outOfOrder, s.received)
		s.received++
		s.deliver(body)
	}
}

func (s *stream) deliver(body any) {
	if _, ends := body.(closed); ends {
		s.breakConnection()
		return
	}
	if s.handle == nil {
		s.transport.accept(s, body)
		return
	}
	s.handle(body)
}

func (s *stream) breakConnection() {
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
		candidate.breakConnection()
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
