package bundle

import "github.com/rosestand/rosestand/internal/protocol"

// Names in the default bundle.
const (
	TenantCaroni = "caroni"
	TenantMenon  = "menon"

	ModelClimateAdvisor   = "climate-advisor"
	ModelBookingAssistant = "booking-assistant"

	ToolSensorData    = "sensor-data"
	ToolAlarmStatus   = "alarm-status"
	ToolValvePlan     = "valve-plan"
	ToolSeatLookup    = "seat-lookup"
	ToolCheckIn       = "check-in"
	ToolInvoiceExport = "invoice-export"

	GroupAdvisors    = "advisors"
	GroupAssistants  = "assistants"
	GroupTechnicians = "technicians"
	GroupDesk        = "desk"
)

// Default returns a bundle for a new cluster: the models, tools and tenants of
// both sites, prefix affinity, salvage and the default limits. It has no sign-off
// keys, so that those of the core's settings stay active.
func Default(version uint64) *protocol.Bundle {
	return &protocol.Bundle{
		Version: version,
		Routes: []*protocol.Route{
			modelRoute(TenantCaroni, ModelClimateAdvisor, GroupAdvisors),
			modelRoute(TenantMenon, ModelBookingAssistant, GroupAssistants),
			toolRoute(TenantCaroni, ToolSensorData, GroupTechnicians, false),
			toolRoute(TenantCaroni, ToolAlarmStatus, GroupTechnicians, false),
			toolRoute(TenantCaroni, ToolValvePlan, GroupTechnicians, true),
			toolRoute(TenantMenon, ToolSeatLookup, GroupDesk, false),
			toolRoute(TenantMenon, ToolCheckIn, GroupDesk, true),
			toolRoute(TenantMenon, ToolInvoiceExport, GroupDesk, true),
		},
		Groups: []*protocol.ServerGroup{
			{Name: GroupAdvisors, ZoneLocalFirst: true},
			{Name: GroupAssistants, ZoneLocalFirst: true},
			{Name: GroupTechnicians},
			{Name: GroupDesk},
		},
		Tenants: []*protocol.TenantPolicy{
			{Name: TenantCaroni, Weight: 1, DefaultProgramBudget: 50_000},
			{Name: TenantMenon, Weight: 1, DefaultProgramBudget: 50_000},
		},
		Scheduling: &protocol.SchedulingPolicy{
			Algorithm: protocol.SchedulingAlgorithm_PREFIX_AFFINITY, LoadBound: 1.25, SubsetSize: 16,
		},
		Recovery: &protocol.RecoveryPolicy{
			SalvageMode:         protocol.SalvageMode_SALVAGE,
			DuplicateResolution: protocol.DuplicateResolution_SETTLE_THEN_YIELD,
			SalvageBatchSize:    256,
			SalvageRetryMillis:  200,
		},
		Limits: &protocol.LimitPolicy{
			MaxConcurrent: 1024, MaxQueued: 256, MaxQueueMillis: 2000,
			RetryPercent: 10, MaxOutputTokens: 4096, TurnKeepSeconds: 86_400,
		},
	}
}

func modelRoute(tenant, model, group string) *protocol.Route {
	return &protocol.Route{Name: tenant + "-" + model, Tenant: tenant, Model: model, Group: group}
}

func toolRoute(tenant, tool, group string, nonRepeatable bool) *protocol.Route {
	return &protocol.Route{
		Name: tenant + "-" + tool, Tenant: tenant, Tool: tool, Group: group, NonRepeatable: nonRepeatable,
	}
}
