package store

// coverage collects which stores spoke for which shards under one placement, so
// that what all of them lack is known to be nowhere: a majority of each shard
// meets the majority that acknowledged a change.
type coverage struct {
	topology *topology
	spoke    map[uint32]map[string]bool
}

func newCoverage(current *topology) *coverage {
	return &coverage{topology: current, spoke: map[uint32]map[string]bool{}}
}

// add counts the word of a store for shards. What it said under another placement does not count.
func (c *coverage) add(store string, shards []uint32, placementEpoch uint64) {
	if placementEpoch != c.topology.epoch {
		return
	}
	for _, shard := range shards {
		if c.spoke[shard] == nil {
			c.spoke[shard] = map[string]bool{}
		}
		c.spoke[shard][store] = true
	}
}

// isComplete reports whether a majority of each shard spoke.
func (c *coverage) isComplete() bool {
	for _, view := range c.topology.shards {
		spoke := c.spoke[view.Shard]
		if !view.Quorum.Reached(func(store string) bool { return spoke[store] }) {
			return false
		}
	}
	return true
}
