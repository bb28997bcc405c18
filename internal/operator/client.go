package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
)

const (
	orderHeader      = "Rosestand-Order"
	maxAnswerBytes   = 256 << 20
	attemptTimeout   = 20 * time.Second
	connectTimeout   = 2 * time.Second
	firstRetryWait   = 50 * time.Millisecond
	longestRetryWait = 2 * time.Second
	// maxRedirects bounds the times one request is sent on between leaders in a row.
	maxRedirects = 4
)

// Client makes requests to the core.
type Client struct {
	addresses []string
	// trusted are the addresses that may be given the token.
	trusted map[string]bool
	token   string
	timeout time.Duration
	http    *http.Client
	// wait pauses between attempts; tests replace it.
	wait func(ctx context.Context, pause time.Duration) error
}

// ClientOptions configure a Client.
type ClientOptions struct {
	// Addresses of core processes (IP:port of HTTP), tried in turn.
	Addresses []string
	Token     string
	// Timeout bounds one request with all its attempts.
	Timeout time.Duration
	// Wait pauses between attempts; a timer by default.
	Wait func(ctx context.Context, pause time.Duration) error
}

// NewClient makes a client; Close releases its connections.
func NewClient(options ClientOptions) *Client {
	client := &Client{
		addresses: options.Addresses,
		trusted:   map[string]bool{},
		token:     options.Token,
		timeout:   options.Timeout,
		wait:      options.Wait,
		http: &http.Client{
			Timeout:       attemptTimeout,
			Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	if client.wait == nil {
		client.wait = pause
	}
	for _, address := range options.Addresses {
		client.trusted[address] = true
	}
	return client
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one request to the core. An order has an id, a read has none.
type Request struct {
	Method  string
	Path    string
	OrderID string
	Body    []byte
}

// ErrorDetail is what a process says about a failure.
type ErrorDetail struct {
	Code             string          `json:"code"`
	Message          string          `json:"message"`
	Path             string          `json:"path"`
	Outcome          string          `json:"outcome"`
	RetryAfterMillis uint32          `json:"retry_after_millis"`
	Faults           []FaultDetail   `json:"faults"`
	Winner           json.RawMessage `json:"winner"`
}

// FaultDetail is one thing wrong with what was sent.
type FaultDetail struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Do sends a request until it is answered for good or the time has run out.
func (c *Client) Do(ctx context.Context, request Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstRetryWait, longestRetryWait
	attempts := &attempts{client: c, request: request}
	for round := 0; ; round++ {
		address := c.addresses[round%len(c.addresses)]
		answer, err := attempts.follow(ctx, address)
		if err == nil {
			return answer, nil
		}
		again, least := retryable(err)
		if !again {
			return nil, err
		}
		attempts.last = err
		if round%len(c.addresses) == len(c.addresses)-1 {
			if c.wait(ctx, max(least, delays.NextBackOff())) != nil {
				return nil, attempts.giveUp()
			}
		}
		if ctx.Err() != nil {
			return nil, attempts.giveUp()
		}
	}
}

// attempts is the state of one request over all its attempts.
type attempts struct {
	client  *Client
	request Request
	// maybeRun is true once an attempt ended in a way that leaves its outcome open.
	maybeRun bool
	last     error
}

func (a *attempts) giveUp() error {
	if a.maybeRun && a.request.OrderID != "" {
		return &UnknownOutcomeError{OrderID: a.request.OrderID, Last: a.last}
	}
	return &UnreachableError{Addresses: a.client.addresses, Last: a.last}
}

// follow makes one attempt, going on to the leader when it is sent there.
func (a *attempts) follow(ctx context.Context, address string) ([]byte, error) {
	for range maxRedirects {
		answer, next, err := a.try(ctx, address)
		if err != nil || next == "" {
			return answer, err
		}
		if !a.client.trusts(ctx, address, next) {
			return nil, &RedirectError{From: address, To: next}
		}
		address = next
	}
	return nil, &lostError{cause: errors.Newf("sent on more than %d times", maxRedirects)}
}

// lostError is an attempt that may be made again.
type lostError struct {
	cause error
}

func (e *lostError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.cause }

// try sends the request to one address; next is set when the answer names the leader.
func (a *attempts) try(ctx context.Context, address string) (answer []byte, next string, err error) {
	response, err := a.client.send(ctx, address, a.request)
	if err != nil {
		if !isDialError(err) {
			a.maybeRun = true
		}
		return nil, "", &lostError{cause: err}
	}
	defer closeBody(response)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case response.StatusCode == http.StatusTemporaryRedirect:
		return nil, hostOf(response.Header.Get("Location")), nil
	case err != nil:
		a.maybeRun = true
		return nil, "", &lostError{cause: errors.Wrap(err, "read answer")}
	case response.StatusCode < http.StatusMultipleChoices:
		return body, "", nil
	default:
		refused := refusalOf(response.StatusCode, body)
		if refused.Detail.Outcome != "not_run" {
			a.maybeRun = true
		}
		return nil, "", refused
	}
}

func (c *Client) send(ctx context.Context, address string, request Request) (*http.Response, error) {
	target := "http://" + address + request.Path
	made, err := http.NewRequestWithContext(ctx, request.Method, target, bytes.NewReader(request.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if c.token != "" {
		made.Header.Set("Authorization", "Bearer "+c.token)
	}
	if request.OrderID != "" {
		made.Header.Set(orderHeader, request.OrderID)
	}
	if len(request.Body) > 0 {
		made.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(made)
}

// trusts reports whether an address may be given the token: it was named by the
// operator, or the process that sent the client there lists it as a member.
func (c *Client) trusts(ctx context.Context, from, to string) bool {
	if c.trusted[to] {
		return true
	}
	response, err := c.send(ctx, from, Request{Method: http.MethodGet, Path: "/v1/core?local=true"})
	if err != nil {
		return false
	}
	defer closeBody(response)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	status, err := decodeCoreStatus(body)
	if err != nil {
		return false
	}
	for _, member := range status.GetConfiguration().GetMembers() {
		c.trusted[member.GetHttpAddress()] = true
	}
	return c.trusted[to]
}

// refusalOf reads the body of a failure; one that is not of the API's form leaves the outcome open.
func refusalOf(status int, body []byte) *RejectedError {
	var document struct {
		Error ErrorDetail `json:"error"`
	}
	if err := json.Unmarshal(body, &document); err != nil || document.Error.Code == "" {
		document.Error = ErrorDetail{Code: http.StatusText(status), Message: "the answer is not of the core's API"}
	}
	return &RejectedError{Status: status, Detail: document.Error}
}

// retryCodes are refusals that say nothing about the order itself.
var retryCodes = []failure.Code{
	failure.NoLeader, failure.NotLeader, failure.Unavailable, failure.DeadlineExceeded, failure.NotReady, failure.Draining,
	failure.Overloaded, failure.Cancelled, failure.InternalError,
}

// retryable reports whether another attempt makes sense, and the least pause before it.
func retryable(err error) (bool, time.Duration) {
	var lost *lostError
	if errors.As(err, &lost) {
		return true, 0
	}
	var refused *RejectedError
	if !errors.As(err, &refused) {
		return false, 0
	}
	known := slices.Contains(retryCodes, failure.Code(refused.Detail.Code))
	return known || refused.Status == http.StatusBadGateway || refused.Status == http.StatusServiceUnavailable,
		time.Duration(refused.Detail.RetryAfterMillis) * time.Millisecond
}

// isDialError reports that a request never left, because there was no connection.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// closeBody frees the connection; the body was read as far as it is wanted.
func closeBody(response *http.Response) { _ = response.Body.Close() }

func hostOf(location string) string {
	parsed, err := url.Parse(location)
	if err != nil {
		return location
	}
	return parsed.Host
}

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
