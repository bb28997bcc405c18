package front

import (
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ceiling is what the servers of a group can take from this front node. Without
// a known capacity there is none.
type ceiling struct {
	known bool
	// fair is this front node's share of the group's capacity.
	fair int
	// room is the capacity that other front nodes do not use, as far as this one knows.
	room int
	// spare is how many requests may go beyond the slots while the servers are under half taken.
	spare int
}

// lane is the way to one server group: who waits for it and how many may use it.
type lane struct {
	queue       *limit.Queue
	concurrency *limit.Concurrency
	ceiling     ceiling
}

func newLane(limits *protocol.LimitPolicy, most ceiling) *lane {
	l := &lane{concurrency: limit.NewConcurrency(limits.GetMaxConcurrent()), ceiling: most}
	l.queue = limit.NewQueue(limits.GetMaxQueued(), millis(limits.GetMaxQueueMillis()), 0)
	l.queue.SetGuaranteedSlots(most.fair)
	l.queue.SetSlots(l.slots())
	return l
}

func (l *lane) configure(limits *protocol.LimitPolicy) []limit.Decision {
	l.concurrency.SetLimit(limits.GetMaxConcurrent())
	l.queue.SetBounds(limits.GetMaxQueued(), millis(limits.GetMaxQueueMillis()))
	return l.queue.SetSlots(l.slots())
}

func (l *lane) bound(most ceiling) []limit.Decision {
	l.ceiling = most
	l.queue.SetGuaranteedSlots(most.fair)
	l.queue.SetSurplusSlots(most.spare)
	return l.queue.SetSlots(l.slots())
}

func (l *lane) record(sample limit.Sample, now time.Time) []limit.Decision {
	l.concurrency.Record(sample, l.queue.InFlight(), now)
	return l.queue.SetSlots(l.slots())
}

// roomShare is the part of the room that one front node takes: others, whose
// turns are not at the servers yet, may see the same room.
const roomShare = 0.75

// slots are bounded by the limit that adapts to latency and by the capacity of
// the servers: the fair share at least, and most of what others leave. It counts
// turns from their admission on, also those that are still at the ledger.
func (l *lane) slots() int {
	slots := l.concurrency.Limit()
	if l.ceiling.known {
		slots = min(slots, max(l.ceiling.fair, int(roomShare*float64(l.ceiling.room))))
	}
	return slots
}
