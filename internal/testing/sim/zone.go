package sim

import (
	"slices"
	"strings"
)

const zonePrefix = "zone="

// InZone is the target that stands for all machines of a zone.
func InZone(zone string) Address { return Address(zonePrefix + zone) }

// ZonesOf returns the zones that targets name with InZone.
func ZonesOf(targets []Address) []string {
	var zones []string
	for _, target := range targets {
		if zone, named := strings.CutPrefix(string(target), zonePrefix); named {
			zones = append(zones, zone)
		}
	}
	return zones
}

func (w *World) applyZonePartition(fault Fault) {
	targets, peers := ZonesOf(fault.Targets), ZonesOf(fault.Peers)
	if len(peers) == 0 {
		peers = w.zonesExcept(targets)
	}
	paths := directedLinks(targets, peers,
		fault.Kind != FaultZoneInboundPartition, fault.Kind != FaultZoneOutboundPartition)
	for _, path := range paths {
		w.network.zonePartitions[path]++
	}
	w.After(fault.Duration, func() {
		for _, way := range paths {
			w.network.zonePartitions[way]--
		}
	})
}

// zonesExcept returns the zones of all machines, except the excluded ones, in the order of the machines.
func (w *World) zonesExcept(excluded []string) []string {
	var zones []string
	for _, machine := range w.machines {
		if !slices.Contains(excluded, machine.zone) && !slices.Contains(zones, machine.zone) {
			zones = append(zones, machine.zone)
		}
	}
	return zones
}

func (w *World) losePowerOfZones(fault Fault) {
	zones := ZonesOf(fault.Targets)
	for _, machine := range w.Machines() {
		if slices.Contains(zones, machine.zone) {
			machine.unpoweredUntil = max(machine.unpoweredUntil, w.elapsed+fault.Duration)
			machine.LosePower()
			machine.startAfter(fault.Duration)
		}
	}
}
