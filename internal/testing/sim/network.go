package sim

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
)

// NetworkOptions set delays and losses of messages; zero values stand for the defaults. Messages may overtake one
// another.
type NetworkOptions struct {
	// MinimumDelay and MaximumDelay bound most delays; defaults 100 µs and 3 ms.
	MinimumDelay, MaximumDelay time.Duration
	// SlowOneIn delays one message in so many by up to SlowDelay more; defaults 100 and 200 ms, negative for none.
	SlowOneIn int
	SlowDelay time.Duration
	// LostOneIn and RepeatedOneIn lose or duplicate one message in so many, a duplicate being delayed by up
	// to RepeatDelay; defaults 200, 200 and 2 s, negative for none.
	LostOneIn, RepeatedOneIn int
	RepeatDelay              time.Duration
	// Distance, when set, bounds the additional delay between two zones, one way.
	Distance func(fromZone, toZone string) (minimum, maximum time.Duration)
}

func (o NetworkOptions) withDefaults() NetworkOptions {
	setDefault(&o.MinimumDelay, 100*time.Microsecond)
	setDefault(&o.MaximumDelay, 3*time.Millisecond)
	setDefault(&o.SlowOneIn, 100)
	setDefault(&o.SlowDelay, 200*time.Millisecond)
	setDefault(&o.LostOneIn, 200)
	setDefault(&o.RepeatedOneIn, 200)
	setDefault(&o.RepeatDelay, 2*time.Second)
	return o
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// perMille is the denominator of extra losses.
const perMille = 1000

// network carries the messages of one world and counts them.
type network struct {
	world   *World
	options NetworkOptions
	random  *rand.Rand
	// partitions counts the partitions in force for each directed pair of machines.
	partitions map[link]int
	// zonePartitions does so for pairs of zones, including machines that are added later.
	zonePartitions map[zoneLink]int
	// extraLoss is the additional loss, in messages of 1000.
	extraLoss int
	sent      int
	dropped   int
}

// directed is one direction between two machines or two zones.
type directed[T any] struct{ from, to T }

// link is one direction between two machines.
type link = directed[Address]

// zoneLink is one direction between two zones.
type zoneLink = directed[string]

func (n *network) partitioned(path link) bool {
	if n.partitions[path] > 0 {
		return true
	}
	from, to := n.world.byName[path.from], n.world.byName[path.to]
	if from == nil || to == nil {
		return false
	}
	return n.zonePartitions[zoneLink{from: from.zone, to: to.zone}] > 0
}

func newNetwork(world *World, options NetworkOptions) *network {
	return &network{
		world: world, options: options, random: world.Random("network"),
		partitions: map[link]int{}, zonePartitions: map[zoneLink]int{},
	}
}

func (n *network) send(from *Machine, to Address, message any) {
	n.sent++
	if original, isProto := message.(proto.Message); isProto {
		message = proto.Clone(original)
	}
	copies := 1
	if n.oneIn(n.options.LostOneIn) || n.random.IntN(perMille) < n.extraLoss {
		n.dropped++
		copies--
	}
	if copies == 1 {
		n.deliverAfter(n.delay(from, to), from, to, message)
	}
	if copies == 1 && n.oneIn(n.options.RepeatedOneIn) {
		late := n.delay(from, to) + time.Duration(n.random.Int64N(int64(n.options.RepeatDelay)))
		if original, isProto := message.(proto.Message); isProto {
			message = proto.Clone(original)
		}
		n.deliverAfter(late, from, to, message)
	}
}

func (n *network) oneIn(count int) bool { return count > 0 && n.random.IntN(count) == 0 }

func (n *network) delay(from *Machine, to Address) time.Duration {
	spread := n.options.MaximumDelay - n.options.MinimumDelay
	delay := n.options.MinimumDelay + time.Duration(n.random.Int64N(int64(spread)+1))
	if n.oneIn(n.options.SlowOneIn) {
		delay += time.Duration(n.random.Int64N(int64(n.options.SlowDelay)))
	}
	return delay + n.distance(from, to)
}

func (n *network) distance(from *Machine, to Address) time.Duration {
	target := n.world.byName[to]
	if n.options.Distance == nil || target == nil {
		return 0
	}
	minimum, maximum := n.options.Distance(from.zone, target.zone)
	if maximum <= minimum {
		return minimum
	}
	return minimum + time.Duration(n.random.Int64N(int64(maximum-minimum)+1))
}

// deliverAfter loses the message when the path is partitioned when it is sent or when it arrives.
func (n *network) deliverAfter(delay time.Duration, from *Machine, to Address, message any) {
	path := link{from: from.address, to: to}
	if n.partitioned(path) {
		n.dropped++
		return
	}
	sender := from.environment
	n.world.After(delay, func() {
		target := n.world.byName[to]
		if n.partitioned(path) || target == nil || target.removed {
			n.dropped++
			return
		}
		if target.environment == nil {
			n.dropped++
			n.notifyReset(from, sender, to)
			return
		}
		target.environment.addPeer(path.from)
		receiver := target.environment
		target.deliver(receiver, func() { target.process.Receive(path.from, message) })
	})
}

// resetConnection notifies a peer that the process at lost ended.
func (n *network) resetConnection(lost, peer Address) {
	machine := n.world.byName[peer]
	if machine != nil && machine.environment != nil {
		n.notifyReset(machine, machine.environment, lost)
	}
}

// notifyReset delivers a reset from lost to one incarnation of a machine.
func (n *network) notifyReset(machine *Machine, receiver *Environment, lost Address) {
	path := link{from: lost, to: machine.address}
	n.world.After(n.delay(machine, lost), func() {
		if n.partitioned(path) {
			return
		}
		machine.deliver(receiver, func() {
			if observer, observes := machine.process.(ConnectionObserver); observes {
				observer.ConnectionBroken(lost)
			}
		})
	})
}

// Partition drops messages in one direction until as many Heal calls follow.
func (w *World) Partition(from, to Address) {
	w.network.partitions[link{from: from, to: to}]++
}

// Heal undoes one call of Partition.
func (w *World) Heal(from, to Address) {
	path := link{from: from, to: to}
	if w.network.partitions[path] > 0 {
		w.network.partitions[path]--
	}
}

// Reachable reports whether messages pass in one direction.
func (w *World) Reachable(from, to Address) bool {
	return !w.network.partitioned(link{from: from, to: to})
}

// Connected reports whether messages pass between two machines in both directions.
func (w *World) Connected(one, other Address) bool {
	return one == other || w.Reachable(one, other) && w.Reachable(other, one)
}

// SetExtraLoss loses so many messages in 1000 in addition to NetworkOptions.LostOneIn.
func (w *World) SetExtraLoss(lost int) { w.network.extraLoss = lost }
