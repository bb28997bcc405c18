package front_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

func TestFront(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "front")
}

// rig is one or more front nodes over one ledger and one network.
type rig struct {
	clock   *manualClock
	ledger  *memoryLedger
	network *network
	view    *corelink.View
	nodes   map[string]*node
	stall   time.Duration

	loadMutex sync.Mutex
	// loads are the load reports of servers; loadRequests counts the requests for them.
	loads        map[string]string
	loadRequests map[string]int
	// watched, if any, answers front nodes added later that watch for suspects.
	watched func(context.Context, *protocol.WatchSuspectsRequest) (*protocol.WatchSuspectsResponse, error)
}

type node struct {
	service   *front.Service
	link      *fakeLink
	ownership *fakeOwnership
	server    *httptest.Server
	// routes serves callers of HTTP routes once a spec uses it.
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
		clock: clock, nodes: map[string]*node{}, loads: map[string]string{}, loadRequests: map[string]int{},
		ledger: &memoryLedger{
			clock: clock, operationCounts: map[string]int{}, programs: map[string]*protocol.ProgramRecord{},
			calls: map[string]*protocol.CallRecord{}, turns: map[string]*protocol.Turn{},
		},
		network: &network{
			peers: map[string]wire.Handler{}, partitioned: map[string]int{},
			partitionWhen: map[string]chan struct{}{}, unreachable: map[string]bool{},
		},
		view: &corelink.View{
			Configuration: configuration, Membership: &protocol.MembershipView{}, BackEnds: &protocol.BackEndView{Version: 1},
		},
	}
}

// front adds a front node.
func (r *rig) front(name string) *node { return r.frontWith(name, r.ledger) }

// frontWith adds a front node with a ledger of its own.
func (r *rig) frontWith(name string, ledger front.Ledger) *node {
	n := &node{
		link:      &fakeLink{view: r.view, watched: r.watched},
		ownership: &fakeOwnership{self: name, owners: map[string]string{}, forgotten: map[string]int{}, incarnation: 1},
	}
	n.service = front.New(front.Options{
		Self: &protocol.Node{Name: name, Zone: "z1"}, Link: n.link, Ledger: ledger, Ownership: n.ownership,
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
		// net/http detects that a caller disconnected only once the body was read.
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/load" {
			// A load report is not a run.
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

// loadReport answers GET /load with the load that the spec has set for the server.
func (r *rig) loadReport(writer http.ResponseWriter, id string) {
	r.loadMutex.Lock()
	defer r.loadMutex.Unlock()
	r.loadRequests[id]++
	report, reported := r.loads[id]
	if !reported {
		report = `{"running":0,"queued":0,"capacity":16}`
	}
	_, _ = io.WriteString(writer, report)
}

func (r *rig) setLoad(id, report string) {
	r.loadMutex.Lock()
	defer r.loadMutex.Unlock()
	r.loads[id] = report
}

func (r *rig) loadRequestCount(id string) int {
	r.loadMutex.Lock()
	defer r.loadMutex.Unlock()
	return r.loadRequests[id]
}

func (r *rig) put(view *corelink.View) {
	r.view = view
	for _, n := range r.nodes {
		n.link.put(view)
	}
}
