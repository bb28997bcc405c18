package issue

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/dialect"
	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Headers of requests to back ends and of their answers.
const (
	HeaderRequestID   = "Rosestand-Request-Id"
	headerSession     = "Rosestand-Session"
	headerEpoch       = "Rosestand-Epoch"
	HeaderNonce       = "Rosestand-Nonce"
	headerLoad        = "Rosestand-Load"
	HeaderIdempotency = "Idempotency-Key"
)

const (
	// DefaultStallTimeout is how long a model server may send nothing while a turn runs.
	DefaultStallTimeout = 30 * time.Second

	dialTimeout           = 2 * time.Second
	keepAlive             = 15 * time.Second
	idleConnections       = 4096
	idlePerServer         = 512
	idleConnectionTimeout = 30 * time.Second
	maxChunkBytes         = 1 << 20
	maxToolAnswerBytes    = 8 << 20
	maxFaultAnswerBytes   = 64 << 10
	streamBufferBytes     = 4 << 10
	drainTimeout          = time.Second
)

// Client sends turns and tool calls to model and tool servers of OpenAI's interface. Any goroutine may use it.
type Client struct {
	models *http.Client
	tools  *http.Client
	clock  Clock
}

// NewClient makes a client that abandons a model server which sends nothing for stallTimeout (zero is
// DefaultStallTimeout). A tool may send nothing for as long as its caller waits. It connects by dial; nil
// stands for TCP.
func NewClient(clock Clock, stallTimeout time.Duration, dial dialFunc) *Client {
	if stallTimeout == 0 {
		stallTimeout = DefaultStallTimeout
	}
	return &Client{clock: clock, models: newHTTPClient(stallTimeout, dial), tools: newHTTPClient(0, dial)}
}

// newHTTPClient makes a client that connects by dial; nil stands for TCP.
func newHTTPClient(stallTimeout time.Duration, dial dialFunc) *http.Client {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				connection, err := dial(ctx, address)
				if err != nil || stallTimeout == 0 {
					return connection, err
				}
				return &stallTimeoutConn{Conn: connection, limit: stallTimeout}, nil
			},
			MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idlePerServer,
			IdleConnTimeout: idleConnectionTimeout, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// stallGuard ends a connection whose peer sends nothing for too long after a request was written to it or
// since its last bytes.
type stallTimeoutConn struct {
	net.Conn
	limit time.Duration
}

// Read implements net.Conn.
func (g *stallTimeoutConn) Read(buffer []byte) (int, error) {
	if err := g.SetReadDeadline(time.Now().Add(g.limit)); err != nil {
		return 0, err
	}
	return g.Conn.Read(buffer)
}

// Write implements net.Conn.
func (g *stallTimeoutConn) Write(buffer []byte) (int, error) {
	if err := g.SetReadDeadline(time.Now().Add(g.limit)); err != nil {
		return 0, err
	}
	return g.Conn.Write(buffer)
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.models.CloseIdleConnections()
	c.tools.CloseIdleConnections()
}

// Request is one attempt at a server.
type Request struct {
	Server    *backends.Server
	Path      string
	Body      []byte
	RequestID string
	Session   string
	Nonce     string
	Epoch     uint64
	// IdempotencyKey is set for tool calls only.
	IdempotencyKey string
}

// onceReader hides the kind of the body from net/http. With a body that it can
// rewind, and an Idempotency-Key, the transport would send a request again
// after a broken connection, although it may have run.
type nonReplayableReader struct{ io.Reader }

// send issues the request once. A connection that could not be opened is the
// only failure after which it surely did not arrive.
func (c *Client) send(ctx context.Context, request Request) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		request.Server.URL(request.Path), nonReplayableReader{bytes.NewReader(request.Body)})
	if err != nil {
		return nil, &AttemptError{Fault: turn.FaultNotSent, Detail: err.Error()}
	}
	httpRequest.ContentLength = int64(len(request.Body))
	header := httpRequest.Header
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, request.RequestID)
	header.Set(headerSession, request.Session)
	header.Set(headerEpoch, strconv.FormatUint(request.Epoch, 10))
	header.Set(HeaderNonce, request.Nonce)
	if request.IdempotencyKey != "" {
		header.Set(HeaderIdempotency, request.IdempotencyKey)
	}
	client := c.models
	if request.IdempotencyKey != "" {
		client = c.tools
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		fault := turn.FaultBroken
		if !connected {
			fault = turn.FaultNotSent
		}
		return nil, &AttemptError{Fault: fault, Detail: err.Error()}
	}
	if load, hasLoad := dialect.DecodeLoad(response.Header.Get(headerLoad)); hasLoad {
		request.Server.ApplyLoad(load, c.clock.Now())
	}
	if echoed := response.Header.Get(HeaderNonce); echoed != "" && echoed != request.Nonce {
		_ = response.Body.Close()
		return nil, &AttemptError{Fault: turn.FaultMismatch, Detail: "the answer carries another request's nonce"}
	}
	return response, nil
}

// rejectionFault recognises answers that state that the request was not run; nil for any other.
func rejectionFault(response *http.Response) *AttemptError {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &AttemptError{
			Fault: turn.FaultUnavailable, retryAfter: retryAfterOf(response.Header),
			Detail: "the back end refused with status " + strconv.Itoa(response.StatusCode),
		}
	case http.StatusConflict:
		var body struct {
			Error struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		text, err := io.ReadAll(io.LimitReader(response.Body, maxFaultAnswerBytes))
		if err == nil && json.Unmarshal(text, &body) == nil && body.Error.Code == "fenced" {
			return &AttemptError{Fault: turn.FaultFenced, Detail: "the back end has seen a newer epoch of the session"}
		}
		response.Body = io.NopCloser(io.MultiReader(bytes.NewReader(text), response.Body))
	}
	return nil
}

// generation is the stream of one model server's answer.
type generation struct {
	body   io.ReadCloser
	reader *bufio.Reader
	nonce  string
	cancel context.CancelFunc
	done   turn.BackEndDone
	// usageSeen and finished say how far the answer has come.
	usageSeen bool
	finished  bool
}

// Generate begins a turn at a model server. The error is an *AttemptError.
func (c *Client) Generate(ctx context.Context, request Request) (AnswerStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, request) //nolint:bodyclose // drainBody or generation.close closes it
	if err != nil {
		cancel()
		return nil, err
	}
	fault := rejectionFault(response)
	switch status := response.StatusCode; {
	case fault != nil:
	case status >= 400 && status < 500:
		fault = &AttemptError{Fault: turn.FaultRejected, Detail: "the back end answered with status " + strconv.Itoa(status)}
	case status != http.StatusOK:
		fault = &AttemptError{Fault: turn.FaultBroken, Detail: "the back end answered with status " + strconv.Itoa(status)}
	}
	if fault != nil {
		drainBody(response.Body)
		cancel()
		return nil, fault
	}
	return &generation{
		body: response.Body, reader: bufio.NewReaderSize(response.Body, streamBufferBytes),
		nonce: request.Nonce, cancel: cancel,
	}, nil
}

// drainBody reads the rest of a short answer, so that its connection can be used again.
func drainBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxFaultAnswerBytes)
	_ = body.Close()
}

// chunk is the part of an OpenAI-compatible stream that is read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        uint64 `json:"prompt_tokens"`
		CompletionTokens    uint64 `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens uint64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Nonce string `json:"nonce"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// Next implements AnswerStream.
func (g *generation) Next() (turn.Event, error) {
	for {
		data, err := g.nextData()
		if err != nil {
			return nil, err
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			if !g.usageSeen {
				return nil, &AttemptError{Fault: turn.FaultBroken, Detail: "the answer ended without usage"}
			}
			g.finished = true
			return g.done, nil
		}
		event, err := g.parseChunk(data)
		if event != nil || err != nil {
			return event, err
		}
	}
}

func (g *generation) parseChunk(data []byte) (turn.Event, error) {
	var received chunk
	if err := json.Unmarshal(data, &received); err != nil {
		return nil, &AttemptError{Fault: turn.FaultBroken, Detail: "the answer is not valid: " + err.Error()}
	}
	if received.Error != nil {
		return nil, &AttemptError{Fault: turn.FaultBroken, Detail: "the back end failed: " + received.Error.Message}
	}
	if received.Nonce != "" && received.Nonce != g.nonce {
		return nil, &AttemptError{Fault: turn.FaultMismatch, Detail: "the answer carries another request's nonce"}
	}
	if received.Nonce != "" {
		g.done.Nonce = received.Nonce
	}
	if usage := received.Usage; usage != nil {
		g.usageSeen = true
		g.done.InputTokens, g.done.OutputTokens = usage.PromptTokens, usage.CompletionTokens
		g.done.CachedTokens = usage.PromptTokensDetails.CachedTokens
	}
	if len(received.Choices) == 0 || received.Choices[0].Delta.Content == "" {
		return nil, nil
	}
	return turn.Token{Text: received.Choices[0].Delta.Content, Tokens: 1}, nil
}

// data reads up to the next data line of the event stream.
func (g *generation) nextData() ([]byte, error) {
	for {
		line, err := g.nextLine()
		if err != nil {
			return nil, err
		}
		if data, found := bytes.CutPrefix(line, []byte("data:")); found {
			return bytes.TrimSpace(data), nil
		}
	}
}

func (g *generation) nextLine() ([]byte, error) {
	line, err := g.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	complete := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) && len(complete) < maxChunkBytes {
		line, err = g.reader.ReadSlice('\n')
		complete = append(complete, line...)
	}
	if err != nil {
		return nil, &AttemptError{Fault: turn.FaultBroken, Detail: fmt.Sprintf("the answer broke off: %v", err)}
	}
	return complete, nil
}

// Close implements AnswerStream: the server sees the connection end unless the answer was complete.
func (g *generation) Close() {
	if g.finished {
		timeout := time.AfterFunc(drainTimeout, g.cancel)
		drainBody(g.body)
		timeout.Stop()
	}
	g.cancel()
	_ = g.body.Close()
}

// Call runs one tool call. The error is an *AttemptError.
func (c *Client) Call(ctx context.Context, request Request) (turn.Event, error) {
	response, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if fault := rejectionFault(response); fault != nil {
		return nil, fault
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxToolAnswerBytes+1))
	if err != nil {
		return nil, &AttemptError{Fault: turn.FaultBroken, Detail: fmt.Sprintf("the answer broke off: %v", err)}
	}
	if len(body) > maxToolAnswerBytes {
		return nil, &AttemptError{Fault: turn.FaultBroken, Detail: "the answer is too large"}
	}
	return turn.CallAnswered{
		Status: uint32(response.StatusCode), Body: body, ContentType: response.Header.Get("Content-Type"),
	}, nil
}

// chatRequest is the body of /v1/chat/completions.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	MaxTokens     uint64        `json:"max_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role       string `json:"role"`
	Content    string `json:"content"`
	ToolCallID string `json:"tool_call_id,omitempty"`
	Name       string `json:"name,omitempty"`
}

// ChatBody is the body of a turn that continues a conversation.
func ChatBody(model string, items []*protocol.Item, maxTokens uint64) ([]byte, error) {
	messages := make([]chatMessage, 0, len(items))
	for _, item := range items {
		messages = append(messages, chatMessage{
			Role: item.GetRole(), Content: item.GetText(), ToolCallID: item.GetToolCallId(), Name: item.GetToolName(),
		})
	}
	return json.Marshal(chatRequest{
		Model: model, Messages: messages, Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
		MaxTokens: maxTokens,
	})
}
