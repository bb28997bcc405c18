package front

import (
	"context"
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

// routeClient sends requests of HTTP routes to servers in the words of a dialect.
type routeClient struct {
	dialect dialect.Dialect
	pool    *serverconn.Pool
	clock   Clock
	// models hear of the loads that servers tell.
	models *backends.Models
}

// newRouteClient makes a client that connects by dial; nil stands for TCP.
func newRouteClient(routeDialect dialect.Dialect, clock Clock, models *backends.Models, dial dialFunc) *routeClient {
	return &routeClient{dialect: routeDialect, clock: clock, models: models, pool: serverconn.New(serverconn.Options{Now: clock.Now, Dial: dial})}
}

// routedRequest is one send of a request to one server.
type routedRequest struct {
	server    *backends.Server
	requestID string
	http      *protocol.HttpRequest
	body      []byte
	deadline  time.Time
	// pin is set for a turn of a training step: the server must have that version.
	pin *backends.VersionPin
}

// send issues a request once. The answer is one that the server gave to this very request.
func (c *routeClient) send(ctx context.Context, request routedRequest) (*serverconn.Response, error) {
	left := request.deadline.Sub(c.clock.Now()).Milliseconds()
	if left <= 0 {
		return nil, &backEndError{fault: turn.FaultNotSent, detail: "the deadline has passed", blameless: true}
	}
	description := request.server.Description()
	response, err := c.pool.Do(ctx, description.GetAddress(), &serverconn.Request{
		Method: request.http.GetMethod(), Target: request.http.GetTarget(), Host: request.http.GetHost(),
		Headers: c.headers(request, description.GetId(), left), Body: request.body,
	})
	if err != nil {
		fault := turn.FaultBroken
		if errors.HasType(err, (*serverconn.NotSentError)(nil)) {
			fault = turn.FaultNotSent
		}
		return nil, &backEndError{fault: fault, detail: err.Error(), blameless: fault == turn.FaultNotSent && ctx.Err() != nil}
	}
	fault := c.checkAnswer(response, request.requestID)
	if fault == nil || fault.fault == turn.FaultUnavailable {
		c.applyAnswerLoad(request.server, response.Header)
	}
	if fault != nil {
		if request.pin != nil && response.Status == http.StatusMisdirectedRequest && fault.fault == turn.FaultUnavailable {
			fault.fault = turn.FaultWrongVersion
		}
		return nil, fault
	}
	return response, nil
}

// applyAnswerLoad takes in the load that a server tells with an answer to a request of ours.
func (c *routeClient) applyAnswerLoad(server *backends.Server, header http.Header) {
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

// headers are those of the caller with those of the front node, whose words stand in place of the caller's.
func (c *routeClient) headers(request routedRequest, server string, left int64) []*protocol.HttpHeader {
	own := []*protocol.HttpHeader{{Name: c.dialect.TimeLeft, Value: strconv.FormatInt(left, 10)}}
	if c.dialect.ServerRank != "" && request.http.GetKind() == protocol.HttpRouteKind_HTTP_STREAMING {
		own = append(own, &protocol.HttpHeader{Name: c.dialect.ServerRank, Value: request.serverRank()})
	}
	if c.dialect.TargetServer != "" {
		own = append(own, &protocol.HttpHeader{Name: c.dialect.TargetServer, Value: server})
	}
	if request.pin != nil && c.dialect.ExpectedWeights != "" {
		own = append(own, &protocol.HttpHeader{Name: c.dialect.ExpectedWeights, Value: strconv.FormatUint(request.pin.Version, 10)})
	}
	given := request.http.GetHeaders()
	headers := make([]*protocol.HttpHeader, 0, len(given)+len(own))
	for _, header := range given {
		isSame := func(other *protocol.HttpHeader) bool { return other.GetName() == header.GetName() }
		if !slices.ContainsFunc(own, isSame) {
			headers = append(headers, header)
		}
	}
	return append(headers, own...)
}

const (
	// firstServerRank is the rank at servers of the most urgent routes, and rankStep the distance of the
	// others; routes that a server knows no rank of have 5.
	firstServerRank = 3
	rankStep        = 2
	lastServerRank  = 9
)

// serverRank is the rank that a request has at its server: generations of training steps go last.
func (r *routedRequest) serverRank() string {
	if r.pin != nil {
		return strconv.Itoa(lastServerRank)
	}
	return serverRank(r.http.GetRank())
}

// serverRank maps a route's rank to one that servers know.
func serverRank(rank uint32) string {
	return strconv.Itoa(int(min(firstServerRank+rankStep*rank, lastServerRank)))
}

// checkAnswer reads the answers by which a server says that it did not run the
// request, and finds those that are no answer to it. The exchange is ended then.
func (c *routeClient) checkAnswer(response *serverconn.Response, requestID string) *backEndError {
	header := response.Header
	rejected := response.Status == http.StatusMisdirectedRequest || header.Get(c.dialect.NotExecuted) != ""
	echoed := header.Get(c.dialect.RequestID)
	// A refusal may carry no id; one with another id speaks of another request.
	if echoed != requestID && (echoed != "" || !rejected) {
		response.Discard()
		return &backEndError{fault: turn.FaultMismatch, detail: "the answer belongs to request " + strconv.Quote(echoed)}
	}
	if rejected {
		detail := "the server refused with status " + strconv.Itoa(response.Status)
		_, _ = response.ReadAll(maxFaultAnswerBytes)
		response.Close()
		return &backEndError{fault: turn.FaultUnavailable, retryAfter: retryAfterOf(header), detail: detail}
	}
	if header.Get(c.dialect.Signature) == "" {
		response.Discard()
		return &backEndError{fault: turn.FaultBroken, detail: "the answer has no proof of its server"}
	}
	if promisesNotRun(response.Status) {
		response.Discard()
		return &backEndError{fault: turn.FaultBroken, detail: "the server answered " + strconv.Itoa(response.Status) + " without saying that it did not run the request"}
	}
	return nil
}

// promisesNotRun reports whether callers take a status as a promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
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

// call runs a call of an HTTP route at one server and reads its whole answer.
func (c *routeClient) call(ctx context.Context, request routedRequest) (turn.Event, error) {
	response, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	body, err := response.ReadAll(maxToolAnswerBytes)
	if err != nil {
		response.Discard()
		return nil, &backEndError{fault: turn.FaultBroken, detail: err.Error()}
	}
	headers := httpheader.OfAnswer(request.http.GetMethod(), response.Header)
	status := uint32(response.Status)
	response.Close()
	return turn.CallDone{Status: status, Body: body, Headers: headers}, nil
}

// forgetRemoved closes the resting connections to servers that are in the view no more.
func (c *routeClient) forgetRemoved(former, current *backends.Set) {
	for id, server := range former.ByID {
		if current.ByID[id] == nil {
			c.pool.CloseIdle(server.Description().GetAddress())
		}
	}
}

func (c *routeClient) close() { c.pool.Close() }
