package sessions

import (
	"context"
	"sync"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxReaderLag is the number of events that a reader may lag behind before it is disconnected.
const maxReaderLag = 1024

// TurnLog is the event log of a turn that is in progress or ended recently. Any number of readers follow it at their
// own pace. The mutex guards the events and the readers.
type TurnLog struct {
	TurnID    string
	RequestID string
	session   string
	program   string
	Tenant    string
	// background is set for a turn that continues without readers.
	background bool
	cancel     context.CancelCauseFunc

	mutex   sync.Mutex
	events  []*protocol.TurnEvent
	ended   bool
	readers map[*reader]bool
	changed chan struct{}
}

// reader is one reader of a TurnLog, whose mutex guards the fields.
type reader struct {
	// position is the number of events that the reader has forwarded, but at least the number of events that the log
	// had when the reader was attached.
	position int
	// tooSlow is set when the reader lags behind by more than maxReaderLag; it gets no more events.
	tooSlow bool
}

// NewTurnLog returns the log of a turn. cancel is called when the turn has no readers left and is not in the
// background.
func NewTurnLog(request *protocol.TurnRequest, turnID string, cancel context.CancelCauseFunc) *TurnLog {
	return &TurnLog{
		TurnID: turnID, RequestID: request.GetRequestId(), session: request.GetSession(), program: request.GetProgram(),
		Tenant: request.GetTenant(), background: request.GetBackground(), cancel: cancel, changed: make(chan struct{}),
		readers: make(map[*reader]bool),
	}
}

// Append adds an event; a terminal event ends the log, and later ones are dropped. A turn whose readers are all too
// slow is cancelled at once, even while one of them blocks in a write.
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

// markSlow marks the readers that lag too far behind and reports whether it marked any.
func (l *TurnLog) markSlow() bool {
	marked := false
	for reader := range l.readers {
		if !reader.tooSlow && len(l.events)-reader.position > maxReaderLag {
			reader.tooSlow, marked = true, true
		}
	}
	return marked
}

// isAbandoned reports whether a turn that needs a reader is still in progress and all its readers have left or are too
// slow; the caller holds the mutex.
func (l *TurnLog) isAbandoned() bool {
	for reader := range l.readers {
		if !reader.tooSlow {
			return false
		}
	}
	return !l.ended && !l.background
}

// End appends a failure unless the log has a terminal event, so that no reader waits forever.
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

// lostEvent returns the terminal event for a turn whose state machine ended without one.
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

// detach removes a reader. When no reader is left, a turn that is not in the background is cancelled.
func (l *TurnLog) detach(removed *reader) {
	l.mutex.Lock()
	delete(l.readers, removed)
	abandoned := l.isAbandoned()
	l.mutex.Unlock()
	if abandoned {
		l.cancel(ErrCallerDisconnected)
	}
}

// advance records that a reader has forwarded the events up to a position; it returns false if the reader is too slow.
func (l *TurnLog) advance(r *reader, position int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r.position = max(r.position, position)
	return !r.tooSlow
}

// eventsFrom returns the events from a position on, whether the log has ended, and a channel that is closed when an
// event is added.
func (l *TurnLog) eventsFrom(position int) (events []*protocol.TurnEvent, ended bool, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.events[position:len(l.events):len(l.events)], l.ended, l.changed
}

// size returns the number of events in the log.
func (l *TurnLog) size() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.events)
}

// Follow calls send for each event after a cursor, until the turn or the context ends. The error is that of send or of
// the context, or a SlowReader failure.
func (l *TurnLog) Follow(ctx context.Context, after Cursor, send func(*protocol.TurnEvent) error) error {
	attached := l.attach()
	defer l.detach(attached)
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
			if !l.advance(attached, position) {
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

// Cursor is the position of the last event that a reader has received; the zero Cursor is before the first event.
type Cursor struct {
	Attempt  uint32
	Sequence uint64
}

// Seen reports whether the event is at or before the cursor.
func (c Cursor) Seen(event *protocol.TurnEvent) bool {
	if event.GetAttempt() != c.Attempt {
		return event.GetAttempt() < c.Attempt
	}
	return event.GetSequence() <= c.Sequence
}

// Follows reports whether the event is the next one: the next of the same attempt, or the first of a later attempt.
func (c Cursor) Follows(event *protocol.TurnEvent) bool {
	if event.GetAttempt() == c.Attempt {
		return event.GetSequence() == c.Sequence+1
	}
	return event.GetAttempt() > c.Attempt && event.GetSequence() == 1
}
