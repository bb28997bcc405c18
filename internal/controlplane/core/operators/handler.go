// Package operators serves the HTTP API for operators: it authenticates a
// request, finds its route, reads from the control state or proposes an order to
// the control log, and responds in JSON. Reads are linearizable unless the query
// contains local=true; an order is acknowledged once it is committed and applied.
//
// A Handler has no mutable state and is safe for concurrent use.
package operators

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	orderHeader     = "Rosestand-Order"
	maxOrderBytes   = 128
	operatorTimeout = 15 * time.Second
	// anySegment is a route segment that matches any path segment; the handler receives that as an argument.
	anySegment = "*"
	// trustedOperator is the name that is logged for an operator without a token.
	trustedOperator = "trusted"
)

// ControlPlane is the part of this process's control plane that the handler uses. Errors are failures.
type ControlPlane interface {
	// View returns the newest view of the control state in this process.
	View() *controlstate.View
	// VariantSums returns the sums of the samples of the current roll-out that this leader has received.
	VariantSums(ctx context.Context) ([]*protocol.ArmSample, error)
	// NodeLeases returns the leases of nodes, in the order of nodes.
	NodeLeases(ctx context.Context, nodes []*protocol.Node) ([]leases.Status, error)
	// AnnounceBackEnd applies the announcement of a back end.
	AnnounceBackEnd(ctx context.Context, backEnd *protocol.BackEnd, sequence uint64) error
	// RemoveBackEnd removes a back end that reports that it is leaving.
	RemoveBackEnd(ctx context.Context, id string, sequence uint64) error
	// DrainBackEnd returns once no front node sends to the back end any more, or when the command was rejected.
	DrainBackEnd(
		ctx context.Context, orderID string, command *protocol.DrainBackEndCommand,
	) (*protocol.CommandResult, error)
}

// Consensus is the part of this process's replica that the handler uses.
type Consensus interface {
	Barrier(ctx context.Context) error
	Leader() *protocol.CoreMember
	Status() *protocol.CoreStatusResponse
	Identify(ctx context.Context, address string) (*protocol.CoreMember, error)
	Admit(ctx context.Context, member *protocol.CoreMember) error
	RemoveMember(ctx context.Context, name string) error
}

// Options of a Handler. All but Registerer are required.
type Options struct {
	ControlPlane ControlPlane
	Consensus    Consensus
	Proposer     *controllog.Proposer
	// Tokens are the credentials of operators.
	Tokens *Tokens
	// TrustOperators accepts orders without a token and lets the core itself sign off releases.
	TrustOperators bool
	Logger         *log.Logger
	Registerer     prometheus.Registerer
}

// Handler is the http.Handler of the operators' API.
type Handler struct {
	control        ControlPlane
	consensus      Consensus
	proposer       *controllog.Proposer
	tokens         *Tokens
	trustOperators bool
	logger         *log.Logger
	metrics        *metrics
	routes         []route
}

// New returns a handler.
func New(options Options) *Handler {
	handler := &Handler{
		control:        options.ControlPlane,
		consensus:      options.Consensus,
		proposer:       options.Proposer,
		tokens:         options.Tokens,
		trustOperators: options.TrustOperators,
		logger:         options.Logger,
		metrics:        newMetrics(options.Registerer),
	}
	handler.routes = handler.routeTable()
	return handler
}

// operatorRequest is an authenticated request with its route's arguments.
type operatorRequest struct {
	http *http.Request
	// arguments are the path segments that matched anySegment, in order.
	arguments []string
	operator  string
	orderID   string
}

// response is the result of a route's handler.
type response struct {
	status int
	// document is encoded as JSON.
	document any
}

func okResponse(document any) *response { return &response{status: http.StatusOK, document: document} }

type routeHandler func(ctx context.Context, request *operatorRequest) (*response, error)

// route is one entry of the route table.
type route struct {
	method   string
	segments []string
	handle   routeHandler
	// idempotent is true for a change that may be repeated and so needs no order id.
	idempotent bool
}

func (h *Handler) routeTable() []route {
	newRoute := func(method, path string, handle routeHandler) route {
		return route{method: method, segments: strings.Split(path, "/"), handle: handle}
	}
	idempotent := func(method, path string, handle routeHandler) route {
		idempotentRoute := newRoute(method, path, handle)
		idempotentRoute.idempotent = true
		return idempotentRoute
	}
	return []route{
		newRoute(http.MethodGet, "v1/bundles", h.listBundles),
		newRoute(http.MethodGet, "v1/bundles/*", h.showBundle),
		newRoute(http.MethodPut, "v1/bundles/*", h.putBundle),
		newRoute(http.MethodPost, "v1/bundles/*/sign", h.signBundle),
		newRoute(http.MethodGet, "v1/bundles/*/diff/*", h.diffBundles),
		idempotent(http.MethodPut, "v1/releases/*", h.releaseBundle),
		newRoute(http.MethodGet, "v1/releases/active", h.showRelease),
		newRoute(http.MethodGet, "v1/rollout", h.showRollout),
		newRoute(http.MethodPut, "v1/rollout", h.setRollout),
		newRoute(http.MethodPost, "v1/rollout/promote", h.promoteRollout),
		newRoute(http.MethodPost, "v1/rollout/withdraw", h.withdrawRollout),
		newRoute(http.MethodGet, "v1/nodes", h.listNodes),
		newRoute(http.MethodGet, "v1/backends", h.listBackEnds),
		idempotent(http.MethodPut, "v1/backends/*", h.announceBackEnd),
		idempotent(http.MethodDelete, "v1/backends/*", h.removeBackEnd),
		newRoute(http.MethodPost, "v1/backends/*/drain", h.drainBackEnd),
		newRoute(http.MethodGet, "v1/stores", h.listStores),
		newRoute(http.MethodGet, "v1/stores/*", h.showStore),
		newRoute(http.MethodPost, "v1/stores/*/empty", h.emptyStore),
		newRoute(http.MethodPost, "v1/stores/*/retire", h.retireStore),
		newRoute(http.MethodGet, "v1/core", h.showCore),
		newRoute(http.MethodPost, "v1/core/members", h.addMember),
		newRoute(http.MethodDelete, "v1/core/members/*", h.removeMember),
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	matched, arguments, err := h.findRoute(request)
	if err != nil {
		h.writeError(writer, request, err)
		return
	}
	operator, authenticated := h.authenticate(request)
	if !authenticated {
		writer.Header().Set("WWW-Authenticate", "Bearer")
		h.writeError(writer, request, failure.New(failure.Unauthorized, protocol.Outcome_NOT_RUN,
			"an operator's bearer token is needed"))
		return
	}
	orderID, err := readOrderID(matched, request)
	if err != nil {
		h.writeError(writer, request, err)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), operatorTimeout)
	defer cancel()
	result, err := h.serve(ctx, matched, &operatorRequest{
		http: request, arguments: arguments, operator: operator, orderID: orderID,
	})
	if err != nil {
		h.writeError(writer, request, err)
		return
	}
	h.writeResponse(writer, result)
}

// authenticate returns the name of the operator that sent a request. A request without a valid token is accepted only
// if operators are trusted.
func (h *Handler) authenticate(request *http.Request) (name string, authenticated bool) {
	name, authenticated = h.tokens.findOperator(request.Header.Get("Authorization"))
	if !authenticated && h.trustOperators {
		return trustedOperator, true
	}
	return name, authenticated
}

// serve runs a route's handler; for a read that is not local it waits for a barrier first, which makes it linearizable.
func (h *Handler) serve(ctx context.Context, matched *route, request *operatorRequest) (*response, error) {
	if matched.method == http.MethodGet && request.http.URL.Query().Get("local") != "true" {
		if err := h.consensus.Barrier(ctx); err != nil {
			return nil, controllog.Failure(err)
		}
	}
	return matched.handle(ctx, request)
}

// findRoute returns the route of a request and its arguments.
func (h *Handler) findRoute(request *http.Request) (*route, []string, error) {
	segments, err := pathSegments(request.URL)
	if err != nil {
		return nil, nil, err
	}
	otherMethod := false
	for _, candidate := range h.routes {
		arguments, matches := candidate.match(segments)
		if !matches {
			continue
		}
		if candidate.method == request.Method {
			return &candidate, arguments, nil
		}
		otherMethod = true
	}
	if otherMethod {
		return nil, nil, failure.New(failure.MethodNotAllowed, protocol.Outcome_NOT_RUN,
			"the route has no method "+request.Method, failure.WithPath(request.URL.Path))
	}
	return nil, nil, failure.New(failure.UnknownRoute, protocol.Outcome_NOT_RUN, "no such route",
		failure.WithPath(request.URL.Path))
}

func pathSegments(location *url.URL) ([]string, error) {
	segments := strings.Split(strings.TrimPrefix(location.EscapedPath(), "/"), "/")
	for i, segment := range segments {
		unescaped, err := url.PathUnescape(segment)
		if err != nil {
			return nil, failure.New(failure.UnknownRoute, protocol.Outcome_NOT_RUN, "the path is malformed",
				failure.WithPath(location.Path))
		}
		segments[i] = unescaped
	}
	return segments, nil
}

func (r *route) match(segments []string) (arguments []string, matches bool) {
	if len(segments) != len(r.segments) {
		return nil, false
	}
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

// readOrderID returns the order id of a request. Every change must have one, except on idempotent routes.
func readOrderID(matched *route, request *http.Request) (string, error) {
	id := request.Header.Get(orderHeader)
	switch {
	case request.Method == http.MethodGet, id == "" && matched.idempotent:
		return "", nil
	case id == "":
		return "", failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "every order needs an id of its own",
			failure.WithPath(orderHeader))
	case len(id) > maxOrderBytes:
		return "", invalidField(orderHeader, "an order id has at most 128 bytes")
	default:
		return id, nil
	}
}
