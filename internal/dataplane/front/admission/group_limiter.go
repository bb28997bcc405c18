package admission

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ConcurrencyLimit is the number of requests that the servers of a group can run for this front node. It applies only
// when the capacity is known.
type ConcurrencyLimit struct {
	Known bool
	// GuaranteedSlots is this front node's share of the group's capacity.
	GuaranteedSlots int
	// Headroom is the capacity that other front nodes leave unused, according to the load reports received here.
	Headroom int
	// SurplusSlots is how many requests may run beyond the slots while less than half of the capacity is in use.
	SurplusSlots int
}

// groupLimiter limits the requests in flight to one server group and queues the others. Only the controller's
// goroutine uses it.
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

// headroomShare is the fraction of the headroom that one front node uses: other front nodes, whose turns have not
// reached the servers yet, may see the same headroom.
const headroomShare = 0.75

// slots returns the smaller of the limit that adapts to latency and the number of requests that the servers' capacity
// allows, which is the larger of the guaranteed slots and headroomShare of the headroom. A turn occupies its slot from
// its admission on, also while its ledger operations are pending.
func (l *groupLimiter) slots() int {
	slots := l.concurrency.Limit()
	if l.limit.Known {
		slots = min(slots, max(l.limit.GuaranteedSlots, int(headroomShare*float64(l.limit.Headroom))))
	}
	return slots
}
