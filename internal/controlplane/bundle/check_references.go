package bundle

import (
	"fmt"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// checkRemovals checks the lists of removed names against the base.
func (c *checker) checkRemovals(base, b *protocol.Bundle) {
	lists := []struct {
		path               string
		removed            []string
		existing, replaced []string
	}{
		{"removed_routes", b.GetRemovedRoutes(), entryNames(base.GetRoutes()), entryNames(b.GetRoutes())},
		{"removed_groups", b.GetRemovedGroups(), entryNames(base.GetGroups()), entryNames(b.GetGroups())},
		{"removed_tenants", b.GetRemovedTenants(), entryNames(base.GetTenants()), entryNames(b.GetTenants())},
		{"removed_http_routes", b.GetRemovedHttpRoutes(), entryNames(base.GetHttpRoutes()), entryNames(b.GetHttpRoutes())},
	}
	for _, list := range lists {
		if len(list.removed) > 0 && !b.GetPartial() {
			c.addFault(list.path, "is allowed in a partial bundle only")
			continue
		}
		c.checkRemovedNames(list.path, list.removed, list.existing, list.replaced)
	}
}

// checkRemovedNames checks one list of removed names. The existing names must be sorted.
func (c *checker) checkRemovedNames(path string, removed, existing, replaced []string) {
	submitted := make(map[string]bool, len(replaced))
	for _, name := range replaced {
		submitted[name] = true
	}
	seen := map[string]bool{}
	for i, name := range removed {
		faultPath := fmt.Sprintf("%s[%d]", path, i)
		if _, exists := slices.BinarySearch(existing, name); !exists {
			c.addFault(faultPath, fmt.Sprintf("%q is not in the base", name))
		}
		if submitted[name] {
			c.addFault(faultPath, fmt.Sprintf("%q is both given and removed", name))
		}
		if seen[name] {
			c.addFault(faultPath, fmt.Sprintf("%q is removed twice", name))
		}
		seen[name] = true
	}
}

func entryNames[T named](entries []T) []string {
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.GetName()
	}
	return names
}

// checkReferences checks the references between the entries of the merged bundle.
// The paths of faults have the index of a submitted route and the name of a route
// of the base.
func (c *checker) checkReferences(merged, submitted *protocol.Bundle) {
	groups, tenants := nameSet(merged.GetGroups()), nameSet(merged.GetTenants())
	c.checkRouteReferences(merged, groups, tenants, entryPaths("routes", submitted.GetRoutes()))
	c.checkHTTPRouteReferences(merged, groups, entryPaths("http_routes", submitted.GetHttpRoutes()))
}

func nameSet[T named](entries []T) map[string]bool {
	names := make(map[string]bool, len(entries))
	for _, entry := range entries {
		names[entry.GetName()] = true
	}
	return names
}

// entryPaths returns a function that returns the path of an entry of the merged
// list, with its index if it was submitted, otherwise with its name.
func entryPaths[T namedMessage](list string, submitted []T) func(T) string {
	indexes := make(map[T]int, len(submitted))
	for i, entry := range submitted {
		indexes[entry] = i
	}
	return func(entry T) string {
		if index, wasSubmitted := indexes[entry]; wasSubmitted {
			return fmt.Sprintf("%s[%d]", list, index)
		}
		return fmt.Sprintf("%s[name=%s]", list, entry.GetName())
	}
}

func (c *checker) checkRouteReferences(
	merged *protocol.Bundle, groups, tenants map[string]bool, path func(*protocol.Route) string,
) {
	routeByTarget := make(map[target]*protocol.Route, len(merged.GetRoutes()))
	routeByTool := map[string]*protocol.Route{}
	for _, route := range merged.GetRoutes() {
		if route.GetGroup() != "" && !groups[route.GetGroup()] {
			c.addFault(path(route)+".group", fmt.Sprintf("group %q is not in the bundle", route.GetGroup()))
		}
		if route.GetTenant() != "" && !tenants[route.GetTenant()] {
			c.addFault(path(route)+".tenant", fmt.Sprintf("tenant %q is not in the bundle", route.GetTenant()))
		}
		if route.GetModel() == "" && route.GetTool() == "" {
			continue
		}
		matched := newTarget(route)
		if first := routeByTarget[matched]; first != nil && first.GetName() != route.GetName() {
			c.addFault(path(route), fmt.Sprintf("route %q already matches the same tenant and target", first.GetName()))
		}
		routeByTarget[matched] = route
		tool := route.GetTool()
		if tool == "" {
			continue
		}
		if first := routeByTool[tool]; first != nil && first.GetNonRepeatable() != route.GetNonRepeatable() {
			c.addFault(path(route)+".non_repeatable", fmt.Sprintf("route %q says otherwise of tool %q", first.GetName(), tool))
		}
		routeByTool[tool] = route
	}
}

// hostPrefix is the host and the prefix of an HTTP route, which must be unique in a bundle. The host is normalized by
// hostKey.
type hostPrefix struct{ host, prefix string }

func (c *checker) checkHTTPRouteReferences(
	merged *protocol.Bundle, groups map[string]bool, path func(*protocol.HttpRoute) string,
) {
	routeByHostPrefix := make(map[hostPrefix]*protocol.HttpRoute, len(merged.GetHttpRoutes()))
	for _, route := range merged.GetHttpRoutes() {
		for i, target := range route.GetTargets() {
			if group := target.GetGroup(); group != "" && !groups[group] {
				c.addFault(
					fmt.Sprintf("%s.targets[%d].group", path(route), i), fmt.Sprintf("group %q is not in the bundle", group),
				)
			}
		}
		matched := hostPrefix{host: hostKey(route.GetHost()), prefix: route.GetPrefix()}
		if first := routeByHostPrefix[matched]; first != nil && first.GetName() != route.GetName() {
			c.addFault(path(route), fmt.Sprintf("route %q already has the same host and prefix", first.GetName()))
		}
		routeByHostPrefix[matched] = route
	}
}
