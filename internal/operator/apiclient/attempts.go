package apiclient

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/failure"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxRedirects bounds the consecutive redirects that one attempt follows.
	maxRedirects = 4
)

// Do sends a request until it receives a final response or Options.Timeout elapses.
// It tries the addresses in turn and backs off after each pass over them.
// The error is a *RejectedError, *RedirectError, *UnknownOutcomeError or
// *UnreachableError.
func (c *Client) Do(ctx context.Context, request Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	state := &attempts{client: c, request: request}
	for number := 0; ; number++ {
		index := number % len(c.addresses)
		body, err := state.followRedirects(ctx, c.addresses[index])
		if err == nil {
			return body, nil
		}
		retry, minDelay := retryable(err)
		if !retry {
			return nil, err
		}
		state.last = err
		if index == len(c.addresses)-1 && c.sleep(ctx, max(minDelay, delays.NextBackOff())) != nil {
			return nil, state.finalError()
		}
		if ctx.Err() != nil {
			return nil, state.finalError()
		}
	}
}

// DoOnce sends a request once, to one address, within Options.Timeout. A redirect
// is returned as a *RedirectError.
func (c *Client) DoOnce(ctx context.Context, address string, request Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	state := &attempts{client: c, request: request}
	body, leader, err := state.attempt(ctx, address)
	if err == nil && leader != "" {
		return nil, &RedirectError{From: address, To: leader}
	}
	return body, err
}

// attempts holds the state of one request across its attempts.
type attempts struct {
	client  *Client
	request Request
	// mayHaveRun is true once an attempt has failed in a way that leaves its outcome unknown.
	mayHaveRun bool
	last       error
}

func (a *attempts) finalError() error {
	if a.mayHaveRun && a.request.OrderID != "" {
		return &UnknownOutcomeError{OrderID: a.request.OrderID, Last: a.last}
	}
	return &UnreachableError{Addresses: a.client.addresses, Last: a.last}
}

// followRedirects makes one attempt and follows its redirects to trusted leaders.
func (a *attempts) followRedirects(ctx context.Context, address string) ([]byte, error) {
	for range maxRedirects {
		body, leader, err := a.attempt(ctx, address)
		if err != nil || leader == "" {
			return body, err
		}
		if !a.client.isTrusted(ctx, address, leader) {
			return nil, &RedirectError{From: address, To: leader}
		}
		address = leader
	}
	return nil, &attemptError{cause: errors.Newf("sent on more than %d times", maxRedirects)}
}

// attempt sends the request to one address; leader is set if the response redirects to it.
func (a *attempts) attempt(ctx context.Context, address string) (body []byte, leader string, err error) {
	response, err := a.client.send(ctx, address, a.request)
	if err != nil {
		if !isDialError(err) {
			a.mayHaveRun = true
		}
		return nil, "", &attemptError{cause: err}
	}
	defer closeBody(response)
	body, err = readBody(response)
	switch {
	case response.StatusCode == http.StatusTemporaryRedirect:
		return nil, redirectHost(response.Header.Get("Location")), nil
	case err != nil:
		a.mayHaveRun = true
		return nil, "", &attemptError{cause: errors.Wrap(err, "read answer")}
	case response.StatusCode < http.StatusMultipleChoices:
		return body, "", nil
	default:
		rejection := parseRejection(response.StatusCode, body)
		if rejection.Detail.Outcome != "not_run" {
			a.mayHaveRun = true
		}
		return nil, "", rejection
	}
}

// retryableCodes lists the rejections that are not caused by the request itself, so that a retry may succeed.
var retryableCodes = []failure.Code{
	failure.NoLeader, failure.NotLeader, failure.Unavailable, failure.DeadlineExceeded, failure.NotReady,
	failure.Draining, failure.Overloaded, failure.Cancelled, failure.InternalError,
}

// retryable reports whether another attempt may succeed, and the minimum delay before it.
func retryable(err error) (retry bool, minDelay time.Duration) {
	var failed *attemptError
	if errors.As(err, &failed) {
		return true, 0
	}
	var rejection *RejectedError
	if !errors.As(err, &rejection) {
		return false, 0
	}
	retry = slices.Contains(retryableCodes, failure.Code(rejection.Detail.Code)) ||
		rejection.Status == http.StatusBadGateway || rejection.Status == http.StatusServiceUnavailable
	return retry, time.Duration(rejection.Detail.RetryAfterMillis) * time.Millisecond
}
