package bundle

import "github.com/rosestand/rosestand/internal/protocol"

// ShareUnchanged returns the merged bundle with its unchanged entries replaced by
// those of the previous one, so that versions that differ little share memory and
// compare fast.
func ShareUnchanged(previous, merged *protocol.Bundle) *protocol.Bundle {
	return &protocol.Bundle{
		Version:     merged.GetVersion(),
		Routes:      shareByName(previous.GetRoutes(), merged.GetRoutes()),
		Groups:      shareByName(previous.GetGroups(), merged.GetGroups()),
		Tenants:     shareByName(previous.GetTenants(), merged.GetTenants()),
		Scheduling:  shareMessage(previous.GetScheduling(), merged.GetScheduling()),
		Recovery:    shareMessage(previous.GetRecovery(), merged.GetRecovery()),
		Limits:      shareMessage(previous.GetLimits(), merged.GetLimits()),
		SignOffKeys: shareByName(previous.GetSignOffKeys(), merged.GetSignOffKeys()),
		HttpRoutes:  shareByName(previous.GetHttpRoutes(), merged.GetHttpRoutes()),
	}
}

func shareMessage[T comparableMessage](previous, merged T) T {
	if equal(previous, merged) {
		return previous
	}
	return merged
}

// shareByName returns the merged list with its unchanged entries replaced by the
// previous ones, or the previous list itself if nothing differs. Both lists must be
// sorted by name.
func shareByName[T namedMessage](previous, merged []T) []T {
	shared := make([]T, len(merged))
	position, unchanged := 0, 0
	for i, entry := range merged {
		for position < len(previous) && previous[position].GetName() < entry.GetName() {
			position++
		}
		shared[i] = entry
		if position < len(previous) && equal(previous[position], entry) {
			shared[i] = previous[position]
			unchanged++
		}
	}
	if unchanged == len(merged) && unchanged == len(previous) {
		return previous
	}
	return shared
}
