package front

import (
	"context"
	"sync"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxReaderLag is how many events a reader may be behind before it is cut.
const maxReaderLag = 1024

// liveTurn is a turn under way, or lately ended, at its owner: the log of its
// events, which any number of readers follow at their own pace.
type liveTurn struct {
	turnID    string
	requestID string
	session   string
	program   string
	tenant    string
	// background turns go on when nobody reads them.
	background bool
	cancel     context.CancelCauseFunc

	mutex   sync.Mutex
	events  []*protocol.TurnEvent
	ended   bool
	readers int
	changed chan struct{}
}

func newLiveTurn(request *protocol.TurnRequest, turnID string, cancel context.CancelCauseFunc) *liveTurn {
	return &liveTurn{
		turnID: turnID, requestID: request.GetRequestId(), session: request.GetSession(), program: request.GetProgram(),
		tenant: request.GetTenant(), background: request.GetBackground(), cancel: cancel, changed: make(chan struct{}),
	}
}

// append adds an event; a completed or failed one ends the turn for its readers.
func (l *liveTurn) append(event *protocol.TurnEvent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return
	}
	l.events = append(l.events, event)
	l.ended = isTerminal(event)
	close(l.changed)
	l.changed = make(chan struct{})
}

// end makes sure that readers do not wait for ever.
func (l *liveTurn) end() {
	l.mutex.Lock()
	ended := l.ended
	l.mutex.Unlock()
	if !ended {
		l.append(lostEvent(l.last()))
	}
}

func (l *liveTurn) last() *protocol.TurnEvent {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.events) == 0 {
		return nil
	}
	return l.events[len(l.events)-1]
}

// lostEvent ends a stream whose machine ended without a last word.
func lostEvent(last *protocol.TurnEvent) *protocol.TurnEvent {
	return &protocol.TurnEvent{
		Attempt: max(last.GetAttempt(), 1), Sequence: last.GetSequence() + 1,
		Body: &protocol.TurnEvent_Failed{Failed: failure.New(failure.InternalError, protocol.Outcome_UNKNOWN,
			"the turn ended without an answer").Failure},
	}
}

func isTerminal(event *protocol.TurnEvent) bool {
	return event.GetCompleted() != nil || event.GetFailed() != nil
}

// attach adds a reader.
func (l *liveTurn) attach() {
	l.mutex.Lock()
	l.readers++
	l.mutex.Unlock()
}

// detach takes a reader off; without any, a turn that is not in the background is cancelled.
func (l *liveTurn) detach() {
	l.mutex.Lock()
	l.readers--
	alone := l.readers == 0 && !l.ended && !l.background
	l.mutex.Unlock()
	if alone {
		l.cancel(errCallerGone)
	}
}

// from returns the events from a position on and what tells of more.
func (l *liveTurn) from(position int) (events []*protocol.TurnEvent, ended bool, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.events[position:len(l.events):len(l.events)], l.ended, l.changed
}

// size is the number of events held.
func (l *liveTurn) size() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.events)
}

// follow gives the events after a cursor to send, one by one, until the turn or the reader ends.
func (l *liveTurn) follow(ctx context.Context, after cursor, send func(*protocol.TurnEvent) error) error {
	l.attach()
	defer l.detach()
	position := 0
	for {
		events, ended, changed := l.from(position)
		if position > 0 && len(events) > maxReaderLag {
			return failure.New(failure.SlowReader, protocol.Outcome_RAN, "events were not read in time")
		}
		for _, event := range events {
			if !after.seen(event) {
				if err := send(event); err != nil {
					return err
				}
			}
		}
		position += len(events)
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// cursor is the last event that a reader has seen.
type cursor struct {
	attempt  uint32
	sequence uint64
}

// seen reports whether the event lies at or before the cursor.
func (c cursor) seen(event *protocol.TurnEvent) bool {
	if event.GetAttempt() != c.attempt {
		return event.GetAttempt() < c.attempt
	}
	return event.GetSequence() <= c.sequence
}

// follows reports whether the event is the next one: the next of its attempt, or the first of a later one.
func (c cursor) follows(event *protocol.TurnEvent) bool {
	if event.GetAttempt() == c.attempt {
		return event.GetSequence() == c.sequence+1
	}
	return event.GetAttempt() > c.attempt && event.GetSequence() == 1
}
