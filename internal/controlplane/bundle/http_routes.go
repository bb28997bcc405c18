package bundle

import (
	"fmt"
	"math/bits"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Bounds of HTTP routes.
const (
	// MaxHostBytes bounds the host of an HTTP route, as in the domain name system.
	MaxHostBytes = 255
	// MaxPrefixBytes bounds the path prefix of an HTTP route.
	MaxPrefixBytes = 4096
	// MaxRouteTargets bounds the groups that one HTTP route splits its requests over.
	MaxRouteTargets = 1000
	// MaxRouteAttempts bounds the servers that one request may be run at.
	MaxRouteAttempts = 1000
	// MaxKeepMillis bounds the keeping time of a turn of an HTTP route: ten years.
	MaxKeepMillis = MaxTurnKeepSeconds * 1000
)

// hostRoutes are the HTTP routes of one host by prefix.
type hostRoutes struct {
	byPrefix map[string]*protocol.HttpRoute
	// longest is the length of the longest prefix.
	longest int
}

func indexHosts(routes []*protocol.HttpRoute) map[string]*hostRoutes {
	counts := map[string]int{}
	keys := make([]string, len(routes))
	for i, route := range routes {
		keys[i] = hostKey(route.GetHost())
		counts[keys[i]]++
	}
	hosts := make(map[string]*hostRoutes, len(counts))
	for i, route := range routes {
		host := hosts[keys[i]]
		if host == nil {
			host = &hostRoutes{byPrefix: make(map[string]*protocol.HttpRoute, counts[keys[i]])}
			hosts[keys[i]] = host
		}
		host.byPrefix[route.GetPrefix()] = route
		host.longest = max(host.longest, len(route.GetPrefix()))
	}
	return hosts
}

// find gives the route with the longest prefix of the path. Prefixes end with a
// slash, so only the beginnings of the path that do are looked up.
func (h *hostRoutes) find(path string) *protocol.HttpRoute {
	end := min(len(path), h.longest)
	for end > 0 {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := h.byPrefix[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// HTTPRoute finds the HTTP route of a request: the one with the longest prefix
// of the path among those of the host; nil when there is none. A port in the
// host does not count, nor does upper or lower case.
func (i *Index) HTTPRoute(host, path string) *protocol.HttpRoute {
	routes := i.hosts[hostKey(host)]
	if routes == nil {
		return nil
	}
	return routes.find(path)
}

// hostKey is a host in lower case without its port.
func hostKey(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.LastIndexByte(host, ']') < colon {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// PickTarget gives the group of an HTTP route that a hash falls to, in
// proportion to the weights; empty when no target has a weight. Equal hashes
// fall to the same group as long as the targets stay the same.
func PickTarget(route *protocol.HttpRoute, hash uint64) string {
	total := totalWeight(route.GetTargets())
	if total == 0 {
		return ""
	}
	// The high half of the product spreads evenly over 0 to total-1.
	place, _ := bits.Mul64(mixBits(hash), total)
	for _, target := range route.GetTargets() {
		weight := uint64(target.GetWeight())
		if place < weight {
			return target.GetGroup()
		}
		place -= weight
	}
	return ""
}

func totalWeight(targets []*protocol.WeightedGroup) uint64 {
	total := uint64(0)
	for _, target := range targets {
		total += uint64(target.GetWeight())
	}
	return total
}

// mixBits is the finalizer of splitmix64: each bit of the hash changes half of the bits of the result.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

// httpRoute checks the fields of one HTTP route as given.
func (c *checker) httpRoute(path entryPath, route *protocol.HttpRoute) {
	c.fieldFault(path, "host", hostFault(route.GetHost()))
	c.fieldFault(path, "prefix", prefixFault(route.GetPrefix()))
	c.fieldFault(path, "kind", kindFault(route.GetKind()))
	if route.GetTimeoutMillis() == 0 {
		c.fieldFault(path, "timeout_millis", "must be more than 0")
	}
	if route.GetMaxAttempts() > MaxRouteAttempts {
		c.fieldFault(path, "max_attempts", fmt.Sprintf("must be at most %d", MaxRouteAttempts))
	}
	if route.GetKeepMillis() > MaxKeepMillis {
		c.fieldFault(path, "keep_millis", fmt.Sprintf("must be at most %d", uint64(MaxKeepMillis)))
	}
	c.fieldFault(path, "targets", targetsFault(route.GetTargets()))
	for i, target := range route.GetTargets() {
		if target.GetGroup() == "" {
			c.fieldFault(path, fmt.Sprintf("targets[%d].group", i), "must be set")
		}
	}
}

// entryPath is the place of an entry in a list. Its text is made only for a
// fault, as a bundle may have thousands of entries.
type entryPath struct {
	list  string
	index int
}

func (p entryPath) field(name string) string { return fmt.Sprintf("%s[%d].%s", p.list, p.index, name) }

// fieldFault notes a fault of a field; an empty message is none.
func (c *checker) fieldFault(path entryPath, field, message string) {
	if message != "" {
		c.add(path.field(field), message)
	}
}

func hostFault(host string) string {
	switch {
	case hostKey(host) == "":
		return "must be set"
	case len(host) > MaxHostBytes:
		return fmt.Sprintf("is longer than %d bytes", MaxHostBytes)
	case strings.ContainsFunc(host, func(letter rune) bool { return letter <= ' ' || letter == 0x7f || letter == '/' }):
		return "has a space, a slash or a control character"
	default:
		return ""
	}
}

func prefixFault(prefix string) string {
	switch {
	case prefix == "":
		return "must be set"
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		return "must begin and end with a slash"
	case len(prefix) > MaxPrefixBytes:
		return fmt.Sprintf("is longer than %d bytes", MaxPrefixBytes)
	default:
		return ""
	}
}

func kindFault(kind protocol.HttpRouteKind) string {
	switch kind {
	case protocol.HttpRouteKind_HTTP_ROUTE_KIND_UNSPECIFIED:
		return "must be set"
	case protocol.HttpRouteKind_HTTP_REPEATABLE, protocol.HttpRouteKind_HTTP_NON_REPEATABLE, protocol.HttpRouteKind_HTTP_STREAMING:
		return ""
	default:
		return "is unknown"
	}
}

func targetsFault(targets []*protocol.WeightedGroup) string {
	switch {
	case len(targets) == 0:
		return "must name a group"
	case len(targets) > MaxRouteTargets:
		return fmt.Sprintf("must be at most %d", MaxRouteTargets)
	case totalWeight(targets) == 0:
		return "the weights must add up to more than 0"
	default:
		return ""
	}
}

// address is what no two HTTP routes may share.
type address struct{ host, prefix string }

// httpRouteReferences checks what the HTTP routes of the merged bundle must hold as a whole.
func (c *checker) httpRouteReferences(merged, submitted *protocol.Bundle, groups map[string]bool) {
	places := make(map[*protocol.HttpRoute]int, len(submitted.GetHttpRoutes()))
	for i, route := range submitted.GetHttpRoutes() {
		places[route] = i
	}
	pathOf := func(route *protocol.HttpRoute) string {
		if place, given := places[route]; given {
			return fmt.Sprintf("http_routes[%d]", place)
		}
		return fmt.Sprintf("http_routes[name=%s]", route.GetName())
	}
	taken := make(map[address]*protocol.HttpRoute, len(merged.GetHttpRoutes()))
	for _, route := range merged.GetHttpRoutes() {
		for i, target := range route.GetTargets() {
			if target.GetGroup() != "" && !groups[target.GetGroup()] {
				c.add(fmt.Sprintf("%s.targets[%d].group", pathOf(route), i), fmt.Sprintf("group %q is not in the bundle", target.GetGroup()))
			}
		}
		at := address{host: hostKey(route.GetHost()), prefix: route.GetPrefix()}
		if first := taken[at]; first != nil && first.GetName() != route.GetName() {
			c.add(pathOf(route), fmt.Sprintf("route %q already has the same host and prefix", first.GetName()))
		}
		taken[at] = route
	}
}
