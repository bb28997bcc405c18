package fleet

import (
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

// ExampleTenant has no credential, so that the examples of the pages work unchanged.
const ExampleTenant = "example"

// addExampleTenant lets a tenant without a credential call one model and one tool.
func addExampleTenant(made *protocol.Bundle) {
	made.Tenants = append(made.Tenants, &protocol.TenantPolicy{
		Name: ExampleTenant, Weight: 1,
		DefaultProgramBudget: 50_000,
	})
	made.Routes = append(made.Routes,
		&protocol.Route{
			Name: "example-model", Tenant: ExampleTenant, Model: site.ModelClimateAdvisor,
			Group: site.GroupModels,
		},
		&protocol.Route{
			Name: "example-tool", Tenant: ExampleTenant, Tool: site.ToolValvePlans, Group: site.GroupTools,
			NonRepeatable: true,
		},
	)
}
