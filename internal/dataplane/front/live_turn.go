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
	readers map[*reader]bool
	changed chan struct{}
}

// reader is one that follows a turn. Its fields belong to the turn's mutex.
type reader struct {
	// position is the number of events that it has passed on, or that were there when it came.
	position int
	// tooSlow is set when it has fallen too far behind; it gets no more events.
	tooSlow bool
}

func newLiveTurn(request *protocol.TurnRequest, turnID string, cancel context.CancelCauseFunc) *liveTurn {
	return &liveTurn{
		turnID: turnID, requestID: request.GetRequestId(), session: request.GetSession(), program: request.GetProgram(),
		tenant: request.GetTenant(), background: request.GetBackground(), cancel: cancel, changed: make(chan struct{}),
		readers: make(map[*reader]bool),
	}
}

// append adds an event; a completed or failed one ends the turn for its
// readers. A turn whose readers are all too far behind is cancelled at once,
// also while one of them is held up in a write.
func (l *liveTurn) append(event *protocol.TurnEvent) {
	l.mutex.Lock()
	if l.ended {
		l.mutex.Unlock()
		return
	}
	l.events = append(l.events, event)
	l.ended = isTerminal(event)
	abandoned := l.markSlow() && l.isAbandoned()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mutex.Unlock()
	if abandoned {
		l.cancel(errCallerDisconnected)
	}
}

// markSlow marks the readers that are too far behind and reports whether one was.
func (l *liveTurn) markSlow() bool {
	marked := false
	for reader := range l.readers {
		if !reader.tooSlow && len(l.events)-reader.position > maxReaderLag {
			reader.tooSlow, marked = true, true
		}
	}
	return marked
}

// isAbandoned reports whether a turn goes on for nobody.
func (l *liveTurn) isAbandoned() bool {
	for reader := range l.readers {
		if !reader.tooSlow {
			return false
		}
	}
	return !l.ended && !l.background
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
	return event.GetCompleted() != nil || event.GetFailed() != nil || event.GetAnswered() != nil
}

// attach adds a reader.
func (l *liveTurn) attach() *reader {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	added := &reader{position: len(l.events)}
	l.readers[added] = true
	return added
}

// detach takes a reader off; without any, a turn that is not in the background is cancelled.
func (l *liveTurn) detach(left *reader) {
	l.mutex.Lock()
	delete(l.readers, left)
	alone := l.isAbandoned()
	l.mutex.Unlock()
	if alone {
		l.cancel(errCallerDisconnected)
	}
}

// advance notes that a reader has passed on the events up to a position; it reports false for one that is too slow.
func (l *liveTurn) advance(by *reader, position int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	by.position = max(by.position, position)
	return !by.tooSlow
}

// eventsFrom returns the events from a position on and what tells of more.
func (l *liveTurn) eventsFrom(position int) (events []*protocol.TurnEvent, ended bool, changed <-chan struct{}) {
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
	self := l.attach()
	defer l.detach(self)
	position := 0
	for {
		events, ended, changed := l.eventsFrom(position)
		for _, event := range events {
			if !after.seen(event) {
				if err := send(event); err != nil {
					return err
				}
			}
			position++
			if !l.advance(self, position) {
				return failure.New(failure.SlowReader, protocol.Outcome_RAN, "events were not read in time")
			}
		}
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
