package register

import (
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Quorum determines when enough replicas have voted. While a shard moves, a majority of the current and a majority of
// the next replicas are required (joint consensus), so that no change of placement splits a quorum.
type Quorum struct {
	// Current and Next are store names; Next is empty unless the shard moves.
	Current []string
	Next    []string
}

// NewQuorum returns the quorum over the stores of a shard.
func NewQuorum(placement *protocol.ShardPlacement) Quorum {
	return Quorum{Current: storeNames(placement.GetCurrent()), Next: storeNames(placement.GetNext())}
}

func storeNames(replicas []*protocol.Replica) []string {
	var stores []string
	for _, replica := range replicas {
		stores = append(stores, replica.GetStore())
	}
	return stores
}

// Members returns each store once: first the current stores, then those that join.
func (q Quorum) Members() []string {
	members := slices.Clone(q.Current)
	for _, store := range q.Next {
		if !slices.Contains(members, store) {
			members = append(members, store)
		}
	}
	return members
}

// Reached reports whether the stores for which voted is true are a majority of each set.
func (q Quorum) Reached(voted func(store string) bool) bool {
	return hasMajority(q.Current, voted) && (len(q.Next) == 0 || hasMajority(q.Next, voted))
}

// Lost reports whether a majority is no longer possible without the failed stores.
func (q Quorum) Lost(failed func(store string) bool) bool {
	return !q.Reached(func(store string) bool { return !failed(store) })
}

func hasMajority(stores []string, voted func(string) bool) bool {
	votes := 0
	for _, store := range stores {
		if voted(store) {
			votes++
		}
	}
	return votes > len(stores)/2
}
