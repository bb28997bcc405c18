package issue

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/dataplane/dialect"
	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/dataplane/front/httpheader"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/serverconn"
)

// dialFunc opens a connection to a back end.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// Clock tells the time and bounds contexts.
type Clock interface {
	Now() time.Time
	WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc)
}

// RouteClient sends requests of HTTP routes to servers under the header names of a dialect. Any goroutine
// may use it.
type RouteClient struct {
	dialect dialect.Dialect
	pool    *serverconn.Pool
	clock   Clock
	// models are told of the loads that answers carry.
	models *backends.Models
}

// NewRouteClient makes a client that connects by dial; nil stands for TCP.
func NewRouteClient(routeDialect dialect.Dialect, clock Clock, models *backends.Models, dial dialFunc) *RouteClient {
	return &RouteClient{
		dialect: routeDialect, clock: clock, models: models,
		pool: serverconn.New(serverconn.Options{Now: clock.Now, Dial: dial}),
	}
}

// RouteRequest is one attempt of a request at one server.
type RouteRequest struct {
	Server    *backends.Server
	RequestID string
	HTTP      *protocol.HttpRequest
	Body      []byte
	Deadline  time.Time
	// Pin is set for a turn of a training step: the server must have that version.
	Pin *backends.VersionPin
}

// send issues a request once. An answer that it returns is the server's to this very request.
func (c *RouteClient) send(ctx context.Context, request RouteRequest) (*serverconn.Response, error) {
	remainingMillis := request.Deadline.Sub(c.clock.Now()).Milliseconds()
	if remainingMillis <= 0 {
		return nil, &AttemptError{Fault: turn.FaultNotSent, Detail: "the deadline has passed", serverNotAtFault: true}
	}
	description := request.Server.Description()
	response, err := c.pool.Do(ctx, description.GetAddress(), &serverconn.Request{
		Method: request.HTTP.GetMethod(), Target: request.HTTP.GetTarget(), Host: request.HTTP.GetHost(),
		Headers: c.headers(request, description.GetId(), remainingMillis), Body: request.Body,
	})
	if err != nil {
		fault := turn.FaultBroken
		if errors.HasType(err, (*serverconn.NotSentError)(nil)) {
			fault = turn.FaultNotSent
		}
		return nil, &AttemptError{
			Fault: fault, Detail: err.Error(), serverNotAtFault: fault == turn.FaultNotSent && ctx.Err() != nil,
		}
	}
	fault := c.checkAnswer(response, request.RequestID)
	if fault == nil || fault.Fault == turn.FaultUnavailable {
		c.applyAnswerLoad(request.Server, response.Header)
	}
	if fault != nil {
		if request.Pin != nil && response.Status == http.StatusMisdirectedRequest && fault.Fault == turn.FaultUnavailable {
			fault.Fault = turn.FaultWrongVersion
		}
		return nil, fault
	}
	return response, nil
}

// applyAnswerLoad applies the load that an answer carries.
func (c *RouteClient) applyAnswerLoad(server *backends.Server, header http.Header) {
	if c.dialect.ServerLoad == "" {
		return
	}
	load, reported := dialect.DecodeLoad(header.Get(c.dialect.ServerLoad))
	if !reported {
		return
	}
	server.ApplyAnswerLoad(load, c.clock.Now())
	c.models.RecordAnswerLoad(server.Description().GetGroup(), server.ID())
}

// headers are those of the caller and of the front node; the front node's replace the caller's of a name.
func (c *RouteClient) headers(request RouteRequest, server string, remainingMillis int64) []*protocol.HttpHeader {
	added := []*protocol.HttpHeader{{Name: c.dialect.TimeLeft, Value: strconv.FormatInt(remainingMillis, 10)}}
	if c.dialect.ServerRank != "" && request.HTTP.GetKind() == protocol.HttpRouteKind_HTTP_STREAMING {
		added = append(added, &protocol.HttpHeader{Name: c.dialect.ServerRank, Value: request.serverRank()})
	}
	if c.dialect.TargetServer != "" {
		added = append(added, &protocol.HttpHeader{Name: c.dialect.TargetServer, Value: server})
	}
	if request.Pin != nil && c.dialect.ExpectedWeights != "" {
		version := strconv.FormatUint(request.Pin.Version, 10)
		added = append(added, &protocol.HttpHeader{Name: c.dialect.ExpectedWeights, Value: version})
	}
	received := request.HTTP.GetHeaders()
	headers := make([]*protocol.HttpHeader, 0, len(received)+len(added))
	for _, header := range received {
		isSame := func(other *protocol.HttpHeader) bool { return other.GetName() == header.GetName() }
		if !slices.ContainsFunc(added, isSame) {
			headers = append(headers, header)
		}
	}
	return append(headers, added...)
}

const (
	// firstServerRank is the rank at servers of the most urgent routes, and rankStep the distance between
	// ranks; a server takes 5 for a request without a rank.
	firstServerRank = 3
	rankStep        = 2
	lastServerRank  = 9
)

// serverRank is the rank that a request has at its server: generations of training steps go last.
func (r *RouteRequest) serverRank() string {
	if r.Pin != nil {
		return strconv.Itoa(lastServerRank)
	}
	return serverRank(r.HTTP.GetRank())
}

// serverRank maps a route's rank to the scale of the servers.
func serverRank(rank uint32) string {
	return strconv.Itoa(int(min(firstServerRank+rankStep*rank, lastServerRank)))
}

// checkAnswer recognises the answers by which a server states that it did not run the request, and those
// that are no answer to it. It ends the exchange then.
func (c *RouteClient) checkAnswer(response *serverconn.Response, requestID string) *AttemptError {
	header := response.Header
	rejected := response.Status == http.StatusMisdirectedRequest || header.Get(c.dialect.NotExecuted) != ""
	echoed := header.Get(c.dialect.RequestID)
	// A rejection may carry no id; one with another id is of another request.
	if echoed != requestID && (echoed != "" || !rejected) {
		response.Discard()
		return &AttemptError{Fault: turn.FaultMismatch, Detail: "the answer belongs to request " + strconv.Quote(echoed)}
	}
	if rejected {
		detail := "the server refused with status " + strconv.Itoa(response.Status)
		_, _ = response.ReadAll(maxFaultAnswerBytes)
		response.Close()
		return &AttemptError{Fault: turn.FaultUnavailable, retryAfter: retryAfterOf(header), Detail: detail}
	}
	if header.Get(c.dialect.Signature) == "" {
		response.Discard()
		return &AttemptError{Fault: turn.FaultBroken, Detail: "the answer has no proof of its server"}
	}
	if impliesNotRun(response.Status) {
		response.Discard()
		detail := "the server answered " + strconv.Itoa(response.Status) + " without saying that it did not run the request"
		return &AttemptError{Fault: turn.FaultBroken, Detail: detail}
	}
	return nil
}

// promisesNotRun reports whether callers may conclude from a status that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Stream issues a turn of an HTTP route to one server and returns its answer, each event of which stands for
// eventTokens tokens. The error is an *AttemptError.
func (c *RouteClient) Stream(ctx context.Context, request RouteRequest, eventTokens uint32) (AnswerStream, error) {
	response, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	stream := newHTTPStream(response, eventTokens)
	if request.Pin != nil {
		stream.versionHeader = c.dialect.WeightVersions
	}
	return stream, nil
}

// Call runs a call of an HTTP route at one server and reads its complete answer. The error is an
// *AttemptError.
func (c *RouteClient) Call(ctx context.Context, request RouteRequest) (turn.Event, error) {
	response, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	body, err := response.ReadAll(maxToolAnswerBytes)
	if err != nil {
		response.Discard()
		return nil, &AttemptError{Fault: turn.FaultBroken, Detail: err.Error()}
	}
	headers := httpheader.OfAnswer(request.HTTP.GetMethod(), response.Header)
	status := uint32(response.Status)
	response.Close()
	return turn.CallAnswered{Status: status, Body: body, Headers: headers}, nil
}

// ForgetRemoved closes the idle connections to servers that were removed from the view.
func (c *RouteClient) ForgetRemoved(former, current *backends.Set) {
	for id, server := range former.ByID {
		if current.ByID[id] == nil {
			c.pool.CloseIdle(server.Description().GetAddress())
		}
	}
}

// Close ends all connections.
func (c *RouteClient) Close() { c.pool.Close() }
