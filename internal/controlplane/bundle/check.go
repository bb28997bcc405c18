package bundle

import (
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Bounds of a bundle.
const (
	// MaxBytes bounds the canonical encoding of a merged bundle, so that an
	// active one and a candidate fit one frame of the internal protocol.
	MaxBytes = 6 << 20
	// MaxNameBytes bounds every name in a bundle.
	MaxNameBytes = 128
	// MaxZoneWeight bounds the weight of a zone.
	MaxZoneWeight = 1_000_000
	// MaxTenantWeight bounds the weight of a tenant.
	MaxTenantWeight = 10_000
	// MaxLimit bounds numbers of requests and tokens in the limit policy.
	MaxLimit = 10_000_000
	// MaxHeaderBytes, MaxBodyBytes and MaxConnectionMillis (a day) bound the limits on callers of HTTP routes.
	MaxHeaderBytes      = 64 << 20
	MaxBodyBytes        = 1 << 40
	MaxConnectionMillis = 86_400_000
	// MaxTurnKeepSeconds bounds the keeping time of a turn: ten years.
	MaxTurnKeepSeconds = 315_360_000
)

// Check merges a submitted bundle onto its base and lists every fault of the
// submission and of the outcome. The merged bundle is nil when faults were
// found. Base is ignored for a whole bundle.
func Check(base, submitted *protocol.Bundle) (*protocol.Bundle, []*protocol.Fault) {
	c := &checker{}
	c.submission(base, submitted)
	merged := Merge(base, submitted)
	c.references(merged, submitted)
	if proto.Size(merged) > MaxBytes {
		c.add("", fmt.Sprintf("the merged bundle is larger than %d bytes", MaxBytes))
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return merged, nil
}

type checker struct {
	faults []*protocol.Fault
}

func (c *checker) add(path, message string) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, &protocol.Fault{Path: path, Message: message})
	}
}

// submission checks the fields as given.
func (c *checker) submission(base, b *protocol.Bundle) {
	if b.GetVersion() == 0 {
		c.add("version", "must be set")
	}
	checkNames(c, "routes", b.GetRoutes())
	checkNames(c, "groups", b.GetGroups())
	checkNames(c, "tenants", b.GetTenants())
	checkNames(c, "sign_off_keys", b.GetSignOffKeys())
	checkNames(c, "http_routes", b.GetHttpRoutes())
	for i, route := range b.GetRoutes() {
		c.route(fmt.Sprintf("routes[%d]", i), route)
	}
	for i, group := range b.GetGroups() {
		c.group(fmt.Sprintf("groups[%d]", i), group)
	}
	for i, tenant := range b.GetTenants() {
		c.tenant(fmt.Sprintf("tenants[%d]", i), tenant)
	}
	for i, key := range b.GetSignOffKeys() {
		if fault := faultOfPublicKey(key.GetPublicKey()); fault != "" {
			c.add(fmt.Sprintf("sign_off_keys[%d].public_key", i), fault)
		}
	}
	for i, route := range b.GetHttpRoutes() {
		c.httpRoute(entryPath{list: "http_routes", index: i}, route)
	}
	c.policies(b)
	c.removals(base, b)
}

func checkNames[T named](c *checker, list string, entries []T) {
	seen := make(map[string]int, len(entries))
	for i, entry := range entries {
		path := entryPath{list: list, index: i}
		c.fieldFault(path, "name", nameFault(entry.GetName()))
		if first, twice := seen[entry.GetName()]; twice && entry.GetName() != "" {
			c.fieldFault(path, "name", fmt.Sprintf("name %q is already used by %s[%d]", entry.GetName(), list, first))
			continue
		}
		seen[entry.GetName()] = i
	}
}

func nameFault(name string) string {
	if name == "" {
		return "must be set"
	}
	return optionalNameFault(name)
}

func (c *checker) optionalName(path, name string) {
	if fault := optionalNameFault(name); fault != "" {
		c.add(path, fault)
	}
}

func optionalNameFault(name string) string {
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("is longer than %d bytes", MaxNameBytes)
	}
	for _, letter := range name {
		if letter < ' ' || letter == 0x7f {
			return "has a control character"
		}
	}
	return ""
}

func (c *checker) route(path string, route *protocol.Route) {
	c.optionalName(path+".tenant", route.GetTenant())
	c.optionalName(path+".model", route.GetModel())
	c.optionalName(path+".tool", route.GetTool())
	switch {
	case route.GetModel() == "" && route.GetTool() == "":
		c.add(path, "needs one of model and tool")
	case route.GetModel() != "" && route.GetTool() != "":
		c.add(path, "has both model and tool; exactly one is allowed")
	}
	if route.GetNonRepeatable() && route.GetTool() == "" {
		c.add(path+".non_repeatable", "only a tool can be non-repeatable")
	}
	if route.GetGroup() == "" {
		c.add(path+".group", "must be set")
	}
}

func (c *checker) group(path string, group *protocol.ServerGroup) {
	zones := make([]string, 0, len(group.GetZoneWeights()))
	for zone := range group.GetZoneWeights() {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		if group.GetZoneWeights()[zone] > MaxZoneWeight {
			c.add(fmt.Sprintf("%s.zone_weights[%s]", path, zone), fmt.Sprintf("must be at most %d", MaxZoneWeight))
		}
	}
}

func (c *checker) tenant(path string, tenant *protocol.TenantPolicy) {
	if text := tenant.GetCredentialSha256(); text != "" && !isLowerHex(text, 64) {
		c.add(path+".credential_sha256", "must be a SHA-256 in lower-case hex, or empty")
	}
	c.rate(path+".requests_per_second", tenant.GetRequestsPerSecond())
	c.rate(path+".tokens_per_second", tenant.GetTokensPerSecond())
	if tenant.GetWeight() > MaxTenantWeight {
		c.add(path+".weight", fmt.Sprintf("must be at most %d", MaxTenantWeight))
	}
	if tenant.GetDefaultProgramBudget() > math.MaxInt64 {
		c.add(path+".default_program_budget", "is out of range")
	}
}

func isLowerHex(text string, length int) bool {
	if len(text) != length {
		return false
	}
	for _, letter := range text {
		if (letter < '0' || letter > '9') && (letter < 'a' || letter > 'f') {
			return false
		}
	}
	return true
}

func (c *checker) rate(path string, rate float64) {
	if rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		c.add(path, "must be zero (no limit) or a positive number")
	}
}

func (c *checker) policies(b *protocol.Bundle) {
	scheduling, recovery, limits := b.GetScheduling(), b.GetRecovery(), b.GetLimits()
	if protocol.SchedulingAlgorithm_name[int32(scheduling.GetAlgorithm())] == "" {
		c.add("scheduling.algorithm", "is unknown")
	}
	if bound := scheduling.GetLoadBound(); bound != 0 && !(bound >= 1 && bound <= 1000) {
		c.add("scheduling.load_bound", "must be zero (the default) or between 1 and 1000")
	}
	if scheduling.GetSubsetSize() > 10_000 {
		c.add("scheduling.subset_size", "must be at most 10000")
	}
	if protocol.SalvageMode_name[int32(recovery.GetSalvageMode())] == "" {
		c.add("recovery.salvage_mode", "is unknown")
	}
	if protocol.DuplicateResolution_name[int32(recovery.GetDuplicateResolution())] == "" {
		c.add("recovery.duplicate_resolution", "is unknown")
	}
	c.atMost("recovery.salvage_batch_size", uint64(recovery.GetSalvageBatchSize()), 100_000)
	c.atMost("recovery.salvage_retry_millis", uint64(recovery.GetSalvageRetryMillis()), 60_000)
	c.atMost("limits.max_concurrent", uint64(limits.GetMaxConcurrent()), MaxLimit)
	c.atMost("limits.max_queued", uint64(limits.GetMaxQueued()), MaxLimit)
	c.atMost("limits.max_queue_millis", uint64(limits.GetMaxQueueMillis()), 600_000)
	c.atMost("limits.retry_percent", uint64(limits.GetRetryPercent()), 100)
	c.atMost("limits.max_output_tokens", uint64(limits.GetMaxOutputTokens()), MaxLimit)
	c.atMost("limits.turn_keep_seconds", limits.GetTurnKeepSeconds(), MaxTurnKeepSeconds)
	c.atMost("limits.max_header_bytes", uint64(limits.GetMaxHeaderBytes()), MaxHeaderBytes)
	c.atMost("limits.max_body_bytes", limits.GetMaxBodyBytes(), MaxBodyBytes)
	c.atMost("limits.header_timeout_millis", uint64(limits.GetHeaderTimeoutMillis()), MaxConnectionMillis)
	c.atMost("limits.idle_timeout_millis", uint64(limits.GetIdleTimeoutMillis()), MaxConnectionMillis)
}

func (c *checker) atMost(path string, value, bound uint64) {
	if value > bound {
		c.add(path, fmt.Sprintf("must be at most %d", bound))
	}
}
