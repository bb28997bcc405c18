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
	// fronts is the number of front nodes whose prompts fill the same servers.
	fronts uint64
	// cachedTokens is the weight of all cached segments, those that other front nodes are assumed to have sent included;
	// capacity is that of all servers together.
	cachedTokens uint64
	capacity     uint64
	// useCount counts the uses of segments, which orders them by their last use.
	useCount uint64
	// prefixes is the state of each prefix that some server has cached.
	prefixes map[uint64]*prefix
}

// prefix is the state of a prefix that does not depend on a server.
type prefix struct {
	parent uint64
	tokens uint32
	// successor is the first prefix sent that extends this one.
	successor uint64
	// shared is true once two different prefixes extended this one.
	shared bool
	// sentAt is when this front node last sent a prompt that begins with it.
	sentAt time.Time
	// servers counts the servers that have it cached.
	servers int
}

// New makes a model without servers.
func New() *Model {
	return &Model{servers: make(map[string]*serverCache), fronts: 1, prefixes: make(map[uint64]*prefix)}
}

// SetCapacity adds a server if necessary and sets the capacity of its cache: its memory in tokens less that of running
// requests.
func (m *Model) SetCapacity(server string, capacity uint64) {
	cache := m.cache(server)
	m.capacity += capacity - cache.capacity
	cache.capacity = capacity
	m.evict(cache)
}

// SetFronts sets how many front nodes send to the same servers. Each segment that is not shared then counts that many
// times: the others are assumed to send as much, though not at the same time to the same server, so that the capacity
// of all servers together bounds how long a segment stays cached. Segments that are already cached are counted anew
// when they are next sent.
func (m *Model) SetFronts(fronts int) { m.fronts = uint64(max(fronts, 1)) }

// RecordSent records that a prompt was sent to a server, which then has its segments cached and evicts the least
// recently used ones.
func (m *Model) RecordSent(server string, prompt Prompt, now time.Time) {
	m.recordPrompt(prompt, now)
	cache := m.cache(server)
	// The last segment first, so that no segment outlives one before it.
	for _, segment := range slices.Backward(prompt) {
		m.cacheSegment(cache, segment, true)
	}
	m.evict(cache)
}

// Cached is the number of tokens of the prompt's longest prefix that a server has cached.
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

// Shared is the number of tokens of the prompt's longest prefix that other prompts are known to share.
func (m *Model) Shared(prompt Prompt) uint64 {
	shared := uint64(0)
	for _, segment := range prompt {
		if known := m.prefixes[segment.Prefix]; known == nil || !known.shared {
			break
		}
		shared += uint64(segment.Tokens)
	}
	return shared
}

// ServersWith is the number of servers that have the prefix cached.
func (m *Model) ServersWith(prefixHash uint64) int {
	if known := m.prefixes[prefixHash]; known != nil {
		return known.servers
	}
	return 0
}

// Remove removes a server that ended or lost its cache.
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

func (m *Model) cache(server string) *serverCache {
	cache := m.servers[server]
	if cache == nil {
		cache = newServerCache()
		m.servers[server] = cache
		m.capacity += cache.capacity
	}
	return cache
}

// recordPrompt records the segments of a prompt and which of them several prompts share.
func (m *Model) recordPrompt(prompt Prompt, now time.Time) {
	parent := uint64(0)
	for at, segment := range prompt {
		known := m.prefix(segment, parent)
		known.sentAt = now
		if at+1 < len(prompt) {
			known.recordSuccessor(prompt[at+1].Prefix)
		}
		parent = segment.Prefix
	}
}

func (p *prefix) recordSuccessor(successor uint64) {
	if p.successor == 0 {
		p.successor = successor
	}
	p.shared = p.shared || p.successor != successor
}

func (m *Model) prefix(segment Segment, parent uint64) *prefix {
	known := m.prefixes[segment.Prefix]
	if known == nil {
		known = &prefix{parent: parent, tokens: segment.Tokens}
		m.prefixes[segment.Prefix] = known
	}
	return known
}

// cacheSegment makes a segment the most recently used one of a server; own says that this front node sent it.
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

// weight is the capacity, in tokens, that a segment uses, with what other front nodes are assumed to send.
func (m *Model) weight(segment Segment) uint64 {
	if m.prefixes[segment.Prefix].shared {
		return uint64(segment.Tokens)
	}
	return uint64(segment.Tokens) * m.fronts
}

// evict evicts segments while there are more than fit the server, or all servers together.
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

// leastRecentlyUsed is the server with the least recently used segment; nil when nothing is cached.
func (m *Model) leastRecentlyUsed() *serverCache {
	var leastRecent *serverCache
	for _, cache := range m.servers {
		if oldest := cache.oldest(); oldest != nil && (leastRecent == nil || oldest.lastUse < leastRecent.oldest().lastUse) {
			leastRecent = cache
		}
	}
	return leastRecent
}

func (m *Model) remove(cache *serverCache, dropped *entry) {
	cache.remove(dropped)
	m.cachedTokens -= dropped.weight
	known := m.prefixes[dropped.segment.Prefix]
	known.servers--
	if known.servers == 0 {
		delete(m.prefixes, dropped.segment.Prefix)
	}
}
