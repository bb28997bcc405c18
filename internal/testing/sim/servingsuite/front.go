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
	renewInterval       = 300 * time.Millisecond
	renewTimeout        = time.Second
	renewRetry          = 100 * time.Millisecond
	ledgerTimeout       = 3 * time.Second
	limitUpdateInterval = 200 * time.Millisecond
	tombstoneBound      = 40 * time.Millisecond
	// answerSlack is how long after its deadline a request may get its final answer, as at the real ingress.
	answerSlack = 3 * time.Second
	busyRetry   = 500 * time.Millisecond
)

// front is one incarnation of a front node: the real lease holder and admission with the state machines of its
// requests.
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
	// activeTurns are the turns in flight, by session.
	activeTurns     map[string]*run
	lastServers     map[string]string
	attempts        uint64
	sequence        uint64
	stoppedRenewing bool
}

func (s *suite) buildFront(environment *sim.Environment) (sim.Process, error) {
	incarnation := uint64(environment.Now().UnixMilli())
	f := &front{
		suite: s, environment: environment, name: string(environment.Address()), inForce: &view{},
		holder:  lease.NewHolder(incarnation, lease.Options{Margin: leaseMargin, ViewLimit: leaseDuration}),
		servers: make(map[string]*knownServer), retries: limit.NewRetryBudget(0),
		activeTurns: make(map[string]*run), lastServers: make(map[string]string),
	}
	f.transport = newTransport(environment, f.accept)
	f.admission = newAdmission(f)
	environment.After(0, f.renew)
	environment.After(limitUpdateInterval, f.updateLimitsPeriodically)
	return f, nil
}

// Receive implements sim.Process.
func (f *front) Receive(from sim.Address, message any) { f.transport.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (f *front) ConnectionBroken(peer sim.Address) { f.transport.connectionBroken(peer) }

func (f *front) now() time.Time { return f.environment.Now() }

func (f *front) hasAuthority() bool { return f.holder.Valid(f.now()) }

func (f *front) renew() {
	if f.stoppedRenewing {
		return
	}
	renewal, expired := f.holder.BeginRenewal(f.now())
	if expired {
		f.suite.count(LostAuthority)
		f.stoppedRenewing = f.suite.options.Mutation == MutationNeverRenew
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
	f.holder.Granted(f.now(), renewal, leaseDuration, answer.newestVersion)
	if answer.newerView != nil && answer.newerView.version > f.inForce.version {
		f.apply(answer.newerView)
	}
}

// apply puts a view in force.
func (f *front) apply(fresh *view) {
	f.inForce = fresh
	known := make(map[string]*knownServer, len(fresh.servers))
	for _, description := range fresh.servers {
		server := f.servers[description.id]
		if server == nil {
			server = &knownServer{}
		}
		server.description = description
		known[description.id] = server
	}
	f.servers = known
	f.holder.ViewApplied(fresh.version)
	f.admission.updateLimits()
}

func (f *front) updateLimitsPeriodically() {
	f.admission.updateLimits()
	f.environment.After(limitUpdateInterval, f.updateLimitsPeriodically)
}

// accept accepts a request of a caller.
func (f *front) accept(opened *stream, body any) {
	request, isRequest := body.(callerRequest)
	if !isRequest {
		return
	}
	f.suite.rules.watchRequest(f, request)
	accepted := newRun(f, opened, request)
	opened.handle = func(any) { accepted.removeReader(opened) }
	if !f.hasAuthority() {
		accepted.answerFailure(failure.New(failure.NoAuthority, protocol.Outcome_UNKNOWN, "this node may not act as owner",
			failure.WithRetryAfter(busyRetry)).Failure)
		return
	}
	if !f.knowsRoute(request.route) {
		f.suite.rules.observeUnknownRoute(f.name, request.route)
		accepted.rejectUnrouted()
		return
	}
	if request.kind == ledgeredTurn && f.joinOrReject(accepted, opened) {
		return
	}
	accepted.begin()
}

func (f *front) knowsRoute(route string) bool {
	if route == "" {
		return true
	}
	return slices.Contains(f.inForce.routes, route)
}

// joinOrReject joins a repeated request to the active turn of its session, or rejects another request of the session.
// It reports whether it did either.
func (f *front) joinOrReject(arriving *run, opened *stream) bool {
	current := f.activeTurns[arriving.session()]
	if current == nil {
		f.activeTurns[arriving.session()] = arriving
		return false
	}
	if current.request.id() != arriving.request.id() {
		arriving.rejectBusy()
		return true
	}
	f.suite.count(JoinedTurns)
	current.join(opened)
	return true
}

// operate sends one operation to the ledger.
func (f *front) operate(operation *protocol.LedgerOperation, timeout time.Duration, then func(*protocol.LedgerResult)) {
	f.transport.call(ledgerAddress, operation, timeout, func(body any) {
		result, answered := body.(*protocol.LedgerResult)
		if !answered {
			result = &protocol.LedgerResult{Status: protocol.LedgerStatus_LEDGER_UNAVAILABLE}
		}
		then(result)
	})
}
