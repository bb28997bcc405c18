package modelserver

import "container/list"

// blockCache is the KV cache of one server: a bounded number of blocks, each
// named by the hash of all tokens up to its end, so that requests that begin
// alike share their first blocks. Unreferenced blocks stay cached until they are
// evicted, least recently used first.
type blockCache struct {
	total   int
	private int
	blocks  map[uint64]*block
	unused  *list.List
}

type block struct {
	hash       uint64
	references int
	unused     *list.Element
}

func newBlockCache(total int) *blockCache {
	return &blockCache{total: total, blocks: map[uint64]*block{}, unused: list.New()}
}

// used counts the blocks that sequences reference.
func (c *blockCache) used() int { return c.private + len(c.blocks) - c.unused.Len() }

// acquire references the blocks of a prompt and reserves private ones for the
// output. It returns how many leading blocks were cached, or false when the
// capacity does not suffice; then nothing is referenced.
func (c *blockCache) acquire(hashes []uint64, private int) (cached int, acquired bool) {
	cached = c.match(hashes)
	reusedUnused := 0
	for _, hash := range hashes[:cached] {
		if c.blocks[hash].references == 0 {
			reusedUnused++
		}
	}
	needed := len(hashes) - cached + private
	free := c.total - c.private - len(c.blocks)
	if needed > free+c.unused.Len()-reusedUnused {
		return 0, false
	}
	for _, hash := range hashes[:cached] {
		c.retain(c.blocks[hash])
	}
	c.evict(needed)
	for _, hash := range hashes[cached:] {
		c.retainOrAdd(hash)
	}
	c.private += private
	return cached, true
}

func (c *blockCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(hashes)
}

func (c *blockCache) retain(b *block) {
	b.references++
	if b.unused != nil {
		c.unused.Remove(b.unused)
		b.unused = nil
	}
}

func (c *blockCache) retainOrAdd(hash uint64) {
	b := c.blocks[hash]
	if b == nil {
		b = &block{hash: hash}
		c.blocks[hash] = b
	}
	c.retain(b)
}

func (c *blockCache) evict(needed int) {
	for c.total-c.private-len(c.blocks) < needed && c.unused.Len() > 0 {
		oldest := c.unused.Remove(c.unused.Front()).(*block)
		delete(c.blocks, oldest.hash)
	}
}

// release dereferences the blocks of a sequence and caches those of its complete text
// for reuse as far as the capacity suffices.
func (c *blockCache) release(hashes []uint64, private int, complete []uint64) {
	c.private -= private
	for _, hash := range hashes {
		c.dereference(c.blocks[hash])
	}
	for i := len(hashes); i < len(complete); i++ {
		if c.blocks[complete[i]] != nil {
			continue
		}
		c.evict(1)
		if c.total-c.private-len(c.blocks) < 1 {
			return
		}
		added := &block{hash: complete[i]}
		added.unused = c.unused.PushBack(added)
		c.blocks[complete[i]] = added
	}
}

func (c *blockCache) dereference(b *block) {
	b.references--
	if b.references == 0 {
		b.unused = c.unused.PushBack(b)
	}
}
