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
const DefaultVirtualNodes = 16

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
	// virtualPlaces is the number of places of each member.
	virtualPlaces int
}

// New builds the ring of the members, which must have distinct addresses; their order does not matter.
func New(members []Member, virtualPlaces int) *Ring {
	return Next(nil, members, virtualPlaces)
}

// Next builds the same ring as New from a former one, which may be nil. Only places of addresses that the former ring does not
// have are hashed and sorted, so that a change of one member among many costs one pass over the places.
func Next(former *Ring, members []Member, virtualPlaces int) *Ring {
	if virtualPlaces <= 0 {
		virtualPlaces = DefaultVirtualNodes
	}
	next := &Ring{members: slices.Clone(members), virtualPlaces: virtualPlaces}
	slices.SortFunc(next.members, compareAddresses)
	if former == nil || former.virtualPlaces != virtualPlaces {
		former = &Ring{}
	}
	kept, isKept := former.placesOf(next.members)
	next.places = merge(kept, placesOfAdded(next.members, isKept, virtualPlaces))
	return next
}

func compareAddresses(a, b Member) int { return cmp.Compare(a.Address, b.Address) }

// placesOf gives the places of the ring whose addresses are among the members, ordered and numbered as the members are,
// and which of the members have them.
func (r *Ring) placesOf(members []Member) (kept []place, isKept []bool) {
	isKept = make([]bool, len(members))
	numbers := make([]int, len(r.members))
	for former, member := range r.members {
		number, found := slices.BinarySearchFunc(members, member, compareAddresses)
		if !found {
			numbers[former] = absent
			continue
		}
		numbers[former] = number
		isKept[number] = true
	}
	kept = make([]place, 0, len(r.places))
	for _, at := range r.places {
		if number := numbers[at.member]; number != absent {
			kept = append(kept, place{hash: at.hash, member: number, index: at.index})
		}
	}
	return kept, isKept
}

// absent stands for a member that a later ring does not have.
const absent = -1

// placesOfAdded gives the places of the members that are not kept, in their order.
func placesOfAdded(members []Member, isKept []bool, virtualPlaces int) []place {
	var added []place
	for number, member := range members {
		if isKept[number] {
			continue
		}
		for index := range uint32(virtualPlaces) {
			added = append(added, place{hash: PlaceHash(member.Address, index), member: number, index: index})
		}
	}
	slices.SortFunc(added, comparePlaces)
	return added
}

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member, b.member), cmp.Compare(a.index, b.index))
}

// merge joins two ordered lists of places.
func merge(one, other []place) []place {
	if len(other) == 0 {
		return one
	}
	merged := make([]place, 0, len(one)+len(other))
	for len(one) > 0 && len(other) > 0 {
		if comparePlaces(one[0], other[0]) <= 0 {
			merged, one = append(merged, one[0]), one[1:]
			continue
		}
		merged, other = append(merged, other[0]), other[1:]
	}
	return append(append(merged, one...), other...)
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
