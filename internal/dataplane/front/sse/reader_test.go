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

// readEvents reads the events of a stream, each with its data, until the stream ends.
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

// FuzzStreamEvents reads streams: the events joined are the stream itself, and a stream counts as
// complete only when nothing of it is left over.
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
			t.Fatalf("%q was forwarded of %q", forwarded, stream)
		}
		complete := errors.Is(err, io.EOF)
		if complete && len(forwarded) != len(stream) {
			t.Fatalf("%q looks complete although %q is missing", forwarded, stream[len(forwarded):])
		}
		for i, event := range events {
			last := complete && i == len(events)-1
			if !bytes.HasSuffix(event, []byte("\n")) || len(bytes.TrimRight(event, "\r\n")) == 0 && !last {
				t.Fatalf("event %d is %q", i, event)
			}
			if (data[i] != nil) != hasDataLine(event) || bytes.Count(data[i], []byte("\n")) != max(dataLines(event)-1, 0) {
				t.Fatalf("event %q has the data %q", event, data[i])
			}
		}
		// How the bytes arrive makes no difference.
		byteByByte, _, err := readEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		if len(stream) < 4*sse.BufferBytes && (!bytes.Equal(bytes.Join(byteByByte, []byte("|")),
			bytes.Join(events, []byte("|"))) || errors.Is(err, io.EOF) != complete) {
			t.Fatalf("byte by byte %q gave %q, at once %q", stream, byteByByte, events)
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
