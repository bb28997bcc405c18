package bundle

import "github.com/rosestand/rosestand/internal/protocol"

// Reuse gives a merged bundle that shares with a former one the entries that
// are the same, so that versions that differ little take little memory
// together and are compared fast.
func Reuse(former, merged *protocol.Bundle) *protocol.Bundle {
	return &protocol.Bundle{
		Version:     merged.GetVersion(),
		Routes:      reuseNamed(former.GetRoutes(), merged.GetRoutes()),
		Groups:      reuseNamed(former.GetGroups(), merged.GetGroups()),
		Tenants:     reuseNamed(former.GetTenants(), merged.GetTenants()),
		Scheduling:  reuse(former.GetScheduling(), merged.GetScheduling()),
		Recovery:    reuse(former.GetRecovery(), merged.GetRecovery()),
		Limits:      reuse(former.GetLimits(), merged.GetLimits()),
		SignOffKeys: reuseNamed(former.GetSignOffKeys(), merged.GetSignOffKeys()),
		HttpRoutes:  reuseNamed(former.GetHttpRoutes(), merged.GetHttpRoutes()),
	}
}

func reuse[T comparableMessage](former, merged T) T {
	if equal(former, merged) {
		return former
	}
	return merged
}

// reuseNamed walks two lists sorted by name side by side. The list itself is shared when nothing differs.
func reuseNamed[T namedMessage](former, merged []T) []T {
	shared := make([]T, len(merged))
	at, same := 0, 0
	for i, entry := range merged {
		for at < len(former) && former[at].GetName() < entry.GetName() {
			at++
		}
		shared[i] = entry
		if at < len(former) && equal(former[at], entry) {
			shared[i] = former[at]
			same++
		}
	}
	if same == len(merged) && same == len(former) {
		return former
	}
	return shared
}
