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
	// writeAsideBytes is the size from which a request is written beside reading
	// the answer, since a server may answer before it has read the whole.
	writeAsideBytes = 8 << 10
	keepAliveHeader = "Keep-Alive"
	// MaxHeadBytes bounds status line and headers of an answer, those of the provisional answers before it included.
	MaxHeadBytes = 64 << 10
)

// Request is one request to a server. Method, Target, Host and Headers go as they are.
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
	stop       func() bool
	// written gives the result of a write beside reading, which writeFault keeps once it was taken.
	written    <-chan error
	writeFault error
	whole      bool
}

// longAgo is a deadline that ends reads and writes at once.
var longAgo = time.Unix(1, 0)

// Do sends a request to the server at an address and returns when the head of
// its answer is there. The exchange ends when the context does. The error is a
// *NotSentError when no byte left, else a *BrokenError.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	used, err := p.take(ctx, address)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	response := &Response{pool: p, connection: used}
	response.stop = context.AfterFunc(ctx, func() { _ = used.SetDeadline(longAgo) })
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
	answer, err := readHead(r.connection, request.Method)
	if err != nil {
		return err
	}
	r.answer = answer
	r.Status, r.Header = answer.StatusCode, answer.Header
	r.Body = &wholeReader{response: r}
	return nil
}

func (r *Response) write(message []byte) error {
	if len(message) < writeAsideBytes {
		_, err := r.connection.Write(message)
		return err
	}
	written := make(chan error, 1)
	connection := r.connection
	go func() {
		_, err := connection.Write(message)
		written <- err
	}()
	r.written = written
	return nil
}

// readHead skips provisional answers. The error is a *HeadTooLargeError when the head goes beyond its bound.
func readHead(from *connection, method string) (*http.Response, error) {
	from.source.bound(MaxHeadBytes)
	defer from.source.unbound()
	for {
		answer, err := http.ReadResponse(from.reader, &http.Request{Method: method})
		if from.source.exceeded {
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

// encode writes a request with the length of its body.
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
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		message.WriteString("Content-Length: ")
		message.WriteString(strconv.Itoa(len(request.Body)))
		message.WriteString("\r\n")
	}
	message.WriteString("\r\n")
	message.Write(request.Body)
	return message.Bytes()
}

// wholeReader reads the body and notes when all of it was read.
type wholeReader struct{ response *Response }

func (w *wholeReader) Read(buffer []byte) (int, error) {
	count, err := w.response.answer.Body.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if !w.response.endIsProved() {
		return count, io.ErrUnexpectedEOF
	}
	w.response.whole = true
	return count, io.EOF
}

// endIsProved reports whether the end of the body is the server's own. A body
// without a length ends with its connection; while a request is being written, a
// reset may be told to the writer alone and look like an end to the reader.
func (r *Response) endIsProved() bool {
	hasLength := r.answer.ContentLength >= 0 || len(r.answer.TransferEncoding) > 0 || r.answer.Body == http.NoBody
	return hasLength || r.isWritten()
}

// isWritten reports whether the whole request was written. A write that still waits for the server to read is given up;
// one that has handed everything over may only not have said so yet.
func (r *Response) isWritten() bool {
	if r.written != nil {
		_ = r.connection.SetWriteDeadline(longAgo)
		r.writeFault = <-r.written
		r.written = nil
	}
	return r.writeFault == nil
}

// ReadAll reads the whole body up to a limit.
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

// Close ends the exchange. The connection rests for the next one when the
// request was written and the answer read whole and nothing more came.
func (r *Response) Close() {
	live := r.stop()
	if !live || !r.reusable() {
		r.connection.close()
		return
	}
	r.pool.put(r.connection, restingLife(r.Header))
}

// Discard ends the exchange and its connection, which may still carry bytes of another answer.
func (r *Response) Discard() { r.abandon() }

func (r *Response) abandon() {
	r.stop()
	r.connection.close()
}

func (r *Response) reusable() bool {
	if !r.whole || r.answer.Close || r.connection.reader.Buffered() > 0 {
		return false
	}
	if !r.isWritten() {
		// The server answered before it had read the request.
		return false
	}
	return r.connection.SetWriteDeadline(time.Time{}) == nil
}

// restingLife reads how long a server keeps a resting connection; zero is unknown.
func restingLife(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get(keepAliveHeader), ",") {
		name, text, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
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
