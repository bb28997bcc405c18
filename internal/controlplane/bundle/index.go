package bundle

import "github.com/rosestand/rosestand/internal/protocol"

// target is what a route matches: a model or a tool, of one tenant or of all.
type target struct {
	tenant string
	tool   bool
	name   string
}

// Index answers look-ups in one merged bundle. It is immutable and safe for concurrent use.
type Index struct {
	bundle  *protocol.Bundle
	routes  map[target]*protocol.Route
	groups  map[string]*protocol.ServerGroup
	tenants map[string]*protocol.TenantPolicy
	// known holds the models and tools that any route names, of whatever tenant.
	known map[target]struct{}
	// hosts holds the HTTP routes by host in the form of hostKey.
	hosts map[string]*hostRoutes
}

// NewIndex builds the index of a merged bundle; nil gives an index that finds nothing.
func NewIndex(b *protocol.Bundle) *Index {
	index := &Index{
		bundle:  b,
		routes:  make(map[target]*protocol.Route, len(b.GetRoutes())),
		groups:  make(map[string]*protocol.ServerGroup, len(b.GetGroups())),
		tenants: make(map[string]*protocol.TenantPolicy, len(b.GetTenants())),
		known:   make(map[target]struct{}),
		hosts:   indexHosts(b.GetHttpRoutes()),
	}
	for _, route := range b.GetRoutes() {
		matched := targetOf(route)
		index.routes[matched] = route
		matched.tenant = ""
		index.known[matched] = struct{}{}
	}
	for _, group := range b.GetGroups() {
		index.groups[group.GetName()] = group
	}
	for _, tenant := range b.GetTenants() {
		index.tenants[tenant.GetName()] = tenant
	}
	return index
}

func targetOf(route *protocol.Route) target {
	if route.GetTool() != "" {
		return target{tenant: route.GetTenant(), tool: true, name: route.GetTool()}
	}
	return target{tenant: route.GetTenant(), name: route.GetModel()}
}

// Bundle returns the bundle indexed; it may be nil.
func (i *Index) Bundle() *protocol.Bundle { return i.bundle }

// Model finds the route of a model: the tenant's own one before that of all tenants. Nil when there is none.
func (i *Index) Model(tenant, model string) *protocol.Route {
	return i.find(target{tenant: tenant, name: model})
}

// Tool finds the route of a tool, as Model does.
func (i *Index) Tool(tenant, tool string) *protocol.Route {
	return i.find(target{tenant: tenant, tool: true, name: tool})
}

func (i *Index) find(wanted target) *protocol.Route {
	if route := i.routes[wanted]; route != nil {
		return route
	}
	wanted.tenant = ""
	return i.routes[wanted]
}

// KnownModel reports whether any tenant has a route to the model.
func (i *Index) KnownModel(model string) bool {
	_, known := i.known[target{name: model}]
	return known
}

// KnownTool reports whether any tenant has a route to the tool.
func (i *Index) KnownTool(tool string) bool {
	_, known := i.known[target{tool: true, name: tool}]
	return known
}

// Group finds a server group by name; nil when there is none.
func (i *Index) Group(name string) *protocol.ServerGroup { return i.groups[name] }

// Tenant finds a tenant's policy by name; nil when there is none.
func (i *Index) Tenant(name string) *protocol.TenantPolicy { return i.tenants[name] }
