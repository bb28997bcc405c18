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
	// FaultCrash ends the processes at once.
	FaultCrash FaultKind = "kill"
	// FaultFreeze stops the processes for Duration.
	FaultFreeze FaultKind = "freeze"
	// FaultPowerLoss ends the processes and loses what they did not sync.
	FaultPowerLoss FaultKind = "power-loss"
	// FaultDiskLoss ends the processes and empties their disks.
	FaultDiskLoss FaultKind = "lost-disk"
	// FaultReplace removes the machines; Options.Replace adds others in their place after Duration.
	FaultReplace FaultKind = "replace"
	// FaultPartition drops messages between Targets and all other machines, in both directions.
	FaultPartition FaultKind = "cut"
	// FaultOutboundPartition drops messages from Targets to Peers, or to all other machines without Peers.
	FaultOutboundPartition FaultKind = "cut-from"
	// FaultInboundPartition drops messages to Targets from Peers, or from all other machines without Peers.
	FaultInboundPartition FaultKind = "cut-to"
	// FaultZonePartition, FaultZoneOutboundPartition and FaultZoneInboundPartition do so between the zones that
	// Targets name with InZone and those of Peers, or all other zones.
	FaultZonePartition         FaultKind = "cut-zones"
	FaultZoneOutboundPartition FaultKind = "cut-zones-from"
	FaultZoneInboundPartition  FaultKind = "cut-zones-to"
	// FaultZonePowerLoss cuts the power of the zones that Targets name; no process starts there before Duration has
	// passed.
	FaultZonePowerLoss FaultKind = "lost-zones"
	// FaultMessageLoss loses one message in five everywhere.
	FaultMessageLoss FaultKind = "loss"
	// FaultSyncFailure lets the next sync on each target fail, once.
	FaultSyncFailure FaultKind = "fail-sync"
	// FaultFullDisk leaves no free space on the targets' disks.
	FaultFullDisk FaultKind = "full-disk"
)

// lossPerMille is the extra loss of FaultMessageLoss.
const lossPerMille = 200

// wildcard at the end of a target stands for all machines present at the time whose addresses begin with the rest.
const wildcard = "*"

// AllWithPrefix is the target that stands for all machines whose addresses begin with prefix when the fault is applied.
func AllWithPrefix(prefix string) Address { return Address(prefix + wildcard) }

// Fault is one planned fault.
type Fault struct {
	// At is the true time since the start of the run.
	At   time.Duration
	Kind FaultKind
	// Targets are addresses of machines, or what AllWithPrefix or InZone returns.
	Targets []Address
	// Peers narrow partitions to messages between Targets and them.
	Peers []Address
	// Duration is the time until the fault is undone, or the process is started again.
	Duration time.Duration
}

// String returns the fault in one line.
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

// Schedule plans faults; it must be called before the run.
func (w *World) Schedule(faults []Fault) {
	w.faults = append(w.faults, faults...)
	for _, fault := range faults {
		w.After(fault.At, func() { w.attemptFault(fault, w.elapsed+FaultTimeout) })
	}
}

func (w *World) attemptFault(fault Fault, deadline time.Duration) {
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
	w.After(FaultRetryInterval, func() { w.attemptFault(fault, deadline) })
}

func (w *World) apply(fault Fault) {
	switch fault.Kind {
	case FaultPartition, FaultOutboundPartition, FaultInboundPartition:
		w.applyPartition(fault)
	case FaultZonePartition, FaultZoneOutboundPartition, FaultZoneInboundPartition:
		w.applyZonePartition(fault)
	case FaultZonePowerLoss:
		w.losePowerOfZones(fault)
	case FaultMessageLoss:
		w.SetExtraLoss(lossPerMille)
		w.After(fault.Duration, func() { w.SetExtraLoss(0) })
	default:
		for _, target := range w.expand(fault.Targets) {
			if machine := w.byName[target]; machine != nil && !machine.removed {
				machine.applyFault(fault)
			}
		}
	}
}

// expand replaces targets of AllWithPrefix by the machines that are present.
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
	case FaultCrash:
		m.Crash()
		m.startAfter(fault.Duration)
	case FaultFreeze:
		m.freezeFor(fault.Duration)
	case FaultPowerLoss:
		m.LosePower()
		m.startAfter(fault.Duration)
	case FaultDiskLoss:
		m.LoseDisk()
		m.startAfter(fault.Duration)
	case FaultReplace:
		m.replaceAfter(fault.Duration)
	case FaultSyncFailure:
		m.disk.FailSyncs(0, 1)
	case FaultFullDisk:
		m.disk.SetCapacity(max(m.disk.Used(), 1))
		m.world.After(fault.Duration, func() { m.disk.SetCapacity(0) })
	}
}

func (m *Machine) freezeFor(duration time.Duration) {
	m.Freeze()
	frozen := m.environment
	m.world.After(duration, func() {
		if m.environment == frozen {
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

func (w *World) applyPartition(fault Fault) {
	fault.Targets, fault.Peers = w.expand(fault.Targets), w.expand(fault.Peers)
	paths := directedLinks(fault.Targets, w.partitionPeers(fault),
		fault.Kind != FaultInboundPartition, fault.Kind != FaultOutboundPartition)
	for _, path := range paths {
		w.Partition(path.from, path.to)
	}
	w.After(fault.Duration, func() {
		for _, way := range paths {
			w.Heal(way.from, way.to)
		}
	})
}

// directedLinks returns the links from targets to peers and back, as far as each direction is asked for.
func directedLinks[T any](targets, peers []T, outbound, inbound bool) []directed[T] {
	var links []directed[T]
	for _, target := range targets {
		for _, peer := range peers {
			if outbound {
				links = append(links, directed[T]{from: target, to: peer})
			}
			if inbound {
				links = append(links, directed[T]{from: peer, to: target})
			}
		}
	}
	return links
}

func (w *World) partitionPeers(fault Fault) []Address {
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
