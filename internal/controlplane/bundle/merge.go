package bundle

import (
	"cmp"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Merge applies a partial bundle to its base and returns the merged bundle in
// normal form; a complete bundle replaces everything and needs no base. Named
// entries replace those of the same name, a policy message replaces the policy,
// and sign-off keys, if there are any, replace the list. The inputs are neither
// changed nor checked; Check does that.
func Merge(base, submitted *protocol.Bundle) *protocol.Bundle {
	if !submitted.GetPartial() {
		return normalize(submitted)
	}
	merged := &protocol.Bundle{
		Version:     submitted.GetVersion(),
		Routes:      mergeNamed(base.GetRoutes(), submitted.GetRoutes(), submitted.GetRemovedRoutes()),
		Groups:      mergeNamed(base.GetGroups(), submitted.GetGroups(), submitted.GetRemovedGroups()),
		Tenants:     mergeNamed(base.GetTenants(), submitted.GetTenants(), submitted.GetRemovedTenants()),
		Scheduling:  cmp.Or(submitted.GetScheduling(), base.GetScheduling()),
		Recovery:    cmp.Or(submitted.GetRecovery(), base.GetRecovery()),
		Limits:      cmp.Or(submitted.GetLimits(), base.GetLimits()),
		SignOffKeys: base.GetSignOffKeys(),
		HttpRoutes:  mergeNamed(base.GetHttpRoutes(), submitted.GetHttpRoutes(), submitted.GetRemovedHttpRoutes()),
	}
	if len(submitted.GetSignOffKeys()) > 0 {
		merged.SignOffKeys = submitted.GetSignOffKeys()
	}
	return normalize(merged)
}

// normalize returns a copy with sorted lists and all policy messages, without the fields that only submissions have.
func normalize(b *protocol.Bundle) *protocol.Bundle {
	normal := withSortedLists(b)
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

// mergeNamed returns the base with the changed and removed entries applied, sorted by name. The base must be sorted by
// name, as in a merged bundle.
func mergeNamed[T named](base, changed []T, removed []string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return base
	}
	replaced := make(map[string]bool, len(changed)+len(removed))
	for _, name := range removed {
		replaced[name] = true
	}
	for _, entry := range changed {
		replaced[entry.GetName()] = true
	}
	merged := make([]T, 0, len(base)+len(changed))
	for _, entry := range base {
		if !replaced[entry.GetName()] {
			merged = append(merged, entry)
		}
	}
	merged = append(merged, changed...)
	slices.SortStableFunc(merged, compareNames[T])
	return merged
}
