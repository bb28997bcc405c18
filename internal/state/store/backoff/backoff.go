// Package backoff computes the waits between the retries of a store's proposers and retainers.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	minWait = 2 * time.Millisecond
	maxWait = 250 * time.Millisecond
	// maxDoublings prevents the doubled wait from overflowing a time.Duration.
	maxDoublings = 16
)

// Backoff computes waits that double with each retry, up to maxWait. It belongs to one goroutine.
type Backoff struct {
	random *rand.Rand
}

// New returns a backoff. Backoffs of one seed and different streams compute different waits.
func New(seed, stream uint64) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, stream))}
}

// Wait returns the wait before a retry, given the number of previous retries. It is random,
// between half of the doubled wait and all of it.
func (b *Backoff) Wait(retries int) time.Duration {
	limit := min(minWait<<min(retries, maxDoublings), maxWait)
	return limit/2 + time.Duration(b.random.Int64N(int64(limit)/2+1))
}
