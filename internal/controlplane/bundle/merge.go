package bundle

import (
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Merge puts a partial bundle onto its base and returns the merged bundle in
// normal form; a whole bundle replaces everything and needs no base. Named
// entries replace those of the same name, a policy message replaces the whole
// policy, and sign-off keys, when any are given, replace the list. The inputs
// are not changed and neither is checked: see Check.
func Merge(base, submitted *protocol.Bundle) *protocol.Bundle {
	if !submitted.GetPartial() {
		return normalize(submitted)
	}
	merged := &protocol.Bundle{
		Version:     submitted.GetVersion(),
		Routes:      mergeNamed(base.GetRoutes(), submitted.GetRoutes(), submitted.GetRemovedRoutes()),
		Groups:      mergeNamed(base.GetGroups(), submitted.GetGroups(), submitted.GetRemovedGroups()),
		Tenants:     mergeNamed(base.GetTenants(), submitted.GetTenants(), submitted.GetRemovedTenants()),
		Scheduling:  firstOf(submitted.GetScheduling(), base.GetScheduling()),
		Recovery:    firstOf(submitted.GetRecovery(), base.GetRecovery()),
		Limits:      firstOf(submitted.GetLimits(), base.GetLimits()),
		SignOffKeys: base.GetSignOffKeys(),
		HttpRoutes:  mergeNamed(base.GetHttpRoutes(), submitted.GetHttpRoutes(), submitted.GetRemovedHttpRoutes()),
	}
	if len(submitted.GetSignOffKeys()) > 0 {
		merged.SignOffKeys = submitted.GetSignOffKeys()
	}
	return normalize(merged)
}

// normalize sorts the lists, fills absent policies and drops what belongs to a submission only.
func normalize(b *protocol.Bundle) *protocol.Bundle {
	normal := sorted(b)
	normal.BaseVersion, normal.Partial = 0, false
	normal.RemovedRoutes, normal.RemovedGroups, normal.RemovedTenants = nil, nil, nil
	normal.RemovedHttpRoutes = nil
	if normal.Scheduling == nil {
		normal.Scheduling = &protocol.SchedulingPolicy{}
	}
	if normal.Recovery == nil {
		normal.Recovery = &protocol.RecoveryPolicy{}
	}
	if normal.Limits == nil {
		normal.Limits = &protocol.LimitPolicy{}
	}
	return normal
}

func firstOf[T any](first, second *T) *T {
	if first != nil {
		return first
	}
	return second
}

// mergeNamed needs the base sorted by name, as in a merged bundle.
func mergeNamed[T named](base, changed []T, removed []string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return base
	}
	gone := make(map[string]bool, len(changed)+len(removed))
	for _, name := range removed {
		gone[name] = true
	}
	for _, entry := range changed {
		gone[entry.GetName()] = true
	}
	merged := make([]T, 0, len(base)+len(changed))
	for _, entry := range base {
		if !gone[entry.GetName()] {
			merged = append(merged, entry)
		}
	}
	merged = append(merged, changed...)
	slices.SortStableFunc(merged, compareNames[T])
	return merged
}
