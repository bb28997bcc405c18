// Package ring implements the consistent hash ring that partitions the session directory among the front nodes (source:
// docs/SALVAGE.md).
//
// It has no state beyond the immutable Ring values that it returns, which are safe for concurrent use, and does no I/O.
//
// Each member has a fixed number of virtual nodes. The position of a virtual node is the hash of the member's address
// and the virtual node's index. The holder of a key is the member of the virtual node with the largest hash strictly
// below the key. If there is none, the ring wraps around to the virtual node with the largest hash of all. A virtual
// node therefore holds the range from its own hash, exclusive, to the hash of the next one, inclusive.
//
// Virtual nodes with equal hashes are ordered by address and then by index. The last of them holds the range; the
// others hold nothing.
package ring

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// DefaultVirtualNodes is the default number of virtual nodes of a member. With 16 virtual nodes and 330 members, no
// member holds more than 2.2 times its even share.
const DefaultVirtualNodes = 16

// Member is one front node on the ring. Its incarnation changes whenever it loses its authority, and with it its
// directory partition, so that a returning member is a different member.
type Member struct {
	Name        string
	Address     string
	Incarnation uint64
}

// virtualNode is one position of a member on the ring.
type virtualNode struct {
	hash uint64
	// member is the index of the member in Ring.members.
	member int
	index  uint32
}

// Ring is an immutable assignment of keys to members.
type Ring struct {
	// members are ordered by address.
	members []Member
	// vnodes are the virtual nodes of all members, ordered by compareVirtualNodes.
	vnodes []virtualNode
	// vnodesPerMember is the number of virtual nodes of each member.
	vnodesPerMember int
}

// New returns the ring of the members, which must have distinct addresses and may be in any order. virtualNodes is the
// number of virtual nodes of each member; a value below 1 means DefaultVirtualNodes.
func New(members []Member, virtualNodes int) *Ring {
	return Next(nil, members, virtualNodes)
}

// Next returns the same ring as New, reusing a former ring, which may be nil. Only the virtual nodes of addresses that
// are not on the former ring are hashed and sorted, so that a change of one member among many costs one pass over the
// ring.
func Next(former *Ring, members []Member, virtualNodes int) *Ring {
	if virtualNodes <= 0 {
		virtualNodes = DefaultVirtualNodes
	}
	next := &Ring{members: slices.Clone(members), vnodesPerMember: virtualNodes}
	slices.SortFunc(next.members, compareAddresses)
	if former == nil || former.vnodesPerMember != virtualNodes {
		former = &Ring{}
	}
	reused, isReused := former.reusableFor(next.members)
	next.vnodes = merge(reused, hashedVirtualNodes(next.members, isReused, virtualNodes))
	return next
}

func compareAddresses(a, b Member) int { return cmp.Compare(a.Address, b.Address) }

// absent is the position of a member that is not on the later ring.
const absent = -1

// reusableFor returns the virtual nodes whose addresses are among the members of a later ring, with member indexes of
// that ring, and reports for each member whether its virtual nodes are among them.
func (r *Ring) reusableFor(members []Member) (reused []virtualNode, isReused []bool) {
	isReused = make([]bool, len(members))
	positions := make([]int, len(r.members))
	for former, member := range r.members {
		position, ok := slices.BinarySearchFunc(members, member, compareAddresses)
		if !ok {
			positions[former] = absent
			continue
		}
		positions[former] = position
		isReused[position] = true
	}
	reused = make([]virtualNode, 0, len(r.vnodes))
	for _, vnode := range r.vnodes {
		if position := positions[vnode.member]; position != absent {
			reused = append(reused, virtualNode{hash: vnode.hash, member: position, index: vnode.index})
		}
	}
	return reused, isReused
}

// hashedVirtualNodes returns the virtual nodes, hashed and ordered, of the members whose virtual nodes are not reused.
func hashedVirtualNodes(members []Member, isReused []bool, virtualNodes int) []virtualNode {
	var hashed []virtualNode
	for position, member := range members {
		if isReused[position] {
			continue
		}
		for index := range uint32(virtualNodes) {
			vnode := virtualNode{hash: VirtualNodeHash(member.Address, index), member: position, index: index}
			hashed = append(hashed, vnode)
		}
	}
	slices.SortFunc(hashed, compareVirtualNodes)
	return hashed
}

func compareVirtualNodes(a, b virtualNode) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member, b.member), cmp.Compare(a.index, b.index))
}

// merge merges two ordered lists of virtual nodes.
func merge(one, other []virtualNode) []virtualNode {
	if len(other) == 0 {
		return one
	}
	merged := make([]virtualNode, 0, len(one)+len(other))
	for len(one) > 0 && len(other) > 0 {
		if compareVirtualNodes(one[0], other[0]) <= 0 {
			merged, one = append(merged, one[0]), one[1:]
			continue
		}
		merged, other = append(merged, other[0]), other[1:]
	}
	return append(append(merged, one...), other...)
}

// VirtualNodeHash returns the position of a virtual node: xxHash64 of the address followed by the index as four
// big-endian bytes.
func VirtualNodeHash(address string, index uint32) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint32([]byte(address), index))
}

// Key returns the position of a session on the ring: xxHash64 of its id.
func Key(session string) uint64 {
	return xxhash.Sum64String(session)
}

// Members returns the members, ordered by address. The caller must not modify the slice.
func (r *Ring) Members() []Member {
	return r.members
}

// Holder returns the member that holds the key; false on an empty ring.
func (r *Ring) Holder(key uint64) (Member, bool) {
	if len(r.vnodes) == 0 {
		return Member{}, false
	}
	return r.members[r.vnodes[r.below(key)].member], true
}

// HolderExcept returns the member that would hold the key if the members for which skip returns true were not on the
// ring; false if no other member is left.
func (r *Ring) HolderExcept(key uint64, skip func(Member) bool) (Member, bool) {
	if len(r.vnodes) == 0 {
		return Member{}, false
	}
	nearest := r.below(key)
	for step := range len(r.vnodes) {
		member := r.members[r.vnodes[(nearest-step+len(r.vnodes))%len(r.vnodes)].member]
		if !skip(member) {
			return member, true
		}
	}
	return Member{}, false
}

// below returns the index of the virtual node with the largest hash strictly below the key, or with the largest hash of
// all if there is none.
func (r *Ring) below(key uint64) int {
	notBelow := sort.Search(len(r.vnodes), func(i int) bool { return r.vnodes[i].hash >= key })
	if notBelow == 0 {
		return len(r.vnodes) - 1
	}
	return notBelow - 1
}

// Share returns the fraction of all keys, from 0 to 1, that the named member holds.
func (r *Ring) Share(name string) float64 {
	var share float64
	for i, vnode := range r.vnodes {
		if r.members[vnode.member].Name != name {
			continue
		}
		width := r.vnodes[(i+1)%len(r.vnodes)].hash - vnode.hash
		if width == 0 && len(r.vnodes) == 1 {
			return 1
		}
		share += float64(width) / (1 << 64)
	}
	return share
}
