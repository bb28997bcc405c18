package statesuite

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// replacementDelay is the time until a machine is added in the place of one that an operator removed.
const replacementDelay = 500 * time.Millisecond

// minStores is the number of usable stores below which none is emptied.
const minStores = replicaCount + 1

// emptyOrRetire retires a store that is acknowledged as emptied, or orders one to be emptied.
func (o *operator) emptyOrRetire(next func()) {
	o.withView(next, func(view *controlstate.View) {
		placement := view.Placement
		if len(placement.GetEmptied()) > 0 {
			o.retire(view, placement.GetEmptied()[0], next)
			return
		}
		stores := usableStores(view)
		if len(placement.GetEmptying()) > 0 || len(stores) <= minStores || len(placement.GetShards()) == 0 {
			next()
			return
		}
		store := stores[o.environment.Random().IntN(len(stores))]
		empty := &protocol.EmptyStoreCommand{Store: store}
		if len(o.suite.shape.regions) > 0 {
			empty.KeepSpread = new(!o.suite.options.AllowLostSpread)
		}
		o.order("empty", &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: empty}}, next)
	})
}

func usableStores(view *controlstate.View) []string {
	var stores []string
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			stores = append(stores, node.GetName())
		}
	}
	return stores
}

// retire retires a store and removes its machine with its disk.
func (o *operator) retire(view *controlstate.View, store string, next func()) {
	for _, shard := range view.Placement.GetShards() {
		o.suite.rules.emptiedStoreIsEmpty.Check(!placedOn(shard, store) && len(shard.GetCurrent()) == replicaCount,
			"an operator reads that %s is empty while shard %d is at %v", store, shard.GetShard(), shard.GetCurrent())
	}
	command := &protocol.Command{
		OrderId: o.name("retire"),
		Body:    &protocol.Command_RetireStore{RetireStore: &protocol.RetireStoreCommand{Store: store}},
	}
	o.link.order(command, operatorTimeout, func(result *protocol.CommandResult) {
		if result.GetAccepted() {
			o.suite.acknowledge(command, result)
			o.suite.removeStoreMachine(sim.Address(store))
		}
		next()
	})
}

func (s *suite) removeStoreMachine(address sim.Address) {
	if !s.present(address) {
		return
	}
	machine := s.world.Machine(address)
	s.world.Tracef("%s is retired and taken away", address)
	s.counts.retired++
	machine.Remove()
	s.world.After(replacementDelay, func() { s.addStore(machine.Zone()) })
}

// withEmptiedEarly lists stores as emptied that are still being emptied, under CoreReportsEmptiedEarly.
func withEmptiedEarly(view *controlstate.View) *controlstate.View {
	early := *view
	placement := &protocol.Placement{
		Epoch: view.Placement.GetEpoch(), Shards: view.Placement.GetShards(), Retired: view.Placement.GetRetired(),
		Emptied: slices.Concat(view.Placement.GetEmptied(), view.Placement.GetEmptying()),
	}
	early.Placement = placement
	return &early
}
