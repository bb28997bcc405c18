package issue

import (
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/front/httpheader"
	"github.com/rosestand/rosestand/internal/dataplane/front/sse"
	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/serverconn"
)

const eventStreamType = "text/event-stream"

// AnswerStream is the answer of a server to a turn, in parts. One goroutine uses it.
type AnswerStream interface {
	// Next waits for the next part; the last one is a turn.BackEndDone or a turn.CompleteAnswer.
	Next() (turn.Event, error)
	// Close abandons the answer, or keeps its connection for the next request when it was read completely.
	Close()
}

// httpStream is the answer to a turn of an HTTP route.
type httpStream struct {
	response     *serverconn.Response
	events       *sse.Reader
	eventTokens  uint32
	headReturned bool
	// versionHeader names the versions of the weights; it is set in turns of training steps, where they are
	// checked.
	versionHeader string
	done          turn.BackEndDone
}

func newHTTPStream(response *serverconn.Response, eventTokens uint32) *httpStream {
	return &httpStream{
		response: response, events: sse.NewReader(response.Body), eventTokens: max(eventTokens, 1),
	}
}

// Next implements AnswerStream.
func (s *httpStream) Next() (turn.Event, error) {
	if !s.headReturned {
		s.headReturned = true
		return s.head()
	}
	event, err := s.events.Next()
	switch {
	case errors.Is(err, io.EOF):
		return s.done, nil
	case err != nil:
		return nil, &AttemptError{Fault: turn.FaultBroken, Detail: "the stream broke off: " + err.Error()}
	}
	token := turn.Token{Event: event, Data: sse.Data(event)}
	if token.Data != nil {
		// A block of comments has no tokens.
		token.Tokens = s.eventTokens
	}
	if s.versionHeader != "" {
		token.WeightVersion, token.HasWeightVersion = trainingstep.ParseEventVersion(event, s.versionHeader)
	}
	s.done.OutputTokens += uint64(token.Tokens)
	return token, nil
}

func (s *httpStream) head() (turn.Event, error) {
	answer := &protocol.HttpAnswer{Status: uint32(s.response.Status), Headers: httpheader.EndToEnd(s.response.Header)}
	if s.response.Status == http.StatusOK && strings.HasPrefix(s.response.Header.Get("Content-Type"), eventStreamType) {
		return turn.Head{Answer: answer, WeightVersions: s.headVersions()}, nil
	}
	body, err := s.response.ReadAll(maxToolAnswerBytes)
	if err != nil {
		return nil, &AttemptError{Fault: turn.FaultBroken, Detail: err.Error()}
	}
	answer.Body = body
	return turn.CompleteAnswer{Answer: answer, WeightVersions: s.headVersions()}, nil
}

// headVersions are the versions of the weights that the answer's head names.
func (s *httpStream) headVersions() []uint64 {
	if s.versionHeader == "" {
		return nil
	}
	return trainingstep.ParseVersions(s.response.Header.Values(s.versionHeader))
}

// Close implements AnswerStream.
func (s *httpStream) Close() { s.response.Close() }
