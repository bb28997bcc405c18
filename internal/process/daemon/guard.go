package daemon

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/httpguard"
)

const (
	bodyTimeout = 30 * time.Second
	// The rest of a rejected body is read and discarded within these bounds, because
	// closing a connection with unread data resets it and may lose the response.
	discardTimeout    = 2 * time.Second
	maxDiscardedBytes = 64 << 20

	startingRetryAfter = time.Second
)

// requestGuard wraps the engine: it rejects requests to a plane that has not
// started, and limits the size of bodies and the time to read them.
type requestGuard struct {
	next     http.Handler
	started  func() bool
	maxBytes int64
}

// ServeHTTP implements http.Handler.
func (g *requestGuard) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Body != nil && request.Body != http.NoBody {
		arriving := request.Body
		ctx, cancel := context.WithTimeout(request.Context(), bodyTimeout)
		defer cancel()
		httpguard.AccountBody(ctx, request)
		body := newTimedBody(request.Body, arriving, http.NewResponseController(writer))
		defer body.discardRest()
		request.Body = http.MaxBytesReader(writer, body, g.maxBytes)
	}
	switch {
	case !g.started() && !isMonitoringPath(request.URL.Path):
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

func isMonitoringPath(path string) bool {
	return path == livePath || path == readyPath || path == metricsPath
}

// timedBody sets a read deadline and clears it once the body was read completely;
// otherwise the deadline would cancel a request whose response takes long.
type timedBody struct {
	io.ReadCloser
	// arriving is the body as it arrives, from which the rest is discarded without being accounted for.
	arriving   io.Reader
	controller *http.ResponseController
	complete   bool
}

func newTimedBody(body io.ReadCloser, arriving io.Reader, controller *http.ResponseController) *timedBody {
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	return &timedBody{ReadCloser: body, arriving: arriving, controller: controller}
}

// Read implements io.Reader; the first error, io.EOF included, clears the deadline.
func (b *timedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err != nil {
		b.complete = true
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return count, err
}

// Close leaves closing to the server, so that discardRest can still read.
func (b *timedBody) Close() error { return nil }

// discardRest flushes the response and discards the part of the body that the handler did not read.
func (b *timedBody) discardRest() {
	if b.complete {
		return
	}
	_ = b.controller.Flush()
	_ = b.controller.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, b.arriving, maxDiscardedBytes)
	_ = b.controller.SetReadDeadline(time.Time{})
}
