package front_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/rosestand/rosestand/internal/dataplane/front"
)

// FuzzStreamEvents reads streams: what is passed on is the stream itself, in
// whole events, and a stream is whole only when nothing of it is left over.
func FuzzStreamEvents(f *testing.F) {
	for _, text := range []string{
		"", "\n", "data: a\n\n", "data: a\r\n\r\n", "data:a\ndata: b\n\nid: 1\n\n", ": comment\n\ndata:\n\n", "data: a\n\n\n\ndata: b\n\n",
		"data: cut", "data: a\n\ndata: b\n", "\xff\x00\n\n", "data: a\r\r\n\n", "\r\n\r\n",
		"data: " + strings.Repeat("x", front.StreamBufferBytes-6) + "\n\n",
		"data: " + strings.Repeat("x", front.StreamBufferBytes-7) + "\r\n\r\n",
		strings.Repeat("data: y\n", 1000) + "\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		events, data, err := front.ReadStreamEvents(bytes.NewReader(stream))
		passed := bytes.Join(events, nil)
		if !bytes.HasPrefix(stream, passed) {
			t.Fatalf("%q was passed on of %q", passed, stream)
		}
		complete := errors.Is(err, io.EOF)
		if complete && len(passed) != len(stream) {
			t.Fatalf("%q looks whole although %q is missing", passed, stream[len(passed):])
		}
		for at, event := range events {
			last := complete && at == len(events)-1
			if !bytes.HasSuffix(event, []byte("\n")) || len(bytes.TrimRight(event, "\r\n")) == 0 && !last {
				t.Fatalf("event %d is %q", at, event)
			}
			if (data[at] != nil) != hasDataLine(event) || bytes.Count(data[at], []byte("\n")) != max(dataLines(event)-1, 0) {
				t.Fatalf("event %q has the data %q", event, data[at])
			}
		}
		// How the bytes arrive makes no difference.
		again, _, err := front.ReadStreamEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		if len(stream) < 4*front.StreamBufferBytes && (!bytes.Equal(bytes.Join(again, []byte("|")), bytes.Join(events, []byte("|"))) || errors.Is(err, io.EOF) != complete) {
			t.Fatalf("byte by byte %q gave %q, in one piece %q", stream, again, events)
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

// FuzzTokenUsage reads the header of a turn's tokens; what it reads of a well-formed one is what was written.
func FuzzTokenUsage(f *testing.F) {
	for _, text := range []string{"", "1840,136", " 1 , 2 ", "1", ",2", "-1,-1", "4294967295,2147483648", "1,2,3", "x,y", "1.5,2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		prompt, maxOutput := front.TokenUsage(text)
		if prompt > 1<<31-1 || maxOutput > 1<<31-1 {
			t.Fatalf("%q gave %d, %d", text, prompt, maxOutput)
		}
		if againPrompt, againMaxOutput := front.TokenUsage(fmt.Sprintf("%d,%d", prompt, maxOutput)); againPrompt != prompt || againMaxOutput != maxOutput {
			t.Fatalf("%d,%d was read as %d,%d", prompt, maxOutput, againPrompt, againMaxOutput)
		}
	})
}

// FuzzPromptParts reads the header of a prompt's parts; what it reads of a well-formed one is what was written.
func FuzzPromptParts(f *testing.F) {
	for _, text := range []string{
		"", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "a", ":", "a:1,", ", b:2", "a:-1", "a:99999999999", "a:1:2",
		strings.Repeat("a:1,", 2*front.MaxPromptParts),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parts := front.PromptParts(text)
		if len(parts) > front.MaxPromptParts {
			t.Fatalf("%d parts", len(parts))
		}
		var written []string
		for _, part := range parts {
			if part.GetTokens() > 1<<31-1 {
				t.Fatalf("%q gave %v", text, part)
			}
			written = append(written, fmt.Sprintf("%s:%d", part.GetId(), part.GetTokens()))
		}
		again := front.PromptParts(strings.Join(written, ","))
		if len(written) > 0 && strings.Join(written, ",") != "" && len(again) != len(parts) {
			t.Fatalf("%q was read as %v", written, again)
		}
		for at, part := range again {
			if part.GetId() != parts[at].GetId() || part.GetTokens() != parts[at].GetTokens() {
				t.Fatalf("%q was read as %v", written, again)
			}
		}
	})
}
