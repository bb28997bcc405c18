package replication

import (
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/state/register"
)

const (
	// maxConcurrentCopies bounds the shards that are copied concurrently.
	maxConcurrentCopies = 8
	// reportInterval is the time the core has to acknowledge a report before it is sent again.
	reportInterval = time.Second
)

// progress tracks the shards that are being copied and those that were reported to the core.
type progress struct {
	// mutex guards all fields.
	mutex    sync.Mutex
	running  map[uint32]bool
	reported map[uint32]report
}

// report is the last report of a shard that was sent to the core.
type report struct {
	epoch  uint64
	sentAt time.Time
}

func newProgress() *progress {
	return &progress{running: map[uint32]bool{}, reported: map[uint32]report{}}
}

// begin marks the copy of a shard as running and returns true, unless the shard is being copied
// already, too many copies are running, or the shard was reported within reportInterval.
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

// end removes a copy from the running ones and records whether its shard was reported.
func (p *progress) end(view register.ShardView, isReported bool, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.running, view.Shard)
	if isReported {
		p.reported[view.Shard] = report{epoch: view.Epoch, sentAt: now}
	}
}

// rateLimiter limits the bytes per second of all copies together.
type rateLimiter struct {
	mutex sync.Mutex
	// nextFree is the time from which on the bytes counted so far are within the rate.
	nextFree time.Time
}

// wait counts size bytes and returns how long to wait before the next copy.
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
