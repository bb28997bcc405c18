package placement

// Coverage collects which stores answered for which shards under one placement. Once it is
// complete, what all of them lack is known to be nowhere: a majority of each shard meets the
// majority that acknowledged a change. It belongs to one goroutine.
type Coverage struct {
	// Topology has the placement under which the stores are queried.
	Topology *Topology
	// answered names the stores that answered, by shard.
	answered map[uint32]map[string]bool
}

// NewCoverage returns a coverage of no shard yet.
func NewCoverage(current *Topology) *Coverage {
	return &Coverage{Topology: current, answered: map[uint32]map[string]bool{}}
}

// Add counts the answer of a store for shards. An answer under another placement does not count.
func (c *Coverage) Add(store string, shards []uint32, placementEpoch uint64) {
	if placementEpoch != c.Topology.Epoch {
		return
	}
	for _, shard := range shards {
		if c.answered[shard] == nil {
			c.answered[shard] = map[string]bool{}
		}
		c.answered[shard][store] = true
	}
}

// IsComplete reports whether a majority of each shard answered.
func (c *Coverage) IsComplete() bool {
	for _, view := range c.Topology.Shards {
		answered := c.answered[view.Shard]
		if !view.Quorum.Reached(func(store string) bool { return answered[store] }) {
			return false
		}
	}
	return true
}
