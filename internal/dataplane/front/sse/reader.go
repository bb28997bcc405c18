// Package sse reads streams of server-sent events without changing a byte of
// them: an event comes back as it was sent. A Reader belongs to one goroutine.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// MaxEventBytes bounds one event; a larger one ends the stream with a LargeEventError.
	MaxEventBytes = 1 << 20
	// BufferBytes is how much of a stream is read at once.
	BufferBytes = 4 << 10

	dataField = "data:"
)

// Reader reads a stream event by event.
type Reader struct {
	lines *bufio.Reader
}

// NewReader reads the events of a stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(stream, BufferBytes)}
}

// PartialEventError reports that a stream ended inside an event.
type PartialEventError struct{}

// Error implements error.
func (*PartialEventError) Error() string { return "the stream ended inside an event" }

// LargeEventError reports that an event is larger than MaxEventBytes.
type LargeEventError struct{}

// Error implements error.
func (*LargeEventError) Error() string { return "an event is too large" }

// Next returns one event with the blank line that ends it. Blank lines before an event, or at the
// stream's end, belong to it. The error is io.EOF when the stream ended between two events, a
// *PartialEventError or *LargeEventError, or that of the stream.
func (r *Reader) Next() ([]byte, error) {
	var event []byte
	lineStart, hasContent := 0, false
	for {
		chunk, err := r.lines.ReadSlice('\n')
		event = append(event, chunk...)
		switch {
		case len(event) > MaxEventBytes:
			return nil, &LargeEventError{}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && lineStart == len(event) && !hasContent && len(event) > 0:
			return event, nil
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, &PartialEventError{}
		case err != nil:
			return nil, err
		}
		blank := isBlank(event[lineStart:])
		if blank && hasContent {
			return event, nil
		}
		lineStart, hasContent = len(event), !blank
	}
}

func isBlank(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

// Data joins the data lines of an event; it is nil when the event has none, as a block of comments.
func Data(event []byte) []byte {
	var data []byte
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, isData := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte(dataField))
		if !isData {
			continue
		}
		if data == nil {
			data = []byte{}
		} else {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return data
}
