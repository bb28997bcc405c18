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
	// Refusals that this node got as a client or owner.
	IncorrectPartition uint64
	Duplicates         uint64
	Transferring       uint64
	// Registrations accepted by a new holder from the salvage list.
	Salvaged uint64
	// Registrations passed on to the new holder of a range.
	HandedOff uint64
	// Sessions whose registration became void because authority was lost.
	AuthorityLost uint64
	// Completions that had to be asked for.
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

// HandOffLength is the number of registrations that wait to be passed on.
func (d *Directory) HandOffLength() int { return len(d.handOff) }

// OwnedCount is the number of sessions owned.
func (d *Directory) OwnedCount() int { return len(d.owned) }

// PartitionSize is the number of registrations held.
func (d *Directory) PartitionSize() int { return len(d.partition) }

// Owns reports whether the session is owned, and whether it is registered under the present incarnation.
func (d *Directory) Owns(session string) (owned, confirmed bool) {
	found := d.owned[session]
	return found != nil, found != nil && found.confirmed
}

// OwnedSessions lists the sessions owned that are not being given up, sorted.
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

// Registrations lists what the partition holds, sorted by session.
func (d *Directory) Registrations() []*protocol.Registration {
	list := make([]*protocol.Registration, 0, len(d.partition))
	for _, name := range sortedKeys(d.partition) {
		list = append(list, d.partition[name].registration)
	}
	return list
}

// Suspects is the number of members of the view that this node could not reach.
func (d *Directory) Suspects() int { return len(d.suspects) }

// SettlingRanges is the number of ranges gained that are not complete.
func (d *Directory) TransferringRanges() int { return len(d.transfers) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
