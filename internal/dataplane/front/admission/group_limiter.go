package admission

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ConcurrencyLimit is what the servers of a group can take from this front node, in requests. It
// bounds nothing unless the capacity is known.
type ConcurrencyLimit struct {
	Known bool
	// guaranteedSlots are this front node's share of the group's capacity.
	GuaranteedSlots int
	// headroom is the capacity that other front nodes leave unused, as far as this one knows.
	Headroom int
	// surplusSlots is how many requests may run beyond the slots while less than half of the capacity is in use.
	SurplusSlots int
}

// groupLimiter bounds what is in flight to one server group and queues the rest. It belongs to the
// controller's goroutine.
type groupLimiter struct {
	queue       *limit.Queue
	concurrency *limit.Concurrency
	limit       ConcurrencyLimit
}

func queueTimeout(limits *protocol.LimitPolicy) time.Duration {
	return time.Duration(limits.GetMaxQueueMillis()) * time.Millisecond
}

func newGroupLimiter(limits *protocol.LimitPolicy, bounds ConcurrencyLimit) *groupLimiter {
	l := &groupLimiter{concurrency: limit.NewConcurrency(limits.GetMaxConcurrent()), limit: bounds}
	l.queue = limit.NewQueue(limits.GetMaxQueued(), queueTimeout(limits), 0)
	l.queue.SetGuaranteedSlots(bounds.GuaranteedSlots)
	l.queue.SetSlots(l.slots())
	return l
}

func (l *groupLimiter) configure(limits *protocol.LimitPolicy) []limit.Decision {
	l.concurrency.SetMaxLimit(limits.GetMaxConcurrent())
	l.queue.SetBounds(limits.GetMaxQueued(), queueTimeout(limits))
	return l.queue.SetSlots(l.slots())
}

func (l *groupLimiter) setLimit(bounds ConcurrencyLimit) []limit.Decision {
	l.limit = bounds
	l.queue.SetGuaranteedSlots(bounds.GuaranteedSlots)
	l.queue.SetSurplusSlots(bounds.SurplusSlots)
	return l.queue.SetSlots(l.slots())
}

func (l *groupLimiter) recordSample(sample limit.Sample, now time.Time) []limit.Decision {
	l.concurrency.Record(sample, l.queue.InFlight(), now)
	return l.queue.SetSlots(l.slots())
}

// headroomShare is the part of the headroom that one front node uses: others, whose
// turns have not reached the servers yet, may see the same headroom.
const headroomShare = 0.75

// slots is the smaller of the limit that adapts to latency and of what the servers' capacity allows: the
// guaranteed slots at least, and most of the headroom. Turns count from their admission on, also while
// they are still at the ledger.
func (l *groupLimiter) slots() int {
	slots := l.concurrency.Limit()
	if l.limit.Known {
		slots = min(slots, max(l.limit.GuaranteedSlots, int(headroomShare*float64(l.limit.Headroom))))
	}
	return slots
}
