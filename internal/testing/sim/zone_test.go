package sim_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// twoZones makes a world in which the machines "a" and "b" send "tick" to each other every 10 ms from zones of their
// own.
func twoZones(options sim.NetworkOptions, faults ...sim.Fault) (world *sim.World, received map[sim.Address]*[]string) {
	world = sim.NewWorld(1, sim.Options{Network: options})
	received = map[sim.Address]*[]string{"a": {}, "b": {}}
	peers := map[sim.Address]sim.Address{"a": "b", "b": "a"}
	for _, address := range []sim.Address{"a", "b"} {
		peer := peers[address]
		world.AddMachine(address, "zone-"+string(address), func(environment *sim.Environment) (sim.Process, error) {
			var tick func()
			tick = func() {
				environment.Send(peer, "tick")
				environment.After(10*time.Millisecond, tick)
			}
			tick()
			return &echo{environment: environment, received: received[address]}, nil
		})
	}
	world.Schedule(faults)
	return world, received
}

var _ = Describe("Zones", func() {
	zoneA := []sim.Address{sim.InZone("zone-a")}

	DescribeTable("given a partitioned zone, then messages stop in that direction only until it heals",
		func(kind sim.FaultKind, aReceives, bReceives bool) {
			world, received := twoZones(reliable(), sim.Fault{
				At: time.Second, Kind: kind, Targets: zoneA,
				Duration: time.Second,
			})
			world.RunUntil(1100 * time.Millisecond)
			atA, atB := len(*received["a"]), len(*received["b"])
			world.RunUntil(1900 * time.Millisecond)
			Expect(len(*received["a"]) > atA).To(Equal(aReceives))
			Expect(len(*received["b"]) > atB).To(Equal(bReceives))
			Expect(world.Reachable("a", "b")).To(Equal(bReceives))
			atA, atB = len(*received["a"]), len(*received["b"])
			world.RunUntil(3 * time.Second)
			Expect(len(*received["a"])).To(BeNumerically(">", atA+50))
			Expect(len(*received["b"])).To(BeNumerically(">", atB+50))
		},
		Entry("both directions", sim.FaultZonePartition, false, false),
		Entry("outbound", sim.FaultZoneOutboundPartition, true, false),
		Entry("inbound", sim.FaultZoneInboundPartition, false, true),
	)

	It("given a partitioned zone, then a machine added there later is partitioned too", func() {
		world, _ := twoZones(reliable(),
			sim.Fault{At: time.Second, Kind: sim.FaultZonePartition, Targets: zoneA, Duration: time.Second})
		world.RunUntil(1500 * time.Millisecond)
		world.AddMachine("late", "zone-a", func(environment *sim.Environment) (sim.Process, error) {
			return &echo{environment: environment, received: &[]string{}}, nil
		})
		Expect(world.Reachable("late", "b")).To(BeFalse())
		Expect(world.Reachable("late", "a")).To(BeTrue())
	})

	It("given a lost zone, then another fault there does not bring its machines back early", func() {
		world, _ := twoZones(reliable(),
			sim.Fault{At: time.Second, Kind: sim.FaultZonePowerLoss, Targets: zoneA, Duration: 10 * time.Second},
			sim.Fault{At: 2 * time.Second, Kind: sim.FaultCrash, Targets: []sim.Address{"a"}, Duration: time.Second})
		world.RunUntil(10900 * time.Millisecond)
		Expect(world.Machine("a").Process()).To(BeNil())
		Expect(world.Machine("b").Incarnations()).To(Equal(1))
		world.RunUntil(11100 * time.Millisecond)
		Expect(world.Machine("a").Incarnations()).To(Equal(2))
		Expect(world.Machine("a").Process()).NotTo(BeNil())
	})

	It("given a distance between zones, then messages take at least that long", func() {
		options := reliable()
		options.Distance = func(from, to string) (minimum, maximum time.Duration) {
			Expect(from).NotTo(Equal(to))
			return 20 * time.Millisecond, 40 * time.Millisecond
		}
		world, received := twoZones(options)
		world.RunUntil(20 * time.Millisecond)
		Expect(*received["b"]).To(BeEmpty())
		world.RunUntil(44 * time.Millisecond)
		Expect(*received["b"]).NotTo(BeEmpty())
	})
})
