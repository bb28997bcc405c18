// Package ring is the hash ring that partitions the session directory over the
// front nodes (source: docs/SALVAGE.md).
//
// It owns no state beyond the immutable Ring values that it returns, which any
// number of goroutines may share; it does no I/O.
//
// Each member has a fixed number of virtual nodes. The position of one is the
// hash of the member's address and the virtual node's index. The holder of a key is
// the member of the virtual node with the largest hash strictly below the key.
// Where there is none, the ring wraps around to the virtual node with the
// largest hash of all. A virtual node therefore holds the range that begins just
// after its hash and ends with, and includes, the hash of the next one.
//
// Virtual nodes with equal hashes are ordered by address and then by index; the last
// of them holds the range and the others hold nothing.
package ring

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// DefaultVirtualNodes is the number of virtual nodes of a member where the settings give none: with 16 at 330 members,
// no member holds more than 2.2 times its even share.
const DefaultVirtualNodes = 16

// Member is one front node on the ring. Its incarnation changes whenever it loses its authority, and with that its
// directory partition, so that a member that returns is a different one.
type Member struct {
	Name        string
	Address     string
	Incarnation uint64
}

// virtualNode is one position of a member on the ring.
type virtualNode struct {
	hash uint64
	// member is the member's position in Ring.members.
	member int
	index  uint32
}

// Ring is an immutable assignment of keys to members.
type Ring struct {
	// members are in the order of their addresses.
	members []Member
	// vnodes are the virtual nodes of all members, ordered by compareVirtualNodes.
	vnodes []virtualNode
	// vnodesPerMember is the number of virtual nodes of each member.
	vnodesPerMember int
}

// New builds the ring of the members, which must have distinct addresses; their order does not matter. virtualNodes is
// the number of virtual nodes of each member; below 1 it is DefaultVirtualNodes.
func New(members []Member, virtualNodes int) *Ring {
	return Next(nil, members, virtualNodes)
}

// Next builds the same ring as New from a former one, which may be nil. Only virtual nodes of addresses that the former
// ring does not have are hashed and sorted, so that a change of one member among many costs one pass over the ring.
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

// absent is the position of a member that the later ring does not have.
const absent = -1

// reusableFor lists the ring's virtual nodes whose addresses are among the members of a later ring, numbered by that
// ring's members, and reports for each of those members whether its virtual nodes are among them.
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

// hashedVirtualNodes hashes and orders the virtual nodes of the members that are not reused.
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

// merge joins two ordered lists of virtual nodes.
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

// VirtualNodeHash is the position of one virtual node: xxHash64 of the address
// followed by the index as four big-endian bytes.
func VirtualNodeHash(address string, index uint32) uint64 {
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
	if len(r.vnodes) == 0 {
		return Member{}, false
	}
	return r.members[r.vnodes[r.below(key)].member], true
}

// HolderExcept returns the member that would hold the key if the members that skip accepts
// were not on the ring; false when no other is left.
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

// below finds the virtual node with the largest hash strictly below the key, or with the largest of all when there is
// none.
func (r *Ring) below(key uint64) int {
	notBelow := sort.Search(len(r.vnodes), func(i int) bool { return r.vnodes[i].hash >= key })
	if notBelow == 0 {
		return len(r.vnodes) - 1
	}
	return notBelow - 1
}

// Share is the fraction of all keys, from 0 to 1, that the member of that name holds.
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
