package store

import (
	"iter"
	"slices"
)

// largestLeaf is how many entries a leaf holds before it is split in two.
const largestLeaf = 512

// treeKey is a key with a place in the order of a hashTree. Places spread evenly over all
// numbers, since they are taken from a hash; less orders keys of one place.
type treeKey[K any] interface {
	comparable
	place() uint64
	less(other K) bool
}

// hashTree is a map that can be read in order from any key on without sorting all of it:
// a binary tree over the leading bits of the place, with a small map at each leaf. A page of
// n keys costs O(n + largestLeaf). It belongs to one goroutine.
type hashTree[K treeKey[K], V any] struct {
	root  treeNode[K, V]
	count int
}

// treeNode is a leaf as long as it has no branches.
type treeNode[K treeKey[K], V any] struct {
	entries  map[K]V
	branches *[2]treeNode[K, V]
}

const placeBits = 64

// branchOf gives the branch of a node so many bits below the root.
func branchOf(place uint64, depth int) int { return int(place >> (placeBits - 1 - depth) & 1) }

// leaf finds the leaf of a place and how deep it lies.
func (t *hashTree[K, V]) leaf(place uint64) (node *treeNode[K, V], depth int) {
	node = &t.root
	for node.branches != nil {
		node = &node.branches[branchOf(place, depth)]
		depth++
	}
	return node, depth
}

func (t *hashTree[K, V]) size() int { return t.count }

// get gives the value of a key, or the zero value and false.
func (t *hashTree[K, V]) get(key K) (value V, found bool) {
	node, _ := t.leaf(key.place())
	value, found = node.entries[key]
	return value, found
}

func (t *hashTree[K, V]) put(key K, value V) {
	node, depth := t.leaf(key.place())
	if node.entries == nil {
		node.entries = map[K]V{}
	}
	before := len(node.entries)
	node.entries[key] = value
	t.count += len(node.entries) - before
	if len(node.entries) > largestLeaf && depth < placeBits {
		node.split(depth)
	}
}

func (t *hashTree[K, V]) remove(key K) {
	node, _ := t.leaf(key.place())
	before := len(node.entries)
	delete(node.entries, key)
	t.count -= before - len(node.entries)
}

func (n *treeNode[K, V]) split(depth int) {
	n.branches = &[2]treeNode[K, V]{{entries: map[K]V{}}, {entries: map[K]V{}}}
	for key, value := range n.entries {
		n.branches[branchOf(key.place(), depth)].entries[key] = value
	}
	n.entries = nil
}

// all gives every entry, in no order. The entry at hand may be removed.
func (t *hashTree[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) { t.root.visit(yield) }
}

func (n *treeNode[K, V]) visit(yield func(K, V) bool) bool {
	if n.branches != nil {
		return n.branches[0].visit(yield) && n.branches[1].visit(yield)
	}
	for key, value := range n.entries {
		if !yield(key, value) {
			return false
		}
	}
	return true
}

// leafAt gives the entries of the leaf of a place, which must not be written to, and the first place
// behind that leaf; zero behind the last one. Leaves are only ever split, so a scan that goes on from there misses no
// entry that stays.
func (t *hashTree[K, V]) leafAt(place uint64) (entries map[K]V, next uint64) {
	node, depth := t.leaf(place)
	width := placeBits - depth
	return node.entries, (place>>width + 1) << width
}

// after gives the entries behind a key in order. The tree must not change meanwhile.
func (t *hashTree[K, V]) after(key K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) { t.root.visitAfter(key, 0, true, yield) }
}

// visitAfter skips what lies before the key; bounded says that the node lies on the key's way.
func (n *treeNode[K, V]) visitAfter(key K, depth int, bounded bool, yield func(K, V) bool) bool {
	if n.branches != nil {
		from := 0
		if bounded {
			from = branchOf(key.place(), depth)
		}
		for branch := from; branch < len(n.branches); branch++ {
			if !n.branches[branch].visitAfter(key, depth+1, bounded && branch == from, yield) {
				return false
			}
		}
		return true
	}
	for _, next := range n.sortedAfter(key) {
		if !yield(next, n.entries[next]) {
			return false
		}
	}
	return true
}

func (n *treeNode[K, V]) sortedAfter(key K) []K {
	var keys []K
	for next := range n.entries {
		if isBehind(next, key) {
			keys = append(keys, next)
		}
	}
	slices.SortFunc(keys, func(a, b K) int {
		if isBehind(b, a) {
			return -1
		}
		return 1
	})
	return keys
}

func isBehind[K treeKey[K]](key, other K) bool {
	if key.place() != other.place() {
		return key.place() > other.place()
	}
	return other.less(key)
}
