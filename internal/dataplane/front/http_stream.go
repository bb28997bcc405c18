package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/serverconn"
)

const (
	eventStreamType = "text/event-stream"
	maxEventBytes   = 1 << 20
	dataField       = "data:"
)

// answerStream is the answer of a server to a turn, piece by piece.
type answerStream interface {
	// next waits for the next piece; the last one is a turn.BackEndDone or a turn.AnsweredWhole.
	next() (turn.Event, error)
	// close gives the answer up, or lets its connection rest when it was read whole.
	close()
}

// httpStream is the answer to a turn of an HTTP route.
type httpStream struct {
	response    *serverconn.Response
	reader      *bufio.Reader
	eventTokens uint32
	headGiven   bool
	// versionHeader names the versions of the weights; it is set where they are read, in turns of training steps.
	versionHeader string
	done          turn.BackEndDone
}

func newHTTPStream(response *serverconn.Response, eventTokens uint32) *httpStream {
	return &httpStream{
		response: response, reader: bufio.NewReaderSize(response.Body, streamBufferBytes), eventTokens: max(eventTokens, 1),
	}
}

func (s *httpStream) next() (turn.Event, error) {
	if !s.headGiven {
		s.headGiven = true
		return s.head()
	}
	event, err := s.readEvent()
	switch {
	case errors.Is(err, io.EOF):
		return s.done, nil
	case err != nil:
		return nil, &backEndError{fault: turn.FaultBroken, detail: "the stream broke off: " + err.Error()}
	}
	token := turn.Token{Event: event, Data: dataOf(event)}
	if token.Data != nil {
		// A block of comments alone brings no tokens.
		token.Tokens = s.eventTokens
	}
	if s.versionHeader != "" {
		token.WeightVersion, token.NamesVersion = trainingstep.VersionOfEvent(event, s.versionHeader)
	}
	s.done.OutputTokens += uint64(token.Tokens)
	return token, nil
}

func (s *httpStream) head() (turn.Event, error) {
	answer := &protocol.HttpAnswer{Status: uint32(s.response.Status), Headers: endToEndHeaders(s.response.Header)}
	if s.response.Status == http.StatusOK && strings.HasPrefix(s.response.Header.Get("Content-Type"), eventStreamType) {
		return turn.Head{Answer: answer, WeightVersions: s.headVersions()}, nil
	}
	body, err := s.response.ReadAll(maxToolAnswerBytes)
	if err != nil {
		return nil, &backEndError{fault: turn.FaultBroken, detail: err.Error()}
	}
	answer.Body = body
	return turn.AnswerCompleted{Answer: answer, WeightVersions: s.headVersions()}, nil
}

// headVersions are the versions of the weights that the answer's head names.
func (s *httpStream) headVersions() []uint64 {
	if s.versionHeader == "" {
		return nil
	}
	return trainingstep.ParseVersions(s.response.Header.Values(s.versionHeader))
}

// partialEventError says that a stream ended inside an event.
type partialEventError struct{}

func (*partialEventError) Error() string { return "the stream ended inside an event" }

// largeEventError says that an event is larger than this process takes.
type largeEventError struct{}

func (*largeEventError) Error() string { return "an event is too large" }

// readEvent reads up to the blank line that ends an event; io.EOF says that the
// stream ended whole. Blank lines before an event, or at the stream's end, go along.
func (s *httpStream) readEvent() ([]byte, error) {
	var event []byte
	lineStart, filled := 0, false
	for {
		chunk, err := s.reader.ReadSlice('\n')
		event = append(event, chunk...)
		switch {
		case len(event) > maxEventBytes:
			return nil, &largeEventError{}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && lineStart == len(event) && !filled && len(event) > 0:
			return event, nil
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, &partialEventError{}
		case err != nil:
			return nil, err
		}
		blank := isBlank(event[lineStart:])
		if blank && filled {
			return event, nil
		}
		lineStart, filled = len(event), !blank
	}
}

func isBlank(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

// dataOf joins the data lines of an event; it is nil when there is none.
func dataOf(event []byte) []byte {
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

func (s *httpStream) close() { s.response.Close() }
