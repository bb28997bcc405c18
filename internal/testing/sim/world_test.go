package sim_test

import (
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// echo answers each message to its sender and records what it received.
type echo struct {
	environment *sim.Environment
	received    *[]string
}

func (e *echo) Receive(_ sim.Address, message any) {
	*e.received = append(*e.received, message.(string))
}

func (e *echo) ConnectionBroken(peer sim.Address) {
	*e.received = append(*e.received, "broken "+string(peer))
}

func reliable() sim.NetworkOptions {
	return sim.NetworkOptions{SlowOneIn: -1, LostOneIn: -1, RepeatedOneIn: -1}
}

// pair makes a world in which "a" sends a numbered message to "b" every 10 ms.
func pair(seed int64, options sim.Options) (world *sim.World, received *[]string) {
	world, received = sim.NewWorld(seed, options), &[]string{}
	world.AddMachine("a", "zone", func(environment *sim.Environment) (sim.Process, error) {
		var tick func()
		tick = func() {
			environment.Send("b", "tick")
			environment.After(10*time.Millisecond, tick)
		}
		tick()
		return &echo{environment: environment, received: &[]string{}}, nil
	})
	world.AddMachine("b", "zone", func(environment *sim.Environment) (sim.Process, error) {
		return &echo{environment: environment, received: received}, nil
	})
	return world, received
}

var _ = Describe("World", func() {
	It("given one seed, then runs alike, and another seed runs differently", func() {
		fingerprint := func(seed int64) uint64 {
			world, _ := pair(seed, sim.Options{})
			Expect(world.RunUntil(time.Second)).To(BeTrue())
			return world.Fingerprint()
		}
		Expect(fingerprint(1)).To(Equal(fingerprint(1)))
		Expect(fingerprint(1)).NotTo(Equal(fingerprint(2)))
	})

	It("given a lossy network, then loses and duplicates some messages", func() {
		options := sim.Options{Network: sim.NetworkOptions{LostOneIn: 10, RepeatedOneIn: 10}}
		world, received := pair(1, options)
		world.RunUntil(10 * time.Second)
		report := world.Report()
		Expect(report.MessagesLost).To(BeNumerically("~", report.MessagesSent/10, report.MessagesSent/20))
		Expect(len(*received)).To(BeNumerically(">", report.MessagesSent-report.MessagesLost))
	})

	It("given an outbound partition, then messages stop until it heals", func() {
		world, received := pair(1, sim.Options{Network: reliable()})
		world.Schedule([]sim.Fault{{
			At: time.Second, Kind: sim.FaultOutboundPartition, Targets: []sim.Address{"a"}, Duration: time.Second,
		}})
		world.RunUntil(1100 * time.Millisecond)
		during := len(*received)
		Expect(world.Reachable("a", "b")).To(BeFalse())
		Expect(world.Reachable("b", "a")).To(BeTrue())
		world.RunUntil(1900 * time.Millisecond)
		Expect(*received).To(HaveLen(during))
		world.RunUntil(3 * time.Second)
		Expect(len(*received)).To(BeNumerically(">", during+90))
	})

	It("given a frozen process, then its messages are deferred and its clock goes on", func() {
		world, received := pair(1, sim.Options{Network: reliable()})
		world.RunUntil(time.Second)
		before := len(*received)
		world.Machine("b").Freeze()
		world.RunUntil(2 * time.Second)
		Expect(*received).To(HaveLen(before))
		world.Machine("b").Thaw()
		Expect(len(*received)).To(BeNumerically(">=", before+99))
	})

	It("given a crashed process, then its timers end and its peers are notified unless partitioned", func() {
		world, received := pair(1, sim.Options{Network: reliable()})
		world.RunUntil(time.Second)
		world.Machine("a").Crash()
		world.RunUntil(2 * time.Second)
		Expect(*received).To(ContainElement("broken a"))

		world, received = pair(1, sim.Options{Network: reliable()})
		world.RunUntil(time.Second)
		world.Partition("a", "b")
		world.Machine("a").Crash()
		world.RunUntil(2 * time.Second)
		Expect(*received).NotTo(ContainElement("broken a"))
	})

	It("given a crash, power loss or disk loss, then the page cache, the synced content or nothing survives", func() {
		for kind, want := range map[sim.FaultKind]string{
			sim.FaultCrash: "synced and not", sim.FaultPowerLoss: "synced", sim.FaultDiskLoss: "",
		} {
			content := readBack(kind)
			if kind == sim.FaultPowerLoss {
				Expect(content).To(HavePrefix(want))
				continue
			}
			Expect(content).To(Equal(want), string(kind))
		}
	})

	It("given a process that cannot start, then starts it again", func() {
		world := sim.NewWorld(1, sim.Options{})
		attempts := 0
		machine := world.AddMachine("a", "zone", func(environment *sim.Environment) (sim.Process, error) {
			if attempts++; attempts < 3 {
				return nil, errors.New("disk is full")
			}
			return &echo{environment: environment, received: &[]string{}}, nil
		})
		world.RunUntil(5 * time.Second)
		Expect(attempts).To(Equal(3))
		Expect(machine.Process()).NotTo(BeNil())
	})

	It("given a replaced machine, then the old address is gone and a new one is added", func() {
		var world *sim.World
		world, received := pair(1, sim.Options{Network: reliable(), Replace: func(gone *sim.Machine) {
			world.AddMachine("c", gone.Zone(), func(environment *sim.Environment) (sim.Process, error) {
				return &echo{environment: environment, received: &[]string{}}, nil
			})
		}})
		world.Schedule([]sim.Fault{{
			At: time.Second, Kind: sim.FaultReplace, Targets: []sim.Address{"b"}, Duration: time.Second,
		}})
		world.RunUntil(3 * time.Second)
		Expect(len(*received)).To(BeNumerically("<", 102))
		Expect(world.Machines()).To(HaveLen(2))
		Expect(world.Machine("c").Disk().Files("/")).To(BeEmpty())
	})

	It("given clocks with offset and drift, then machines disagree within the bounds", func() {
		options := sim.Options{MaximumClockOffset: time.Minute, MaximumDriftPerMillion: 500}
		world := sim.NewWorld(4, options)
		var environments []*sim.Environment
		for _, name := range []sim.Address{"a", "b"} {
			world.AddMachine(name, "zone", func(environment *sim.Environment) (sim.Process, error) {
				environments = append(environments, environment)
				return &echo{environment: environment, received: &[]string{}}, nil
			})
		}
		world.RunUntil(0)
		apart := environments[0].Now().Sub(environments[1].Now())
		Expect(apart).NotTo(BeZero())
		Expect(apart.Abs()).To(BeNumerically("<=", 2*time.Minute))
		world.RunUntil(1000 * time.Second)
		drifted := environments[0].Now().Sub(environments[1].Now()) - apart
		Expect(drifted).NotTo(BeZero())
		Expect(drifted.Abs()).To(BeNumerically("<=", time.Second))
	})

	It("given a violation, then the run ends and the report names it", func() {
		world, _ := pair(1, sim.Options{})
		rule := world.NewRule("never three seconds")
		world.After(3*time.Second, func() { rule.Check(false, "it is %s", world.Elapsed()) })
		Expect(world.RunUntil(10 * time.Second)).To(BeFalse())
		report := world.Report()
		Expect(report.Violated()).To(BeTrue())
		Expect(report.Elapsed).To(Equal(3 * time.Second))
		Expect(report.Rules[0].Violations).To(Equal([]string{"it is 3s"}))
	})
})

// readBack writes a synced and an unsynced part, injects a fault and reads the file in the next incarnation.
func readBack(kind sim.FaultKind) string {
	world := sim.NewWorld(1, sim.Options{})
	found := "never started again"
	world.AddMachine("a", "zone", func(environment *sim.Environment) (sim.Process, error) {
		disk := environment.Disk()
		if environment.Incarnation() > 1 {
			found = ""
			if file, err := disk.Open("/file"); err == nil {
				size, _ := file.Size()
				content := make([]byte, size)
				_, _ = file.ReadAt(content, 0)
				found = string(content)
			}
			return &echo{environment: environment, received: &[]string{}}, nil
		}
		file, _ := disk.Create("/file")
		_, _ = file.WriteAt([]byte("synced"), 0)
		Expect(errors.Join(file.Sync(), disk.SyncDir("/"))).To(Succeed())
		_, _ = file.WriteAt([]byte(" and not"), 6)
		return &echo{environment: environment, received: &[]string{}}, nil
	})
	world.Schedule([]sim.Fault{{At: time.Second, Kind: kind, Targets: []sim.Address{"a"}, Duration: time.Second}})
	world.RunUntil(3 * time.Second)
	return found
}

var _ = Describe("Schedule", func() {
	plan := sim.Plan{
		Kinds:  []sim.FaultKind{sim.FaultCrash, sim.FaultInboundPartition, sim.FaultDiskLoss},
		Groups: [][]sim.Address{{"a", "b", "c"}, {"d"}},
		Count:  50, Begin: time.Second, End: 10 * time.Second, MinimumDuration: time.Second, MaximumDuration: 2 * time.Second,
	}

	It("given a seed, then draws the same faults in order within the bounds", func() {
		faults := sim.GenerateSchedule(sim.RandomFor(3, "faults"), plan)
		Expect(faults).To(Equal(sim.GenerateSchedule(sim.RandomFor(3, "faults"), plan)))
		Expect(faults).NotTo(Equal(sim.GenerateSchedule(sim.RandomFor(4, "faults"), plan)))
		previous := plan.Begin
		for _, fault := range faults {
			Expect(fault.At).To(And(BeNumerically(">=", previous), BeNumerically("<=", plan.End)))
			Expect(fault.Duration).To(And(BeNumerically(">=", plan.MinimumDuration), BeNumerically("<=", plan.MaximumDuration)))
			if fault.Kind == sim.FaultDiskLoss {
				Expect(fault.Targets).To(HaveLen(1))
			}
			previous = fault.At
		}
	})

	It("given a failing schedule, when shrunk, then leaves only the faults that matter", func() {
		faults := sim.GenerateSchedule(sim.RandomFor(3, "faults"), plan)
		needed := []sim.Fault{faults[7], faults[31]}
		shrunk := sim.Shrink(faults, 1000, func(part []sim.Fault) bool {
			return contains(part, needed[0]) && contains(part, needed[1])
		})
		Expect(shrunk).To(Equal(needed))
	})

	It("given a search, then shrinks the schedule of failing seeds and prints how to replay them", func() {
		run := func(seed int64, faults []sim.Fault) sim.Report {
			if faults == nil {
				faults = sim.GenerateSchedule(sim.RandomFor(seed, "faults"), plan)
			}
			report := sim.Report{Seed: seed, Schedule: faults, Rules: []sim.RuleResult{{Name: "a rule", Provoked: 1}}}
			if seed == 12 && len(faults) > 3 {
				report.Rules[0].Violations = []string{"broken"}
			}
			return report
		}
		summary := sim.Search(sim.SearchOptions{First: 10, Count: 5, Workers: 3}, run)
		Expect(summary.Failed).To(HaveLen(1))
		Expect(summary.Failed[0].Shrunk).To(HaveLen(4))
		var text strings.Builder
		Expect(summary.Write(&text, func(int64) string { return "replay it" })).To(Succeed())
		Expect(text.String()).To(ContainSubstring("a rule: provoked 5 times, violated 1"))
		Expect(text.String()).To(ContainSubstring("replay: replay it"))
	})
})

func contains(faults []sim.Fault, wanted sim.Fault) bool {
	for _, fault := range faults {
		if fault.String() == wanted.String() {
			return true
		}
	}
	return false
}
