package front_test

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

// fakeLink has a view and answers for the core.
type fakeLink struct {
	mutex       sync.Mutex
	view        *corelink.View
	subscribers []func(*corelink.View)
	core        func(*protocol.Request) (*protocol.Response, error)
	draining    atomic.Bool
	// shared, if any, answers reports of server outcomes; without it no server is suspected.
	shared func(*protocol.ShareOutcomesRequest) (*protocol.ShareOutcomesResponse, error)
	// watched, if any, answers requests to watch suspects; without it there are never new ones.
	watched func(context.Context, *protocol.WatchSuspectsRequest) (*protocol.WatchSuspectsResponse, error)
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
func (l *fakeLink) SetOwning()                     {}
func (l *fakeLink) SetDraining(draining bool)      { l.draining.Store(draining) }
func (l *fakeLink) LocateCore() *protocol.LocateCoreResponse {
	return &protocol.LocateCoreResponse{LeaderAddress: "core"}
}

// answerWith sets the answers of the core; the goroutines of the service may read them already.
func (l *fakeLink) answerWith(core func(*protocol.Request) (*protocol.Response, error)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.core = core
}

func (l *fakeLink) CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	l.mutex.Lock()
	answer, shared, watched := l.core, l.shared, l.watched
	l.mutex.Unlock()
	if watch := request.GetWatchSuspects(); watch != nil {
		if watched == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		response, err := watched(ctx, watch)
		return &protocol.Response{Body: &protocol.Response_WatchSuspects{WatchSuspects: response}}, err
	}
	if report := request.GetShareOutcomes(); report != nil {
		response := &protocol.ShareOutcomesResponse{}
		var err error
		if shared != nil {
			response, err = shared(report)
		}
		return &protocol.Response{Body: &protocol.Response_ShareOutcomes{ShareOutcomes: response}}, err
	}
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
	beginError  error
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
	return directory.Owner{Name: owner, Address: owner, Local: owner == o.self, PartitionHolder: "holder", ViewVersion: 3},
		nil
}

func (o *fakeOwnership) Begin(string) (front.Grant, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.beginError != nil {
		return nil, o.beginError
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
	return &protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: &protocol.LookupSessionResponse{}}},
		nil
}

type fakeGrant struct {
	ownership   *fakeOwnership
	incarnation uint64
}

func (g *fakeGrant) Valid() bool         { return !g.ownership.revoked.Load() }
func (g *fakeGrant) Incarnation() uint64 { return g.incarnation }
func (g *fakeGrant) End()                {}
