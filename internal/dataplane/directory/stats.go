package directory

import (
	"maps"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Stats counts what a directory did since it was made.
type Stats struct {
	CacheHits     uint64
	LocalLookups  uint64
	RemoteLookups uint64
	// IncorrectPartition, Duplicates and Transferring count the rejections that this node received as client or owner.
	IncorrectPartition uint64
	Duplicates         uint64
	Transferring       uint64
	// Salvaged counts registrations of the salvage list that a new holder accepted.
	Salvaged uint64
	// HandedOff counts registrations handed off to the new holder of a range.
	HandedOff uint64
	// VoidRegistrations counts registrations of owned sessions that became void because this node lost its authority.
	VoidRegistrations uint64
	// ReregistrationRequests counts the requests for reregistration sent.
	ReregistrationRequests uint64
	// Suspicions counts members that could not be reached, FalseSuspicions those that answered after all.
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

// SalvageLength is the number of own sessions that wait to be registered again.
func (d *Directory) SalvageLength() int { return len(d.salvage) }

// HandOffLength is the number of registrations that wait to be handed off.
func (d *Directory) HandOffLength() int { return len(d.handOff) }

// OwnedCount is the number of sessions owned.
func (d *Directory) OwnedCount() int { return len(d.owned) }

// PartitionSize is the number of registrations in this node's partition.
func (d *Directory) PartitionSize() int { return len(d.partition) }

// Owns reports whether the session is owned, and whether it is registered under the current incarnation.
func (d *Directory) Owns(session string) (owned, confirmed bool) {
	current := d.owned[session]
	return current != nil, current != nil && current.confirmed
}

// OwnedSessions lists the sessions owned that are not being yielded, sorted.
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

// Registrations lists this node's partition, sorted by session.
func (d *Directory) Registrations() []*protocol.Registration {
	list := make([]*protocol.Registration, 0, len(d.partition))
	for _, name := range sortedKeys(d.partition) {
		list = append(list, d.partition[name].registration)
	}
	return list
}

// SuspectCount is the number of members of the view that this node could not reach.
func (d *Directory) SuspectCount() int { return len(d.suspects) }

// TransferCount is the number of views with gained ranges that are still transferring.
func (d *Directory) TransferCount() int { return len(d.transfers) }

// sortedKeys fixes the order of iteration over a map, since the order of commands must not depend on it.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
