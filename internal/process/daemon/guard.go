package daemon

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	bodyTimeout = 30 * time.Second
	// A body that was refused is read on within these bounds, because closing
	// the connection with unread data would lose the answer on its way.
	lingerTimeout = 2 * time.Second
	lingerBytes   = 64 << 20

	startingRetryAfter = time.Second
)

// guard stands before the engine: it keeps requests from a plane that has not
// started, and bounds the size of bodies and the time that reading them takes.
type guard struct {
	next     http.Handler
	started  func() bool
	maxBytes int64
}

func (g *guard) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Body != nil && request.Body != http.NoBody {
		body := newTimedBody(request.Body, http.NewResponseController(writer))
		defer body.linger()
		request.Body = http.MaxBytesReader(writer, body, g.maxBytes)
	}
	switch {
	case !g.started() && !isProbe(request.URL.Path):
		WriteFailure(writer, failure.New(failure.NotReady, protocol.Outcome_NOT_RUN, "the process is starting",
			failure.WithRetryAfter(startingRetryAfter)).Failure)
	case request.ContentLength > g.maxBytes:
		writer.Header().Set("Connection", "close")
		WriteFailure(writer, failure.New(failure.BodyTooLarge, protocol.Outcome_NOT_RUN,
			"the body is larger than "+strconv.FormatInt(g.maxBytes, 10)+" bytes").Failure)
	default:
		g.next.ServeHTTP(writer, request)
	}
}

func isProbe(path string) bool {
	return path == livePath || path == readyPath || path == metricsPath
}

// timedBody has a deadline for reading, which it lifts once the whole body was
// read; without that a long answer would be cancelled when the deadline passes.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	ended      bool
}

func newTimedBody(body io.ReadCloser, controller *http.ResponseController) *timedBody {
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	return &timedBody{ReadCloser: body, controller: controller}
}

func (b *timedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err != nil {
		b.ended = true
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return count, err
}

// Close leaves closing to the server, so that linger can still read.
func (b *timedBody) Close() error { return nil }

// linger sends the answer and reads on what the handler left unread.
func (b *timedBody) linger() {
	if b.ended {
		return
	}
	_ = b.controller.Flush()
	_ = b.controller.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, b.ReadCloser, lingerBytes)
	_ = b.controller.SetReadDeadline(time.Time{})
}
