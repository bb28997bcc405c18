package apiclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	orderHeader      = "Rosestand-Order"
	maxResponseBytes = 256 << 20
	attemptTimeout   = 20 * time.Second
	connectTimeout   = 2 * time.Second

	coreStatusPath = "/v1/core?local=true"
)

// Client sends requests to core processes, or to a front node.
type Client struct {
	addresses []string
	// trusted contains the addresses that the token may be sent to.
	trusted map[string]bool
	token   string
	timeout time.Duration
	http    *http.Client
	sleep   func(ctx context.Context, duration time.Duration) error
}

// Options configure a Client. Addresses and Timeout are required.
type Options struct {
	// Addresses of core processes (IP:port of HTTP), tried in turn.
	Addresses []string
	// Token is the operator's bearer token; none is sent if it is empty.
	Token string
	// Timeout bounds one request, including all its attempts.
	Timeout time.Duration
	// Sleep waits between attempts; nil means Sleep of this package.
	Sleep func(ctx context.Context, duration time.Duration) error
}

// New returns a client; Close releases its connections.
func New(options Options) *Client {
	client := &Client{
		addresses: options.Addresses,
		trusted:   map[string]bool{},
		token:     options.Token,
		timeout:   options.Timeout,
		sleep:     options.Sleep,
		http: &http.Client{
			Timeout:       attemptTimeout,
			Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	if client.sleep == nil {
		client.sleep = Sleep
	}
	for _, address := range options.Addresses {
		client.trusted[address] = true
	}
	return client
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one HTTP request. An order has an order id, a read has none.
type Request struct {
	Method  string
	Path    string
	OrderID string
	Body    []byte
}

func (c *Client) send(ctx context.Context, address string, request Request) (*http.Response, error) {
	target := "http://" + address + request.Path
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, target, bytes.NewReader(request.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if c.token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.token)
	}
	if request.OrderID != "" {
		httpRequest.Header.Set(orderHeader, request.OrderID)
	}
	if len(request.Body) > 0 {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(httpRequest)
}

// isTrusted reports whether the token may be sent to an address: the operator named
// it, or the process that redirected the client to it lists it as a member.
func (c *Client) isTrusted(ctx context.Context, from, to string) bool {
	if c.trusted[to] {
		return true
	}
	for _, member := range c.listMembers(ctx, from) {
		c.trusted[member.GetHttpAddress()] = true
	}
	return c.trusted[to]
}

// listMembers returns the core's members as listed by one of its processes, or nil if the request fails.
func (c *Client) listMembers(ctx context.Context, address string) []*protocol.CoreMember {
	response, err := c.send(ctx, address, Request{Method: http.MethodGet, Path: coreStatusPath})
	if err != nil {
		return nil
	}
	defer closeBody(response)
	body, err := readBody(response)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	status := &protocol.CoreStatusResponse{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, status); err != nil {
		return nil
	}
	return status.GetConfiguration().GetMembers()
}

func readBody(response *http.Response) ([]byte, error) {
	return io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
}

// closeBody closes the response body to release its connection. The error is ignored, since the body was read.
func closeBody(response *http.Response) { _ = response.Body.Close() }

func redirectHost(location string) string {
	parsed, err := url.Parse(location)
	if err != nil {
		return location
	}
	return parsed.Host
}

// Sleep waits for the duration. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
