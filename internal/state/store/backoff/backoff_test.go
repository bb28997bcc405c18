package backoff

import "testing"

func TestWaitsDoubleUpToABoundWithJitter(t *testing.T) {
	b := New(1, 2)
	for retries := range 100 {
		limit := min(minWait<<min(retries, maxDoublings), maxWait)
		if wait := b.Wait(retries); wait < limit/2 || wait > limit {
			t.Errorf("after %d retries the wait is %v, want %v to %v", retries, wait, limit/2, limit)
		}
	}
}

func TestWaitsOfOneSeedAndStreamAreTheSame(t *testing.T) {
	first, second := New(1, 2), New(1, 2)
	for retries := range 20 {
		if a, b := first.Wait(retries), second.Wait(retries); a != b {
			t.Errorf("after %d retries two backoffs of one seed and stream return %v and %v, want equal waits", retries, a, b)
		}
	}
}
