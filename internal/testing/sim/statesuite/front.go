package statesuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	turnReservationLimit = 30
	programBudget        = 10 * turnReservationLimit
	listCount            = 4
	concurrentScripts    = 4
	scriptInterval       = 60 * time.Millisecond
	ledgerTimeout        = time.Second
	ledgerAttempts       = 4
	ledgerRetryDelay     = 60 * time.Millisecond
	programLifetime      = 3 * time.Second
	tokenStep            = 10
	interTokenGap        = 25 * time.Millisecond
)

// front is one incarnation of a front node: it runs turns and calls for sessions that other front nodes claim as well.
type front struct {
	suite       *suite
	environment *sim.Environment
	endpoint    *endpoint
	link        *coreLink
	placement   *protocol.Placement
	lastName    int
	// configuration is in force on this front node.
	configuration *protocol.Configuration
	nextPoll      time.Time
}

// Messages between front nodes: a request that the receiver is to run.
type (
	forwardedTurn struct{ program, session, request string }
	forwardedCall struct{ program, session, request string }
	forwardReply  struct{}
)

func (s *suite) buildFront(environment *sim.Environment) (sim.Process, error) {
	f := &front{suite: s, environment: environment}
	f.endpoint = newEndpoint(environment, f.serve)
	f.link = &coreLink{suite: s, environment: environment, endpoint: f.endpoint}
	f.link.follow(func(view *controlstate.View) {
		if view.Placement.GetEpoch() >= f.placement.GetEpoch() {
			f.placement = view.Placement
		}
		if s.options.Mutation != FrontReadsAnyMember {
			f.applyConfiguration(view)
		}
	})
	if s.options.Mutation == FrontReadsAnyMember {
		f.readAnyMember()
	}
	for range concurrentScripts {
		f.scheduleScript()
	}
	return f, nil
}

// Receive implements sim.Process.
func (f *front) Receive(from sim.Address, message any) { f.endpoint.receive(from, message) }

// ConnectionBroken implements sim.ConnectionObserver.
func (f *front) ConnectionBroken(peer sim.Address) { f.endpoint.connectionBroken(peer) }

func (f *front) serve(_ sim.Address, body any, reply func(any)) {
	switch body := body.(type) {
	case forwardedTurn:
		f.runTurn(body, func() { reply(forwardReply{}) })
	case forwardedCall:
		f.runCall(body, func() { reply(forwardReply{}) })
	}
}

func (f *front) scheduleScript() {
	jitter := time.Duration(f.environment.Random().Int64N(int64(2 * scriptInterval)))
	f.environment.After(f.suite.loadInterval(scriptInterval+jitter), f.script)
}

func (f *front) script() {
	if f.suite.loadStopped {
		return
	}
	random := f.environment.Random()
	program := f.suite.currentProgram(random.IntN(2))
	session := fmt.Sprintf("session-%d", random.IntN(2))
	switch random.IntN(8) {
	case 0, 1:
		f.runTurn(forwardedTurn{program, session, f.name("request")}, f.scheduleScript)
	case 2:
		f.forwardTurn(forwardedTurn{program, session, f.name("request")}, f.scheduleScript)
	case 3:
		f.raceCall(forwardedCall{program, session, f.name("call")}, f.scheduleScript)
	case 4:
		f.readRetainedTurn(f.scheduleScript)
	default:
		f.useList(fmt.Sprintf("list-%d", random.IntN(listCount)), f.scheduleScript)
	}
}

// currentProgram names one of the current programs; new ones begin when the budgets of the former are probably spent.
func (s *suite) currentProgram(number int) string {
	return fmt.Sprintf("program-%d-%d", s.world.Elapsed()/programLifetime, number)
}

// name makes an identifier that no other process uses.
func (f *front) name(kind string) string {
	f.lastName++
	return fmt.Sprintf("%s-%s-%d-%d", kind, f.environment.Address(), f.environment.Incarnation(), f.lastName)
}

// otherFront picks the address of another front node.
func (f *front) otherFront() sim.Address {
	other := f.environment.Random().IntN(frontCount - 1)
	address := frontAddress(other)
	if address == f.environment.Address() {
		return frontAddress(frontCount - 1)
	}
	return address
}

// apply sends an operation to the ledger, with retries at other replicas while its outcome is unknown. done is called
// with nil when it stays unknown.
func (f *front) apply(operation *protocol.LedgerOperation, done func(*protocol.LedgerResult)) {
	f.attempt(operation, 0, done)
}

func (f *front) attempt(operation *protocol.LedgerOperation, attempt int, done func(*protocol.LedgerResult)) {
	if attempt == ledgerAttempts {
		done(nil)
		return
	}
	again := func() {
		f.environment.After(ledgerRetryDelay, func() { f.attempt(operation, attempt+1, done) })
	}
	epoch, store, found := f.replica(operation.GetProgram(), attempt)
	if !found {
		again()
		return
	}
	sent := &protocol.LedgerOperation{Program: operation.GetProgram(), PlacementEpoch: epoch, Body: operation.GetBody()}
	f.endpoint.call(store, sent, ledgerTimeout, func(body any) {
		result, _ := body.(*protocol.LedgerResult)
		switch result.GetStatus() {
		case protocol.LedgerStatus_LEDGER_STATUS_UNSPECIFIED, protocol.LedgerStatus_LEDGER_UNAVAILABLE,
			protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
			again()
		default:
			done(result)
		}
	})
}

// replica picks the first replica of the shard, and others on later attempts or at random.
func (f *front) replica(program string, attempt int) (epoch uint64, store sim.Address, found bool) {
	shard := ledger.ShardOf(program, shardCount)
	if int(shard) >= len(f.placement.GetShards()) {
		return 0, "", false
	}
	placed := f.placement.GetShards()[shard]
	index := attempt
	if f.environment.Random().IntN(4) == 0 {
		index = f.environment.Random().IntN(replicaCount)
	}
	return placed.GetEpoch(), sim.Address(placed.GetCurrent()[index%len(placed.GetCurrent())].GetStore()), true
}

// useList appends to a list or reads it.
func (f *front) useList(list string, next func()) {
	operation := listOperation{key: list}
	if f.environment.Random().IntN(2) == 0 {
		operation.id = f.name("id")
	}
	epoch, store, found := f.replica(list, 0)
	if !found {
		next()
		return
	}
	operation.epoch = epoch
	now := f.suite.world.Elapsed()
	var appended *operationRecord
	if operation.id != "" {
		appended = f.suite.registers.begin(list, appendID{id: operation.id}, now)
	}
	f.endpoint.call(store, operation, ledgerTimeout, func(body any) {
		if answer, answered := body.(listAnswer); answered {
			f.suite.recordList(list, answer.ids, appended, now)
		}
		next()
	})
}
