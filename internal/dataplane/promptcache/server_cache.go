package promptcache

// entry is a part that a server keeps, linked from the most to the least recently used one.
type entry struct {
	part Segment
	// weight is the room that the part is counted with among all servers.
	weight uint64
	// usedAt is the number of the part's last use.
	usedAt uint64
	// own is true when this front node sent the part there itself.
	own         bool
	newer, less *entry
}

// serverCache is the parts that one server keeps.
type serverCache struct {
	room    uint64
	held    uint64
	entries map[uint64]*entry
	// ends closes the ring of entries: ends.less is the most recently used, ends.newer the least.
	ends entry
}

func newServerCache() *serverCache {
	cache := &serverCache{room: DefaultRoom, entries: make(map[uint64]*entry)}
	cache.ends.newer, cache.ends.less = &cache.ends, &cache.ends
	return cache
}

// oldest is the entry that was unused for longest; nil when there is none.
func (c *serverCache) oldest() *entry {
	if c.ends.newer == &c.ends {
		return nil
	}
	return c.ends.newer
}

func (c *serverCache) add(part Segment) *entry {
	added := &entry{part: part}
	c.entries[part.Prefix] = added
	c.held += uint64(part.Tokens)
	c.link(added)
	return added
}

func (c *serverCache) touch(used *entry) {
	c.unlink(used)
	c.link(used)
}

func (c *serverCache) remove(removed *entry) {
	c.unlink(removed)
	delete(c.entries, removed.part.Prefix)
	c.held -= uint64(removed.part.Tokens)
}

func (c *serverCache) link(used *entry) {
	used.newer, used.less = &c.ends, c.ends.less
	c.ends.less.newer = used
	c.ends.less = used
}

func (c *serverCache) unlink(used *entry) {
	used.newer.less = used.less
	used.less.newer = used.newer
}
