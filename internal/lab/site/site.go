// Package site describes the two sites that the laboratory emulates: how many
// machines each has and what its callers do.
package site

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/bundle"
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

func (e *UnknownSiteError) Error() string {
	return fmt.Sprintf("unknown site %q: caroni, menon or both", string(e.Name))
}

// Zone names the i-th zone; machines are dealt round the zones.
func (s Sizes) Zone(i int) string { return fmt.Sprintf("zone-%d", i%s.Zones+1) }
