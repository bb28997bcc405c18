package directory

import (
	"maps"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Stats holds the counters of a directory since its creation.
type Stats struct {
	CacheHits     uint64
	LocalLookups  uint64
	RemoteLookups uint64
	// IncorrectPartition, Duplicates and Transferring count the rejections that this node received as client or owner.
	IncorrectPartition uint64
	Duplicates         uint64
	Transferring       uint64
	// Salvaged counts registrations from the salvage list that a holder accepted.
	Salvaged uint64
	// HandedOff counts registrations handed off to the new holder of a range.
	HandedOff uint64
	// VoidRegistrations counts registrations of owned sessions that became void because this node lost its authority.
	VoidRegistrations uint64
	// ReregistrationRequests counts the requests for reregistration that this node sent.
	ReregistrationRequests uint64
	// Suspicions counts suspicions of members, FalseSuspicions those that an answered ping ended.
	Suspicions, FalseSuspicions uint64
	// Takeovers counts sessions registered here in place of a lost owner.
	Takeovers uint64
	Yields    map[YieldReason]uint64
}

// Stats returns a copy of the counters.
func (d *Directory) Stats() Stats {
	copied := d.stats
	copied.Yields = make(map[YieldReason]uint64, len(d.stats.Yields))
	maps.Copy(copied.Yields, d.stats.Yields)
	return copied
}

// SalvageLength returns the number of owned sessions that wait to be registered again.
func (d *Directory) SalvageLength() int { return len(d.salvage) }

// HandOffLength returns the number of registrations that wait to be handed off.
func (d *Directory) HandOffLength() int { return len(d.handOff) }

// OwnedCount returns the number of owned sessions.
func (d *Directory) OwnedCount() int { return len(d.owned) }

// PartitionSize returns the number of registrations in this node's partition.
func (d *Directory) PartitionSize() int { return len(d.partition) }

// Owns reports whether this node owns the session, and whether a holder has confirmed it under the current incarnation.
func (d *Directory) Owns(session string) (owned, confirmed bool) {
	current := d.owned[session]
	return current != nil, current != nil && current.confirmed
}

// OwnedSessions returns the owned sessions that are not being yielded, sorted.
func (d *Directory) OwnedSessions() []string {
	var names []string
	for _, name := range sortedKeys(d.owned) {
		if d.owned[name].yieldReason == "" {
			names = append(names, name)
		}
	}
	return names
}

// OnSalvageList reports whether a session waits to be registered again.
func (d *Directory) OnSalvageList(session string) bool { return d.salvage[session] != nil }

// Registrations returns the registrations in this node's partition, sorted by session.
func (d *Directory) Registrations() []*protocol.Registration {
	list := make([]*protocol.Registration, 0, len(d.partition))
	for _, name := range sortedKeys(d.partition) {
		list = append(list, d.partition[name].registration)
	}
	return list
}

// SuspectCount returns the number of members that this node suspects.
func (d *Directory) SuspectCount() int { return len(d.suspects) }

// TransferCount returns the number of views with gained ranges that are still transferring.
func (d *Directory) TransferCount() int { return len(d.transfers) }

// sortedKeys returns the keys of a map in order. The order of commands must not depend on the iteration order of maps.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
