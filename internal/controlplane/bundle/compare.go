package bundle

import "github.com/rosestand/rosestand/internal/protocol"

// NamedChanges has the names of the entries of one list that differ between two bundles.
type NamedChanges struct {
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Changed []string `json:"changed,omitempty"`
}

// Empty reports whether nothing differs.
func (c NamedChanges) Empty() bool { return len(c.Added)+len(c.Removed)+len(c.Changed) == 0 }

// Difference has the differences between two merged bundles. From and To are their versions.
type Difference struct {
	From              uint64       `json:"from"`
	To                uint64       `json:"to"`
	Routes            NamedChanges `json:"routes"`
	Groups            NamedChanges `json:"groups"`
	Tenants           NamedChanges `json:"tenants"`
	SignOffKeys       NamedChanges `json:"sign_off_keys"`
	HTTPRoutes        NamedChanges `json:"http_routes"`
	SchedulingChanged bool         `json:"scheduling_changed"`
	RecoveryChanged   bool         `json:"recovery_changed"`
	LimitsChanged     bool         `json:"limits_changed"`
}

// Empty reports whether the bundles have the same content, apart from their versions.
func (d Difference) Empty() bool {
	return d.Routes.Empty() && d.Groups.Empty() && d.Tenants.Empty() && d.SignOffKeys.Empty() && d.HTTPRoutes.Empty() &&
		!d.SchedulingChanged && !d.RecoveryChanged && !d.LimitsChanged
}

// Compare returns the differences between two merged bundles.
func Compare(from, to *protocol.Bundle) Difference {
	return Difference{
		From: from.GetVersion(), To: to.GetVersion(),
		Routes:            compareByName(from.GetRoutes(), to.GetRoutes()),
		Groups:            compareByName(from.GetGroups(), to.GetGroups()),
		Tenants:           compareByName(from.GetTenants(), to.GetTenants()),
		SignOffKeys:       compareByName(from.GetSignOffKeys(), to.GetSignOffKeys()),
		HTTPRoutes:        compareByName(from.GetHttpRoutes(), to.GetHttpRoutes()),
		SchedulingChanged: !equal(from.GetScheduling(), to.GetScheduling()),
		RecoveryChanged:   !equal(from.GetRecovery(), to.GetRecovery()),
		LimitsChanged:     !equal(from.GetLimits(), to.GetLimits()),
	}
}

func compareByName[T namedMessage](from, to []T) NamedChanges {
	existing := nameSet(from)
	upserted, removed := changesByName(from, to)
	changes := NamedChanges{Removed: removed}
	for _, entry := range upserted {
		if existing[entry.GetName()] {
			changes.Changed = append(changes.Changed, entry.GetName())
		} else {
			changes.Added = append(changes.Added, entry.GetName())
		}
	}
	return changes
}
