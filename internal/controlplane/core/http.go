package core

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	orderHeader     = "Rosestand-Order"
	maxOrderBytes   = 128
	operatorTimeout = 15 * time.Second
	// anySegment stands in a route for a segment that the handler takes as an argument.
	anySegment = "*"
	// trustedOperator stands in logs for an operator without a token.
	trustedOperator = "trusted"
)

// operatorRequest is one request of an operator on its way through the dispatch.
type operatorRequest struct {
	http *http.Request
	// arguments are the path segments that the route leaves open.
	arguments []string
	operator  string
	orderID   string
}

// answer is what a handler gives back: a status and a JSON document.
type answer struct {
	status   int
	document any
}

type operatorHandler func(ctx context.Context, request *operatorRequest) (*answer, error)

// operatorRoute is one line of the dispatch.
type operatorRoute struct {
	method   string
	segments []string
	handle   operatorHandler
	// repeatable is true for a change that may be made again without an order id.
	idempotent bool
}

func (s *Service) routes() []operatorRoute {
	route := func(method, path string, handle operatorHandler) operatorRoute {
		return operatorRoute{method: method, segments: strings.Split(path, "/"), handle: handle}
	}
	idempotent := func(method, path string, handle operatorHandler) operatorRoute {
		idempotentRoute := route(method, path, handle)
		idempotentRoute.idempotent = true
		return idempotentRoute
	}
	return []operatorRoute{
		route(http.MethodGet, "v1/bundles", s.listBundles),
		route(http.MethodGet, "v1/bundles/*", s.showBundle),
		route(http.MethodPut, "v1/bundles/*", s.putBundle),
		route(http.MethodPost, "v1/bundles/*/sign", s.signBundle),
		route(http.MethodGet, "v1/bundles/*/diff/*", s.diffBundles),
		idempotent(http.MethodPut, "v1/releases/*", s.releaseBundle),
		route(http.MethodGet, "v1/releases/active", s.showRelease),
		route(http.MethodGet, "v1/rollout", s.showRollout),
		route(http.MethodPut, "v1/rollout", s.setRollout),
		route(http.MethodPost, "v1/rollout/promote", s.promoteRollout),
		route(http.MethodPost, "v1/rollout/withdraw", s.withdrawRollout),
		route(http.MethodGet, "v1/nodes", s.listNodes),
		route(http.MethodGet, "v1/backends", s.listBackEnds),
		idempotent(http.MethodPut, "v1/backends/*", s.announceBackEnd),
		idempotent(http.MethodDelete, "v1/backends/*", s.removeBackEnd),
		route(http.MethodPost, "v1/backends/*/drain", s.drainBackEndOrder),
		route(http.MethodGet, "v1/stores", s.listStores),
		route(http.MethodGet, "v1/stores/*", s.showStore),
		route(http.MethodPost, "v1/stores/*/empty", s.emptyStore),
		route(http.MethodPost, "v1/stores/*/retire", s.retireStore),
		route(http.MethodGet, "v1/core", s.showCore),
		route(http.MethodPost, "v1/core/members", s.addMember),
		route(http.MethodDelete, "v1/core/members/*", s.removeMember),
	}
}

// ServeHTTP answers an operator: one dispatch on method and path segments.
func (s *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	route, arguments, err := s.dispatch(request)
	if err != nil {
		s.writeError(writer, request, err)
		return
	}
	operator, known := s.authenticate(request)
	if !known {
		writer.Header().Set("WWW-Authenticate", "Bearer")
		s.writeError(writer, request, failure.New(failure.Unauthorized, protocol.Outcome_NOT_RUN, "an operator's bearer token is needed"))
		return
	}
	order, err := readOrderID(route, request)
	if err != nil {
		s.writeError(writer, request, err)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), operatorTimeout)
	defer cancel()
	result, err := s.serveOperator(ctx, route, &operatorRequest{http: request, arguments: arguments, operator: operator, orderID: order})
	if err != nil {
		s.writeError(writer, request, err)
		return
	}
	s.writeAnswer(writer, result)
}

// operatorOf names the operator of a request; without a token it is known only where operators are trusted.
func (s *Service) authenticate(request *http.Request) (name string, known bool) {
	name, known = s.tokens.operator(request.Header.Get("Authorization"))
	if !known && s.trustOperators {
		return trustedOperator, true
	}
	return name, known
}

// serveOperator runs a handler at the leader, after a barrier where it only reads.
func (s *Service) serveOperator(ctx context.Context, route *operatorRoute, request *operatorRequest) (*answer, error) {
	if route.method == http.MethodGet && request.http.URL.Query().Get("local") != "true" {
		if err := s.consensus.Barrier(ctx); err != nil {
			return nil, controllog.Failure(err)
		}
	}
	return route.handle(ctx, request)
}

// dispatch finds the route of a request and the segments it leaves open.
func (s *Service) dispatch(request *http.Request) (*operatorRoute, []string, error) {
	segments, err := pathSegments(request.URL)
	if err != nil {
		return nil, nil, err
	}
	otherMethod := false
	for _, route := range s.dispatchTable {
		arguments, matches := route.match(segments)
		if !matches {
			continue
		}
		if route.method == request.Method {
			return &route, arguments, nil
		}
		otherMethod = true
	}
	if otherMethod {
		return nil, nil, failure.New(failure.MethodNotAllowed, protocol.Outcome_NOT_RUN,
			"the route has no method "+request.Method, failure.WithPath(request.URL.Path))
	}
	return nil, nil, failure.New(failure.UnknownRoute, protocol.Outcome_NOT_RUN, "no such route", failure.WithPath(request.URL.Path))
}

func pathSegments(location *url.URL) ([]string, error) {
	segments := strings.Split(strings.TrimPrefix(location.EscapedPath(), "/"), "/")
	for i, segment := range segments {
		plain, err := url.PathUnescape(segment)
		if err != nil {
			return nil, failure.New(failure.UnknownRoute, protocol.Outcome_NOT_RUN, "the path is malformed", failure.WithPath(location.Path))
		}
		segments[i] = plain
	}
	return segments, nil
}

func (r *operatorRoute) match(segments []string) ([]string, bool) {
	if len(segments) != len(r.segments) {
		return nil, false
	}
	var arguments []string
	for i, expected := range r.segments {
		switch {
		case expected == anySegment && segments[i] != "":
			arguments = append(arguments, segments[i])
		case expected != segments[i]:
			return nil, false
		}
	}
	return arguments, true
}

// orderOf reads the order id that every change must carry unless it may be made again without one.
func readOrderID(route *operatorRoute, request *http.Request) (string, error) {
	id := request.Header.Get(orderHeader)
	switch {
	case request.Method == http.MethodGet, id == "" && route.idempotent:
		return "", nil
	case id == "":
		return "", failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "every order needs an id of its own", failure.WithPath(orderHeader))
	case len(id) > maxOrderBytes:
		return "", failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "an order id has at most 128 bytes", failure.WithPath(orderHeader))
	default:
		return id, nil
	}
}
