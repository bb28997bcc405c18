package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 4 << 20
	// exchangeTimeout bounds one exchange, stream included.
	exchangeTimeout = 40 * time.Second
)

// Client speaks the callers' HTTP routes of front nodes.
type Client struct {
	HTTP *http.Client
	// Credentials by tenant; a tenant without one sends none.
	Credentials map[string]string
	Now         func() time.Time
}

// turnBody is the body of a turn.
type turnBody struct {
	Model              string `json:"model"`
	Input              string `json:"input"`
	PreviousResponseID string `json:"previous_response_id,omitempty"`
	Conversation       string `json:"conversation"`
	Program            string `json:"program"`
	ProgramBudget      uint64 `json:"program_budget,omitempty"`
	Stream             bool   `json:"stream"`
	MaxOutputTokens    int    `json:"max_output_tokens"`
	Priority           string `json:"priority"`
	TimeoutMillis      int    `json:"timeout_millis"`
}

type toolBody struct {
	Program       string          `json:"program"`
	Conversation  string          `json:"conversation"`
	Arguments     json.RawMessage `json:"arguments"`
	TimeoutMillis int             `json:"timeout_millis"`
	Priority      string          `json:"priority"`
}

// response is the answer object of a turn.
type response struct {
	ID                 string       `json:"id"`
	Program            string       `json:"program"`
	PreviousResponseID string       `json:"previous_response_id"`
	Output             []outputItem `json:"output"`
	Usage              struct {
		InputTokens        uint64 `json:"input_tokens"`
		OutputTokens       uint64 `json:"output_tokens"`
		InputTokensDetails struct {
			CachedTokens uint64 `json:"cached_tokens"`
		} `json:"input_tokens_details"`
	} `json:"usage"`
	Rosestand serving `json:"rosestand"`
}

type outputItem struct {
	Content []struct {
		Text string `json:"text"`
	} `json:"content"`
}

type serving struct {
	RequestID     string `json:"request_id"`
	Nonce         string `json:"nonce"`
	BackEnd       string `json:"back_end"`
	Owner         string `json:"owner"`
	Epoch         uint64 `json:"epoch"`
	BundleVersion uint64 `json:"bundle_version"`
	Attempt       uint32 `json:"attempt"`
}

type errorDetail struct {
	Code             string `json:"code"`
	Message          string `json:"message"`
	Path             string `json:"path"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis int    `json:"retry_after_millis"`
}

type eventBody struct {
	Type           string       `json:"type"`
	SequenceNumber uint64       `json:"sequence_number"`
	Attempt        uint32       `json:"attempt"`
	Delta          string       `json:"delta"`
	Tokens         int          `json:"tokens"`
	Response       *response    `json:"response"`
	Error          *errorDetail `json:"error"`
}

// Turn sends a turn to a front node, follows its stream and adds the exchange to the record.
func (c *Client) Turn(ctx context.Context, front string, record *Record, body turnBody) {
	content, err := json.Marshal(&body)
	if err != nil {
		c.broken(record, c.begin(record, front), err)
		return
	}
	c.stream(ctx, record, c.begin(record, front), http.MethodPost, "http://"+front+"/v1/responses", content)
}

// Resume requests the events of a turn after the last one that arrived.
func (c *Client) Resume(ctx context.Context, front string, record *Record) {
	attempt, sequence := lastEvent(record)
	exchange := c.begin(record, front)
	exchange.Resumed = true
	exchange.AfterAttempt = attempt
	exchange.AfterSequence = sequence
	query := url.Values{
		"program": {record.Program}, "stream": {"true"},
		"starting_after": {fmt.Sprintf("%d-%d", attempt, sequence)},
	}
	address := fmt.Sprintf("http://%s/v1/responses/%s?%s", front, record.TurnID, query.Encode())
	c.stream(ctx, record, exchange, http.MethodGet, address, nil)
}

// Tool makes a tool call and adds the exchange to the record.
func (c *Client) Tool(ctx context.Context, front string, record *Record, body toolBody) {
	exchange := c.begin(record, front)
	content, err := json.Marshal(&body)
	if err != nil {
		c.broken(record, exchange, err)
		return
	}
	answer, status, err := c.exchange(ctx, record, http.MethodPost, "http://"+front+"/v1/tools/"+record.Tool+"/calls",
		content)
	exchange.AnsweredAt = c.Now()
	exchange.Status = status
	if err != nil {
		c.broken(record, exchange, err)
		return
	}
	if status != http.StatusOK {
		c.recordRejection(record, exchange, answer)
		return
	}
	var result struct {
		Status int `json:"status"`
		Result struct {
			Object string `json:"object"`
			Nonce  string `json:"nonce"`
		} `json:"result"`
		Rosestand serving `json:"rosestand"`
	}
	if err := json.Unmarshal(answer, &result); err != nil {
		c.broken(record, exchange, err)
		return
	}
	record.AnswerNonce = result.Result.Nonce
	record.Text = result.Result.Object
	record.serve(result.Rosestand)
	c.conclude(record, exchange, OutcomeAnswered, "")
}

// Read reads a retained turn into the record; the audit compares it.
func (c *Client) Read(ctx context.Context, front string, record *Record) {
	exchange := c.begin(record, front)
	address := fmt.Sprintf("http://%s/v1/responses/%s?program=%s", front, record.TurnID, url.QueryEscape(record.Program))
	answer, status, err := c.exchange(ctx, record, http.MethodGet, address, nil)
	exchange.AnsweredAt = c.Now()
	exchange.Status = status
	if err != nil {
		c.broken(record, exchange, err)
		return
	}
	if status != http.StatusOK {
		c.recordRejection(record, exchange, answer)
		return
	}
	var received response
	if err := json.Unmarshal(answer, &received); err != nil {
		c.broken(record, exchange, err)
		return
	}
	record.Text = received.text()
	c.conclude(record, exchange, OutcomeAnswered, "")
}

func (c *Client) begin(record *Record, front string) *Exchange {
	record.Exchanges = append(record.Exchanges, Exchange{
		Front: front, SentAt: c.Now(), Repeated: len(record.Exchanges) > 0,
	})
	return &record.Exchanges[len(record.Exchanges)-1]
}

func (c *Client) request(ctx context.Context, record *Record, method, address string, content []byte) (*http.Response,
	error,
) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(content))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Rosestand-Tenant", record.Site)
	request.Header.Set("Rosestand-Nonce", record.Nonce)
	if credential := c.Credentials[record.Site]; credential != "" {
		request.Header.Set("Authorization", "Bearer "+credential)
	}
	if method == http.MethodPost {
		// Without this the transport would send the request again by itself and the record would miss it.
		request.GetBody = nil
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Idempotency-Key", record.RequestID)
	}
	return c.HTTP.Do(request)
}

func (c *Client) exchange(ctx context.Context, record *Record, method, address string, content []byte) ([]byte, int,
	error,
) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := c.request(ctx, record, method, address, content)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	return body, answer.StatusCode, err
}

func (c *Client) stream(ctx context.Context, record *Record, exchange *Exchange, method, address string,
	content []byte,
) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := c.request(ctx, record, method, address, content)
	exchange.AnsweredAt = c.Now()
	if err != nil {
		c.broken(record, exchange, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	exchange.Status = answer.StatusCode
	if answer.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
		if err != nil {
			c.broken(record, exchange, err)
			return
		}
		c.recordRejection(record, exchange, body)
		return
	}
	c.follow(record, exchange, answer.Body)
}

// follow reads events until the stream ends or breaks.
func (c *Client) follow(record *Record, exchange *Exchange, body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data:")
		if !isData {
			continue
		}
		var event eventBody
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			c.broken(record, exchange, err)
			return
		}
		exchange.Events = append(exchange.Events, Event{
			Type: event.Type, Attempt: event.Attempt, Sequence: event.SequenceNumber,
			Text: event.Delta, Tokens: event.Tokens, ArrivedAt: c.Now(),
		})
		if c.ended(record, exchange, &event) {
			return
		}
	}
	err := scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	c.broken(record, exchange, err)
}

// ended takes in what an event says beside its text and reports whether it is the last one.
func (c *Client) ended(record *Record, exchange *Exchange, event *eventBody) bool {
	if event.Response != nil && event.Response.ID != "" {
		record.TurnID = event.Response.ID
	}
	switch event.Type {
	case EventCompleted:
		if event.Response != nil {
			record.complete(event.Response)
		}
		c.conclude(record, exchange, OutcomeAnswered, "")
		return true
	case EventFailed:
		if event.Error == nil {
			event.Error = &errorDetail{}
		}
		c.failed(record, exchange, event.Error)
		return true
	default:
		return false
	}
}

func (r *Record) complete(answer *response) {
	r.Text = answer.text()
	r.InputTokens = answer.Usage.InputTokens
	r.OutputTokens = answer.Usage.OutputTokens
	r.CachedTokens = answer.Usage.InputTokensDetails.CachedTokens
	r.AnswerNonce = answer.Rosestand.Nonce
	r.serve(answer.Rosestand)
}

func (r *Record) serve(by serving) {
	r.BackEnd = by.BackEnd
	r.Owner = by.Owner
	r.Epoch = by.Epoch
	r.BundleVersion = by.BundleVersion
}

func (a *response) text() string {
	var text strings.Builder
	for _, item := range a.Output {
		for _, content := range item.Content {
			text.WriteString(content.Text)
		}
	}
	return text.String()
}

func (c *Client) recordRejection(record *Record, exchange *Exchange, body []byte) {
	var answer struct {
		Error errorDetail `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		c.broken(record, exchange, errors.Wrap(err, "answer is not JSON"))
		return
	}
	c.failed(record, exchange, &answer.Error)
}

func (c *Client) failed(record *Record, exchange *Exchange, detail *errorDetail) {
	exchange.RetryAfterMillis = detail.RetryAfterMillis
	exchange.Message = detail.Message
	outcome := detail.Outcome
	if outcome == "" {
		outcome = OutcomeUnknown
	}
	c.conclude(record, exchange, outcome, detail.Code)
	if exchange.Resumed && outcome == OutcomeNotRun {
		// What was not run is the resumption; of the turn it says nothing.
		record.Outcome = OutcomeUnknown
		record.Code = resumeRejected + detail.Code
	}
}

// resumeRejected is the prefix of the code of a rejected resumption in the record of its turn.
const resumeRejected = "resume: "

func (c *Client) broken(record *Record, exchange *Exchange, err error) {
	exchange.Message = err.Error()
	c.conclude(record, exchange, OutcomeNone, "no_answer")
}

func (c *Client) conclude(record *Record, exchange *Exchange, outcome, code string) {
	exchange.AnsweredAt = c.Now()
	exchange.Outcome = outcome
	exchange.Code = code
	record.Outcome = outcome
	record.Code = code
	record.AnsweredAt = exchange.AnsweredAt
}

// lastEvent is the place up to which a record's stream came.
func lastEvent(record *Record) (attempt uint32, sequence uint64) {
	for _, exchange := range record.Exchanges {
		for _, event := range exchange.Events {
			if event.Attempt > attempt {
				attempt, sequence = event.Attempt, 0
			}
			if event.Attempt == attempt {
				sequence = max(sequence, event.Sequence)
			}
		}
	}
	return attempt, sequence
}
