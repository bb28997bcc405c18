package sim

import (
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

// Process is the code of one incarnation of a process. Timers are set through the Environment given to the Builder.
type Process interface {
	// Receive handles a message from the network.
	Receive(from Address, message any)
}

// ConnectionObserver is a Process that is notified when a peer's process ended, or was not
// running when a message arrived, as TCP does by a reset. Partitions and losses of power reset nothing.
type ConnectionObserver interface {
	// ConnectionBroken is called once for each reset.
	ConnectionBroken(peer Address)
}

// Builder makes the code of one incarnation of a process from what its disk holds. An error ends the
// incarnation; the machine starts the next one after Options.RestartDelay.
type Builder func(*Environment) (Process, error)

// Machine is a computer with one disk that runs one process.
type Machine struct {
	world   *World
	address Address
	zone    string
	disk    *simdisk.Disk
	random  *rand.Rand
	build   Builder

	clockOffset time.Duration
	drift       int64

	environment  *Environment
	process      Process
	incarnations int
	frozen       bool
	removed      bool
	// unpoweredUntil is when the machine's zone has power again.
	unpoweredUntil time.Duration
	// deferred are the events that wait for a frozen process.
	deferred []func()
	// plannedStarts counts planned starts; only the newest takes place.
	plannedStarts int
}

// AddMachine adds a machine with an empty disk and starts its process at once.
func (w *World) AddMachine(address Address, zone string, build Builder) *Machine {
	random := w.Random("machine " + string(address))
	machine := &Machine{
		world: w, address: address, zone: zone, random: random, build: build,
		disk: simdisk.New(w.Random("disk " + string(address))),
	}
	if bound := w.options.MaximumClockOffset; bound > 0 {
		machine.clockOffset = time.Duration(random.Int64N(2*int64(bound)+1)) - bound
	}
	if bound := w.options.MaximumDriftPerMillion; bound > 0 {
		machine.drift = random.Int64N(2*bound+1) - bound
	}
	w.machines = append(w.machines, machine)
	w.byName[address] = machine
	machine.startAfter(0)
	return machine
}

// Machines returns the machines that were not removed, in the order in which they were added.
func (w *World) Machines() []*Machine {
	var present []*Machine
	for _, machine := range w.machines {
		if !machine.removed {
			present = append(present, machine)
		}
	}
	return present
}

// Machine returns the machine with an address, or nil.
func (w *World) Machine(address Address) *Machine { return w.byName[address] }

// Address returns the machine's address.
func (m *Machine) Address() Address { return m.address }

// Zone returns the machine's zone.
func (m *Machine) Zone() string { return m.zone }

// Disk returns the machine's disk.
func (m *Machine) Disk() *simdisk.Disk { return m.disk }

// Incarnations returns how many processes were started on the machine.
func (m *Machine) Incarnations() int { return m.incarnations }

// Process returns the running process, frozen or not, or nil.
func (m *Machine) Process() Process { return m.process }

// Frozen reports whether the process is stopped until Thaw.
func (m *Machine) Frozen() bool { return m.frozen }

func (m *Machine) localTime() time.Time {
	elapsed := m.world.elapsed
	drifted := elapsed + elapsed/1_000_000*time.Duration(m.drift)
	return Origin.Add(m.clockOffset + drifted)
}

func (m *Machine) startAfter(delay time.Duration) {
	m.plannedStarts++
	planned := m.plannedStarts
	delay = max(delay, m.unpoweredUntil-m.world.elapsed)
	m.world.After(delay, func() {
		if planned == m.plannedStarts && m.environment == nil && !m.removed {
			m.start()
		}
	})
}

func (m *Machine) start() {
	m.incarnations++
	environment := &Environment{machine: m, incarnation: m.incarnations}
	m.environment = environment
	m.world.Tracef("%s starts, life %d", m.address, m.incarnations)
	process, err := m.build(environment)
	if err != nil {
		environment.Exit(err)
	}
	if m.environment == environment {
		m.process = process
	}
}

// Crash ends the process; what it wrote stays in the page cache.
func (m *Machine) Crash() {
	if m.environment == nil {
		return
	}
	peers := m.environment.peers
	m.end()
	m.disk.Kill()
	for _, peer := range peers {
		m.world.network.resetConnection(m.address, peer)
	}
}

// LosePower ends the process and loses what was not synced; peers are not notified.
func (m *Machine) LosePower() {
	m.end()
	m.disk.LosePower()
}

// LoseDisk ends the process and empties the disk.
func (m *Machine) LoseDisk() {
	m.end()
	m.disk.Lose()
}

// Remove takes the machine out of the run.
func (m *Machine) Remove() {
	m.end()
	m.removed = true
}

// Freeze stops the process without ending it: timers and messages are deferred.
func (m *Machine) Freeze() {
	m.frozen = m.environment != nil
}

// Thaw resumes a frozen process and runs the deferred events in order.
func (m *Machine) Thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	deferred := m.deferred
	m.deferred = nil
	for _, run := range deferred {
		run()
	}
}

func (m *Machine) end() {
	m.environment, m.process, m.deferred, m.frozen = nil, nil, nil, false
	m.plannedStarts++
}

// deliver runs an event for one incarnation: after Thaw while it is frozen, never once it ended.
func (m *Machine) deliver(environment *Environment, run func()) {
	if m.environment != environment {
		return
	}
	if m.frozen {
		m.deferred = append(m.deferred, func() { m.deliver(environment, run) })
		return
	}
	run()
}
