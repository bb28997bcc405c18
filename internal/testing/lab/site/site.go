// Package site describes the two sites that the laboratory emulates: how many
// machines each has and what its callers do.
package site

import (
	"fmt"
	"slices"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
)

// Name is the name of a site.
type Name string

// Sites of the laboratory. Both mixes the callers of the two on a small fleet.
const (
	Caroni Name = "caroni"
	Menon  Name = "menon"
	Both   Name = "both"
)

// Names of the tools. Those that must never run twice come last.
const (
	ToolSensors    = bundle.ToolSensorData
	ToolAlarms     = bundle.ToolAlarmStatus
	ToolSeats      = bundle.ToolSeatLookup
	ToolValvePlans = bundle.ToolValvePlan
	ToolCheckIns   = bundle.ToolCheckIn
	ToolInvoices   = bundle.ToolInvoiceExport
)

// Models that the sites call.
const (
	ModelClimateAdvisor   = bundle.ModelClimateAdvisor
	ModelBookingAssistant = bundle.ModelBookingAssistant
)

// Names of the server groups of the laboratory.
const (
	GroupModels = "models"
	GroupTools  = "tools"
)

// NonRepeatable reports whether a call of the tool must never run twice.
func NonRepeatable(tool string) bool {
	return tool == ToolValvePlans || tool == ToolCheckIns || tool == ToolInvoices
}

// Tools lists all tools.
func Tools() []string {
	return []string{ToolSensors, ToolAlarms, ToolSeats, ToolValvePlans, ToolCheckIns, ToolInvoices}
}

// Models lists all models.
func Models() []string { return []string{ModelClimateAdvisor, ModelBookingAssistant} }

// Sizes are the numbers of processes of a fleet.
type Sizes struct {
	Voters       int `json:"voters"`
	Standbys     int `json:"standbys"`
	Stores       int `json:"stores"`
	Fronts       int `json:"fronts"`
	Zones        int `json:"zones"`
	ModelServers int `json:"model_servers"`
	ToolServers  int `json:"tool_servers"`
	// ZoneWeights deals the processes of each kind unevenly: of a sum of the weights, each zone gets its weight. Empty
	// deals them round the zones one by one.
	ZoneWeights []int `json:"zone_weights,omitempty"`
}

// Small is the fleet that `rosestand-lab run` brings up.
func Small() Sizes {
	return Sizes{Voters: 3, Standbys: 1, Stores: 3, Fronts: 4, Zones: 4, ModelServers: 3, ToolServers: 2}
}

// SizesOf gives the whole fleet of a site.
func SizesOf(name Name) (Sizes, error) {
	switch name {
	case Caroni:
		return Sizes{Voters: 3, Standbys: 1, Stores: 4, Fronts: 10, Zones: 4, ModelServers: 12, ToolServers: 7}, nil
	case Menon:
		return Sizes{Voters: 3, Standbys: 1, Stores: 4, Fronts: 11, Zones: 4, ModelServers: 12, ToolServers: 14}, nil
	case Both:
		return Small(), nil
	default:
		return Sizes{}, &UnknownSiteError{Name: name}
	}
}

// Parts lists the sites whose callers a name stands for.
func Parts(name Name) ([]Name, error) {
	switch name {
	case Caroni, Menon:
		return []Name{name}, nil
	case Both:
		return []Name{Caroni, Menon}, nil
	default:
		return nil, &UnknownSiteError{Name: name}
	}
}

// UnknownSiteError names a site that does not exist.
type UnknownSiteError struct{ Name Name }

// Error implements error.
func (e *UnknownSiteError) Error() string {
	return fmt.Sprintf("unknown site %q: caroni, menon or both", string(e.Name))
}

// Faults says what is wrong with sizes that a file gives, in the order of the fields.
func (s Sizes) Faults() []string {
	var faults []string
	required := []struct {
		name  string
		value int
	}{
		{"voters", s.Voters},
		{"stores", s.Stores},
		{"fronts", s.Fronts},
		{"zones", s.Zones},
		{"model_servers", s.ModelServers},
		{"tool_servers", s.ToolServers},
	}
	for _, field := range required {
		if field.value < 1 {
			faults = append(faults, field.name+" must be 1 or more")
		}
	}
	if s.Standbys < 0 {
		faults = append(faults, "standbys must not be negative")
	}
	if len(s.ZoneWeights) > 0 && (len(s.ZoneWeights) != s.Zones || slices.Min(s.ZoneWeights) < 1) {
		faults = append(faults, "zone_weights must name a weight of 1 or more for each zone")
	}
	return faults
}

// ZoneOf gives the zone of the i-th process of a kind, counted from 0.
func (s Sizes) ZoneOf(i int) int {
	dealt := 0
	for _, weight := range s.ZoneWeights {
		dealt += weight
	}
	if dealt <= 0 {
		return i % s.Zones
	}
	index := i % dealt
	for zone, weight := range s.ZoneWeights {
		if index < weight {
			return zone
		}
		index -= weight
	}
	return 0
}

// ZoneName names a zone that is counted from 0.
func (s Sizes) ZoneName(zone int) string { return fmt.Sprintf("zone-%d", zone+1) }
