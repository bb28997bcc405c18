package serverconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// concurrentWriteBytes is the size from which a request is written concurrently with reading the answer,
	// because a server may answer before it has read the complete request.
	concurrentWriteBytes = 8 << 10
	keepAliveHeader      = "Keep-Alive"
	// MaxHeadBytes is the maximum size of the status line and headers of an answer, including those of the
	// informational (1xx) answers before it.
	MaxHeadBytes = 64 << 10
)

// Request is one request to a server. Method, Target, Host and Headers are sent unchanged.
type Request struct {
	Method  string
	Target  string
	Host    string
	Headers []*protocol.HttpHeader
	Body    []byte
}

// Response is the answer to one request. Its Body must be read and Close called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	pool       *Pool
	connection *connection
	answer     *http.Response
	// stopContextWatch stops ending the exchange with its context; it returns false if the context ended before.
	stopContextWatch func() bool
	// writeResult delivers the result of a concurrent write; writeErr is that result once it was received.
	writeResult <-chan error
	writeErr    error
	complete    bool
}

// pastDeadline is a deadline in the past, which ends reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// Do sends a request to the server at an address and returns when the head of
// its answer has arrived. The exchange ends when the context does. The error is a
// *NotSentError if no byte was sent, otherwise a *BrokenError.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	used, err := p.acquire(ctx, address)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	response := &Response{pool: p, connection: used}
	response.stopContextWatch = context.AfterFunc(ctx, func() { _ = used.SetDeadline(pastDeadline) })
	if err := response.exchange(request); err != nil {
		response.abandon()
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &BrokenError{Address: address, Cause: err}
	}
	return response, nil
}

func (r *Response) exchange(request *Request) error {
	message := encode(request)
	if err := r.write(message); err != nil {
		return err
	}
	answer, err := readHead(r.connection, request.Method) //nolint:bodyclose // Close and Discard end its connection
	if err != nil {
		return err
	}
	r.answer = answer
	r.Status, r.Header = answer.StatusCode, answer.Header
	r.Body = &bodyReader{response: r}
	return nil
}

func (r *Response) write(message []byte) error {
	if len(message) < concurrentWriteBytes {
		_, err := r.connection.Write(message)
		return err
	}
	written := make(chan error, 1)
	connection := r.connection
	go func() {
		_, err := connection.Write(message)
		written <- err
	}()
	r.writeResult = written
	return nil
}

// readHead reads the head of the answer and skips informational answers before it. The error is a *HeadTooLargeError
// if their heads together exceed MaxHeadBytes.
func readHead(from *connection, method string) (*http.Response, error) {
	from.bounded.bound(MaxHeadBytes)
	defer from.bounded.unbound()
	for {
		answer, err := http.ReadResponse(from.reader, &http.Request{Method: method})
		if from.bounded.exceeded {
			return nil, &HeadTooLargeError{Limit: MaxHeadBytes}
		}
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK || answer.StatusCode == http.StatusSwitchingProtocols {
			return answer, nil
		}
	}
}

// encode returns a request in HTTP/1.1 with the length of its body.
func encode(request *Request) []byte {
	var message bytes.Buffer
	message.Grow(512 + len(request.Body))
	message.WriteString(request.Method)
	message.WriteByte(' ')
	message.WriteString(request.Target)
	message.WriteString(" HTTP/1.1\r\nHost: ")
	message.WriteString(request.Host)
	message.WriteString("\r\n")
	for _, header := range request.Headers {
		message.WriteString(header.GetName())
		message.WriteString(": ")
		message.WriteString(header.GetValue())
		message.WriteString("\r\n")
	}
	if hasLength(request) {
		message.WriteString("Content-Length: ")
		message.WriteString(strconv.Itoa(len(request.Body)))
		message.WriteString("\r\n")
	}
	message.WriteString("\r\n")
	message.Write(request.Body)
	return message.Bytes()
}

// hasLength reports whether a request has a Content-Length header: if it has a body, or its method usually has one.
func hasLength(request *Request) bool {
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	default:
		return len(request.Body) > 0
	}
}

// bodyReader reads the body of an answer and records when it was read completely.
type bodyReader struct{ response *Response }

// Read implements io.Reader.
func (b *bodyReader) Read(buffer []byte) (int, error) {
	count, err := b.response.answer.Body.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if !b.response.bodyEndVerified() {
		return count, io.ErrUnexpectedEOF
	}
	b.response.complete = true
	return count, io.EOF
}

// bodyEndVerified reports whether the server ended the body, as opposed to a reset
// of the connection. A body without a length ends with its connection; while a
// request is being written, a reset may be reported only to the writer and look
// like the end of the body to the reader.
func (r *Response) bodyEndVerified() bool {
	hasLength := r.answer.ContentLength >= 0 || len(r.answer.TransferEncoding) > 0 || r.answer.Body == http.NoBody
	return hasLength || r.requestWritten()
}

// requestWritten reports whether the complete request was written. A write that still waits for the server to read is
// cancelled; one that is complete but has not returned yet is not affected.
func (r *Response) requestWritten() bool {
	if r.writeResult != nil {
		_ = r.connection.SetWriteDeadline(pastDeadline)
		r.writeErr = <-r.writeResult
		r.writeResult = nil
	}
	return r.writeErr == nil
}

// ReadAll reads the complete body. The error is a *TooLargeError if the body exceeds the limit, in bytes, otherwise a
// *BrokenError.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, &BrokenError{Address: r.connection.address, Cause: err}
	}
	if int64(len(body)) > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	return body, nil
}

// Close ends the exchange. The connection is reused if the request was written
// and the answer was read completely and no further bytes have arrived.
func (r *Response) Close() {
	live := r.stopContextWatch()
	if !live || !r.reusable() {
		r.connection.close()
		return
	}
	r.pool.release(r.connection, serverIdleTimeout(r.Header))
}

// Discard ends the exchange and its connection, on which bytes of another answer may still arrive.
func (r *Response) Discard() { r.abandon() }

func (r *Response) abandon() {
	r.stopContextWatch()
	r.connection.close()
}

func (r *Response) reusable() bool {
	if !r.complete || r.answer.Close || r.connection.reader.Buffered() > 0 {
		return false
	}
	if !r.requestWritten() {
		// The server answered before it had read the request.
		return false
	}
	return r.connection.SetWriteDeadline(time.Time{}) == nil
}

// serverIdleTimeout returns how long to reuse an idle connection according to the server's Keep-Alive header, with
// idleMargin subtracted; 0 if the header has no timeout.
func serverIdleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get(keepAliveHeader), ",") {
		name, text, hasValue := strings.Cut(strings.TrimSpace(part), "=")
		if !hasValue || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil {
			continue
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond)
	}
	return 0
}
