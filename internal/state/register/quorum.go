package register

import (
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Quorum tells when enough replicas have answered. While a shard moves, the
// current and the next replicas must each give a majority, so that no change of
// placement splits a quorum.
type Quorum struct {
	Current []string
	Next    []string
}

// QuorumOf names the stores of a shard.
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

// Members names every store once: the current ones, then those that join.
func (q Quorum) Members() []string {
	members := slices.Clone(q.Current)
	for _, store := range q.Next {
		if !slices.Contains(members, store) {
			members = append(members, store)
		}
	}
	return members
}

// Reached reports whether the stores that hold give a majority of each set.
func (q Quorum) Reached(holds func(store string) bool) bool {
	return hasMajority(q.Current, holds) && (len(q.Next) == 0 || hasMajority(q.Next, holds))
}

// Lost reports whether no majority is possible any more once these stores failed.
func (q Quorum) Lost(failed func(store string) bool) bool {
	return !q.Reached(func(store string) bool { return !failed(store) })
}

func hasMajority(stores []string, holds func(string) bool) bool {
	count := 0
	for _, store := range stores {
		if holds(store) {
			count++
		}
	}
	return count > len(stores)/2
}
