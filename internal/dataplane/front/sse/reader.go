// Package sse splits streams of server-sent events into events without changing a
// byte of them. A Reader is not safe for concurrent use.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// MaxEventBytes is the maximum size of one event; a larger one ends the stream with a LargeEventError.
	MaxEventBytes = 1 << 20
	// BufferBytes is the size of the read buffer.
	BufferBytes = 4 << 10

	dataField = "data:"
)

// Reader reads a stream event by event.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of the events of a stream.
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

// Next returns the next event, including the blank line that ends it. Blank lines before an event are part of it;
// blank lines at the end of the stream are returned as an event of their own. The error is io.EOF when the stream
// ended between two events, a *PartialEventError or *LargeEventError, or that of the stream.
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

// Data returns the data lines of an event, joined by newlines. It is nil when the event has none, for example because
// it consists of comments.
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
