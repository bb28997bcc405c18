package bundle

import (
	"fmt"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// removals checks the lists of removed names against the base.
func (c *checker) removals(base, b *protocol.Bundle) {
	lists := []struct {
		path           string
		removed        []string
		held, replaced []string
	}{
		{"removed_routes", b.GetRemovedRoutes(), namesOf(base.GetRoutes()), namesOf(b.GetRoutes())},
		{"removed_groups", b.GetRemovedGroups(), namesOf(base.GetGroups()), namesOf(b.GetGroups())},
		{"removed_tenants", b.GetRemovedTenants(), namesOf(base.GetTenants()), namesOf(b.GetTenants())},
		{"removed_http_routes", b.GetRemovedHttpRoutes(), namesOf(base.GetHttpRoutes()), namesOf(b.GetHttpRoutes())},
	}
	for _, list := range lists {
		if len(list.removed) > 0 && !b.GetPartial() {
			c.add(list.path, "is allowed in a partial bundle only")
			continue
		}
		c.removed(list.path, list.removed, list.held, list.replaced)
	}
}

// removed needs the names held in order.
func (c *checker) removed(path string, removed, held, replaced []string) {
	given := make(map[string]bool, len(replaced))
	for _, name := range replaced {
		given[name] = true
	}
	seen := map[string]bool{}
	for i, name := range removed {
		at := fmt.Sprintf("%s[%d]", path, i)
		if _, found := slices.BinarySearch(held, name); !found {
			c.add(at, fmt.Sprintf("%q is not in the base", name))
		}
		if given[name] {
			c.add(at, fmt.Sprintf("%q is both given and removed", name))
		}
		if seen[name] {
			c.add(at, fmt.Sprintf("%q is removed twice", name))
		}
		seen[name] = true
	}
}

func namesOf[T named](entries []T) []string {
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.GetName()
	}
	return names
}

// references checks what the merged bundle must hold as a whole. Routes of the
// base are named by their name, those submitted by their place.
func (c *checker) references(merged, submitted *protocol.Bundle) {
	groups := make(map[string]bool, len(merged.GetGroups()))
	for _, group := range merged.GetGroups() {
		groups[group.GetName()] = true
	}
	tenants := make(map[string]bool, len(merged.GetTenants()))
	for _, tenant := range merged.GetTenants() {
		tenants[tenant.GetName()] = true
	}
	places := make(map[*protocol.Route]int, len(submitted.GetRoutes()))
	for i, route := range submitted.GetRoutes() {
		places[route] = i
	}
	c.routeReferences(merged, groups, tenants, func(route *protocol.Route) string {
		if place, given := places[route]; given {
			return fmt.Sprintf("routes[%d]", place)
		}
		return fmt.Sprintf("routes[name=%s]", route.GetName())
	})
	c.httpRouteReferences(merged, submitted, groups)
}

func (c *checker) routeReferences(merged *protocol.Bundle, groups, tenants map[string]bool, pathOf func(*protocol.Route) string) {
	taken := make(map[target]*protocol.Route, len(merged.GetRoutes()))
	repeatable := map[string]*protocol.Route{}
	for _, route := range merged.GetRoutes() {
		if route.GetGroup() != "" && !groups[route.GetGroup()] {
			c.add(pathOf(route)+".group", fmt.Sprintf("group %q is not in the bundle", route.GetGroup()))
		}
		if route.GetTenant() != "" && !tenants[route.GetTenant()] {
			c.add(pathOf(route)+".tenant", fmt.Sprintf("tenant %q is not in the bundle", route.GetTenant()))
		}
		if route.GetModel() == "" && route.GetTool() == "" {
			continue
		}
		if first := taken[targetOf(route)]; first != nil && first.GetName() != route.GetName() {
			c.add(pathOf(route), fmt.Sprintf("route %q already matches the same tenant and target", first.GetName()))
		}
		taken[targetOf(route)] = route
		if route.GetTool() == "" {
			continue
		}
		if first := repeatable[route.GetTool()]; first != nil && first.GetNonRepeatable() != route.GetNonRepeatable() {
			c.add(pathOf(route)+".non_repeatable", fmt.Sprintf("route %q says otherwise of tool %q", first.GetName(), route.GetTool()))
		}
		repeatable[route.GetTool()] = route
	}
}

// CheckRollout lists the faults of a roll-out's own fields.
func CheckRollout(rollout *protocol.Rollout) []*protocol.Fault {
	c := &checker{}
	if rollout.GetCandidateVersion() == 0 {
		c.add("candidate_version", "must be set")
	}
	c.atMost("share_basis_points", uint64(rollout.GetShareBasisPoints()), 10_000)
	if ratio := rollout.GetGuard().GetMaxErrorRatio(); !(ratio >= 0 && ratio <= 1) {
		c.add("guard.max_error_ratio", "must be between 0 and 1")
	}
	c.atMost("guard.max_first_token_p95_millis", uint64(rollout.GetGuard().GetMaxFirstTokenP95Millis()), 600_000)
	return c.faults
}
