package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

// Environment is what one incarnation of a process sees of the world.
type Environment struct {
	machine     *Machine
	incarnation int
	peers       []Address
}

// Address returns the address of the process.
func (e *Environment) Address() Address { return e.machine.address }

// Zone returns the zone of the machine.
func (e *Environment) Zone() string { return e.machine.zone }

// Incarnation counts the processes started on this machine, from one.
func (e *Environment) Incarnation() int { return e.incarnation }

// Disk returns the machine's disk.
func (e *Environment) Disk() *simdisk.Disk { return e.machine.disk }

// Random returns the machine's random source.
func (e *Environment) Random() *rand.Rand { return e.machine.random }

// Now returns the machine's wall clock, which has an offset and drifts.
func (e *Environment) Now() time.Time { return e.machine.localTime() }

// World returns the world, for traces and for rules; decisions of a process must not depend on it.
func (e *Environment) World() *World { return e.machine.world }

// Alive reports whether this incarnation is still the running one.
func (e *Environment) Alive() bool { return e.machine.environment == e }

// After runs a function after a delay unless this incarnation has ended by then.
func (e *Environment) After(delay time.Duration, run func()) {
	e.machine.world.After(delay, func() { e.machine.deliver(e, run) })
}

// Send hands a message to the network. Protobuf messages are copied; others must not be changed afterwards.
func (e *Environment) Send(to Address, message any) {
	if e.Alive() {
		e.addPeer(to)
		e.machine.world.network.send(e.machine, to, message)
	}
}

func (e *Environment) addPeer(peer Address) {
	if index, known := slices.BinarySearch(e.peers, peer); !known {
		e.peers = slices.Insert(e.peers, index, peer)
	}
}

// Exit ends this incarnation, as a process does whose disk failed; the machine starts the next one after
// Options.RestartDelay.
func (e *Environment) Exit(cause error) {
	if !e.Alive() {
		return
	}
	e.machine.world.Tracef("%s exits: %v", e.machine.address, cause)
	e.machine.Crash()
	e.machine.startAfter(e.machine.world.options.RestartDelay)
}

// Tracef adds a line with the address to the trace.
func (e *Environment) Tracef(format string, arguments ...any) {
	if e.machine.world.Tracing() {
		e.machine.world.Tracef(string(e.machine.address)+" "+format, arguments...)
	}
}
