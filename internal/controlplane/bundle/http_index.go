package bundle

import (
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// hostRoutes has the HTTP routes of one host by their prefixes.
type hostRoutes struct {
	byPrefix map[string]*protocol.HttpRoute
	// maxPrefixBytes is the length of the longest prefix.
	maxPrefixBytes int
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
		host.maxPrefixBytes = max(host.maxPrefixBytes, len(route.GetPrefix()))
	}
	return hosts
}

// longestMatch returns the route with the longest prefix of the path. Prefixes end
// with a slash, so only the leading parts of the path that do are looked up.
func (h *hostRoutes) longestMatch(path string) *protocol.HttpRoute {
	end := min(len(path), h.maxPrefixBytes)
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

// HTTPRoute returns the HTTP route of a request: the one with the longest prefix of
// the path among those of the host; nil if there is none. The port and the case of
// the host are ignored.
func (i *Index) HTTPRoute(host, path string) *protocol.HttpRoute {
	routes := i.hosts[hostKey(host)]
	if routes == nil {
		return nil
	}
	return routes.longestMatch(path)
}

// hostKey returns the host in lower case without its port.
func hostKey(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.LastIndexByte(host, ']') < colon {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
