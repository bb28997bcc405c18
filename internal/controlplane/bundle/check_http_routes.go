package bundle

import (
	"fmt"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Limits of the fields of an HTTP route.
const (
	// MaxHostBytes bounds the host of an HTTP route, as in the domain name system.
	MaxHostBytes = 255
	// MaxPrefixBytes bounds the path prefix of an HTTP route.
	MaxPrefixBytes = 4096
	// MaxRouteTargets bounds the number of groups that one HTTP route distributes its requests to.
	MaxRouteTargets = 1000
	// MaxRouteAttempts bounds the number of servers that one request may be run on.
	MaxRouteAttempts = 1000
	// MaxRetentionMillis bounds the retention of a turn of an HTTP route: ten years.
	MaxRetentionMillis = MaxTurnRetentionSeconds * 1000
)

// checkHTTPRoute checks the fields of one submitted HTTP route.
func (c *checker) checkHTTPRoute(path entryPath, route *protocol.HttpRoute) {
	c.addFieldFault(path, "host", hostFault(route.GetHost()))
	c.addFieldFault(path, "prefix", prefixFault(route.GetPrefix()))
	c.addFieldFault(path, "kind", kindFault(route.GetKind()))
	if route.GetTimeoutMillis() == 0 {
		c.addFieldFault(path, "timeout_millis", "must be more than 0")
	}
	if route.GetMaxAttempts() > MaxRouteAttempts {
		c.addFieldFault(path, "max_attempts", fmt.Sprintf("must be at most %d", MaxRouteAttempts))
	}
	if route.GetKeepMillis() > MaxRetentionMillis {
		c.addFieldFault(path, "keep_millis", fmt.Sprintf("must be at most %d", uint64(MaxRetentionMillis)))
	}
	c.addFieldFault(path, "targets", targetsFault(route.GetTargets()))
	for i, target := range route.GetTargets() {
		if target.GetGroup() == "" {
			c.addFieldFault(path, fmt.Sprintf("targets[%d].group", i), "must be set")
		}
	}
}

// entryPath is the position of an entry in a list. It is formatted only for a
// fault, because a bundle may have thousands of entries.
type entryPath struct {
	list  string
	index int
}

func (p entryPath) field(name string) string { return fmt.Sprintf("%s[%d].%s", p.list, p.index, name) }

// addFieldFault adds a fault of a field. An empty message means that there is no fault.
func (c *checker) addFieldFault(path entryPath, field, message string) {
	if message != "" {
		c.addFault(path.field(field), message)
	}
}

func hostFault(host string) string {
	switch {
	case hostKey(host) == "":
		return "must be set"
	case len(host) > MaxHostBytes:
		return fmt.Sprintf("is longer than %d bytes", MaxHostBytes)
	case strings.ContainsFunc(host, isInvalidInHost):
		return "has a space, a slash or a control character"
	default:
		return ""
	}
}

func isInvalidInHost(character rune) bool {
	return character <= ' ' || character == 0x7f || character == '/'
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
	case protocol.HttpRouteKind_HTTP_REPEATABLE, protocol.HttpRouteKind_HTTP_NON_REPEATABLE,
		protocol.HttpRouteKind_HTTP_STREAMING:
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
