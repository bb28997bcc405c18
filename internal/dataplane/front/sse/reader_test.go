package sse_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/rosestand/rosestand/internal/dataplane/front/sse"
)

// readEvents reads events and their data until the reader returns an error, and returns that error.
func readEvents(stream io.Reader) (events, data [][]byte, err error) {
	reader := sse.NewReader(stream)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, data, err
		}
		events = append(events, event)
		data = append(data, sse.Data(event))
	}
}

// FuzzStreamEvents reads arbitrary streams. The concatenated events must be a prefix of the stream, and the whole of it
// when the reader reports the end of the stream; the result must not depend on how the bytes arrive.
func FuzzStreamEvents(f *testing.F) {
	for _, text := range []string{
		"", "\n", "data: a\n\n", "data: a\r\n\r\n", "data:a\ndata: b\n\nid: 1\n\n", ": comment\n\ndata:\n\n",
		"data: a\n\n\n\ndata: b\n\n",
		"data: cut", "data: a\n\ndata: b\n", "\xff\x00\n\n", "data: a\r\r\n\n", "\r\n\r\n",
		"data: " + strings.Repeat("x", sse.BufferBytes-6) + "\n\n",
		"data: " + strings.Repeat("x", sse.BufferBytes-7) + "\r\n\r\n",
		strings.Repeat("data: y\n", 1000) + "\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		events, data, err := readEvents(bytes.NewReader(stream))
		forwarded := bytes.Join(events, nil)
		if !bytes.HasPrefix(stream, forwarded) {
			t.Fatalf("the events joined are %q, want a prefix of the stream %q", forwarded, stream)
		}
		complete := errors.Is(err, io.EOF)
		if complete && len(forwarded) != len(stream) {
			t.Fatalf("reader returned io.EOF after %q, but %q is missing", forwarded, stream[len(forwarded):])
		}
		for i, event := range events {
			last := complete && i == len(events)-1
			if !bytes.HasSuffix(event, []byte("\n")) || len(bytes.TrimRight(event, "\r\n")) == 0 && !last {
				t.Fatalf("event %d is %q, want a final newline and, except in the last event, content", i, event)
			}
			if (data[i] != nil) != hasDataLine(event) || bytes.Count(data[i], []byte("\n")) != max(dataLines(event)-1, 0) {
				t.Fatalf("event %q with %d data lines has the data %q", event, dataLines(event), data[i])
			}
		}
		// Reading byte by byte must return the same events.
		byteByByte, _, err := readEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		if len(stream) < 4*sse.BufferBytes && (!bytes.Equal(bytes.Join(byteByByte, []byte("|")),
			bytes.Join(events, []byte("|"))) || errors.Is(err, io.EOF) != complete) {
			t.Fatalf("stream %q read byte by byte has the events %q, want %q as when read at once", stream, byteByByte, events)
		}
	})
}

func dataLines(event []byte) int {
	count := 0
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("data:")) {
			count++
		}
	}
	return count
}

func hasDataLine(event []byte) bool { return dataLines(event) > 0 }
