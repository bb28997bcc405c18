package sim

import (
	"fmt"
	"strings"
	"time"
)

// FaultKind says what a fault does.
type FaultKind string

// Kinds of faults. Targets are machines; the ones that end a process start it again after Duration.
const (
	// FaultKill ends the processes at once.
	FaultKill FaultKind = "kill"
	// FaultFreeze stops the processes for Duration.
	FaultFreeze FaultKind = "freeze"
	// FaultPowerLoss ends the processes and loses what they did not sync.
	FaultPowerLoss FaultKind = "power-loss"
	// FaultLostDisk ends the processes and empties their disks.
	FaultLostDisk FaultKind = "lost-disk"
	// FaultReplace takes the machines away; Options.Replace adds others in their place after Duration.
	FaultReplace FaultKind = "replace"
	// FaultCut stops messages between Targets and all other machines, both ways.
	FaultCut FaultKind = "cut"
	// FaultCutFrom stops messages from Targets to Peers, or to all other machines without Peers.
	FaultCutFrom FaultKind = "cut-from"
	// FaultCutTo stops messages to Targets from Peers, or from all other machines without Peers.
	FaultCutTo FaultKind = "cut-to"
	// FaultCutZones, FaultCutZonesFrom and FaultCutZonesTo cut the zones that Targets name with InZone from those of Peers, or from all others.
	FaultCutZones     FaultKind = "cut-zones"
	FaultCutZonesFrom FaultKind = "cut-zones-from"
	FaultCutZonesTo   FaultKind = "cut-zones-to"
	// FaultLostZones takes the power from the zones that Targets name; no process starts there before Duration has passed.
	FaultLostZones FaultKind = "lost-zones"
	// FaultLoss loses one message in five everywhere.
	FaultLoss FaultKind = "loss"
	// FaultFailSync lets the next sync on each target fail, once.
	FaultFailSync FaultKind = "fail-sync"
	// FaultFullDisk leaves no room on the targets' disks.
	FaultFullDisk FaultKind = "full-disk"
)

const burstLossPerMille = 200

// wildcard at the end of a target stands for all machines there at the time whose addresses begin with the rest.
const wildcard = "*"

// AllWith is the target that stands for all machines whose addresses begin with prefix when the fault comes.
func AllWith(prefix string) Address { return Address(prefix + wildcard) }

// Fault is one planned fault.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	// Targets are addresses of machines, or what AllWith gives.
	Targets  []Address
	Peers    []Address
	Duration time.Duration
}

// String gives the fault in one line.
func (f Fault) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%.3fs %s %s", f.At.Seconds(), f.Kind, joined(f.Targets))
	if len(f.Peers) > 0 {
		fmt.Fprintf(&text, " peers %s", joined(f.Peers))
	}
	fmt.Fprintf(&text, " for %s", f.Duration)
	return text.String()
}

func joined(addresses []Address) string {
	var names []string
	for _, address := range addresses {
		names = append(names, string(address))
	}
	return strings.Join(names, ",")
}

// Schedule plans faults. It is called before the run.
func (w *World) Schedule(faults []Fault) {
	w.faults = append(w.faults, faults...)
	for _, fault := range faults {
		w.After(fault.At, func() { w.tryFault(fault, w.elapsed+FaultPatience) })
	}
}

func (w *World) tryFault(fault Fault, deadline time.Duration) {
	if w.options.MayApply == nil || w.options.MayApply(fault) {
		w.applied = append(w.applied, fault)
		w.Tracef("FAULT %s", fault)
		w.apply(fault)
		return
	}
	if w.elapsed >= deadline {
		w.skipped = append(w.skipped, fault)
		return
	}
	w.After(FaultRetry, func() { w.tryFault(fault, deadline) })
}

func (w *World) apply(fault Fault) {
	switch fault.Kind {
	case FaultCut, FaultCutFrom, FaultCutTo:
		w.applyCut(fault)
	case FaultCutZones, FaultCutZonesFrom, FaultCutZonesTo:
		w.applyZoneCut(fault)
	case FaultLostZones:
		w.loseZones(fault)
	case FaultLoss:
		w.SetExtraLoss(burstLossPerMille)
		w.After(fault.Duration, func() { w.SetExtraLoss(0) })
	default:
		for _, target := range w.expand(fault.Targets) {
			if machine := w.byName[target]; machine != nil && !machine.removed {
				machine.applyFault(fault)
			}
		}
	}
}

// expand replaces what AllWith gave by the machines that are there.
func (w *World) expand(targets []Address) []Address {
	var expanded []Address
	for _, target := range targets {
		prefix, all := strings.CutSuffix(string(target), wildcard)
		if !all {
			expanded = append(expanded, target)
			continue
		}
		for _, machine := range w.Machines() {
			if strings.HasPrefix(string(machine.address), prefix) {
				expanded = append(expanded, machine.address)
			}
		}
	}
	return expanded
}

func (m *Machine) applyFault(fault Fault) {
	switch fault.Kind {
	case FaultKill:
		m.Kill()
		m.startAfter(fault.Duration)
	case FaultFreeze:
		m.freezeFor(fault.Duration)
	case FaultPowerLoss:
		m.LosePower()
		m.startAfter(fault.Duration)
	case FaultLostDisk:
		m.LoseDisk()
		m.startAfter(fault.Duration)
	case FaultReplace:
		m.replaceAfter(fault.Duration)
	case FaultFailSync:
		m.disk.FailSyncs(0, 1)
	case FaultFullDisk:
		m.disk.SetCapacity(max(m.disk.Used(), 1))
		m.world.After(fault.Duration, func() { m.disk.SetCapacity(0) })
	}
}

func (m *Machine) freezeFor(duration time.Duration) {
	m.Freeze()
	life := m.life
	m.world.After(duration, func() {
		if m.life == life {
			m.Thaw()
		}
	})
}

func (m *Machine) replaceAfter(delay time.Duration) {
	m.Remove()
	m.world.After(delay, func() {
		if m.world.options.Replace != nil {
			m.world.options.Replace(m)
		}
	})
}

func (w *World) applyCut(fault Fault) {
	fault.Targets, fault.Peers = w.expand(fault.Targets), w.expand(fault.Peers)
	var ways []direction
	for _, target := range fault.Targets {
		for _, peer := range w.cutPeers(fault) {
			if fault.Kind != FaultCutTo {
				ways = append(ways, direction{from: target, to: peer})
			}
			if fault.Kind != FaultCutFrom {
				ways = append(ways, direction{from: peer, to: target})
			}
		}
	}
	for _, way := range ways {
		w.Cut(way.from, way.to)
	}
	w.After(fault.Duration, func() {
		for _, way := range ways {
			w.Heal(way.from, way.to)
		}
	})
}

func (w *World) cutPeers(fault Fault) []Address {
	if len(fault.Peers) > 0 {
		return fault.Peers
	}
	isTarget := map[Address]bool{}
	for _, target := range fault.Targets {
		isTarget[target] = true
	}
	var peers []Address
	for _, machine := range w.Machines() {
		if !isTarget[machine.address] {
			peers = append(peers, machine.address)
		}
	}
	return peers
}
