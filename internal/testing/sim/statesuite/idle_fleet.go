package statesuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// The fleet of Caroni, and how often its processes speak at rest.
const (
	restStores   = 4
	restFronts   = 10
	restBackEnds = 12 + 7
	restSettles  = time.Minute
	// restRenew is how often a node renews its lease and a back end sends its heartbeat; restPoll is how long the core holds a poll back.
	restRenew = time.Second
	restPoll  = 10 * time.Second
	restTick  = 100 * time.Millisecond
)

// Rest is a fleet at rest: five core members, four stores and ten front nodes that renew leases and poll, and nineteen
// back ends that send heartbeats to front nodes. Nothing is ordered and nothing served.
type Rest struct{ suite *suite }

// NewRest brings the fleet up and lets it settle.
func NewRest(seed int64) *Rest {
	s := newSuite(seed, Options{Plain: true}.withDefaults())
	s.resting = true
	s.makeSignOffKeys()
	for number := range coreCount {
		s.addCore(s.shape.zoneOf(number), number == 0)
	}
	for number := range restStores {
		s.addStore(s.shape.zoneOf(number))
	}
	for number := range restFronts {
		s.world.AddMachine(frontAddress(number), s.shape.zoneOf(number), s.buildResting)
	}
	for number := range restBackEnds {
		s.world.AddMachine(sim.Address(fmt.Sprintf("server-%d", number+1)), s.shape.zoneOf(number), s.buildBackEnd(frontAddress(number%restFronts)))
	}
	s.world.RunUntil(restSettles)
	return &Rest{suite: s}
}

// Advance simulates a span and returns the number of events.
func (r *Rest) Advance(span time.Duration) int {
	before := r.suite.world.Steps()
	r.suite.world.RunUntil(r.suite.world.Elapsed() + span)
	return r.suite.world.Steps() - before
}

// Healthy says whether the core has a leader with its lease and all shards are placed and whole.
func (r *Rest) Healthy() bool { return r.suite.coreWhole() && r.suite.storesWhole() }

// restingFront is a front node without traffic.
type restingFront struct{ front }

func (s *suite) buildResting(environment *sim.Environment) (sim.Process, error) {
	f := &restingFront{front{suite: s, environment: environment}}
	f.endpoint = newEndpoint(environment, func(sim.Address, any, func(any)) {})
	f.link = &coreLink{suite: s, environment: environment, endpoint: f.endpoint}
	name := string(environment.Address())
	self := &protocol.Node{
		Name: name, Kind: protocol.NodeKind_FRONT, Address: name, Zone: environment.Zone(), Incarnation: uint64(environment.Incarnation()),
	}
	f.link.renewLater(self, 0, restRenew)
	f.link.follow(f.takeConfiguration)
	return f, nil
}

// backEnd sends heartbeats to one front node.
type backEnd struct{}

func (s *suite) buildBackEnd(front sim.Address) sim.Builder {
	return func(environment *sim.Environment) (sim.Process, error) {
		heartbeat := &protocol.BackEnd{Id: string(environment.Address()), State: protocol.BackEndState_READY}
		var beat func()
		beat = func() {
			environment.Send(front, heartbeat)
			environment.After(restRenew, beat)
		}
		beat()
		return backEnd{}, nil
	}
}

// Receive implements sim.Process.
func (backEnd) Receive(sim.Address, any) {}

// tick is the interval of a core member's ticks.
func (s *suite) tick() time.Duration {
	if s.resting {
		return restTick
	}
	return tickInterval
}

// poll is the interval of a link's reads.
func (s *suite) poll() time.Duration {
	if s.resting {
		return restPoll
	}
	return pollInterval
}
