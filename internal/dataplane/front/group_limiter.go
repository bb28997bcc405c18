package front

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

// concurrencyLimit is what the servers of a group can take from this front node. Without
// a known capacity there is none.
type concurrencyLimit struct {
	known bool
	// guaranteedSlots is this front node's share of the group's capacity.
	guaranteedSlots int
	// headroom is the capacity that other front nodes do not use, as far as this one knows.
	headroom int
	// surplusSlots is how many requests may go beyond the slots while the servers are under half taken.
	surplusSlots int
}

// groupLimiter is the way to one server group: who waits for it and how many may use it.
type groupLimiter struct {
	queue       *limit.Queue
	concurrency *limit.Concurrency
	limit       concurrencyLimit
}

func newGroupLimiter(limits *protocol.LimitPolicy, bounds concurrencyLimit) *groupLimiter {
	l := &groupLimiter{concurrency: limit.NewConcurrency(limits.GetMaxConcurrent()), limit: bounds}
	l.queue = limit.NewQueue(limits.GetMaxQueued(), millis(limits.GetMaxQueueMillis()), 0)
	l.queue.SetGuaranteedSlots(bounds.guaranteedSlots)
	l.queue.SetSlots(l.slots())
	return l
}

func (l *groupLimiter) configure(limits *protocol.LimitPolicy) []limit.Decision {
	l.concurrency.SetLimit(limits.GetMaxConcurrent())
	l.queue.SetBounds(limits.GetMaxQueued(), millis(limits.GetMaxQueueMillis()))
	return l.queue.SetSlots(l.slots())
}

func (l *groupLimiter) setLimit(bounds concurrencyLimit) []limit.Decision {
	l.limit = bounds
	l.queue.SetGuaranteedSlots(bounds.guaranteedSlots)
	l.queue.SetSurplusSlots(bounds.surplusSlots)
	return l.queue.SetSlots(l.slots())
}

func (l *groupLimiter) recordSample(sample limit.Sample, now time.Time) []limit.Decision {
	l.concurrency.Record(sample, l.queue.InFlight(), now)
	return l.queue.SetSlots(l.slots())
}

// headroomShare is the part of the room that one front node takes: others, whose
// turns are not at the servers yet, may see the same room.
const headroomShare = 0.75

// slots are bounded by the limit that adapts to latency and by the capacity of
// the servers: the fair share at least, and most of what others leave. It counts
// turns from their admission on, also those that are still at the ledger.
func (l *groupLimiter) slots() int {
	slots := l.concurrency.Limit()
	if l.limit.known {
		slots = min(slots, max(l.limit.guaranteedSlots, int(headroomShare*float64(l.limit.headroom))))
	}
	return slots
}
