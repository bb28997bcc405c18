package directory_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	virtualNodes   = 4
	step           = 5 * time.Millisecond
	settleTime     = 3 * time.Second
	resolveTimeout = 2 * time.Second
)

// fleet is a set of directories in memory, on a virtual clock, whose calls to each other take no time.
type fleet struct {
	now     time.Time
	version uint64
	nodes   map[string]*member
	names   []string
	// intercept may return the response to a call instead of the called node; handled is false to let the call through.
	intercept func(from, to string, request *protocol.Request) (response *protocol.Response, handled bool)
	sent      []*protocol.Request
	// failure is that of a call without a response. It is CallInconclusive by default, so that only a view shows the loss
	// of a node.
	failure directory.CallFailure
}

// member is one front node of the fleet.
type member struct {
	fleet     *fleet
	self      ring.Member
	directory *directory.Directory
	authority bool
	draining  bool
	// freshStart is true if views show that the node has owned no session.
	freshStart bool
	down       bool
	resolved   map[uint64]directory.Resolved
	yielded    []directory.Yielded
	ticket     uint64
}

func newFleet(names ...string) *fleet {
	f := &fleet{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), version: 10, nodes: make(map[string]*member)}
	for _, name := range names {
		f.add(name)
	}
	f.publish(names...)
	f.settle()
	return f
}

func (f *fleet) add(name string) *member {
	return f.addWithPolicy(name, directory.Policy{})
}

func (f *fleet) addWithPolicy(name string, policy directory.Policy) *member {
	self := ring.Member{Name: name, Address: name + ":1", Incarnation: f.version}
	added := &member{
		fleet: f, self: self, authority: true, resolved: make(map[uint64]directory.Resolved),
		directory: directory.New(directory.Options{Self: self, Policy: policy, Random: rand.New(rand.NewPCG(1, 2))}),
	}
	f.nodes[name] = added
	f.names = append(f.names, name)
	slices.Sort(f.names)
	return added
}

// view returns a view of the current membership under the next version.
func (f *fleet) view() directory.View {
	f.version++
	var fronts []directory.Front
	for _, name := range f.names {
		if node := f.nodes[name]; !node.down {
			fronts = append(fronts, directory.Front{Member: node.self, Draining: node.draining, FreshStart: node.freshStart})
		}
	}
	return directory.NewView(f.version, fronts, virtualNodes)
}

// publish delivers a view of the current membership to the given nodes only.
func (f *fleet) publish(names ...string) directory.View {
	view := f.view()
	f.deliver(view, names...)
	return view
}

func (f *fleet) deliver(view directory.View, names ...string) {
	for _, name := range names {
		f.nodes[name].handle(directory.ViewChanged{View: view})
	}
}

// settle advances the clock until all pending work has ended.
func (f *fleet) settle() { f.advance(settleTime) }

func (f *fleet) advance(time time.Duration) {
	for range int(time / step) {
		f.now = f.now.Add(step)
		for _, name := range f.names {
			if node := f.nodes[name]; !node.down {
				node.handle(directory.Ticked{})
			}
		}
	}
}

func (m *member) moment() directory.Moment {
	return directory.Moment{Now: m.fleet.now, Authority: m.authority && !m.down}
}

func (m *member) handle(event directory.Event) { m.execute(m.directory.Handle(m.moment(), event)) }

func (m *member) execute(commands []directory.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case directory.Send:
			response, failure := m.fleet.call(m.self.Name, command)
			m.handle(directory.CallEnded{Call: command.Call, Response: response, Failure: failure})
		case directory.Resolved:
			m.resolved[command.Ticket] = command
		case directory.Yielded:
			m.yielded = append(m.yielded, command)
		}
	}
}

func (f *fleet) call(from string, command directory.Send) (*protocol.Response, directory.CallFailure) {
	f.sent = append(f.sent, command.Request)
	if f.intercept != nil {
		if response, handled := f.intercept(from, command.Name, command.Request); handled {
			return response, f.failure
		}
	}
	target := f.nodes[command.Name]
	if target == nil || target.down || !target.authority {
		return nil, f.failure
	}
	return target.serve(command.Request), f.failure
}

func (m *member) serve(request *protocol.Request) *protocol.Response {
	switch body := request.GetBody().(type) {
	case *protocol.Request_LookupSession:
		return m.serveLookup(body.LookupSession)
	case *protocol.Request_RegisterSessions:
		answer, commands := m.directory.ServeRegister(m.moment(), body.RegisterSessions)
		m.execute(commands)
		return &protocol.Response{Body: &protocol.Response_RegisterSessions{RegisterSessions: answer}}
	case *protocol.Request_UnregisterSessions:
		answer, commands := m.directory.ServeUnregister(m.moment(), body.UnregisterSessions)
		m.execute(commands)
		return &protocol.Response{Body: &protocol.Response_UnregisterSessions{UnregisterSessions: answer}}
	}
	return nil
}

// serveLookup serves a lookup as the shell does.
func (m *member) serveLookup(request *protocol.LookupSessionRequest) *protocol.Response {
	answer, relay, commands := m.directory.ServeLookup(m.moment(), request)
	m.execute(commands)
	if relay == nil {
		return &protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: answer}}
	}
	relayed := proto.CloneOf(request)
	relayed.Relayed = true
	name := strings.TrimSuffix(relay.Address, ":1")
	response, failure := m.fleet.call(m.self.Name, directory.Send{Name: name, Request: &protocol.Request{
		Body: &protocol.Request_LookupSession{LookupSession: relayed},
	}})
	if response != nil {
		return response
	}
	m.handle(directory.PeerFailed{Address: relay.Address, Failure: failure})
	return m.serveLookup(relayed)
}

// beginResolve requests the owner of a session and returns the ticket of the request.
func (m *member) beginResolve(session string) uint64 {
	m.ticket++
	m.handle(
		directory.ResolveRequested{
			Ticket: m.ticket, Session: session, Program: "program", Deadline: m.fleet.now.Add(resolveTimeout),
		},
	)
	return m.ticket
}

// resolve requests the owner of a session and advances the clock until the request is resolved.
func (m *member) resolve(session string) directory.Resolved {
	ticket := m.beginResolve(session)
	for range int(2 * resolveTimeout / step) {
		if answer, found := m.resolved[ticket]; found {
			return answer
		}
		m.fleet.advance(step)
	}
	panic(fmt.Sprintf("node %s did not resolve session %q within %v", m.self.Name, session, 2*resolveTimeout))
}

func (m *member) owns(session string) bool {
	owned, _ := m.directory.Owns(session)
	return owned
}

// registeredOwner returns the owner of a session in the partition of a node.
func (m *member) registeredOwner(session string) string {
	for _, registration := range m.directory.Registrations() {
		if registration.GetSession() == session {
			return registration.GetOwner()
		}
	}
	return ""
}

// reincarnate handles a loss of authority as the shell does.
func (m *member) reincarnate() {
	m.self.Incarnation = m.fleet.version + 1000
	m.handle(directory.Reincarnated{Incarnation: m.self.Incarnation})
}

// holderOf returns the holder of a session when all nodes are members.
func (f *fleet) holderOf(session string) string {
	var fronts []directory.Front
	for _, name := range f.names {
		fronts = append(fronts, directory.Front{Member: f.nodes[name].self})
	}
	return directory.NewView(1, fronts, virtualNodes).Holder(session)
}

// sessionHeldBy returns a session that the holder holds among the members and, if successor is not empty, that the
// successor holds without the holder.
func sessionHeldBy(members []string, holder, successor string) string {
	find := func(without string) *ring.Ring {
		var list []ring.Member
		for _, name := range members {
			if name != without {
				list = append(list, ring.Member{Name: name, Address: name + ":1"})
			}
		}
		return ring.New(list, virtualNodes)
	}
	all, rest := find(""), find(holder)
	for i := range 100_000 {
		session := fmt.Sprintf("session-%d", i)
		first, _ := all.Holder(ring.Key(session))
		next, _ := rest.Holder(ring.Key(session))
		if first.Name == holder && (successor == "" || next.Name == successor) {
			return session
		}
	}
	panic(fmt.Sprintf("found no session with holder %q and next holder %q among %v", holder, successor, members))
}
