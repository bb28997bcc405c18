package promptcache

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxDigestPrefixes is the maximum number of prefixes in a digest.
const MaxDigestPrefixes = 32

// Digest reports to a peer which servers have cached which shared prefixes. It lists only prompts that the reporting
// front node sent itself, so that no entry is kept alive by circulating among peers.
type Digest struct {
	// Servers are the identifiers that the prefixes refer to by index.
	Servers []string
	// Prefixes are the shared prefixes, most recently sent first, each of them after the one that it extends.
	Prefixes []DigestPrefix
}

// DigestPrefix is one shared prefix and the indexes of the servers that have it cached.
type DigestPrefix struct {
	Prefix uint64
	// Parent is the prefix that this one extends by Tokens; 0 means none.
	Parent  uint64
	Tokens  uint32
	Servers []uint32
}

// Digest returns the shared prefixes that this front node sent since the given time.
func (m *Model) Digest(since time.Time) Digest {
	var digest Digest
	servers := m.serverNames()
	indexes := make(map[string]uint32)
	for _, hash := range m.recentlyShared(since) {
		state := m.prefixes[hash]
		entry := DigestPrefix{Prefix: hash, Parent: state.parent, Tokens: state.tokens}
		for _, server := range servers {
			if cached := m.servers[server].entries[hash]; cached == nil || !cached.own {
				continue
			}
			if _, isListed := indexes[server]; !isListed {
				indexes[server] = uint32(len(digest.Servers))
				digest.Servers = append(digest.Servers, server)
			}
			entry.Servers = append(entry.Servers, indexes[server])
		}
		if len(entry.Servers) > 0 {
			digest.Prefixes = append(digest.Prefixes, entry)
		}
	}
	return digest
}

// recentlyShared returns the shared prefixes, most recently sent first. A prefix is never sent later than its parent,
// so that parents have to be put first only among prefixes that were sent at the same time.
func (m *Model) recentlyShared(since time.Time) []uint64 {
	var shared []uint64
	for hash, state := range m.prefixes {
		if state.shared && !state.sentAt.IsZero() && !state.sentAt.Before(since) {
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

// maxDepth bounds the walk to the first segment, since the parents in a peer's digest may form a cycle.
const maxDepth = 64

// depth returns the number of prefixes that a prefix extends.
func (m *Model) depth(hash uint64) int {
	depth := 0
	for state := m.prefixes[hash]; state != nil && state.parent != 0 &&
		depth < maxDepth; state = m.prefixes[state.parent] {
		depth++
	}
	return depth
}

func (m *Model) serverNames() []string { return slices.Sorted(maps.Keys(m.servers)) }

// Merge adds the entries of a peer's digest. Unknown servers, indexes out of range, and prefixes beyond
// MaxDigestPrefixes are ignored.
func (m *Model) Merge(digest Digest) {
	for _, entry := range slices.Backward(digest.Prefixes[:min(len(digest.Prefixes), MaxDigestPrefixes)]) {
		for _, index := range entry.Servers {
			if int(index) >= len(digest.Servers) {
				continue
			}
			if cache := m.servers[digest.Servers[index]]; cache != nil {
				m.prefix(Segment{Prefix: entry.Prefix, Tokens: entry.Tokens}, entry.Parent).shared = true
				m.cacheSegment(cache, Segment{Prefix: entry.Prefix, Tokens: entry.Tokens}, false)
				m.evict(cache)
			}
		}
	}
}
