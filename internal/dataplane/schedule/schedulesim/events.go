package schedulesim

import (
	"container/heap"
	"time"
)

// event is a function to run at a time; events at the same time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap is a heap of events, the next one first.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(element any) { *h = append(*h, element.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// timeline runs events in virtual time.
type timeline struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// after schedules an event after a time.
func (t *timeline) after(wait time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.events, event{at: t.now + max(wait, 0), sequence: t.sequence, run: run})
}

// runUntil runs the events up to and including the end time.
func (t *timeline) runUntil(end time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= end {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.run()
	}
}

// clock returns the virtual time as the time.Time that the decision packages take.
func (t *timeline) clock() time.Time { return time.Unix(1_000_000, 0).Add(t.now) }
