package bundle

import "github.com/rosestand/rosestand/internal/protocol"

// target is the model or tool that a route matches, for one tenant or, if tenant
// is empty, for all tenants.
type target struct {
	tenant string
	tool   bool
	name   string
}

// Index looks up entries of one merged bundle. It is immutable and safe for concurrent use.
type Index struct {
	bundle  *protocol.Bundle
	routes  map[target]*protocol.Route
	groups  map[string]*protocol.ServerGroup
	tenants map[string]*protocol.TenantPolicy
	// targets has the models and tools of all routes, with an empty tenant.
	targets map[target]struct{}
	// hosts has the HTTP routes by host, normalized by hostKey.
	hosts map[string]*hostRoutes
}

// NewIndex returns the index of a merged bundle. The index of a nil bundle is empty.
func NewIndex(b *protocol.Bundle) *Index {
	index := &Index{
		bundle:  b,
		routes:  make(map[target]*protocol.Route, len(b.GetRoutes())),
		groups:  make(map[string]*protocol.ServerGroup, len(b.GetGroups())),
		tenants: make(map[string]*protocol.TenantPolicy, len(b.GetTenants())),
		targets: make(map[target]struct{}),
		hosts:   indexHosts(b.GetHttpRoutes()),
	}
	for _, route := range b.GetRoutes() {
		matched := newTarget(route)
		index.routes[matched] = route
		matched.tenant = ""
		index.targets[matched] = struct{}{}
	}
	for _, group := range b.GetGroups() {
		index.groups[group.GetName()] = group
	}
	for _, tenant := range b.GetTenants() {
		index.tenants[tenant.GetName()] = tenant
	}
	return index
}

func newTarget(route *protocol.Route) target {
	if route.GetTool() != "" {
		return target{tenant: route.GetTenant(), tool: true, name: route.GetTool()}
	}
	return target{tenant: route.GetTenant(), name: route.GetModel()}
}

// Bundle returns the indexed bundle; it may be nil.
func (i *Index) Bundle() *protocol.Bundle { return i.bundle }

// Model returns the route to a model: the tenant's own one, or else the one for all
// tenants; nil if there is none.
func (i *Index) Model(tenant, model string) *protocol.Route {
	return i.route(target{tenant: tenant, name: model})
}

// Tool returns the route to a tool: the tenant's own one, or else the one for all
// tenants; nil if there is none.
func (i *Index) Tool(tenant, tool string) *protocol.Route {
	return i.route(target{tenant: tenant, tool: true, name: tool})
}

func (i *Index) route(wanted target) *protocol.Route {
	if route := i.routes[wanted]; route != nil {
		return route
	}
	wanted.tenant = ""
	return i.routes[wanted]
}

// KnownModel reports whether any tenant has a route to the model.
func (i *Index) KnownModel(model string) bool {
	_, known := i.targets[target{name: model}]
	return known
}

// KnownTool reports whether any tenant has a route to the tool.
func (i *Index) KnownTool(tool string) bool {
	_, known := i.targets[target{tool: true, name: tool}]
	return known
}

// Group returns a server group by its name; nil if there is none.
func (i *Index) Group(name string) *protocol.ServerGroup { return i.groups[name] }

// Tenant returns a tenant's policy by its name; nil if there is none.
func (i *Index) Tenant(name string) *protocol.TenantPolicy { return i.tenants[name] }
