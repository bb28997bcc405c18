package sim

import "time"

// event is one function to run at a time since the start; events of the same time run in the order of sequence.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap is a binary heap, the next event first. It is typed, unlike container/heap, so that events are not boxed.
type eventHeap []event

func (h eventHeap) before(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h *eventHeap) push(added event) {
	*h = append(*h, added)
	heap := *h
	for child := len(heap) - 1; child > 0; {
		parent := (child - 1) / 2
		if !heap.before(child, parent) {
			return
		}
		heap[child], heap[parent] = heap[parent], heap[child]
		child = parent
	}
}

func (h *eventHeap) pop() event {
	heap := *h
	first, last := heap[0], len(heap)-1
	heap[0] = heap[last]
	heap[last] = event{}
	*h = heap[:last]
	h.sink()
	return first
}

// sink moves the first event down until it precedes its children.
func (h *eventHeap) sink() {
	heap := *h
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && heap.before(child+1, child) {
			child++
		}
		if !heap.before(child, parent) {
			return
		}
		heap[child], heap[parent] = heap[parent], heap[child]
		parent = child
	}
}
