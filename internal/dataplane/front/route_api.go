package front

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/dataplane/dialect"
	"github.com/rosestand/rosestand/internal/dataplane/front/callerapi"
	"github.com/rosestand/rosestand/internal/dataplane/front/httpheader"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/transport/httpguard"
)

const (
	// defaultRoutedBodyBytes and defaultRoutedHeaderBytes bound requests unless the bundle does.
	defaultRoutedBodyBytes   = 4 << 20
	defaultRoutedHeaderBytes = 32 << 10
	// headerSeparatorBytes is what a header takes at least beside its name and value: a colon and the end of the line.
	headerSeparatorBytes = 3
)

// routeAPI serves the callers of HTTP routes.
type routeAPI struct {
	service *Service
	dialect dialect.Dialect
}

// ServeHTTP implements http.Handler: it forwards one request to its session's owner and a server's answer
// back, both unchanged.
func (a *routeAPI) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	open := a.service.routeRequests.begin()
	defer open.end()
	accepted, err := a.accept(writer, request)
	open.advance(stageUnanswered)
	if err != nil {
		writeRoutedFailure(writer, failure.From(err))
		return
	}
	ctx, cancel := a.service.clock.WithTimeout(request.Context(), accepted.timeLeft+routedAnswerSlack)
	defer cancel()
	if accepted.http.GetKind() == protocol.HttpRouteKind_HTTP_STREAMING {
		a.serveStream(ctx, writer, accepted, open)
		return
	}
	a.serveCall(ctx, writer, accepted)
}

// routedAnswerSlack is how long after the request's deadline an ingress still waits for the owner's answer.
const routedAnswerSlack = 100 * time.Millisecond

// acceptedRequest is a request of an HTTP route with what its headers state.
type acceptedRequest struct {
	http    *protocol.HttpRequest
	id      string
	program string
	session string
	// previous is the request id of the turn continued.
	previous string
	// step is the training step that a turn generates for.
	step string
	// model is the model that the step is named with; empty leaves the choice to the group.
	model           string
	budget          uint64
	maxOutputTokens uint32
	timeLeft        time.Duration
}

// accept finds the route and reads the request within the bounds of the bundle in force.
func (a *routeAPI) accept(writer http.ResponseWriter, request *http.Request) (*acceptedRequest, error) {
	index, waited := a.awaitBundle(request)
	if index.Bundle() == nil {
		return nil, failure.New(failure.NotReady, protocol.Outcome_NOT_RUN, "no bundle is in force yet",
			failure.WithRetryAfter(a.service.remainingStartup()))
	}
	route := index.HTTPRoute(request.Host, request.URL.EscapedPath())
	if route == nil {
		return nil, failure.New(failure.UnknownRoute, protocol.Outcome_NOT_RUN, "no route has this host and path",
			failure.WithPath(request.URL.Path))
	}
	limits := index.Bundle().GetLimits()
	if headerBytes(request.Header) > cmp.Or(uint64(limits.GetMaxHeaderBytes()), defaultRoutedHeaderBytes) {
		return nil, failure.New(failure.HeaderTooLarge, protocol.Outcome_NOT_RUN, "the header is too large")
	}
	deadline := a.service.clock.Now().Add(a.requestTimeout(request.Header, route) - waited)
	maxBytes := int64(cmp.Or(limits.GetMaxBodyBytes(), defaultRoutedBodyBytes))
	body, err := a.readBody(writer, request, maxBytes, deadline)
	if err != nil {
		return nil, err
	}
	return a.read(request, index, route, body, deadline)
}

// readBody reads the body until the request's deadline. A request whose body does not arrive in time was not run.
func (a *routeAPI) readBody(
	writer http.ResponseWriter, request *http.Request, maxBytes int64, deadline time.Time,
) ([]byte, error) {
	if request.Body == nil || request.Body == http.NoBody {
		return nil, nil
	}
	ctx, cancel := a.service.clock.WithTimeout(request.Context(), deadline.Sub(a.service.clock.Now()))
	defer cancel()
	controller := http.NewResponseController(writer)
	stopWatching := context.AfterFunc(ctx, func() { _ = controller.SetReadDeadline(pastDeadline) })
	httpguard.AccountBody(ctx, request)
	body, err := callerapi.ReadBody(request, maxBytes)
	inTime := stopWatching()
	if err == nil {
		if !inTime {
			_ = controller.SetReadDeadline(time.Time{})
		}
		return body, nil
	}
	// What is left of the body is not read.
	writer.Header().Set("Connection", "close")
	if !inTime {
		return nil, deadlinePassed()
	}
	return nil, err
}

// pastDeadline ends a read at once.
var pastDeadline = time.Unix(1, 0)

func deadlinePassed() error {
	return failure.New(failure.DeadlineExceeded, protocol.Outcome_NOT_RUN, "the caller's time is over")
}

func headerBytes(header http.Header) uint64 {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + headerSeparatorBytes
		}
	}
	return uint64(total)
}

// read parses the headers.
func (a *routeAPI) read(
	request *http.Request, index *bundle.Index, route *protocol.HttpRoute, body []byte, deadline time.Time,
) (*acceptedRequest, error) {
	header := request.Header
	accepted := &acceptedRequest{
		id: header.Get(a.dialect.RequestID), program: header.Get(a.dialect.Program), session: header.Get(a.dialect.Session),
		previous: header.Get(a.dialect.PreviousTurn),
	}
	if len(accepted.id) > callerapi.MaxIdentifierBytes || len(accepted.program) > callerapi.MaxIdentifierBytes ||
		len(accepted.session) > callerapi.MaxIdentifierBytes || len(accepted.previous) > callerapi.MaxIdentifierBytes {
		return nil, callerapi.TooLong("header")
	}
	if accepted.id == "" {
		accepted.id = "req_" + callerapi.RandomID()
		header.Set(a.dialect.RequestID, accepted.id)
	}
	if accepted.session == "" {
		accepted.session = accepted.program
	}
	if accepted.program == "" {
		accepted.program = accepted.session
	}
	if ledger.IsReservedProgram(accepted.program) {
		return nil, callerapi.ReservedProgram()
	}
	if route.GetStateful() && accepted.program == "" {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "a turn of this route must name its program",
			failure.WithPath("program"))
	}
	if err := a.readStep(accepted, header, route); err != nil {
		return nil, err
	}
	accepted.timeLeft = deadline.Sub(a.service.clock.Now())
	if accepted.timeLeft <= 0 {
		return nil, deadlinePassed()
	}
	accepted.budget = headerNumber(header, a.dialect.TokenBudget)
	prompt, maxOutputTokens := tokenUsage(header.Get(a.dialect.TokenUsage))
	accepted.maxOutputTokens = maxOutputTokens
	group := bundle.PickTarget(route, xxhash.Sum64String(cmp.Or(accepted.program, accepted.id)))
	accepted.http = &protocol.HttpRequest{
		Route: route.GetName(), Group: group, Kind: route.GetKind(), Method: request.Method, Target: requestTarget(request),
		Host: request.Host, Headers: httpheader.EndToEnd(header, a.dialect.TimeLeft, a.dialect.TargetServer), Body: body,
		MaxAttempts: max(route.GetMaxAttempts(), 1), Rank: route.GetRank(),
		LatencyObjectiveMillis: route.GetLatencyObjectiveMillis(),
		Stateful:               route.GetStateful(), Resumable: route.GetResumable(), KeepMillis: route.GetKeepMillis(),
		BundleVersion: index.Bundle().GetVersion(), Affinity: a.affinityKey(header, route),
		PromptParts: promptParts(header.Get(a.dialect.PromptParts)), PromptTokens: prompt,
		ProgramTimeLeftMillis: uint32(min(headerNumber(header, a.dialect.ProgramTimeLeft), callerapi.MaxTimeoutMillis)),
		EventTokens:           index.Group(group).GetEngine().GetEventTokens(),
	}
	return accepted, nil
}

// affinityKey names the object that a request concerns, on routes whose servers are faster for an object in
// their cache.
func (a *routeAPI) affinityKey(header http.Header, route *protocol.HttpRoute) string {
	if !route.GetSticky() {
		return ""
	}
	return header.Get(a.dialect.Affinity)
}

// requestTarget is the path and query, unchanged.
func requestTarget(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// requestTimeout is how long a request may take: as long as its caller waits and its route allows.
func (a *routeAPI) requestTimeout(header http.Header, route *protocol.HttpRoute) time.Duration {
	allowed := time.Duration(route.GetTimeoutMillis()) * time.Millisecond
	requested, given := parseInteger(header.Get(a.dialect.TimeLeft))
	if !given {
		return allowed
	}
	return min(allowed, time.Duration(min(requested, callerapi.MaxTimeoutMillis))*time.Millisecond)
}

// parseInteger reads an integer, or a decimal number without its fraction; false when there is none.
func parseInteger(text string) (uint64, bool) {
	integer, _, _ := strings.Cut(text, ".")
	number, err := strconv.ParseInt(integer, 10, 64)
	return uint64(max(number, 0)), err == nil
}

// headerNumber reads a header as parseInteger does; zero when there is none.
func headerNumber(header http.Header, name string) uint64 {
	number, given := parseInteger(header.Get(name))
	if !given {
		return 0
	}
	return number
}

// tokenUsage reads "PROMPT,MOST".
func tokenUsage(text string) (prompt, maxOutput uint32) {
	first, second, _ := strings.Cut(text, ",")
	promptTokens, _ := strconv.ParseUint(strings.TrimSpace(first), 10, 31)
	maxTokens, _ := strconv.ParseUint(strings.TrimSpace(second), 10, 31)
	return uint32(promptTokens), uint32(maxTokens)
}

const maxPromptParts = 256

// promptParts reads "ID:TOKENS,...".
func promptParts(text string) []*protocol.PromptPart {
	if text == "" {
		return nil
	}
	var parts []*protocol.PromptPart
	for part := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		count, _ := strconv.ParseUint(tokens, 10, 31)
		parts = append(parts, &protocol.PromptPart{Id: id, Tokens: uint32(count)})
		if len(parts) == maxPromptParts {
			break
		}
	}
	return parts
}
