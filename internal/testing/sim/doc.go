// Package sim runs real decision code and real storage code on a virtual clock, a simulated
// network and simulated disks, all decided by one seed: the same seed and schedule
// of faults give the same run, event for event. It has no goroutines and never waits.
//
// A suite builds a World, adds machines with a Builder that makes the code of one incarnation of a process,
// and adds rules that check invariants. The schedule of faults is generated from the seed before the run, so
// that the schedule of a failing run can be shrunk to the faults that matter (Shrink).
//
//	world := sim.NewWorld(seed, sim.Options{})
//	rule := world.NewRule("no acknowledged write is lost")
//	world.AddMachine("store-1", "zone-1", build)
//	world.Schedule(faults)
//	world.RunUntil(30 * time.Second)
//	report := world.Report()
//
// A process sees the world through its Environment only: Now, After, Send, Disk, Random. A timer or message for a
// process that has ended is dropped, one for a frozen process is deferred until it thaws.
//
// A World and everything in it belongs to the goroutine that runs it; only Search starts goroutines, each with
// worlds of its own.
package sim
