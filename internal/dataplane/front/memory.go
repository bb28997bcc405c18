package front

import (
	"github.com/rosestand/rosestand/internal/dataplane/front/sessions"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/memorybudget"
)

const (
	// historyCacheDivisor gives the part of the memory that requests may hold which cached conversations may use.
	historyCacheDivisor = 4
	// historyCopies is how often a conversation may stand in memory while its turn is run: as it was read, put together
	// and in the request to the server.
	historyCopies = 3
)

// historyCacheBytes is how large the cached conversations may be.
func historyCacheBytes(memory *memorybudget.Budget) int {
	if memory == nil {
		return sessions.DefaultMaxHistoryBytes
	}
	return int(min(memory.Usage().LimitBytes/historyCacheDivisor, sessions.DefaultMaxHistoryBytes))
}

// holdTurns accounts for turns of a conversation until the run is over; it reports false if there is no memory for
// them.
func (r *turnRun) holdTurns(turns []*protocol.Turn) bool {
	size := 0
	for _, retained := range turns {
		size += itemsBytes(retained.GetInput()) + itemsBytes(retained.GetOutput())
	}
	return r.memory.TryGrow(int64(historyCopies * size))
}

// holdHistory does the same for a conversation of the cache.
func (r *turnRun) holdHistory(items []*protocol.Item) bool {
	return r.memory.TryGrow(int64(historyCopies * itemsBytes(items)))
}

func itemsBytes(items []*protocol.Item) int {
	size := 0
	for _, item := range items {
		size += len(item.GetData()) + len(item.GetText())
	}
	return size
}
