package modelserver

import "container/list"

// blockCache is the KV cache of one server: a bounded number of blocks, each
// named by the hash of all tokens up to its end, so that requests that begin
// alike share their first blocks. Blocks that no sequence holds are kept until
// the least recently used one has to make room.
type blockCache struct {
	total   int
	private int
	blocks  map[uint64]*block
	unused  *list.List
}

type block struct {
	hash    uint64
	holders int
	unused  *list.Element
}

func newBlockCache(total int) *blockCache {
	return &blockCache{total: total, blocks: map[uint64]*block{}, unused: list.New()}
}

// used counts the blocks that sequences hold.
func (c *blockCache) used() int { return c.private + len(c.blocks) - c.unused.Len() }

// acquire holds the blocks of a prompt and a number of private ones for the
// output. It returns how many leading blocks were cached, or false when there
// is no room; then nothing is held.
func (c *blockCache) acquire(hashes []uint64, private int) (cached int, held bool) {
	cached = c.match(hashes)
	reusedUnused := 0
	for _, hash := range hashes[:cached] {
		if c.blocks[hash].holders == 0 {
			reusedUnused++
		}
	}
	needed := len(hashes) - cached + private
	free := c.total - c.private - len(c.blocks)
	if needed > free+c.unused.Len()-reusedUnused {
		return 0, false
	}
	for _, hash := range hashes[:cached] {
		c.hold(c.blocks[hash])
	}
	c.makeRoom(needed)
	for _, hash := range hashes[cached:] {
		c.holdOrAdd(hash)
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

func (c *blockCache) hold(b *block) {
	b.holders++
	if b.unused != nil {
		c.unused.Remove(b.unused)
		b.unused = nil
	}
}

func (c *blockCache) holdOrAdd(hash uint64) {
	b := c.blocks[hash]
	if b == nil {
		b = &block{hash: hash}
		c.blocks[hash] = b
	}
	c.hold(b)
}

func (c *blockCache) makeRoom(needed int) {
	for c.total-c.private-len(c.blocks) < needed && c.unused.Len() > 0 {
		oldest := c.unused.Remove(c.unused.Front()).(*block)
		delete(c.blocks, oldest.hash)
	}
}

// release gives up the blocks of a sequence and keeps those of its whole text
// for reuse as far as there is room.
func (c *blockCache) release(hashes []uint64, private int, whole []uint64) {
	c.private -= private
	for _, hash := range hashes {
		c.letGo(c.blocks[hash])
	}
	for i := len(hashes); i < len(whole); i++ {
		if c.blocks[whole[i]] != nil {
			continue
		}
		c.makeRoom(1)
		if c.total-c.private-len(c.blocks) < 1 {
			return
		}
		added := &block{hash: whole[i]}
		added.unused = c.unused.PushBack(added)
		c.blocks[whole[i]] = added
	}
}

func (c *blockCache) letGo(b *block) {
	b.holders--
	if b.holders == 0 {
		b.unused = c.unused.PushBack(b)
	}
}
