package statesuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// Size of the idle fleet, that of the Caroni deployment, and the intervals of its messages.
const (
	idleStores      = 4
	idleFronts      = 10
	idleBackEnds    = 12 + 7
	idleStartupTime = time.Minute
	// idleRenewInterval is the interval of lease renewals and of heartbeats, idlePollTimeout that of polls.
	idleRenewInterval = time.Second
	idlePollTimeout   = 10 * time.Second
	idleTickInterval  = 100 * time.Millisecond
)

// IdleFleet is a fleet without load: five core members, four stores and ten front nodes that renew leases and poll, and
// nineteen back ends that send heartbeats to front nodes.
type IdleFleet struct{ suite *suite }

// NewIdleFleet starts the fleet and runs it for idleStartupTime.
func NewIdleFleet(seed int64) *IdleFleet {
	s := newSuite(seed, Options{Plain: true}.withDefaults())
	s.idle = true
	s.makeSignOffKeys()
	for number := range coreCount {
		s.addCore(s.shape.zoneOf(number), number == 0)
	}
	for number := range idleStores {
		s.addStore(s.shape.zoneOf(number))
	}
	for number := range idleFronts {
		s.world.AddMachine(frontAddress(number), s.shape.zoneOf(number), s.buildIdleFront)
	}
	for number := range idleBackEnds {
		s.world.AddMachine(sim.Address(fmt.Sprintf("server-%d", number+1)), s.shape.zoneOf(number),
			s.buildBackEnd(frontAddress(number%idleFronts)))
	}
	s.world.RunUntil(idleStartupTime)
	return &IdleFleet{suite: s}
}

// Advance simulates a duration and returns the number of events.
func (r *IdleFleet) Advance(span time.Duration) int {
	before := r.suite.world.Steps()
	r.suite.world.RunUntil(r.suite.world.Elapsed() + span)
	return r.suite.world.Steps() - before
}

// Healthy reports whether the core has a leader with its lease and all shards have all their replicas.
func (r *IdleFleet) Healthy() bool { return r.suite.coreComplete() && r.suite.storesComplete() }

// idleFront is a front node without traffic.
type idleFront struct{ front }

func (s *suite) buildIdleFront(environment *sim.Environment) (sim.Process, error) {
	f := &idleFront{front{suite: s, environment: environment}}
	f.endpoint = newEndpoint(environment, func(sim.Address, any, func(any)) {})
	f.link = &coreLink{suite: s, environment: environment, endpoint: f.endpoint}
	name := string(environment.Address())
	self := &protocol.Node{
		Name: name, Kind: protocol.NodeKind_FRONT, Address: name, Zone: environment.Zone(),
		Incarnation: uint64(environment.Incarnation()),
	}
	f.link.renewLater(self, 0, idleRenewInterval)
	f.link.follow(f.applyConfiguration)
	return f, nil
}

// backEnd sends heartbeats to one front node.
type backEnd struct{}

func (s *suite) buildBackEnd(front sim.Address) sim.Builder {
	return func(environment *sim.Environment) (sim.Process, error) {
		heartbeat := &protocol.BackEnd{Id: string(environment.Address()), State: protocol.BackEndState_READY}
		var sendHeartbeat func()
		sendHeartbeat = func() {
			environment.Send(front, heartbeat)
			environment.After(idleRenewInterval, sendHeartbeat)
		}
		sendHeartbeat()
		return backEnd{}, nil
	}
}

// Receive implements sim.Process.
func (backEnd) Receive(sim.Address, any) {}

// coreTickInterval returns the interval of a core member's ticks.
func (s *suite) coreTickInterval() time.Duration {
	if s.idle {
		return idleTickInterval
	}
	return tickInterval
}

// linkPollInterval returns the interval of a link's reads.
func (s *suite) linkPollInterval() time.Duration {
	if s.idle {
		return idlePollTimeout
	}
	return pollInterval
}
