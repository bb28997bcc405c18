package promptcache

// entry is a segment that a server has cached, in a list by last use.
type entry struct {
	segment Segment
	// weight is the segment's part of Model.cachedTokens.
	weight uint64
	// lastUse is the number of the segment's last use.
	lastUse uint64
	// own is true if this front node itself sent the segment there.
	own          bool
	newer, older *entry
}

// serverCache is the cache of one server, with its entries in the order of their last use.
type serverCache struct {
	capacity     uint64
	cachedTokens uint64
	entries      map[uint64]*entry
	// sentinel closes the circular list of entries: sentinel.older is the most recently used, sentinel.newer the
	// least.
	sentinel entry
}

func newServerCache() *serverCache {
	cache := &serverCache{capacity: DefaultCapacity, entries: make(map[uint64]*entry)}
	cache.sentinel.newer, cache.sentinel.older = &cache.sentinel, &cache.sentinel
	return cache
}

// oldest returns the least recently used entry; nil if there is none.
func (c *serverCache) oldest() *entry {
	if c.sentinel.newer == &c.sentinel {
		return nil
	}
	return c.sentinel.newer
}

func (c *serverCache) add(segment Segment) *entry {
	added := &entry{segment: segment}
	c.entries[segment.Prefix] = added
	c.cachedTokens += uint64(segment.Tokens)
	c.link(added)
	return added
}

// touch makes an entry the most recently used one.
func (c *serverCache) touch(used *entry) {
	c.unlink(used)
	c.link(used)
}

func (c *serverCache) remove(removed *entry) {
	c.unlink(removed)
	delete(c.entries, removed.segment.Prefix)
	c.cachedTokens -= uint64(removed.segment.Tokens)
}

// link inserts an entry as the most recently used one.
func (c *serverCache) link(used *entry) {
	used.newer, used.older = &c.sentinel, c.sentinel.older
	c.sentinel.older.newer = used
	c.sentinel.older = used
}

func (c *serverCache) unlink(used *entry) {
	used.newer.older = used.older
	used.older.newer = used.newer
}
