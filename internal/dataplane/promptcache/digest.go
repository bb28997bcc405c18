package promptcache

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxDigestPrefixes is the maximum number of prefixes in a digest.
const MaxDigestPrefixes = 32

// Digest reports to a peer which servers have cached which shared prefixes. It names only what its sender sent itself,
// so that no entry is kept alive by circulating among peers.
type Digest struct {
	// Servers are the identifiers that the prefixes refer to by index.
	Servers []string
	// Prefixes are the shared prefixes, most recently sent first, each after the one that it extends.
	Prefixes []DigestPrefix
}

// DigestPrefix is one shared prefix and the indexes of the servers that have it cached.
type DigestPrefix struct {
	Prefix uint64
	// Parent is the prefix that this one extends by Tokens; 0 is none.
	Parent  uint64
	Tokens  uint32
	Servers []uint32
}

// Digest lists the shared prefixes that this front node sent since the given time.
func (m *Model) Digest(since time.Time) Digest {
	var digest Digest
	servers := m.serverNames()
	indexes := make(map[string]uint32)
	for _, hash := range m.recentlyShared(since) {
		known := m.prefixes[hash]
		named := DigestPrefix{Prefix: hash, Parent: known.parent, Tokens: known.tokens}
		for _, server := range servers {
			if cached := m.servers[server].entries[hash]; cached == nil || !cached.own {
				continue
			}
			if _, listed := indexes[server]; !listed {
				indexes[server] = uint32(len(digest.Servers))
				digest.Servers = append(digest.Servers, server)
			}
			named.Servers = append(named.Servers, indexes[server])
		}
		if len(named.Servers) > 0 {
			digest.Prefixes = append(digest.Prefixes, named)
		}
	}
	return digest
}

// recentlyShared lists shared prefixes, most recently sent first. A prefix is never sent later than its parent,
// so that only ties must order the parent first.
func (m *Model) recentlyShared(since time.Time) []uint64 {
	var shared []uint64
	for hash, known := range m.prefixes {
		if known.shared && !known.sentAt.IsZero() && !known.sentAt.Before(since) {
			shared = append(shared, hash)
		}
	}
	slices.SortFunc(shared, func(a, b uint64) int {
		return cmp.Or(
			m.prefixes[b].sentAt.Compare(m.prefixes[a].sentAt),
			cmp.Compare(m.depth(a), m.depth(b)),
			cmp.Compare(a, b),
		)
	})
	return shared[:min(len(shared), MaxDigestPrefixes)]
}

// maxDepth bounds the walk to the first segment, since a peer's digest may name parents in a cycle.
const maxDepth = 64

func (m *Model) depth(hash uint64) int {
	depth := 0
	for known := m.prefixes[hash]; known != nil && known.parent != 0 &&
		depth < maxDepth; known = m.prefixes[known.parent] {
		depth++
	}
	return depth
}

func (m *Model) serverNames() []string { return slices.Sorted(maps.Keys(m.servers)) }

// Merge merges a peer's digest. Unknown servers, indexes out of range, and prefixes beyond MaxDigestPrefixes
// are ignored.
func (m *Model) Merge(digest Digest) {
	for _, named := range slices.Backward(digest.Prefixes[:min(len(digest.Prefixes), MaxDigestPrefixes)]) {
		for _, index := range named.Servers {
			if int(index) >= len(digest.Servers) {
				continue
			}
			if cache := m.servers[digest.Servers[index]]; cache != nil {
				m.prefix(Segment{Prefix: named.Prefix, Tokens: named.Tokens}, named.Parent).shared = true
				m.cacheSegment(cache, Segment{Prefix: named.Prefix, Tokens: named.Tokens}, false)
				m.evict(cache)
			}
		}
	}
}
