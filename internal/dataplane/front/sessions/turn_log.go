package sessions

import (
	"context"
	"sync"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxReaderLag is how many events a reader may be behind before it is disconnected.
const maxReaderLag = 1024

// TurnLog is a turn in progress, or ended recently, at its owner: the log of its events, which any number
// of readers follow at their own pace. The mutex guards the log and the readers.
type TurnLog struct {
	TurnID    string
	RequestID string
	session   string
	program   string
	Tenant    string
	// background turns go on without readers.
	background bool
	cancel     context.CancelCauseFunc

	mutex   sync.Mutex
	events  []*protocol.TurnEvent
	ended   bool
	readers map[*reader]bool
	changed chan struct{}
}

// reader follows a turn. The turn's mutex guards its fields.
type reader struct {
	// position is the number of events that it has sent on, or that were there when it was attached.
	position int
	// tooSlow is set when it has fallen too far behind; it gets no more events.
	tooSlow bool
}

// NewTurnLog makes the log of a turn; cancel is called when nobody reads it any more.
func NewTurnLog(request *protocol.TurnRequest, turnID string, cancel context.CancelCauseFunc) *TurnLog {
	return &TurnLog{
		TurnID: turnID, RequestID: request.GetRequestId(), session: request.GetSession(), program: request.GetProgram(),
		Tenant: request.GetTenant(), background: request.GetBackground(), cancel: cancel, changed: make(chan struct{}),
		readers: make(map[*reader]bool),
	}
}

// Append adds an event; a terminal one ends the turn for its readers. A turn whose readers are all too far
// behind is cancelled at once, also while one of them blocks in a write.
func (l *TurnLog) Append(event *protocol.TurnEvent) {
	l.mutex.Lock()
	if l.ended {
		l.mutex.Unlock()
		return
	}
	l.events = append(l.events, event)
	l.ended = IsTerminal(event)
	abandoned := l.markSlow() && l.isAbandoned()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mutex.Unlock()
	if abandoned {
		l.cancel(ErrCallerDisconnected)
	}
}

// markSlow marks the readers that are too far behind and reports whether one was.
func (l *TurnLog) markSlow() bool {
	marked := false
	for reader := range l.readers {
		if !reader.tooSlow && len(l.events)-reader.position > maxReaderLag {
			reader.tooSlow, marked = true, true
		}
	}
	return marked
}

// isAbandoned reports whether a turn goes on without a reader that should have one; the caller holds the
// mutex.
func (l *TurnLog) isAbandoned() bool {
	for reader := range l.readers {
		if !reader.tooSlow {
			return false
		}
	}
	return !l.ended && !l.background
}

// End makes sure that readers do not wait for ever.
func (l *TurnLog) End() {
	l.mutex.Lock()
	ended := l.ended
	l.mutex.Unlock()
	if !ended {
		l.Append(lostEvent(l.last()))
	}
}

func (l *TurnLog) last() *protocol.TurnEvent {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.events) == 0 {
		return nil
	}
	return l.events[len(l.events)-1]
}

// lostEvent ends a stream whose state machine ended without a terminal event.
func lostEvent(last *protocol.TurnEvent) *protocol.TurnEvent {
	return &protocol.TurnEvent{
		Attempt: max(last.GetAttempt(), 1), Sequence: last.GetSequence() + 1,
		Body: &protocol.TurnEvent_Failed{Failed: failure.New(failure.InternalError, protocol.Outcome_UNKNOWN,
			"the turn ended without an answer").Failure},
	}
}

// IsTerminal reports whether an event is the last one of a turn.
func IsTerminal(event *protocol.TurnEvent) bool {
	return event.GetCompleted() != nil || event.GetFailed() != nil || event.GetAnswered() != nil
}

// attach adds a reader.
func (l *TurnLog) attach() *reader {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	added := &reader{position: len(l.events)}
	l.readers[added] = true
	return added
}

// detach removes a reader; without any, a turn that is not in the background is cancelled.
func (l *TurnLog) detach(left *reader) {
	l.mutex.Lock()
	delete(l.readers, left)
	alone := l.isAbandoned()
	l.mutex.Unlock()
	if alone {
		l.cancel(ErrCallerDisconnected)
	}
}

// advance records that a reader has sent on the events up to a position; it reports false for one that is
// too slow.
func (l *TurnLog) advance(by *reader, position int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	by.position = max(by.position, position)
	return !by.tooSlow
}

// eventsFrom returns the events from a position on, and a channel that is closed when there are more.
func (l *TurnLog) eventsFrom(position int) (events []*protocol.TurnEvent, ended bool, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.events[position:len(l.events):len(l.events)], l.ended, l.changed
}

// size is the number of events in the log.
func (l *TurnLog) size() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.events)
}

// Follow sends the events after a cursor, one by one, until the turn or the context ends. The error is
// that of send or of the context, or a SlowReader failure.
func (l *TurnLog) Follow(ctx context.Context, after Cursor, send func(*protocol.TurnEvent) error) error {
	self := l.attach()
	defer l.detach(self)
	position := 0
	for {
		events, ended, changed := l.eventsFrom(position)
		for _, event := range events {
			if !after.Seen(event) {
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

// Cursor is the position of the last event that a reader has seen; zero is before the first.
type Cursor struct {
	Attempt  uint32
	Sequence uint64
}

// Seen reports whether the event lies at or before the cursor.
func (c Cursor) Seen(event *protocol.TurnEvent) bool {
	if event.GetAttempt() != c.Attempt {
		return event.GetAttempt() < c.Attempt
	}
	return event.GetSequence() <= c.Sequence
}

// Follows reports whether the event is the next one: the next of its attempt, or the first of a later one.
func (c Cursor) Follows(event *protocol.TurnEvent) bool {
	if event.GetAttempt() == c.Attempt {
		return event.GetSequence() == c.Sequence+1
	}
	return event.GetAttempt() > c.Attempt && event.GetSequence() == 1
}
