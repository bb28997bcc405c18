package sim_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// twoZones makes a world in which the machines "a" and "b" send "tick" to each other every 10 ms from zones of their own.
func twoZones(options sim.NetworkOptions, faults ...sim.Fault) (world *sim.World, heard map[sim.Address]*[]string) {
	world = sim.NewWorld(1, sim.Options{Network: options})
	heard = map[sim.Address]*[]string{"a": {}, "b": {}}
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
			return &echo{environment: environment, heard: heard[address]}, nil
		})
	}
	world.Schedule(faults)
	return world, heard
}

var _ = Describe("Zones", func() {
	zoneA := []sim.Address{sim.InZone("zone-a")}

	DescribeTable("given a zone cut from the others, then messages stop that way only and come again after it",
		func(kind sim.FaultKind, aHears, bHears bool) {
			world, heard := twoZones(reliable(), sim.Fault{At: time.Second, Kind: kind, Targets: zoneA, Duration: time.Second})
			world.RunUntil(1100 * time.Millisecond)
			atA, atB := len(*heard["a"]), len(*heard["b"])
			world.RunUntil(1900 * time.Millisecond)
			Expect(len(*heard["a"]) > atA).To(Equal(aHears))
			Expect(len(*heard["b"]) > atB).To(Equal(bHears))
			Expect(world.Reachable("a", "b")).To(Equal(bHears))
			atA, atB = len(*heard["a"]), len(*heard["b"])
			world.RunUntil(3 * time.Second)
			Expect(len(*heard["a"])).To(BeNumerically(">", atA+50))
			Expect(len(*heard["b"])).To(BeNumerically(">", atB+50))
		},
		Entry("both ways", sim.FaultCutZones, false, false),
		Entry("what it sends", sim.FaultCutZonesFrom, true, false),
		Entry("what it is sent", sim.FaultCutZonesTo, false, true),
	)

	It("given a zone cut, then a machine added there later is cut off too", func() {
		world, _ := twoZones(reliable(), sim.Fault{At: time.Second, Kind: sim.FaultCutZones, Targets: zoneA, Duration: time.Second})
		world.RunUntil(1500 * time.Millisecond)
		world.AddMachine("late", "zone-a", func(environment *sim.Environment) (sim.Process, error) {
			return &echo{environment: environment, heard: &[]string{}}, nil
		})
		Expect(world.Reachable("late", "b")).To(BeFalse())
		Expect(world.Reachable("late", "a")).To(BeTrue())
	})

	It("given a lost zone, then another fault there does not bring its machines back early", func() {
		world, _ := twoZones(reliable(),
			sim.Fault{At: time.Second, Kind: sim.FaultLostZones, Targets: zoneA, Duration: 10 * time.Second},
			sim.Fault{At: 2 * time.Second, Kind: sim.FaultKill, Targets: []sim.Address{"a"}, Duration: time.Second})
		world.RunUntil(10900 * time.Millisecond)
		Expect(world.Machine("a").Process()).To(BeNil())
		Expect(world.Machine("b").Lives()).To(Equal(1))
		world.RunUntil(11100 * time.Millisecond)
		Expect(world.Machine("a").Lives()).To(Equal(2))
		Expect(world.Machine("a").Process()).NotTo(BeNil())
	})

	It("given a distance between zones, then messages take at least that long", func() {
		options := reliable()
		options.Distance = func(from, to string) (least, most time.Duration) {
			Expect(from).NotTo(Equal(to))
			return 20 * time.Millisecond, 40 * time.Millisecond
		}
		world, heard := twoZones(options)
		world.RunUntil(20 * time.Millisecond)
		Expect(*heard["b"]).To(BeEmpty())
		world.RunUntil(44 * time.Millisecond)
		Expect(*heard["b"]).NotTo(BeEmpty())
	})
})
