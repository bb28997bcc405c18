package sim

import (
	"slices"
	"strings"
)

const zonePrefix = "zone="

// InZone is the target that names a whole zone.
func InZone(zone string) Address { return Address(zonePrefix + zone) }

// ZonesOf gives the zones that targets name with InZone.
func ZonesOf(targets []Address) []string {
	var zones []string
	for _, target := range targets {
		if zone, named := strings.CutPrefix(string(target), zonePrefix); named {
			zones = append(zones, zone)
		}
	}
	return zones
}

func (w *World) applyZoneCut(fault Fault) {
	targets, peers := ZonesOf(fault.Targets), ZonesOf(fault.Peers)
	if len(peers) == 0 {
		peers = w.zonesBut(targets)
	}
	var ways []zoneDirection
	for _, target := range targets {
		for _, peer := range peers {
			if fault.Kind != FaultCutZonesTo {
				ways = append(ways, zoneDirection{from: target, to: peer})
			}
			if fault.Kind != FaultCutZonesFrom {
				ways = append(ways, zoneDirection{from: peer, to: target})
			}
		}
	}
	for _, way := range ways {
		w.network.zoneCuts[way]++
	}
	w.After(fault.Duration, func() {
		for _, way := range ways {
			w.network.zoneCuts[way]--
		}
	})
}

// zonesBut lists the zones of all machines without some.
func (w *World) zonesBut(excluded []string) []string {
	var zones []string
	for _, machine := range w.machines {
		if !slices.Contains(excluded, machine.zone) && !slices.Contains(zones, machine.zone) {
			zones = append(zones, machine.zone)
		}
	}
	return zones
}

func (w *World) loseZones(fault Fault) {
	zones := ZonesOf(fault.Targets)
	for _, machine := range w.Machines() {
		if slices.Contains(zones, machine.zone) {
			machine.unpoweredUntil = max(machine.unpoweredUntil, w.elapsed+fault.Duration)
			machine.LosePower()
			machine.startAfter(fault.Duration)
		}
	}
}
