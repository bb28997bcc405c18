package sim

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
)

// NetworkOptions say how messages travel; zero values stand for the defaults. Messages may pass one another.
type NetworkOptions struct {
	// MinimumDelay and MaximumDelay bound most delays; defaults 100 µs and 3 ms.
	MinimumDelay, MaximumDelay time.Duration
	// SlowOneIn sends one message in so many with a delay of up to SlowDelay; defaults 100 and 200 ms, negative for none.
	SlowOneIn int
	SlowDelay time.Duration
	// LostOneIn and RepeatedOneIn lose or repeat one message in so many, a repeat coming up
	// to RepeatDelay late; defaults 200, 200 and 2 s, negative for none.
	LostOneIn, RepeatedOneIn int
	RepeatDelay              time.Duration
	// Distance, when set, bounds the delay that comes on top between two zones.
	Distance func(fromZone, toZone string) (least, most time.Duration)
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

type network struct {
	world   *World
	options NetworkOptions
	random  *rand.Rand
	// cuts counts the cuts in force for each direction of a pair.
	cuts map[direction]int
	// zoneCuts does so for pairs of zones, machines added later included.
	zoneCuts map[zoneDirection]int
	// extraLoss loses messages in addition, in parts of 1000.
	extraLoss int
	sent      int
	dropped   int
}

type direction struct{ from, to Address }

type zoneDirection struct{ from, to string }

func (n *network) isCut(way direction) bool {
	if n.cuts[way] > 0 {
		return true
	}
	from, to := n.world.byName[way.from], n.world.byName[way.to]
	return len(n.zoneCuts) > 0 && from != nil && to != nil && n.zoneCuts[zoneDirection{from: from.zone, to: to.zone}] > 0
}

func newNetwork(world *World, options NetworkOptions) *network {
	return &network{world: world, options: options, random: world.Random("network"), cuts: map[direction]int{}, zoneCuts: map[zoneDirection]int{}}
}

func (n *network) send(from *Machine, to Address, message any) {
	n.sent++
	if original, isProto := message.(proto.Message); isProto {
		message = proto.Clone(original)
	}
	copies := 1
	if n.oneIn(n.options.LostOneIn) || n.random.IntN(1000) < n.extraLoss {
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
	least, most := n.options.Distance(from.zone, target.zone)
	if most <= least {
		return least
	}
	return least + time.Duration(n.random.Int64N(int64(most-least)+1))
}

// deliverAfter loses the message when the way is cut at its sending or its arrival.
func (n *network) deliverAfter(delay time.Duration, from *Machine, to Address, message any) {
	way := direction{from: from.address, to: to}
	if n.isCut(way) {
		n.dropped++
		return
	}
	sender := from.life
	n.world.After(delay, func() {
		target := n.world.byName[to]
		if n.isCut(way) || target == nil || target.removed {
			n.dropped++
			return
		}
		if target.life == nil {
			n.dropped++
			n.notifyBroken(from, sender, to)
			return
		}
		target.life.addPeer(way.from)
		life := target.life
		target.deliver(life, func() { target.process.Receive(way.from, message) })
	})
}

// breakConnection tells a peer that the process at lost ended.
func (n *network) breakConnection(lost, peer Address) {
	machine := n.world.byName[peer]
	if machine != nil && machine.life != nil {
		n.notifyBroken(machine, machine.life, lost)
	}
}

// notifyBroken brings a reset from lost to a life of a machine.
func (n *network) notifyBroken(machine *Machine, life *Environment, lost Address) {
	back := direction{from: lost, to: machine.address}
	n.world.After(n.delay(machine, lost), func() {
		if n.isCut(back) {
			return
		}
		machine.deliver(life, func() {
			if observer, observes := machine.process.(ConnectionObserver); observes {
				observer.ConnectionBroken(lost)
			}
		})
	})
}

// Cut stops messages in one direction until as many Heal calls follow.
func (w *World) Cut(from, to Address) {
	w.network.cuts[direction{from: from, to: to}]++
}

// Heal takes back one Cut.
func (w *World) Heal(from, to Address) {
	way := direction{from: from, to: to}
	if w.network.cuts[way] > 0 {
		w.network.cuts[way]--
	}
}

// Reachable says whether messages pass in one direction.
func (w *World) Reachable(from, to Address) bool {
	return !w.network.isCut(direction{from: from, to: to})
}

// SetExtraLoss loses so many messages in 1000 on top of the options.
func (w *World) SetExtraLoss(perMille int) { w.network.extraLoss = perMille }
