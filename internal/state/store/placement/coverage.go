package placement

// Coverage records which stores answered for which shards under one placement. Once it is
// complete, an entry that all of these stores lack does not exist: the majority of a shard that
// answered intersects every majority that acknowledged a change. A Coverage belongs to one
// goroutine.
type Coverage struct {
	// Topology contains the placement under which the stores are queried.
	Topology *Topology
	// answered contains the names of the stores that answered, by shard.
	answered map[uint32]map[string]bool
}

// NewCoverage returns a coverage without answers.
func NewCoverage(current *Topology) *Coverage {
	return &Coverage{Topology: current, answered: map[uint32]map[string]bool{}}
}

// Add records the answer of a store for shards. It ignores an answer under another placement.
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
