// Package hashtree implements a map that can be iterated in the order of its keys' hashes, from
// any key on, without sorting all entries. A store has a shard's registers and its index of
// retained turns in such trees, since replicas copy and compare shards page by page in that
// order.
//
// A tree is a plain data structure without locks: it belongs to one goroutine.
package hashtree

import (
	"iter"
	"slices"
)

// MaxLeafEntries is the maximum number of entries of a leaf; a leaf with more is split in two.
const MaxLeafEntries = 512

// Key is the constraint on the keys of a Tree.
type Key[K any] interface {
	comparable
	// Hash is the key's position in the order of the tree. Hashes must be distributed evenly over all uint64 values.
	Hash() uint64
	// Less orders keys of equal hash.
	Less(other K) bool
}

// Tree is a binary tree over the leading bits of the hash, with a small map at each leaf.
// Reading n entries in order costs O(n + MaxLeafEntries). The zero Tree is empty and ready
// to use. It belongs to one goroutine.
type Tree[K Key[K], V any] struct {
	root  node[K, V]
	count int
}

// node is a leaf while branches is nil, and an inner node otherwise.
type node[K Key[K], V any] struct {
	entries  map[K]V
	branches *[2]node[K, V]
}

const hashBits = 64

// branchAt returns the index of the branch for a hash in a node depth bits below the root.
func branchAt(hash uint64, depth int) int { return int(hash >> (hashBits - 1 - depth) & 1) }

// leafOf returns the leaf of a hash and its depth.
func (t *Tree[K, V]) leafOf(hash uint64) (leaf *node[K, V], depth int) {
	leaf = &t.root
	for leaf.branches != nil {
		leaf = &leaf.branches[branchAt(hash, depth)]
		depth++
	}
	return leaf, depth
}

// Len returns the number of entries.
func (t *Tree[K, V]) Len() int { return t.count }

// Get returns the value of a key, or the zero value and false.
func (t *Tree[K, V]) Get(key K) (value V, found bool) {
	leaf, _ := t.leafOf(key.Hash())
	value, found = leaf.entries[key]
	return value, found
}

// Put adds an entry or replaces its value.
func (t *Tree[K, V]) Put(key K, value V) {
	leaf, depth := t.leafOf(key.Hash())
	if leaf.entries == nil {
		leaf.entries = map[K]V{}
	}
	before := len(leaf.entries)
	leaf.entries[key] = value
	t.count += len(leaf.entries) - before
	if len(leaf.entries) > MaxLeafEntries && depth < hashBits {
		leaf.split(depth)
	}
}

// Delete removes the entry of a key, if there is one. Leaves are never merged.
func (t *Tree[K, V]) Delete(key K) {
	leaf, _ := t.leafOf(key.Hash())
	before := len(leaf.entries)
	delete(leaf.entries, key)
	t.count -= before - len(leaf.entries)
}

func (n *node[K, V]) split(depth int) {
	n.branches = &[2]node[K, V]{{entries: map[K]V{}}, {entries: map[K]V{}}}
	for key, value := range n.entries {
		n.branches[branchAt(key.Hash(), depth)].entries[key] = value
	}
	n.entries = nil
}

// All yields all entries in unspecified order. The caller may delete the yielded entry.
func (t *Tree[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) { t.root.visit(yield) }
}

func (n *node[K, V]) visit(yield func(K, V) bool) bool {
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

// Leaf returns the entries of the leaf that contains a hash, which the caller must not modify, and
// the first hash after that leaf, or zero after the last leaf. Leaves are split but never merged,
// so a scan that continues at next misses no entry that exists throughout the scan.
func (t *Tree[K, V]) Leaf(hash uint64) (entries map[K]V, next uint64) {
	leaf, depth := t.leafOf(hash)
	width := hashBits - depth
	return leaf.entries, (hash>>width + 1) << width
}

// After yields the entries after a key, in order. The tree must not change during the iteration.
func (t *Tree[K, V]) After(key K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) { t.root.visitAfter(key, 0, true, yield) }
}

// visitAfter visits the entries of the node that come after the key. bounded is true when the node
// is on the path from the root to the key, so that earlier branches are skipped.
func (n *node[K, V]) visitAfter(key K, depth int, bounded bool, yield func(K, V) bool) bool {
	if n.branches != nil {
		from := 0
		if bounded {
			from = branchAt(key.Hash(), depth)
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

func (n *node[K, V]) sortedAfter(key K) []K {
	var keys []K
	for next := range n.entries {
		if isAfter(next, key) {
			keys = append(keys, next)
		}
	}
	slices.SortFunc(keys, func(a, b K) int {
		if isAfter(b, a) {
			return -1
		}
		return 1
	})
	return keys
}

func isAfter[K Key[K]](key, other K) bool {
	if key.Hash() != other.Hash() {
		return key.Hash() > other.Hash()
	}
	return other.Less(key)
}
