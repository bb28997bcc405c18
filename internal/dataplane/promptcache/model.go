package promptcache

import (
	"slices"
	"time"
)

// DefaultCapacity is the assumed capacity, in tokens, of a server's prefix cache while its memory is not known.
const DefaultCapacity = 100_000

// Model estimates what each server has cached. It has one owner goroutine and is not safe for concurrent use.
type Model struct {
	servers map[string]*serverCache
	// fronts is the number of front nodes whose prompts use the caches of the same servers.
	fronts uint64
	// cachedTokens is the weight of all cached segments, including those that other front nodes are assumed to have sent;
	// capacity is the capacity of all servers together.
	cachedTokens uint64
	capacity     uint64
	// useCount counts the uses of segments, to order them by their last use.
	useCount uint64
	// prefixes has the state of each prefix that some server has cached.
	prefixes map[uint64]*prefix
}

// prefix is the state of a prefix that is the same for all servers.
type prefix struct {
	parent uint64
	tokens uint32
	// successor is the first sent prefix that extends this one.
	successor uint64
	// shared is true once two different prefixes extended this one.
	shared bool
	// sentAt is when this front node last sent a prompt that begins with it.
	sentAt time.Time
	// servers counts the servers that have it cached.
	servers int
}

// New returns a model without servers.
func New() *Model {
	return &Model{servers: make(map[string]*serverCache), fronts: 1, prefixes: make(map[uint64]*prefix)}
}

// SetCapacity sets the capacity of a server's cache: its memory, in tokens, less that of running requests. It adds the
// server if necessary.
func (m *Model) SetCapacity(server string, capacity uint64) {
	cache := m.cache(server)
	m.capacity += capacity - cache.capacity
	cache.capacity = capacity
	m.evict(cache)
}

// SetFronts sets how many front nodes send to the same servers. Each segment that is not shared then counts that many
// times: the other front nodes are assumed to send as much, though not at the same time to the same server, so that the
// capacity of all servers together bounds how long a segment stays cached. The weight of segments that are already
// cached changes when they are next sent.
func (m *Model) SetFronts(fronts int) { m.fronts = uint64(max(fronts, 1)) }

// RecordSent records that a prompt was sent to a server, which caches its segments and evicts the least recently used
// ones.
func (m *Model) RecordSent(server string, prompt Prompt, now time.Time) {
	m.recordPrompt(prompt, now)
	cache := m.cache(server)
	// The last segment is used first, so that no segment stays cached longer than one before it.
	for _, segment := range slices.Backward(prompt) {
		m.cacheSegment(cache, segment, true)
	}
	m.evict(cache)
}

// Cached returns the number of tokens of the prompt's longest prefix that a server has cached.
func (m *Model) Cached(server string, prompt Prompt) uint64 {
	cache := m.servers[server]
	if cache == nil {
		return 0
	}
	cached := uint64(0)
	for _, segment := range prompt {
		if cache.entries[segment.Prefix] == nil {
			break
		}
		cached += uint64(segment.Tokens)
	}
	return cached
}

// Shared returns the number of tokens of the prompt's longest prefix that several prompts have shared so far.
func (m *Model) Shared(prompt Prompt) uint64 {
	shared := uint64(0)
	for _, segment := range prompt {
		if state := m.prefixes[segment.Prefix]; state == nil || !state.shared {
			break
		}
		shared += uint64(segment.Tokens)
	}
	return shared
}

// ServersWith returns the number of servers that have the prefix cached.
func (m *Model) ServersWith(prefixHash uint64) int {
	if state := m.prefixes[prefixHash]; state != nil {
		return state.servers
	}
	return 0
}

// Remove removes a server that has stopped or lost its cache.
func (m *Model) Remove(server string) {
	cache := m.servers[server]
	if cache == nil {
		return
	}
	for cache.oldest() != nil {
		m.remove(cache, cache.oldest())
	}
	m.capacity -= cache.capacity
	delete(m.servers, server)
}

// Retain removes the servers for which isKnown is false.
func (m *Model) Retain(isKnown func(server string) bool) {
	for server := range m.servers {
		if !isKnown(server) {
			m.Remove(server)
		}
	}
}

// cache returns a server's cache and adds the server if necessary.
func (m *Model) cache(server string) *serverCache {
	cache := m.servers[server]
	if cache == nil {
		cache = newServerCache()
		m.servers[server] = cache
		m.capacity += cache.capacity
	}
	return cache
}

// recordPrompt records the prefixes of a prompt and which of them several prompts share.
func (m *Model) recordPrompt(prompt Prompt, now time.Time) {
	parent := uint64(0)
	for i, segment := range prompt {
		state := m.prefix(segment, parent)
		state.sentAt = now
		if i+1 < len(prompt) {
			state.recordSuccessor(prompt[i+1].Prefix)
		}
		parent = segment.Prefix
	}
}

// recordSuccessor records that a prompt extends this prefix to another.
func (p *prefix) recordSuccessor(successor uint64) {
	if p.successor == 0 {
		p.successor = successor
	}
	p.shared = p.shared || p.successor != successor
}

// prefix returns the state of the prefix that ends with a segment and adds it if necessary.
func (m *Model) prefix(segment Segment, parent uint64) *prefix {
	state := m.prefixes[segment.Prefix]
	if state == nil {
		state = &prefix{parent: parent, tokens: segment.Tokens}
		m.prefixes[segment.Prefix] = state
	}
	return state
}

// cacheSegment makes a segment the most recently used one of a server; own is true if this front node sent it.
func (m *Model) cacheSegment(cache *serverCache, segment Segment, own bool) {
	cached := cache.entries[segment.Prefix]
	if cached == nil {
		cached = cache.add(segment)
		m.prefixes[segment.Prefix].servers++
	}
	cached.own = cached.own || own
	weight := m.weight(segment)
	m.cachedTokens += weight - cached.weight
	cached.weight = weight
	m.useCount++
	cached.lastUse = m.useCount
	cache.touch(cached)
}

// weight returns the capacity, in tokens, that a segment uses, including what other front nodes are assumed to send.
func (m *Model) weight(segment Segment) uint64 {
	if m.prefixes[segment.Prefix].shared {
		return uint64(segment.Tokens)
	}
	return uint64(segment.Tokens) * m.fronts
}

// evict evicts segments while they exceed the capacity of the server, or of all servers together.
func (m *Model) evict(cache *serverCache) {
	for cache.cachedTokens > cache.capacity && cache.oldest() != nil {
		m.remove(cache, cache.oldest())
	}
	for m.cachedTokens > m.capacity {
		oldest := m.leastRecentlyUsed()
		if oldest == nil {
			return
		}
		m.remove(oldest, oldest.oldest())
	}
}

// leastRecentlyUsed returns the cache with the least recently used segment; nil if nothing is cached.
func (m *Model) leastRecentlyUsed() *serverCache {
	var leastRecent *serverCache
	for _, cache := range m.servers {
		if oldest := cache.oldest(); oldest != nil && (leastRecent == nil || oldest.lastUse < leastRecent.oldest().lastUse) {
			leastRecent = cache
		}
	}
	return leastRecent
}

// remove removes an entry from a cache, and the state of its prefix if no server has it cached any more.
func (m *Model) remove(cache *serverCache, removed *entry) {
	cache.remove(removed)
	m.cachedTokens -= removed.weight
	state := m.prefixes[removed.segment.Prefix]
	state.servers--
	if state.servers == 0 {
		delete(m.prefixes, removed.segment.Prefix)
	}
}
