package bundle

import (
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/process/settings/signoffkey"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Limits of the fields of a bundle.
const (
	// MaxBytes bounds the encoded size of a merged bundle, so that an active one
	// and a candidate fit into one frame of the internal protocol.
	MaxBytes = 6 << 20
	// MaxNameBytes bounds every name in a bundle.
	MaxNameBytes = 128
	// MaxZoneWeight bounds the weight of a zone.
	MaxZoneWeight = 1_000_000
	// MaxTenantWeight bounds the weight of a tenant.
	MaxTenantWeight = 10_000
	// MaxLimit bounds the numbers of requests and of tokens in the limit policy.
	MaxLimit = 10_000_000
	// MaxHeaderBytes, MaxBodyBytes and MaxConnectionMillis (a day) bound the limits on callers of HTTP routes.
	MaxHeaderBytes      = 64 << 20
	MaxBodyBytes        = 1 << 40
	MaxConnectionMillis = 86_400_000
	// MaxTurnRetentionSeconds bounds the retention of a turn: ten years.
	MaxTurnRetentionSeconds = 315_360_000
)

// Check merges a submitted bundle onto its base and lists the faults of the
// submission and of the result, 100 at most. The merged bundle is nil if there are
// any. The base of a complete bundle is ignored.
func Check(base, submitted *protocol.Bundle) (*protocol.Bundle, []*protocol.Fault) {
	c := &checker{}
	c.checkSubmission(base, submitted)
	merged := Merge(base, submitted)
	c.checkReferences(merged, submitted)
	if proto.Size(merged) > MaxBytes {
		c.addFault("", fmt.Sprintf("the merged bundle is larger than %d bytes", MaxBytes))
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return merged, nil
}

// maxFaults bounds the number of faults in one result.
const maxFaults = 100

// checker collects faults. Their messages are for operators, and scripts may match them.
type checker struct {
	faults []*protocol.Fault
}

func (c *checker) addFault(path, message string) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, &protocol.Fault{Path: path, Message: message})
	}
}

// checkSubmission checks the fields of a submitted bundle, before it is merged.
func (c *checker) checkSubmission(base, b *protocol.Bundle) {
	if b.GetVersion() == 0 {
		c.addFault("version", "must be set")
	}
	checkNames(c, "routes", b.GetRoutes())
	checkNames(c, "groups", b.GetGroups())
	checkNames(c, "tenants", b.GetTenants())
	checkNames(c, "sign_off_keys", b.GetSignOffKeys())
	checkNames(c, "http_routes", b.GetHttpRoutes())
	for i, route := range b.GetRoutes() {
		c.checkRoute(fmt.Sprintf("routes[%d]", i), route)
	}
	for i, group := range b.GetGroups() {
		c.checkGroup(fmt.Sprintf("groups[%d]", i), group)
	}
	for i, tenant := range b.GetTenants() {
		c.checkTenant(fmt.Sprintf("tenants[%d]", i), tenant)
	}
	for i, key := range b.GetSignOffKeys() {
		if fault := signoffkey.PublicKeyFault(key.GetPublicKey()); fault != "" {
			c.addFault(fmt.Sprintf("sign_off_keys[%d].public_key", i), fault)
		}
	}
	for i, route := range b.GetHttpRoutes() {
		c.checkHTTPRoute(entryPath{list: "http_routes", index: i}, route)
	}
	c.checkPolicies(b)
	c.checkRemovals(base, b)
}

func checkNames[T named](c *checker, list string, entries []T) {
	seen := make(map[string]int, len(entries))
	for i, entry := range entries {
		path := entryPath{list: list, index: i}
		c.addFieldFault(path, "name", nameFault(entry.GetName()))
		if first, duplicate := seen[entry.GetName()]; duplicate && entry.GetName() != "" {
			c.addFieldFault(path, "name", fmt.Sprintf("name %q is already used by %s[%d]", entry.GetName(), list, first))
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

func (c *checker) checkOptionalName(path, name string) {
	if fault := optionalNameFault(name); fault != "" {
		c.addFault(path, fault)
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

func (c *checker) checkRoute(path string, route *protocol.Route) {
	c.checkOptionalName(path+".tenant", route.GetTenant())
	c.checkOptionalName(path+".model", route.GetModel())
	c.checkOptionalName(path+".tool", route.GetTool())
	switch {
	case route.GetModel() == "" && route.GetTool() == "":
		c.addFault(path, "needs one of model and tool")
	case route.GetModel() != "" && route.GetTool() != "":
		c.addFault(path, "has both model and tool; exactly one is allowed")
	}
	if route.GetNonRepeatable() && route.GetTool() == "" {
		c.addFault(path+".non_repeatable", "only a tool can be non-repeatable")
	}
	if route.GetGroup() == "" {
		c.addFault(path+".group", "must be set")
	}
}

func (c *checker) checkGroup(path string, group *protocol.ServerGroup) {
	zones := make([]string, 0, len(group.GetZoneWeights()))
	for zone := range group.GetZoneWeights() {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		if group.GetZoneWeights()[zone] > MaxZoneWeight {
			c.addFault(fmt.Sprintf("%s.zone_weights[%s]", path, zone), fmt.Sprintf("must be at most %d", MaxZoneWeight))
		}
	}
}

func (c *checker) checkTenant(path string, tenant *protocol.TenantPolicy) {
	if text := tenant.GetCredentialSha256(); text != "" && !isLowerHex(text, 64) {
		c.addFault(path+".credential_sha256", "must be a SHA-256 in lower-case hex, or empty")
	}
	c.checkRate(path+".requests_per_second", tenant.GetRequestsPerSecond())
	c.checkRate(path+".tokens_per_second", tenant.GetTokensPerSecond())
	if tenant.GetWeight() > MaxTenantWeight {
		c.addFault(path+".weight", fmt.Sprintf("must be at most %d", MaxTenantWeight))
	}
	if tenant.GetDefaultProgramBudget() > math.MaxInt64 {
		c.addFault(path+".default_program_budget", "is out of range")
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

func (c *checker) checkRate(path string, rate float64) {
	if rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		c.addFault(path, "must be zero (no limit) or a positive number")
	}
}

func (c *checker) checkPolicies(b *protocol.Bundle) {
	scheduling, recovery, limits := b.GetScheduling(), b.GetRecovery(), b.GetLimits()
	if protocol.SchedulingAlgorithm_name[int32(scheduling.GetAlgorithm())] == "" {
		c.addFault("scheduling.algorithm", "is unknown")
	}
	if bound := scheduling.GetLoadBound(); bound != 0 && !(bound >= 1 && bound <= 1000) {
		c.addFault("scheduling.load_bound", "must be zero (the default) or between 1 and 1000")
	}
	if scheduling.GetSubsetSize() > 10_000 {
		c.addFault("scheduling.subset_size", "must be at most 10000")
	}
	if protocol.SalvageMode_name[int32(recovery.GetSalvageMode())] == "" {
		c.addFault("recovery.salvage_mode", "is unknown")
	}
	if protocol.DuplicateResolution_name[int32(recovery.GetDuplicateResolution())] == "" {
		c.addFault("recovery.duplicate_resolution", "is unknown")
	}
	c.checkMax("recovery.salvage_batch_size", uint64(recovery.GetSalvageBatchSize()), 100_000)
	c.checkMax("recovery.salvage_retry_millis", uint64(recovery.GetSalvageRetryMillis()), 60_000)
	c.checkMax("limits.max_concurrent", uint64(limits.GetMaxConcurrent()), MaxLimit)
	c.checkMax("limits.max_queued", uint64(limits.GetMaxQueued()), MaxLimit)
	c.checkMax("limits.max_queue_millis", uint64(limits.GetMaxQueueMillis()), 600_000)
	c.checkMax("limits.retry_percent", uint64(limits.GetRetryPercent()), 100)
	c.checkMax("limits.max_output_tokens", uint64(limits.GetMaxOutputTokens()), MaxLimit)
	c.checkMax("limits.turn_keep_seconds", limits.GetTurnKeepSeconds(), MaxTurnRetentionSeconds)
	c.checkMax("limits.max_header_bytes", uint64(limits.GetMaxHeaderBytes()), MaxHeaderBytes)
	c.checkMax("limits.max_body_bytes", limits.GetMaxBodyBytes(), MaxBodyBytes)
	c.checkMax("limits.header_timeout_millis", uint64(limits.GetHeaderTimeoutMillis()), MaxConnectionMillis)
	c.checkMax("limits.idle_timeout_millis", uint64(limits.GetIdleTimeoutMillis()), MaxConnectionMillis)
}

func (c *checker) checkMax(path string, value, bound uint64) {
	if value > bound {
		c.addFault(path, fmt.Sprintf("must be at most %d", bound))
	}
}
