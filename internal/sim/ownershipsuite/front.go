package ownershipsuite

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/directory"
	"github.com/rosestand/rosestand/internal/lease"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/ring"
	"github.com/rosestand/rosestand/internal/sim"
)

const (
	renewInterval = time.Second
	renewTimeout  = time.Second
	resolveWait   = 2 * time.Second
	shortestTick  = 5 * time.Millisecond
	longestTick   = 250 * time.Millisecond
	drainGrace    = 8 * time.Second
	drainWait     = time.Second
	leaseMargin   = 500 * time.Millisecond
)

// front is one life of a front node: the real lease holder and directory with a small owner of turns.
type front struct {
	node
	suite     *suite
	holder    *lease.Holder
	directory *directory.Directory
	viewKnown uint64
	// pollCall is the poll under way.
	pollCall    uint64
	pollStarted time.Time

	tickets    map[uint64]func(directory.Resolved)
	lastTicket uint64
	tickAt     time.Time
	// ticks counts plans for ticks; only the newest counts.
	ticks  int
	epochs map[string]sessionEpoch

	// contacted is true while answers of the core arrive.
	contacted bool
	draining  bool
	// drainingSince is when the drain began, givenUpAt when the last session had been given up.
	drainingSince, givenUpAt time.Time
	released                 bool
	stayOut                  bool
}

// sessionEpoch is what the owner knows of a session it claimed.
type sessionEpoch struct {
	incarnation uint64
	epoch       uint64
	lastTurn    string
}

func (s *suite) buildFront(environment *sim.Environment) (sim.Process, error) {
	incarnation := uint64(environment.Now().UnixMilli())
	name := string(environment.Address())
	f := &front{
		node: newNode(environment), suite: s,
		holder: lease.NewHolder(incarnation, lease.Options{Margin: leaseMargin, ViewLimit: s.viewLimit()}),
		directory: directory.New(directory.Options{
			Self:   ring.Member{Name: name, Address: name, Incarnation: incarnation},
			Policy: s.options.Policy, Random: environment.Random(),
		}),
		tickets: make(map[uint64]func(directory.Resolved)), epochs: make(map[string]sessionEpoch),
	}
	environment.After(0, f.renew)
	environment.After(0, f.poll)
	f.scheduleTick(longestTick)
	return f, nil
}

func (s *suite) viewLimit() time.Duration {
	if s.options.Mutation == MutationKeepPartition {
		return 0
	}
	return leaseDuration
}

// Receive serves requests and takes answers in.
func (f *front) Receive(from sim.Address, message any) {
	received, isPacket := message.(packet)
	if !isPacket {
		return
	}
	if received.reply {
		f.finish(received.id, received.body)
		return
	}
	switch body := received.body.(type) {
	case *protocol.Request:
		f.serveDirectory(body, func(answer *protocol.Response) {
			f.suite.meter.count(f.environment.Address(), from, answer)
			f.reply(from, received.id, answer)
		})
	case turnRequest:
		f.serveTurn(from, received.id, body)
	}
}

// ConnectionBroken makes the peer suspect.
func (f *front) ConnectionBroken(peer sim.Address) {
	f.broken(peer)
	f.handle(directory.PeerBroken{Address: string(peer)})
}

func (f *front) now() time.Time { return f.environment.Now() }

// held is whether this node may act as owner and holder now.
func (f *front) held() bool {
	if f.suite.options.Mutation == MutationKeepAuthority || f.suite.options.Mutation == MutationSilentAuthority {
		return !f.released && !f.holder.Ends().IsZero()
	}
	return f.holder.Held(f.now())
}

func (f *front) self() *protocol.Node {
	return &protocol.Node{
		Name: string(f.environment.Address()), Address: string(f.environment.Address()), Kind: protocol.NodeKind_FRONT,
		Incarnation: f.holder.Incarnation(), Draining: f.draining,
	}
}

func (f *front) renew() {
	if f.released || f.stayOut {
		return
	}
	renewal, lapsed := f.holder.Send(f.now())
	if lapsed && f.suite.options.Mutation == MutationStayOut {
		f.stayOut = true
		return
	}
	f.syncIncarnation()
	f.contacted = f.contacted && !lapsed
	if !f.contacted && f.suite.options.Mutation != MutationNoContact {
		f.contact()
		return
	}
	f.call(coreAddress, &protocol.RenewLeaseRequest{Node: f.self()}, renewTimeout, func(body any) {
		answer, _ := body.(*protocol.RenewLeaseResponse)
		f.renewed(renewal, answer)
	})
}

// contact shows that answers of the core arrive, before a lease is asked for
// that others would wait for.
func (f *front) contact() {
	sentAt := f.now()
	f.call(coreAddress, &protocol.CoreStatusRequest{}, renewTimeout, func(body any) {
		// An answer that lay here while the process was frozen shows nothing.
		if _, answered := body.(*protocol.CoreStatusResponse); answered && f.now().Sub(sentAt) <= renewTimeout {
			f.contacted = true
			f.suite.rules.acted(f.environment.Address())
			f.renew()
			return
		}
		f.environment.After(100*time.Millisecond, f.renew)
	})
}

func (f *front) renewed(renewal lease.Renewal, answer *protocol.RenewLeaseResponse) {
	wait := 100 * time.Millisecond
	f.contacted = answer != nil || f.held()
	if answer != nil {
		f.suite.rules.acted(f.environment.Address())
	}
	switch {
	case answer == nil:
	case !answer.GetGranted():
		f.holder.Refused(f.now(), renewal)
	default:
		duration := time.Duration(answer.GetDurationMillis()) * time.Millisecond
		latest := answer.GetLatest().GetMembership()
		if f.holder.Granted(f.now(), renewal, duration, latest) {
			wait = max(0, renewal.SentAt.Add(renewInterval).Sub(f.now()))
		}
		if latest > f.viewKnown && f.now().Sub(f.pollStarted) > renewInterval {
			// The poll under way was not answered although there is something new; it may have been lost.
			f.finish(f.pollCall, nil)
		}
	}
	f.syncIncarnation()
	f.handle(directory.Ticked{})
	f.environment.After(wait, f.renew)
}

func (f *front) syncIncarnation() {
	if incarnation := f.holder.Incarnation(); incarnation != f.directory.Self().Incarnation {
		f.suite.report.Lapses++
		f.execute(f.directory.Handle(f.moment(), directory.Reincarnated{Incarnation: incarnation}))
	}
}

func (f *front) poll() {
	request := &protocol.PollControlRequest{
		Node: string(f.environment.Address()), WaitMillis: uint32(longPoll.Milliseconds()),
		Known: &protocol.ControlVersions{Membership: f.viewKnown},
	}
	f.pollStarted = f.now()
	f.pollCall = f.call(coreAddress, request, longPoll+time.Second, func(body any) {
		answer, _ := body.(*protocol.PollControlResponse)
		wait := 20 * time.Millisecond
		if answer == nil {
			wait = 200 * time.Millisecond
		}
		f.polled(answer.GetMembership())
		f.environment.After(wait, f.poll)
	})
}

func (f *front) polled(membership *protocol.MembershipView) {
	if membership.GetVersion() <= f.viewKnown {
		return
	}
	f.viewKnown = membership.GetVersion()
	f.suite.meter.view(f.suite.world.Elapsed(), f.environment.Address(), membership)
	if f.deaf() {
		return
	}
	f.handle(directory.ViewChanged{View: f.suite.viewOfMembership(membership)})
	f.holder.ViewRead(membership.GetVersion())
}

// deaf is true for the front node that ignores views under a mutation.
func (f *front) deaf() bool {
	return f.suite.options.Mutation == MutationKeepPartition && f.environment.Address() == f.suite.fronts[0] &&
		f.directory.PartitionSize() > 0
}

func (f *front) tick() {
	f.handle(directory.Ticked{})
	f.checkDrained()
	f.scheduleTick(longestTick)
}

// scheduleTick plans the next tick in place of the one planned before.
func (f *front) scheduleTick(wait time.Duration) {
	if next, pending := f.directory.NextTick(); pending {
		wait = min(max(next.Sub(f.now()), shortestTick), wait)
	}
	f.tickAt = f.now().Add(wait)
	f.ticks++
	planned := f.ticks
	f.environment.After(wait, func() {
		if planned == f.ticks {
			f.tick()
		}
	})
}

func (f *front) moment() directory.Moment {
	return directory.Moment{Now: f.now(), Authority: f.held()}
}

func (f *front) handle(event directory.Event) {
	f.execute(f.directory.Handle(f.moment(), event))
	if f.directory.Pending() && f.tickAt.Sub(f.now()) > shortestTick {
		f.scheduleTick(longestTick)
	}
}

func (f *front) execute(commands []directory.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case directory.Send:
			f.send(command)
		case directory.Resolved:
			if answer := f.tickets[command.Ticket]; answer != nil {
				delete(f.tickets, command.Ticket)
				answer(command)
			}
		case directory.Yielded:
			delete(f.epochs, command.Session)
			f.suite.report.Yields[command.Reason]++
			f.environment.Tracef("yields %s: %s", command.Session, command.Reason)
		case directory.Reregistered:
			f.suite.meter.reregistered(f.suite.world.Elapsed(), command.Waits)
		case directory.Settled:
			f.suite.meter.settled(f.suite.world.Elapsed())
		}
	}
}

func (f *front) send(command directory.Send) {
	if answer := f.mutatedAnswer(command.Request); answer != nil {
		f.environment.After(0, func() { f.handle(directory.Answered{Call: command.Call, Response: answer}) })
		return
	}
	f.suite.meter.count(f.environment.Address(), sim.Address(command.Address), command.Request)
	f.call(sim.Address(command.Address), command.Request, command.Timeout, func(body any) {
		response := f.responseOf(body)
		if f.suite.world.Tracing() {
			f.environment.Tracef("asked %s %v: %v", command.Address, command.Request, response)
		}
		f.handle(directory.Answered{Call: command.Call, Response: f.mutate(response), Failure: f.evidence()})
	})
}

// mutatedAnswer is the answer that a mutation makes up in place of sending a request.
func (f *front) mutatedAnswer(request *protocol.Request) *protocol.Response {
	register := request.GetRegisterSessions()
	if f.suite.options.Mutation != MutationDropRegistrations || register.GetCause() != protocol.RegistrationCause_CAUSE_SALVAGE {
		return nil
	}
	answer := &protocol.RegisterSessionsResponse{ViewVersion: register.GetViewVersion()}
	for _, registration := range register.GetRegistrations() {
		answer.Results = append(answer.Results, &protocol.RegistrationResult{
			Session: registration.GetSession(), Status: protocol.DirectoryStatus_DIRECTORY_OK,
		})
	}
	return &protocol.Response{Body: &protocol.Response_RegisterSessions{RegisterSessions: answer}}
}

func (f *front) mutate(response *protocol.Response) *protocol.Response {
	if f.suite.options.Mutation == MutationKeepDuplicates {
		for _, result := range response.GetRegisterSessions().GetResults() {
			if result.GetStatus() == protocol.DirectoryStatus_DUPLICATE_ACTIVATION {
				result.Status = protocol.DirectoryStatus_DIRECTORY_OK
			}
		}
	}
	return response
}

// responseOf is the response in an answer; nil, with the reason noted, when there is none.
func (f *front) responseOf(body any) *protocol.Response {
	response, answered := body.(*protocol.Response)
	if answered && response == nil {
		f.failure = directory.CallPowerless
	}
	return response
}

// evidence is what the call that is being finished without an answer shows.
func (f *front) evidence() directory.CallFailure {
	if f.suite.options.Mutation == MutationAwaitLeases {
		return directory.CallUnanswered
	}
	return f.failure
}

// serveDirectory answers as holder; without authority the answer is nil.
func (f *front) serveDirectory(request *protocol.Request, reply func(*protocol.Response)) {
	at := f.moment()
	if !at.Authority {
		reply(nil)
		return
	}
	if lookup := request.GetLookupSession(); lookup != nil {
		f.serveLookup(at, lookup, reply)
		return
	}
	if f.suite.options.Mutation == MutationKeepDisplaced && f.isNotice(request) {
		reply(&protocol.Response{Body: &protocol.Response_UnregisterSessions{UnregisterSessions: &protocol.UnregisterSessionsResponse{}}})
		return
	}
	if answer := f.serveChange(at, request); answer != nil {
		reply(answer)
	}
}

// isNotice reports whether a request tells this node that others took its place as the owner.
func (f *front) isNotice(request *protocol.Request) bool {
	for _, registration := range request.GetUnregisterSessions().GetRegistrations() {
		if registration.GetOwner() == string(f.environment.Address()) {
			return true
		}
	}
	return false
}

// serveLookup answers a lookup, or passes it on to a holder that the asking node cannot reach.
func (f *front) serveLookup(at directory.Moment, request *protocol.LookupSessionRequest, reply func(*protocol.Response)) {
	answer, relay, commands := f.directory.ServeLookup(at, request)
	f.execute(commands)
	if relay == nil {
		reply(&protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: answer}})
		return
	}
	passedOn := proto.CloneOf(request)
	passedOn.Relayed = true
	body := &protocol.Request{Body: &protocol.Request_LookupSession{LookupSession: passedOn}}
	f.call(sim.Address(relay.Address), body, relay.Timeout, func(body any) {
		if response := f.responseOf(body); response != nil {
			reply(response)
			return
		}
		f.handle(directory.PeerFailed{Address: relay.Address, Failure: f.evidence()})
		at := f.moment()
		if !at.Authority {
			reply(nil)
			return
		}
		f.serveLookup(at, passedOn, reply)
	})
}

// serveChange takes registrations and withdrawals in.
func (f *front) serveChange(at directory.Moment, request *protocol.Request) *protocol.Response {
	switch body := request.GetBody().(type) {
	case *protocol.Request_RegisterSessions:
		answer, commands := f.directory.ServeRegister(at, body.RegisterSessions)
		f.execute(commands)
		return &protocol.Response{Body: &protocol.Response_RegisterSessions{RegisterSessions: answer}}
	case *protocol.Request_UnregisterSessions:
		answer, commands := f.directory.ServeUnregister(at, body.UnregisterSessions)
		f.execute(commands)
		return &protocol.Response{Body: &protocol.Response_UnregisterSessions{UnregisterSessions: answer}}
	default:
		return nil
	}
}

// beginDrain stops the process gently: hand over, release the lease, exit. The machine starts it again.
func (f *front) beginDrain() {
	if f.draining {
		return
	}
	f.environment.Tracef("drains")
	f.draining = true
	f.drainingSince = f.now()
	f.handle(directory.DrainBegun{})
	f.environment.After(0, f.renew)
	f.environment.After(drainGrace, f.stop)
}

func (f *front) checkDrained() {
	if f.draining && !f.released && (f.directory.Drained() || f.waitedLongEnough()) {
		f.environment.Tracef("drained")
		f.stop()
	}
}

// waitedLongEnough is what the shell decides when the partition could not be handed off in time.
func (f *front) waitedLongEnough() bool {
	if f.directory.OwnedCount() > 0 {
		return false
	}
	if f.givenUpAt.IsZero() {
		f.givenUpAt = f.now()
	}
	return f.now().Sub(f.givenUpAt) >= drainWait
}

func (f *front) stop() {
	if f.released {
		return
	}
	f.suite.report.Drains = append(f.suite.report.Drains, f.now().Sub(f.drainingSince))
	f.released = true
	self := f.self()
	f.holder.Released()
	f.environment.Send(coreAddress, packet{id: 0, body: &protocol.RenewLeaseRequest{Node: self, Release: true}})
	f.environment.After(10*time.Millisecond, func() { f.environment.Exit(nil) })
}

// viewOfMembership returns the shared view of a membership version.
func (s *suite) viewOfMembership(membership *protocol.MembershipView) directory.View {
	view, known := s.views[membership.GetVersion()]
	if !known {
		view = directory.ViewOf(membership, ring.DefaultVirtualPlaces)
		s.views[membership.GetVersion()] = view
	}
	return view
}
