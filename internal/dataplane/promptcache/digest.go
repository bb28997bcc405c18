package promptcache

import (
	"cmp"
	"slices"
	"time"
)

// DigestSize is the most prefixes that a digest names.
const DigestSize = 32

// Digest tells a peer which servers read which shared prefixes. It names only what its sender sent itself, so
// that nothing stays alive by going round.
type Digest struct {
	// Servers are the identifiers that the prefixes refer to by index.
	Servers []string
	// Prefixes are the shared prefixes, most recently sent first, each after the one that it extends.
	Prefixes []DigestPrefix
}

// DigestPrefix is one shared prefix and where it is kept.
type DigestPrefix struct {
	Prefix uint64
	// Parent is the prefix that this one extends by Tokens; zero is none.
	Parent  uint64
	Tokens  uint32
	Servers []uint32
}

// Digest names the shared prefixes that this front node sent since the given time.
func (m *Model) Digest(since time.Time) Digest {
	var digest Digest
	servers := m.serverNames()
	indexes := make(map[string]uint32)
	for _, hash := range m.recentlyShared(since) {
		known := m.prefixes[hash]
		named := DigestPrefix{Prefix: hash, Parent: known.parent, Tokens: known.tokens}
		for _, server := range servers {
			if kept := m.servers[server].entries[hash]; kept == nil || !kept.own {
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
// so that only ties need the parent to come first.
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
	return shared[:min(len(shared), DigestSize)]
}

// maxDepth bounds the walk to the first part, since a peer's digest may name parents in a circle.
const maxDepth = 64

func (m *Model) depth(hash uint64) int {
	depth := 0
	for known := m.prefixes[hash]; known != nil && known.parent != 0 && depth < maxDepth; known = m.prefixes[known.parent] {
		depth++
	}
	return depth
}

func (m *Model) serverNames() []string {
	names := make([]string, 0, len(m.servers))
	for server := range m.servers {
		names = append(names, server)
	}
	slices.Sort(names)
	return names
}

// Merge learns from a peer's digest. Servers that this model does not know, indexes out of range, and prefixes beyond the
// size of a digest are passed over.
func (m *Model) Merge(digest Digest) {
	for _, named := range slices.Backward(digest.Prefixes[:min(len(digest.Prefixes), DigestSize)]) {
		for _, index := range named.Servers {
			if int(index) >= len(digest.Servers) {
				continue
			}
			if cache := m.servers[digest.Servers[index]]; cache != nil {
				m.prefix(Segment{Prefix: named.Prefix, Tokens: named.Tokens}, named.Parent).shared = true
				m.keep(cache, Segment{Prefix: named.Prefix, Tokens: named.Tokens}, false)
				m.evict(cache)
			}
		}
	}
}
