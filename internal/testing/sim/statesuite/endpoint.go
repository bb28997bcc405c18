package statesuite

import (
	"maps"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// request and answer are the messages between processes; bodies are immutable once sent.
type request struct {
	id   uint64
	body any
}

type answer struct {
	id   uint64
	body any
}

// endpoint matches answers to requests of one incarnation of a process.
type endpoint struct {
	environment *sim.Environment
	next        uint64
	pending     map[uint64]*pendingCall
	// serve handles a request; it calls reply at most once, now or later.
	serve func(from sim.Address, body any, reply func(any))
}

type pendingCall struct {
	to   sim.Address
	done func(any)
}

func newEndpoint(environment *sim.Environment, serve func(sim.Address, any, func(any))) *endpoint {
	return &endpoint{
		environment: environment,
		// Answers to an earlier incarnation must not match requests of this one.
		next:    uint64(environment.Incarnation()) << 32,
		pending: map[uint64]*pendingCall{},
		serve:   serve,
	}
}

// call sends a request. done is called with the answer, or with nil when none came in time: then it is unknown whether
// the request arrived.
func (e *endpoint) call(to sim.Address, body any, timeout time.Duration, done func(any)) {
	e.next++
	id := e.next
	e.pending[id] = &pendingCall{to: to, done: done}
	e.environment.Send(to, request{id: id, body: body})
	e.environment.After(timeout, func() { e.finish(id, nil) })
}

func (e *endpoint) finish(id uint64, body any) {
	waiting, found := e.pending[id]
	if !found {
		return
	}
	delete(e.pending, id)
	waiting.done(body)
}

func (e *endpoint) receive(from sim.Address, message any) {
	switch message := message.(type) {
	case request:
		e.serve(from, message.body, func(body any) {
			e.environment.Send(from, answer{id: message.id, body: body})
		})
	case answer:
		e.finish(message.id, message.body)
	}
}

// connectionBroken ends the calls to a peer whose process ended.
func (e *endpoint) connectionBroken(peer sim.Address) {
	for _, id := range slices.Sorted(maps.Keys(e.pending)) {
		if waiting, found := e.pending[id]; found && waiting.to == peer {
			e.finish(id, nil)
		}
	}
}
