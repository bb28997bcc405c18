// Package backoff computes the waits between the attempts of a store's proposers.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	minWait = 2 * time.Millisecond
	maxWait = 250 * time.Millisecond
	// maxDoublings keeps the doubled wait within a time.Duration.
	maxDoublings = 16
)

// Backoff computes waits that double with each retry. It belongs to one goroutine.
type Backoff struct {
	random *rand.Rand
}

// New returns a backoff; those of different streams differ under one seed.
func New(seed, stream uint64) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, stream))}
}

// Wait returns the wait before a retry, given how many came before: a random one between
// half of the doubled wait and all of it.
func (b *Backoff) Wait(retries int) time.Duration {
	limit := min(minWait<<min(retries, maxDoublings), maxWait)
	return limit/2 + time.Duration(b.random.Int64N(int64(limit)/2+1))
}
