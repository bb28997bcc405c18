package servingsuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	renewInterval  = 300 * time.Millisecond
	renewTimeout   = time.Second
	renewRetry     = 100 * time.Millisecond
	ledgerTimeout  = 3 * time.Second
	boundInterval  = 200 * time.Millisecond
	tombstoneBound = 40 * time.Millisecond
	// answerSlack is how long after its deadline a request may get its final answer, as at a real ingress.
	answerSlack = 3 * time.Second
	busyRetry   = 500 * time.Millisecond
)

// front is one life of a front node: the real lease holder and admission with the machines of its requests.
type front struct {
	suite       *suite
	environment *sim.Environment
	transport   *transport
	name        string
	holder      *lease.Holder
	inForce     *view
	servers     map[string]*knownServer
	admission   *admission
	retries     *limit.RetryBudget
	// live are the turns of conversations under way by session.
	live     map[string]*run
	last     map[string]string
	attempts uint64
	sequence uint64
	stayOut  bool
}

func (s *suite) buildFront(environment *sim.Environment) (sim.Process, error) {
	incarnation := uint64(environment.Now().UnixMilli())
	f := &front{
		suite: s, environment: environment, name: string(environment.Address()), inForce: &view{},
		holder:  lease.NewHolder(incarnation, lease.Options{Margin: leaseMargin, ViewLimit: leaseDuration}),
		servers: make(map[string]*knownServer), retries: limit.NewRetryBudget(0),
		live: make(map[string]*run), last: make(map[string]string),
	}
	f.transport = newTransport(environment, f.accept)
	f.admission = newAdmission(f)
	environment.After(0, f.renew)
	environment.After(boundInterval, f.bound)
	return f, nil
}

// Receive takes a frame in.
func (f *front) Receive(from sim.Address, message any) { f.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (f *front) ConnectionBroken(peer sim.Address) { f.transport.connectionBroken(peer) }

func (f *front) now() time.Time { return f.environment.Now() }

func (f *front) held() bool { return f.holder.Valid(f.now()) }

func (f *front) renew() {
	if f.stayOut {
		return
	}
	renewal, expired := f.holder.BeginRenewal(f.now())
	if expired {
		f.suite.count(LostAuthority)
		f.stayOut = f.suite.options.Mutation == MutationStayOut
	}
	request := renewLease{name: f.name, incarnation: renewal.Incarnation, inForce: f.inForce.version}
	f.transport.call(coreAddress, request, renewTimeout, func(body any) {
		answer, answered := body.(leaseGranted)
		wait := renewRetry
		switch {
		case !answered:
		case !answer.granted:
			f.holder.Rejected(f.now(), renewal)
		default:
			f.granted(renewal, answer)
			wait = renewInterval
		}
		f.environment.After(wait, f.renew)
	})
}

func (f *front) granted(renewal lease.Renewal, answer leaseGranted) {
	f.holder.Granted(f.now(), renewal, leaseDuration, answer.version)
	if answer.fresh != nil && answer.fresh.version > f.inForce.version {
		f.apply(answer.fresh)
	}
}

// apply puts a view in force.
func (f *front) apply(fresh *view) {
	f.inForce = fresh
	known := make(map[string]*knownServer, len(fresh.servers))
	for _, description := range fresh.servers {
		kept := f.servers[description.id]
		if kept == nil {
			kept = &knownServer{}
		}
		kept.description = description
		known[description.id] = kept
	}
	f.servers = known
	f.holder.ViewApplied(fresh.version)
	f.admission.bound()
}

func (f *front) bound() {
	f.admission.bound()
	f.environment.After(boundInterval, f.bound)
}

// accept takes a request of a caller in.
func (f *front) accept(opened *stream, body any) {
	request, isRequest := body.(callerRequest)
	if !isRequest {
		return
	}
	f.suite.rules.arrived(f, request)
	taken := newRun(f, opened, request)
	opened.handle = func(any) { taken.leave(opened) }
	if !f.held() {
		taken.answerFailure(failure.New(failure.NoAuthority, protocol.Outcome_UNKNOWN, "this node may not act as owner",
			failure.WithRetryAfter(busyRetry)).Failure)
		return
	}
	if !f.knowsRoute(request.route) {
		f.suite.rules.routeUnknown(f.name, request.route)
		taken.refuseUnrouted()
		return
	}
	if request.kind == ledgeredTurn && f.joins(taken, opened) {
		return
	}
	taken.begin()
}

func (f *front) knowsRoute(route string) bool {
	if route == "" {
		return true
	}
	return slices.Contains(f.inForce.routes, route)
}

// joins has the request read the turn of its session that is under way, or refuses it for that.
func (f *front) joins(taken *run, opened *stream) bool {
	current := f.live[taken.session()]
	if current == nil {
		f.live[taken.session()] = taken
		return false
	}
	if current.request.id() != taken.request.id() {
		taken.refuseBusy()
		return true
	}
	f.suite.count(JoinedTurns)
	current.join(opened)
	return true
}

// operate carries out one operation of the ledger.
func (f *front) operate(operation *protocol.LedgerOperation, timeout time.Duration, then func(*protocol.LedgerResult)) {
	f.transport.call(ledgerAddress, operation, timeout, func(body any) {
		result, answered := body.(*protocol.LedgerResult)
		if !answered {
			result = &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
		}
		then(result)
	})
}
