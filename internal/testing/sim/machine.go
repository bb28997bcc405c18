package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/state/storage/simdisk"
)

// Process is the code of one life of a process. Timers are set through the Environment given to the Builder.
type Process interface {
	// Receive handles a message from the network.
	Receive(from Address, message any)
}

// ConnectionObserver is a Process that hears when a peer's process ended, or was not
// there when a message arrived, as TCP tells by a reset. Cuts and losses of power are silent.
type ConnectionObserver interface {
	ConnectionBroken(peer Address)
}

// Builder makes the code of one process life from what its disk holds. An error ends the
// life; the machine starts it again after Options.RestartDelay.
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

	life    *Environment
	process Process
	lives   int
	frozen  bool
	removed bool
	// unpoweredUntil is when the machine's zone has power again.
	unpoweredUntil time.Duration
	// held are the events that wait for a frozen process.
	held []func()
	// starting counts planned starts, so that only the newest counts.
	starting int
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

// Machines returns the machines that are not gone for ever, in the order of their adding.
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

// Lives returns how many processes were started on the machine.
func (m *Machine) Lives() int { return m.lives }

// Process returns the running process, frozen or not, or nil.
func (m *Machine) Process() Process { return m.process }

// Frozen says whether the process is stopped for a while.
func (m *Machine) Frozen() bool { return m.frozen }

func (m *Machine) localTime() time.Time {
	elapsed := m.world.elapsed
	drifted := elapsed + elapsed/1_000_000*time.Duration(m.drift)
	return Origin.Add(m.clockOffset + drifted)
}

func (m *Machine) startAfter(delay time.Duration) {
	m.starting++
	planned := m.starting
	delay = max(delay, m.unpoweredUntil-m.world.elapsed)
	m.world.After(delay, func() {
		if planned == m.starting && m.life == nil && !m.removed {
			m.start()
		}
	})
}

func (m *Machine) start() {
	m.lives++
	environment := &Environment{machine: m, life: m.lives}
	m.life = environment
	m.world.Tracef("%s starts, life %d", m.address, m.lives)
	process, err := m.build(environment)
	if err != nil {
		environment.Exit(err)
	}
	if m.life == environment {
		m.process = process
	}
}

// Kill ends the process; what it wrote stays in the page cache.
func (m *Machine) Kill() {
	if m.life == nil {
		return
	}
	peers := m.life.peers
	m.end()
	m.disk.Kill()
	for _, peer := range peers {
		m.world.network.breakConnection(m.address, peer)
	}
}

// LosePower ends the process and loses what was not synced; peers hear nothing.
func (m *Machine) LosePower() {
	m.end()
	m.disk.LosePower()
}

// LoseDisk ends the process and empties the disk.
func (m *Machine) LoseDisk() {
	m.end()
	m.disk.Lose()
}

// Remove takes the machine away for ever.
func (m *Machine) Remove() {
	m.end()
	m.removed = true
}

// Freeze stops the process without ending it: timers and messages wait.
func (m *Machine) Freeze() {
	m.frozen = m.life != nil
}

// Thaw lets a frozen process go on with all that waited, in order.
func (m *Machine) Thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	held := m.held
	m.held = nil
	for _, run := range held {
		run()
	}
}

func (m *Machine) end() {
	m.life, m.process, m.held, m.frozen = nil, nil, nil, false
	m.starting++
}

// deliver runs an event for one life, later when it is frozen and never when it ended.
func (m *Machine) deliver(life *Environment, run func()) {
	if m.life != life {
		return
	}
	if m.frozen {
		m.held = append(m.held, func() { m.deliver(life, run) })
		return
	}
	run()
}

// Environment is what one life of a process sees of the world.
type Environment struct {
	machine *Machine
	life    int
	peers   []Address
}

// Address returns the address of the process.
func (e *Environment) Address() Address { return e.machine.address }

// Zone returns the zone of the machine.
func (e *Environment) Zone() string { return e.machine.zone }

// Life counts the processes on this machine, from one.
func (e *Environment) Life() int { return e.life }

// Disk returns the machine's disk as this life found it.
func (e *Environment) Disk() *simdisk.Disk { return e.machine.disk }

// Random returns the machine's random source.
func (e *Environment) Random() *rand.Rand { return e.machine.random }

// Now returns the machine's own time, which is off and drifts.
func (e *Environment) Now() time.Time { return e.machine.localTime() }

// World returns the world, for traces and for rules; decisions of a process must not depend on it.
func (e *Environment) World() *World { return e.machine.world }

// Alive says whether this life is still the running one.
func (e *Environment) Alive() bool { return e.machine.life == e }

// After runs a function later unless this life has ended.
func (e *Environment) After(delay time.Duration, run func()) {
	e.machine.world.After(delay, func() { e.machine.deliver(e, run) })
}

// Send gives a message to the network. Protobuf messages are copied; others must never be changed after.
func (e *Environment) Send(to Address, message any) {
	if e.Alive() {
		e.addPeer(to)
		e.machine.world.network.send(e.machine, to, message)
	}
}

func (e *Environment) addPeer(peer Address) {
	if place, found := slices.BinarySearch(e.peers, peer); !found {
		e.peers = slices.Insert(e.peers, place, peer)
	}
}

// Exit ends this life, as a process does that finds its disk failed; the machine starts another one.
func (e *Environment) Exit(cause error) {
	if !e.Alive() {
		return
	}
	e.machine.world.Tracef("%s exits: %v", e.machine.address, cause)
	e.machine.Kill()
	e.machine.startAfter(e.machine.world.options.RestartDelay)
}

// Tracef adds a line with the address to the trace.
func (e *Environment) Tracef(format string, arguments ...any) {
	if e.machine.world.Tracing() {
		e.machine.world.Tracef(string(e.machine.address)+" "+format, arguments...)
	}
}
