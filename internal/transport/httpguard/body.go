package httpguard

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

const (
	// bodyCopies is how often a body may stand in memory at the same time: as it was read, in the message that forwards
	// it, in that message's frame and in the request to a server.
	bodyCopies = 4
	// bodyRetryAfter is the wait that is advised to a client whose body found no memory.
	bodyRetryAfter = 500 * time.Millisecond
)

// Body is a request's body that is accounted for before it is read. One goroutine uses it.
type Body struct {
	io.ReadCloser
	ctx        context.Context
	connection *connection
	// declared is the length of the body; negative if it comes in chunks.
	declared int64
	begun    bool
}

// AccountBody replaces the body of a request by one that is accounted for. The body waits for memory until the context
// ends, which is derived from the request's. Its errors are those of the connection, or a *failure.Error where it finds
// no memory. A request whose connection is not guarded keeps its body.
func AccountBody(ctx context.Context, request *http.Request) {
	guarded := connectionOf(ctx)
	if guarded == nil || request.Body == nil || request.Body == http.NoBody {
		return
	}
	request.Body = &Body{
		ReadCloser: request.Body, ctx: ctx, connection: guarded, declared: request.ContentLength,
	}
}

// Read implements io.Reader.
func (b *Body) Read(content []byte) (int, error) {
	account := b.connection.account
	if !b.begun {
		b.begun = true
		account.AllowEviction(b.connection.evict)
		if err := b.grow(b.declared); err != nil {
			return 0, err
		}
	}
	count, err := b.ReadCloser.Read(content)
	if b.declared < 0 {
		if growError := b.grow(int64(count)); growError != nil {
			return 0, growError
		}
	}
	if errors.HasType(err, (*memorybudget.EvictedError)(nil)) || errors.Is(err, io.EOF) && !account.ForbidEviction() {
		return 0, refused(&memorybudget.EvictedError{})
	}
	return count, err
}

// grow waits for the memory of so many bytes of a body.
func (b *Body) grow(bytes int64) error {
	if bytes <= 0 {
		return nil
	}
	if err := b.connection.account.Grow(b.ctx, bodyCopies*bytes); err != nil {
		return refused(err)
	}
	return nil
}

// refused is the failure of a request whose body finds no memory. The request was not run.
func refused(cause error) error {
	if errors.HasType(cause, (*memorybudget.TooLargeError)(nil)) {
		return failure.New(failure.BodyTooLarge, protocol.Outcome_NOT_RUN, "the body is too large for this process: "+
			cause.Error())
	}
	return failure.New(failure.Overloaded, protocol.Outcome_NOT_RUN, "the body found no memory: "+cause.Error(),
		failure.WithRetryAfter(bodyRetryAfter))
}
