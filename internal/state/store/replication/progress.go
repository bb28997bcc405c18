package replication

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/state/register"
)

const (
	// maxConcurrentCopies bounds the shards that are copied side by side.
	maxConcurrentCopies = 8
	// reportInterval is how long the core has to acknowledge a report before it is sent again.
	reportInterval = time.Second
)

// progress is which shards are being copied, and which were reported to the core.
type progress struct {
	// mutex guards all fields.
	mutex    sync.Mutex
	running  map[uint32]bool
	reported map[uint32]report
}

// report is what the core was last sent of a shard.
type report struct {
	epoch  uint64
	sentAt time.Time
}

func newProgress() *progress {
	return &progress{running: map[uint32]bool{}, reported: map[uint32]report{}}
}

// begin reports whether the copy of a shard may begin: none of it is running, there is
// capacity, and it was not reported a short time ago.
func (p *progress) begin(view register.ShardView, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := p.reported[view.Shard]
	isReported := last.epoch == view.Epoch && now.Sub(last.sentAt) < reportInterval
	if p.running[view.Shard] || len(p.running) >= maxConcurrentCopies || isReported {
		return false
	}
	p.running[view.Shard] = true
	return true
}

// end makes room for the next copy.
func (p *progress) end(view register.ShardView, isReported bool, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.running, view.Shard)
	if isReported {
		p.reported[view.Shard] = report{epoch: view.Epoch, sentAt: now}
	}
}

// rateLimiter spreads the bytes of all copies over time.
type rateLimiter struct {
	mutex sync.Mutex
	// nextFree is when the bytes taken so far are within the rate.
	nextFree time.Time
}

// wait counts bytes and returns the wait before more may be copied.
func (l *rateLimiter) wait(now time.Time, size, bytesPerSecond uint64) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(transferTime(size, bytesPerSecond))
	return l.nextFree.Sub(now)
}

func transferTime(size, bytesPerSecond uint64) time.Duration {
	return time.Duration(size * uint64(time.Second) / bytesPerSecond)
}
