package front

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

const (
	headerRequestID   = "Rosestand-Request-Id"
	headerSession     = "Rosestand-Session"
	headerEpoch       = "Rosestand-Epoch"
	headerNonce       = "Rosestand-Nonce"
	headerLoad        = "Rosestand-Load"
	headerTenant      = "Rosestand-Tenant"
	headerIdempotency = "Idempotency-Key"

	// DefaultStallTimeout is how long a model server may be silent while a turn runs.
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

// backEndClient speaks HTTP to model and tool servers.
type backEndClient struct {
	models *http.Client
	tools  *http.Client
	clock  Clock
}

// newBackEndClient makes a client that gives a model server up after a silence
// of stallTimeout. A tool may be silent for as long as its caller waits.
func newBackEndClient(clock Clock, stallTimeout time.Duration, dial dialFunc) *backEndClient {
	if stallTimeout == 0 {
		stallTimeout = DefaultStallTimeout
	}
	return &backEndClient{clock: clock, models: newHTTPClient(stallTimeout, dial), tools: newHTTPClient(0, dial)}
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
				return &stallGuard{Conn: connection, limit: stallTimeout}, nil
			},
			MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idlePerServer,
			IdleConnTimeout: idleConnectionTimeout, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// stallGuard ends a connection whose peer is silent for too long after a
// request was written to it or since its last bytes.
type stallGuard struct {
	net.Conn
	limit time.Duration
}

func (g *stallGuard) Read(buffer []byte) (int, error) {
	if err := g.SetReadDeadline(time.Now().Add(g.limit)); err != nil {
		return 0, err
	}
	return g.Conn.Read(buffer)
}

func (g *stallGuard) Write(buffer []byte) (int, error) {
	if err := g.SetReadDeadline(time.Now().Add(g.limit)); err != nil {
		return 0, err
	}
	return g.Conn.Write(buffer)
}

func (c *backEndClient) close() {
	c.models.CloseIdleConnections()
	c.tools.CloseIdleConnections()
}

// backEndRequest carries the headers that every request to a back end has.
type backEndRequest struct {
	server    *backends.Server
	path      string
	body      []byte
	requestID string
	session   string
	nonce     string
	epoch     uint64
	// idempotencyKey is set for tool calls only.
	idempotencyKey string
}

// onceReader hides the kind of the body from net/http. With a body that it can
// rewind, and an Idempotency-Key, the transport would send a request again
// after a broken connection, although it may have run.
type onceReader struct{ io.Reader }

// send issues the request once. A connection that could not be opened is the
// only failure after which it surely did not arrive.
func (c *backEndClient) send(ctx context.Context, request backEndRequest) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	prepared, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		request.server.URL(request.path), onceReader{bytes.NewReader(request.body)})
	if err != nil {
		return nil, &backEndError{fault: turn.FaultNotSent, detail: err.Error()}
	}
	prepared.ContentLength = int64(len(request.body))
	header := prepared.Header
	header.Set("Content-Type", "application/json")
	header.Set(headerRequestID, request.requestID)
	header.Set(headerSession, request.session)
	header.Set(headerEpoch, strconv.FormatUint(request.epoch, 10))
	header.Set(headerNonce, request.nonce)
	if request.idempotencyKey != "" {
		header.Set(headerIdempotency, request.idempotencyKey)
	}
	client := c.models
	if request.idempotencyKey != "" {
		client = c.tools
	}
	response, err := client.Do(prepared)
	if err != nil {
		fault := turn.FaultBroken
		if !connected {
			fault = turn.FaultNotSent
		}
		return nil, &backEndError{fault: fault, detail: err.Error()}
	}
	if load, reported := dialect.DecodeLoad(response.Header.Get(headerLoad)); reported {
		request.server.ApplyLoad(load, c.clock.Now())
	}
	if echoed := response.Header.Get(headerNonce); echoed != "" && echoed != request.nonce {
		_ = response.Body.Close()
		return nil, &backEndError{fault: turn.FaultMismatch, detail: "the answer carries another request's nonce"}
	}
	return response, nil
}

// rejectionFault reads the answers that say that the request was not run; nil for any other.
func rejectionFault(response *http.Response) *backEndError {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &backEndError{
			fault: turn.FaultUnavailable, retryAfter: retryAfter(response),
			detail: "the back end refused with status " + strconv.Itoa(response.StatusCode),
		}
	case http.StatusConflict:
		var body struct {
			Error struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		text, err := io.ReadAll(io.LimitReader(response.Body, maxFaultAnswerBytes))
		if err == nil && json.Unmarshal(text, &body) == nil && body.Error.Code == "fenced" {
			return &backEndError{fault: turn.FaultFenced, detail: "the back end has seen a newer epoch of the session"}
		}
		response.Body = io.NopCloser(io.MultiReader(bytes.NewReader(text), response.Body))
	}
	return nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
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

// generate begins a turn at a model server.
func (c *backEndClient) generate(ctx context.Context, request backEndRequest) (*generation, error) {
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
		fault = &backEndError{fault: turn.FaultRejected, detail: "the back end answered with status " + strconv.Itoa(status)}
	case status != http.StatusOK:
		fault = &backEndError{fault: turn.FaultBroken, detail: "the back end answered with status " + strconv.Itoa(status)}
	}
	if fault != nil {
		drainBody(response.Body)
		cancel()
		return nil, fault
	}
	return &generation{
		body: response.Body, reader: bufio.NewReaderSize(response.Body, streamBufferBytes), nonce: request.nonce, cancel: cancel,
	}, nil
}

// drainBody lets a short answer's connection be used again.
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

// next returns the next token, or the end of the answer.
func (g *generation) next() (turn.Event, error) {
	for {
		data, err := g.data()
		if err != nil {
			return nil, err
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			if !g.usageSeen {
				return nil, &backEndError{fault: turn.FaultBroken, detail: "the answer ended without usage"}
			}
			g.finished = true
			return g.done, nil
		}
		event, err := g.read(data)
		if event != nil || err != nil {
			return event, err
		}
	}
}

func (g *generation) read(data []byte) (turn.Event, error) {
	var received chunk
	if err := json.Unmarshal(data, &received); err != nil {
		return nil, &backEndError{fault: turn.FaultBroken, detail: "the answer is not valid: " + err.Error()}
	}
	if received.Error != nil {
		return nil, &backEndError{fault: turn.FaultBroken, detail: "the back end failed: " + received.Error.Message}
	}
	if received.Nonce != "" && received.Nonce != g.nonce {
		return nil, &backEndError{fault: turn.FaultMismatch, detail: "the answer carries another request's nonce"}
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
func (g *generation) data() ([]byte, error) {
	for {
		line, err := g.line()
		if err != nil {
			return nil, err
		}
		if data, found := bytes.CutPrefix(line, []byte("data:")); found {
			return bytes.TrimSpace(data), nil
		}
	}
}

func (g *generation) line() ([]byte, error) {
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
		return nil, &backEndError{fault: turn.FaultBroken, detail: fmt.Sprintf("the answer broke off: %v", err)}
	}
	return complete, nil
}

// close gives the answer up; the back end sees the connection end unless the
// answer was whole, when the connection is used again.
func (g *generation) close() {
	if g.finished {
		late := time.AfterFunc(drainTimeout, g.cancel)
		drainBody(g.body)
		late.Stop()
	}
	g.cancel()
	_ = g.body.Close()
}

// call runs one tool call.
func (c *backEndClient) call(ctx context.Context, request backEndRequest) (turn.Event, error) {
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
		return nil, &backEndError{fault: turn.FaultBroken, detail: fmt.Sprintf("the answer broke off: %v", err)}
	}
	if len(body) > maxToolAnswerBytes {
		return nil, &backEndError{fault: turn.FaultBroken, detail: "the answer is too large"}
	}
	return turn.CallDone{Status: uint32(response.StatusCode), Body: body, ContentType: response.Header.Get("Content-Type")}, nil
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

func chatBody(model string, items []*protocol.Item, maxTokens uint64) ([]byte, error) {
	messages := make([]chatMessage, 0, len(items))
	for _, item := range items {
		messages = append(messages, chatMessage{
			Role: item.GetRole(), Content: item.GetText(), ToolCallID: item.GetToolCallId(), Name: item.GetToolName(),
		})
	}
	return json.Marshal(chatRequest{
		Model: model, Messages: messages, Stream: true, StreamOptions: streamOptions{IncludeUsage: true}, MaxTokens: maxTokens,
	})
}
