package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// eventWriteTimeout is how long one event may take to be written to a slow reader.
const eventWriteTimeout = 10 * time.Second

// Types of server-sent events.
const (
	eventCreated   = "response.created"
	eventDelta     = "response.output_text.delta"
	eventCompleted = "response.completed"
	eventFailed    = "response.failed"
)

// EventStream writes the events of a turn to a caller, flushed one by one. One goroutine uses it.
type EventStream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	view       TurnView
	last       sessions.Cursor
	headerSent bool
	buffer     []byte
}

// NewEventStream makes the stream of a new turn; nothing is written before the first event.
func NewEventStream(writer http.ResponseWriter, request *protocol.TurnRequest) *EventStream {
	return &EventStream{writer: writer, controller: http.NewResponseController(writer), view: TurnView{request: request}}
}

type eventHeader struct {
	Type           string `json:"type"`
	SequenceNumber uint64 `json:"sequence_number"`
	Attempt        uint32 `json:"attempt"`
}

type deltaEvent struct {
	eventHeader
	Delta  string `json:"delta"`
	Tokens uint32 `json:"tokens"`
}

type responseEvent struct {
	eventHeader
	Response ResponseObject `json:"response"`
}

type failedEvent struct {
	eventHeader
	Error failure.Detail `json:"error"`
}

// Send writes one event. A failure before anything was written is not written:
// it becomes an ordinary error answer.
func (e *EventStream) Send(event *protocol.TurnEvent) error {
	e.view.Observe(event)
	if f := event.GetFailed(); f != nil && !e.headerSent {
		return &failure.Error{Failure: f}
	}
	header := eventHeader{SequenceNumber: event.GetSequence(), Attempt: event.GetAttempt()}
	var data any
	switch body := event.GetBody().(type) {
	case *protocol.TurnEvent_Created:
		header.Type = eventCreated
		data = responseEvent{eventHeader: header, Response: e.view.object(statusInProgress)}
	case *protocol.TurnEvent_Delta:
		header.Type = eventDelta
		data = deltaEvent{eventHeader: header, Delta: body.Delta.GetText(), Tokens: body.Delta.GetTokens()}
	case *protocol.TurnEvent_Completed:
		header.Type = eventCompleted
		data = responseEvent{eventHeader: header, Response: e.view.Completed(body.Completed)}
	case *protocol.TurnEvent_Failed:
		header.Type = eventFailed
		data = failedEvent{eventHeader: header, Error: failure.NewDetail(body.Failed)}
	}
	return e.write(header, data)
}

// ResumeEventStream makes the stream of a turn that goes on after the caller's last event, and sends its header.
func ResumeEventStream(
	writer http.ResponseWriter, request *protocol.TurnRequest, created *protocol.TurnCreated, after sessions.Cursor,
) (*EventStream, error) {
	stream := NewEventStream(writer, request)
	stream.last, stream.view.created = after, created
	stream.begin()
	return stream, stream.controller.Flush()
}

// HasBegun reports whether something was sent: an error can be sent as an event only.
func (e *EventStream) HasBegun() bool { return e.headerSent }

// begin sends the header of the stream.
func (e *EventStream) begin() {
	if e.headerSent {
		return
	}
	e.headerSent = true
	e.writer.Header().Set("Content-Type", "text/event-stream")
	e.writer.Header().Set("Cache-Control", "no-store")
	e.writer.WriteHeader(http.StatusOK)
}

func (e *EventStream) write(header eventHeader, data any) error {
	text, err := json.Marshal(data)
	if err != nil {
		return err
	}
	e.begin()
	e.buffer = append(e.buffer[:0], "id: "...)
	e.buffer = strconv.AppendUint(e.buffer, uint64(header.Attempt), 10)
	e.buffer = append(e.buffer, '-')
	e.buffer = strconv.AppendUint(e.buffer, header.SequenceNumber, 10)
	e.buffer = append(append(e.buffer, "\nevent: "...), header.Type...)
	e.buffer = append(append(e.buffer, "\ndata: "...), text...)
	e.buffer = append(e.buffer, "\n\n"...)
	// A writer that knows no deadlines, as in tests, is never slow.
	_ = e.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := e.writer.Write(e.buffer); err != nil {
		return SlowReader(err)
	}
	if err := e.controller.Flush(); err != nil {
		return SlowReader(err)
	}
	e.last = sessions.Cursor{Attempt: header.Attempt, Sequence: header.SequenceNumber}
	return nil
}

// SlowReader is the failure for an event that could not be written.
func SlowReader(err error) error {
	return failure.New(failure.SlowReader, protocol.Outcome_RAN, "the event could not be written: "+err.Error())
}

// Fail ends a stream that has begun with a typed event.
func (e *EventStream) Fail(f *protocol.Failure) {
	header := eventHeader{Type: eventFailed, SequenceNumber: e.last.Sequence + 1, Attempt: max(e.last.Attempt, 1)}
	_ = e.write(header, failedEvent{eventHeader: header, Error: failure.NewDetail(f)})
}
