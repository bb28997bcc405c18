// Package ring is the hash ring that partitions the session directory over the
// front nodes (source: design page, session directory).
//
// Each member has a fixed number of virtual places, at the hash of its address
// and the place's index. The holder of a key is the member of the place with
// the largest hash strictly below the key. Where no place is below the key, the
// ring wraps round and the place with the largest hash of all holds it. A place
// therefore holds the range that begins just after its hash and ends with, and
// includes, the hash of the next place.
//
// Places with equal hashes are ordered by address and then by index; the last
// of them holds the range and the others hold nothing.
package ring

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// DefaultVirtualPlaces is the number of places of a member where settings name none.
const DefaultVirtualPlaces = 16

// Member is one front node on the ring. An incarnation is one unbroken stretch
// of authority: a member that lost its partition comes back under another one.
type Member struct {
	Name        string
	Address     string
	Incarnation uint64
}

type place struct {
	hash   uint64
	member int
	index  uint32
}

// Ring is an immutable assignment of keys to members.
type Ring struct {
	members []Member
	places  []place
}

// New builds the ring of the members, which must have distinct addresses; their order does not matter.
func New(members []Member, virtualPlaces int) *Ring {
	if virtualPlaces <= 0 {
		virtualPlaces = DefaultVirtualPlaces
	}
	ring := &Ring{members: slices.Clone(members)}
	slices.SortFunc(ring.members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	ring.places = make([]place, 0, len(members)*virtualPlaces)
	for member := range ring.members {
		for index := range uint32(virtualPlaces) {
			hash := PlaceHash(ring.members[member].Address, index)
			ring.places = append(ring.places, place{hash: hash, member: member, index: index})
		}
	}
	slices.SortFunc(ring.places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member, b.member), cmp.Compare(a.index, b.index))
	})
	return ring
}

// PlaceHash is the position of one virtual place: xxHash64 of the address
// followed by the index as four big-endian bytes.
func PlaceHash(address string, index uint32) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint32([]byte(address), index))
}

// Key is the position of a session on the ring: xxHash64 of its id.
func Key(session string) uint64 {
	return xxhash.Sum64String(session)
}

// Members lists the members in the order of their addresses. The caller must not change it.
func (r *Ring) Members() []Member {
	return r.members
}

// Holder returns the member that holds the key; false on an empty ring.
func (r *Ring) Holder(key uint64) (Member, bool) {
	if len(r.places) == 0 {
		return Member{}, false
	}
	return r.members[r.places[r.below(key)].member], true
}

// HolderExcept returns the member that would hold the key if those to be skipped
// were not on the ring; false when nobody is left.
func (r *Ring) HolderExcept(key uint64, skip func(Member) bool) (Member, bool) {
	if len(r.places) == 0 {
		return Member{}, false
	}
	first := r.below(key)
	for step := range len(r.places) {
		member := r.members[r.places[(first-step+len(r.places))%len(r.places)].member]
		if !skip(member) {
			return member, true
		}
	}
	return Member{}, false
}

// below finds the place with the largest hash strictly below the key, wrapping round to the largest of all.
func (r *Ring) below(key uint64) int {
	first := sort.Search(len(r.places), func(i int) bool { return r.places[i].hash >= key })
	if first == 0 {
		return len(r.places) - 1
	}
	return first - 1
}

// Share is the fraction of the keys that the member holds.
func (r *Ring) Share(name string) float64 {
	var share float64
	for i, at := range r.places {
		if r.members[at.member].Name != name {
			continue
		}
		width := r.places[(i+1)%len(r.places)].hash - at.hash
		if width == 0 && len(r.places) == 1 {
			return 1
		}
		share += float64(width) / (1 << 64)
	}
	return share
}
