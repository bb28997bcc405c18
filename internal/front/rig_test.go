package front_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/bundle"
	"github.com/rosestand/rosestand/internal/corelink"
	"github.com/rosestand/rosestand/internal/directory"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/front"
	"github.com/rosestand/rosestand/internal/ledger"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/wire"
)

func TestFront(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "front")
}

// manualClock moves only when a story says so.
type manualClock struct {
	mutex  sync.Mutex
	now    time.Time
	alarms []alarm
}

type alarm struct {
	at   time.Time
	ring chan time.Time
}

func (c *manualClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *manualClock) After(wait time.Duration) <-chan time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	set := alarm{at: c.now.Add(wait), ring: make(chan time.Time, 1)}
	c.alarms = append(c.alarms, set)
	return set.ring
}

func (c *manualClock) advance(by time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(by)
	kept := c.alarms[:0]
	for _, set := range c.alarms {
		if set.at.After(c.now) {
			kept = append(kept, set)
			continue
		}
		set.ring <- c.now
	}
	c.alarms = kept
}

// memoryLedger decides by the real rules over records in memory.
type memoryLedger struct {
	clock *manualClock
	mutex sync.Mutex
	// down makes every operation unavailable; seen counts them by kind.
	down bool
	// unreachable is what the client says of every program, and cutOff of its front node.
	unreachable, cutOff atomic.Bool
	// holdRefusals, when set, keeps tombstones back until it is closed.
	holdRefusals chan struct{}
	// intercept, when set, may answer an operation in the ledger's place; nil lets it through.
	intercept func(operation *protocol.LedgerOperation) *protocol.LedgerResult
	seen      map[string]int
	programs  map[string]*protocol.ProgramRecord
	calls     map[string]*protocol.CallRecord
	turns     map[string]*protocol.Turn
}

func (l *memoryLedger) Do(_ context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	if l.holdRefusals != nil && operation.GetRefuseRequest() != nil {
		<-l.holdRefusals
	}
	if l.intercept != nil {
		if result := l.intercept(operation); result != nil {
			return result, nil
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seen[strings.TrimPrefix(fmt.Sprintf("%T", operation.GetBody()), "*protocol.LedgerOperation_")]++
	if l.down {
		return ledger.Answer(protocol.LedgerStatus_LEDGER_UNAVAILABLE), nil
	}
	operation = proto.CloneOf(operation)
	if read := operation.GetReadTurns(); read != nil {
		return l.read(operation.GetProgram(), read), nil
	}
	if find := operation.GetFindTurn(); find != nil {
		return l.find(find.GetTurnId()), nil
	}
	if call := ledger.CallOf(operation); call != "" {
		key := operation.GetProgram() + "/" + call
		changed, result := ledger.ApplyCall(l.calls[key], operation, l.clock.Now())
		if changed != nil {
			l.calls[key] = changed
		}
		return result, nil
	}
	if settle := operation.GetSettleTurn(); settle != nil {
		l.turns[settle.GetTurn().GetId()] = settle.GetTurn()
	}
	changed, result := ledger.Apply(l.programs[operation.GetProgram()], operation, l.clock.Now())
	if changed != nil {
		l.programs[operation.GetProgram()] = changed
	}
	return result, nil
}

// DoDirectly carries an operation out for another front node.
func (l *memoryLedger) DoDirectly(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	return l.Do(ctx, operation)
}

// Unreachable reports what the story says.
func (l *memoryLedger) Unreachable(string) bool { return l.unreachable.Load() }

// CutOff reports what the story says.
func (l *memoryLedger) CutOff() bool { return l.cutOff.Load() }

// read follows a chain within one program, as stores do.
func (l *memoryLedger) read(program string, read *protocol.ReadTurns) *protocol.LedgerResult {
	result := ledger.Answer(protocol.LedgerStatus_LEDGER_OK)
	for next := read.GetLastTurn(); next != "" && len(result.Turns) < int(read.GetLimit()); {
		kept := l.turns[next]
		if kept == nil || kept.GetProgram() != program {
			return ledger.Answer(protocol.LedgerStatus_LEDGER_TURN_MISSING)
		}
		result.Turns = append(result.Turns, kept)
		next = kept.GetPreviousTurn()
		if kept.GetPreviousProgram() != "" {
			next = ""
		}
	}
	return result
}

// find looks a turn up in all programs.
func (l *memoryLedger) find(id string) *protocol.LedgerResult {
	kept := l.turns[id]
	if kept == nil {
		return ledger.Answer(protocol.LedgerStatus_LEDGER_TURN_MISSING)
	}
	result := ledger.Answer(protocol.LedgerStatus_LEDGER_OK)
	result.Turns = []*protocol.Turn{kept}
	return result
}

// turn gives a kept turn, or nil.
func (l *memoryLedger) turn(id string) *protocol.Turn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.turns[id]
}

func (l *memoryLedger) setDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

func (l *memoryLedger) count(kind string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.seen[kind]
}

func (l *memoryLedger) program(name string) *protocol.ProgramRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.programs[name]
}

// fakeLink holds a view and answers for the core.
type fakeLink struct {
	mutex       sync.Mutex
	view        *corelink.View
	subscribers []func(*corelink.View)
	core        func(*protocol.Request) (*protocol.Response, error)
	draining    atomic.Bool
}

func (l *fakeLink) View() *corelink.View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.view
}

func (l *fakeLink) Subscribe(subscriber func(*corelink.View)) {
	l.subscribers = append(l.subscribers, subscriber)
}

func (l *fakeLink) put(view *corelink.View) {
	l.mutex.Lock()
	l.view = view
	l.mutex.Unlock()
	for _, subscriber := range l.subscribers {
		subscriber(view)
	}
}

func (l *fakeLink) Authority() *corelink.Authority { return &corelink.Authority{} }
func (l *fakeLink) Ready() bool                    { return true }
func (l *fakeLink) SetDraining(draining bool)      { l.draining.Store(draining) }
func (l *fakeLink) LocateCore() *protocol.LocateCoreResponse {
	return &protocol.LocateCoreResponse{LeaderAddress: "core"}
}

func (l *fakeLink) CallCore(_ context.Context, request *protocol.Request) (*protocol.Response, error) {
	l.mutex.Lock()
	answer := l.core
	l.mutex.Unlock()
	return answer(request)
}

// fakeOwnership owns every session that owners does not name.
type fakeOwnership struct {
	mutex       sync.Mutex
	self        string
	owners      map[string]string
	forgotten   map[string]int
	incarnation uint64
	revoked     atomic.Bool
	refuse      error
	// resolving, when set, is called while an owner is looked up.
	resolving func()
}

func (o *fakeOwnership) Resolve(_ context.Context, session, _ string) (directory.Owner, error) {
	if o.resolving != nil {
		o.resolving()
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	owner := o.owners[session]
	if owner == "" {
		owner = o.self
	}
	return directory.Owner{Name: owner, Address: owner, Local: owner == o.self, PartitionHolder: "holder", ViewVersion: 3}, nil
}

func (o *fakeOwnership) Begin(string, string) (front.Grant, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.refuse != nil {
		return nil, o.refuse
	}
	return &fakeGrant{ownership: o, incarnation: o.incarnation}, nil
}

func (o *fakeOwnership) setOwner(session, owner string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.owners[session] = owner
}

func (o *fakeOwnership) Forget(session string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.forgotten[session]++
}

func (o *fakeOwnership) OwnerLost(session, _ string, _ error) { o.Forget(session) }

func (o *fakeOwnership) Fenced(session string)       { o.Forget(session) }
func (o *fakeOwnership) OnYield(func(string))        {}
func (o *fakeOwnership) Drain(context.Context) error { return nil }
func (o *fakeOwnership) ServeDirectory(context.Context, *protocol.Request) (*protocol.Response, error) {
	return &protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: &protocol.LookupSessionResponse{}}}, nil
}

type fakeGrant struct {
	ownership   *fakeOwnership
	incarnation uint64
}

func (g *fakeGrant) Valid() bool         { return !g.ownership.revoked.Load() }
func (g *fakeGrant) Incarnation() uint64 { return g.incarnation }
func (g *fakeGrant) End()                {}

// network carries requests between the services of a story.
type network struct {
	mutex sync.Mutex
	peers map[string]wire.Handler
	// cut breaks the stream to an address after so many answers.
	cut map[string]int
	// cutWhen delays the break until it is closed.
	cutWhen map[string]chan struct{}
	// unreachable addresses take nothing.
	unreachable map[string]bool
}

func (n *network) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	stream, err := n.Open(ctx, address, request)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	return stream.Receive()
}

func (n *network) Open(ctx context.Context, address string, request *protocol.Request) (wire.Stream, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	peer := n.peers[address]
	if peer == nil || n.unreachable[address] {
		return nil, &wire.NotSentError{Address: address, Cause: io.ErrClosedPipe}
	}
	ctx, cancel := context.WithCancel(ctx)
	left, limited := n.cut[address]
	delete(n.cut, address)
	stream := &memoryStream{address: address, answers: make(chan *protocol.Response, 4096), cancel: cancel, limited: limited, left: left, when: n.cutWhen[address]}
	go func() {
		stream.err = peer.Serve(ctx, proto.CloneOf(request), func(response *protocol.Response) error {
			stream.answers <- proto.CloneOf(response)
			return ctx.Err()
		})
		close(stream.answers)
	}()
	return stream, nil
}

type memoryStream struct {
	address string
	answers chan *protocol.Response
	err     error
	cancel  context.CancelFunc
	limited bool
	left    int
	when    chan struct{}
}

func (s *memoryStream) Receive() (*protocol.Response, error) {
	if s.limited && s.left == 0 {
		if s.when != nil {
			<-s.when
		}
		return nil, &wire.BrokenError{Address: s.address, Cause: io.ErrUnexpectedEOF}
	}
	s.left--
	answer, more := <-s.answers
	if more {
		return answer, nil
	}
	if s.err != nil {
		return nil, &failure.Error{Failure: failure.From(s.err)}
	}
	return nil, io.EOF
}

func (s *memoryStream) Close() { s.cancel() }

// rig is one or more front nodes over one ledger and one network.
type rig struct {
	clock   *manualClock
	ledger  *memoryLedger
	network *network
	view    *corelink.View
	nodes   map[string]*node
	stall   time.Duration

	loadMutex sync.Mutex
	// loads are the reports that servers give; loadAsked counts how often they were asked.
	loads     map[string]string
	loadAsked map[string]int
}

type node struct {
	service   *front.Service
	link      *fakeLink
	ownership *fakeOwnership
	server    *httptest.Server
	// routes serves callers of HTTP routes once a story asks for it.
	routes *httptest.Server
}

const (
	tenant = "caroni"
	model  = "climate-advisor"
)

func newRig() *rig {
	clock := &manualClock{now: time.Unix(1_000_000, 0)}
	configuration := &protocol.Configuration{Version: 1, Active: bundle.Default(5)}
	return &rig{
		clock: clock, nodes: map[string]*node{}, loads: map[string]string{}, loadAsked: map[string]int{},
		ledger: &memoryLedger{
			clock: clock, seen: map[string]int{}, programs: map[string]*protocol.ProgramRecord{},
			calls: map[string]*protocol.CallRecord{}, turns: map[string]*protocol.Turn{},
		},
		network: &network{peers: map[string]wire.Handler{}, cut: map[string]int{}, cutWhen: map[string]chan struct{}{}, unreachable: map[string]bool{}},
		view: &corelink.View{
			Configuration: configuration, Membership: &protocol.MembershipView{}, BackEnds: &protocol.BackEndView{Version: 1},
		},
	}
}

// front adds a front node.
func (r *rig) front(name string) *node {
	n := &node{
		link:      &fakeLink{view: r.view},
		ownership: &fakeOwnership{self: name, owners: map[string]string{}, forgotten: map[string]int{}, incarnation: 1},
	}
	n.service = front.New(front.Options{
		Self: &protocol.Node{Name: name, Zone: "z1"}, Link: n.link, Ledger: r.ledger, Ownership: n.ownership,
		Caller: r.network, Clock: r.clock, Logger: log.New(io.Discard), StallTimeout: r.stall,
	})
	Expect(n.service.Start(context.Background())).To(Succeed())
	engine := gin.New()
	n.service.Register(engine, 1<<20)
	n.server = httptest.NewServer(engine)
	r.network.peers[name] = n.service
	r.nodes[name] = n
	DeferCleanup(func() {
		n.server.Close()
		Expect(n.service.Stop(context.Background())).To(Succeed())
	})
	return n
}

// backEnd adds a server behind all front nodes added before.
func (r *rig) backEnd(id string, kind protocol.BackEndKind, handler http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// net/http sees a caller leave only once the body was read.
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/load" {
			// A report of the load is no run.
			r.loadReport(writer, id)
			return
		}
		handler(writer, request)
	}))
	DeferCleanup(server.Close)
	description := &protocol.BackEnd{
		Id: id, Kind: kind, State: protocol.BackEndState_READY, Address: strings.TrimPrefix(server.URL, "http://"),
		Zone: "z1", Group: bundle.GroupAdvisors, Models: []string{model}, Incarnation: 1, Capacity: 16,
	}
	if kind == protocol.BackEndKind_TOOL_SERVER {
		description.Group, description.Models = bundle.GroupTechnicians, nil
		description.Tools = []string{bundle.ToolValvePlan, bundle.ToolSensorData}
	}
	next := proto.CloneOf(r.view.BackEnds)
	next.Version++
	next.BackEnds = append(next.BackEnds, description)
	r.put(&corelink.View{Configuration: r.view.Configuration, Membership: r.view.Membership, BackEnds: next})
}

// loadReport answers GET /load with what the story says of the server.
func (r *rig) loadReport(writer http.ResponseWriter, id string) {
	r.loadMutex.Lock()
	defer r.loadMutex.Unlock()
	r.loadAsked[id]++
	report, told := r.loads[id]
	if !told {
		report = `{"running":0,"queued":0,"capacity":16}`
	}
	_, _ = io.WriteString(writer, report)
}

func (r *rig) tellLoad(id, report string) {
	r.loadMutex.Lock()
	defer r.loadMutex.Unlock()
	r.loads[id] = report
}

func (r *rig) asked(id string) int {
	r.loadMutex.Lock()
	defer r.loadMutex.Unlock()
	return r.loadAsked[id]
}

func (r *rig) put(view *corelink.View) {
	r.view = view
	for _, n := range r.nodes {
		n.link.put(view)
	}
}

// modelAnswer streams words as an OpenAI-compatible server does.
func modelAnswer(words ...string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writeWords(writer, words...)
		finishAnswer(writer, request, len(words))
	}
}

func writeWords(writer http.ResponseWriter, words ...string) {
	for _, word := range words {
		chunk, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"delta": map[string]any{"content": word}}}})
		fmt.Fprintf(writer, "data: %s\n\n", chunk)
		writer.(http.Flusher).Flush()
	}
}

func finishAnswer(writer http.ResponseWriter, request *http.Request, count int) {
	usage := map[string]any{
		"prompt_tokens": 7, "completion_tokens": count, "prompt_tokens_details": map[string]any{"cached_tokens": 3},
	}
	chunk, _ := json.Marshal(map[string]any{"choices": []any{}, "usage": usage, "nonce": request.Header.Get("Rosestand-Nonce")})
	fmt.Fprintf(writer, "data: %s\n\ndata: [DONE]\n\n", chunk)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   map[string]any
	text   string
}

func (a answer) errorCode() string     { return field(a.body, "error", "code") }
func (a answer) outcome() string       { return field(a.body, "error", "outcome") }
func (a answer) at(p ...string) string { return field(a.body, p...) }

func field(value any, path ...string) string {
	for _, name := range path {
		object, isObject := value.(map[string]any)
		if !isObject {
			return ""
		}
		value = object[name]
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

type headers map[string]string

func (n *node) do(method, path, body string, set headers) answer {
	response := n.open(context.Background(), method, path, body, set)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	got := answer{status: response.StatusCode, header: response.Header, text: string(text)}
	_ = json.Unmarshal(text, &got.body)
	return got
}

func (n *node) open(ctx context.Context, method, path, body string, set headers) *http.Response {
	request, err := http.NewRequestWithContext(ctx, method, n.server.URL+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Rosestand-Tenant", tenant)
	for name, value := range set {
		request.Header.Set(name, value)
	}
	response, err := n.server.Client().Do(request)
	Expect(err).NotTo(HaveOccurred())
	return response
}

func (n *node) turn(body string, set headers) answer {
	return n.do(http.MethodPost, "/v1/responses", body, set)
}

func turnBody(conversation, rest string) string {
	return fmt.Sprintf(`{"model":%q,"program":"p1","conversation":%q,"input":"hello"%s}`, model, conversation, rest)
}

// sseEvent is one event of a stream.
type sseEvent struct {
	id   string
	kind string
	data map[string]any
}

// readEvents reads the events of a stream until it ends or count were read.
func readEvents(reader *bufio.Reader, count int) []sseEvent {
	var events []sseEvent
	var current sseEvent
	for len(events) < count {
		line, err := reader.ReadString('\n')
		if err != nil {
			return events
		}
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch name {
		case "id":
			current.id = value
		case "event":
			current.kind = value
		case "data":
			Expect(json.Unmarshal([]byte(value), &current.data)).To(Succeed())
		case "":
			events = append(events, current)
			current = sseEvent{}
		}
	}
	return events
}

func ids(events []sseEvent) []string {
	var all []string
	for _, event := range events {
		all = append(all, event.id)
	}
	return all
}
