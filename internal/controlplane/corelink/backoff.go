package corelink

import (
	"math/rand/v2"
	"time"
)

const (
	initialBackoff = 25 * time.Millisecond
	// maxRetryBackoff bounds the backoff after a renewal or poll without an answer.
	maxRetryBackoff = 200 * time.Millisecond
	// maxRejectedBackoff bounds the backoff of a node that the core rejects with a reason.
	maxRejectedBackoff = 30 * time.Second
	// maxElectionBackoff bounds the backoff between searches for the leader while
	// an election may be in progress, which is assumed to last at most
	// electionDuration; maxOutageBackoff bounds it after that.
	maxElectionBackoff = 100 * time.Millisecond
	electionDuration   = 3 * time.Second
	maxOutageBackoff   = 500 * time.Millisecond
)

// nextBackoff doubles a wait, from initialBackoff up to the limit.
func nextBackoff(wait, limit time.Duration) time.Duration {
	if wait == 0 {
		return initialBackoff
	}
	return min(2*wait, limit)
}

// jitter returns a random duration between half of the wait and all of it, so that
// nodes that failed together do not retry together.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait/2+1)
}
