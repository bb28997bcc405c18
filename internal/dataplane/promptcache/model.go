package promptcache

import (
	"slices"
	"time"
)

// DefaultRoom is the number of tokens that a server is taken to keep as long as nothing is known of its memory.
const DefaultRoom = 100_000

// Model estimates what each server keeps. Its owner drives it; it is not safe for concurrent use.
type Model struct {
	servers map[string]*serverCache
	// fronts is the number of front nodes whose prompts fill the same servers.
	fronts uint64
	// held is what all servers keep, with what other front nodes are taken to have sent, and room what they can keep.
	held uint64
	room uint64
	// uses counts the uses of parts, which tells which was used longest ago.
	uses uint64
	// prefixes holds what is known of a prefix wherever it is kept.
	prefixes map[uint64]*prefix
}

// prefix is what the model knows of a prefix apart from the servers that keep it.
type prefix struct {
	parent uint64
	tokens uint32
	// successor is the first prefix that was seen to extend this one.
	successor uint64
	// shared is true once two different prefixes extended this one.
	shared bool
	// sentAt is when this front node last sent a prompt that begins with it.
	sentAt time.Time
	// holders counts the servers that keep it.
	holders int
}

// New makes a model that knows nothing.
func New() *Model {
	return &Model{servers: make(map[string]*serverCache), fronts: 1, prefixes: make(map[uint64]*prefix)}
}

// Resize makes a server known and sets how many tokens of parts it keeps: its capacity less what running requests
// hold.
func (m *Model) Resize(server string, room uint64) {
	cache := m.cache(server)
	m.room += room - cache.room
	cache.room = room
	m.evict(cache)
}

// SetFronts tells how many front nodes send to the same servers. Each part that is not shared then stands for as many:
// the others are taken to send as much, though not at the same time to the same server, so that only all servers
// together tell how long a part is kept. Parts that are kept already are counted anew when they are next sent.
func (m *Model) SetFronts(fronts int) { m.fronts = uint64(max(fronts, 1)) }

// Sent notes that a prompt was sent to a server, which from then on keeps its parts and lets those go that were
// unused for longest.
func (m *Model) Sent(server string, prompt Prompt, now time.Time) {
	m.note(prompt, now)
	cache := m.cache(server)
	// The last part first, so that no part outlives one before it.
	for _, p := range slices.Backward(prompt) {
		m.keep(cache, p, true)
	}
	m.evict(cache)
}

// Cached is the number of tokens at the beginning of a prompt that a server need not read again.
func (m *Model) Cached(server string, prompt Prompt) uint64 {
	cache := m.servers[server]
	if cache == nil {
		return 0
	}
	cached := uint64(0)
	for _, part := range prompt {
		if cache.entries[part.Prefix] == nil {
			break
		}
		cached += uint64(part.Tokens)
	}
	return cached
}

// Shared is the number of tokens at the beginning of a prompt that other prompts are known to begin with as well.
func (m *Model) Shared(prompt Prompt) uint64 {
	shared := uint64(0)
	for _, part := range prompt {
		if known := m.prefixes[part.Prefix]; known == nil || !known.shared {
			break
		}
		shared += uint64(part.Tokens)
	}
	return shared
}

// Holders is the number of servers that keep the prefix.
func (m *Model) Holders(prefixHash uint64) int {
	if known := m.prefixes[prefixHash]; known != nil {
		return known.holders
	}
	return 0
}

// Forget drops a server that ended or lost its cache.
func (m *Model) Forget(server string) {
	cache := m.servers[server]
	if cache == nil {
		return
	}
	for cache.oldest() != nil {
		m.drop(cache, cache.oldest())
	}
	m.room -= cache.room
	delete(m.servers, server)
}

// Retain forgets the servers for which keep is false.
func (m *Model) Retain(keep func(server string) bool) {
	for server := range m.servers {
		if !keep(server) {
			m.Forget(server)
		}
	}
}

func (m *Model) cache(server string) *serverCache {
	cache := m.servers[server]
	if cache == nil {
		cache = newServerCache()
		m.servers[server] = cache
		m.room += cache.room
	}
	return cache
}

// note remembers the parts of a prompt and which of them several prompts share.
func (m *Model) note(prompt Prompt, now time.Time) {
	parent := uint64(0)
	for at, part := range prompt {
		known := m.prefix(part, parent)
		known.sentAt = now
		if at+1 < len(prompt) {
			known.extendedBy(prompt[at+1].Prefix)
		}
		parent = part.Prefix
	}
}

func (p *prefix) extendedBy(successor uint64) {
	if p.successor == 0 {
		p.successor = successor
	}
	p.shared = p.shared || p.successor != successor
}

func (m *Model) prefix(part Segment, parent uint64) *prefix {
	known := m.prefixes[part.Prefix]
	if known == nil {
		known = &prefix{parent: parent, tokens: part.Tokens}
		m.prefixes[part.Prefix] = known
	}
	return known
}

// keep makes a part the most recently used one of a server.
func (m *Model) keep(cache *serverCache, part Segment, own bool) {
	kept := cache.entries[part.Prefix]
	if kept == nil {
		kept = cache.add(part)
		m.prefixes[part.Prefix].holders++
	}
	kept.own = kept.own || own
	weight := m.weight(part)
	m.held += weight - kept.weight
	kept.weight = weight
	m.uses++
	kept.usedAt = m.uses
	cache.touch(kept)
}

// weight is the room that a part takes, with what other front nodes are taken to send meanwhile.
func (m *Model) weight(part Segment) uint64 {
	if m.prefixes[part.Prefix].shared {
		return uint64(part.Tokens)
	}
	return uint64(part.Tokens) * m.fronts
}

// evict lets parts go while there are more than fit the server, or all servers together.
func (m *Model) evict(cache *serverCache) {
	for cache.held > cache.room && cache.oldest() != nil {
		m.drop(cache, cache.oldest())
	}
	for m.held > m.room {
		oldest := m.longestUnused()
		if oldest == nil {
			return
		}
		m.drop(oldest, oldest.oldest())
	}
}

// longestUnused is the server that keeps the part which was unused for longest.
func (m *Model) longestUnused() *serverCache {
	var found *serverCache
	for _, cache := range m.servers {
		if oldest := cache.oldest(); oldest != nil && (found == nil || oldest.usedAt < found.oldest().usedAt) {
			found = cache
		}
	}
	return found
}

func (m *Model) drop(cache *serverCache, dropped *entry) {
	cache.remove(dropped)
	m.held -= dropped.weight
	known := m.prefixes[dropped.part.Prefix]
	known.holders--
	if known.holders == 0 {
		delete(m.prefixes, dropped.part.Prefix)
	}
}
