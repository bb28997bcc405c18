package ledgerclient

import (
	"sync"
	"time"
)

const (
	// replicaOutageAfter is how long the operations of a shard go without an answer of its replicas before they are
	// sent by way of other front nodes.
	replicaOutageAfter = 500 * time.Millisecond
	// shardOutageAfter is how long they go without an answer over any way before the shard counts as unreachable.
	shardOutageAfter = time.Second
	// quietGap is the longest pause between two unanswered operations that count as one time without an answer.
	quietGap = 500 * time.Millisecond
)

// outages notices for each shard that operations get no answer. It learns from the operations alone: a shard of
// which nothing is asked is never said to be out.
type outages struct {
	// after is how long operations go unanswered before their shard is out.
	after time.Duration

	mutex  sync.Mutex
	shards map[uint32]*outage
	// answeredAt is when any shard answered last.
	answeredAt time.Time
}

// outage is what is known of one shard.
type outage struct {
	// waiting counts the operations under way; the newest began at begunAt, and the last one ended at endedAt.
	waiting          int
	begunAt, endedAt time.Time
	// since is from when on operations under way went unanswered; answeredAt is the time of the last answer.
	since, answeredAt time.Time
	out               bool
}

func newOutages(after time.Duration, now time.Time) *outages {
	return &outages{after: after, shards: map[uint32]*outage{}, answeredAt: now}
}

// begin notes that an operation begins.
func (o *outages) begin(shard uint32, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	held := o.shards[shard]
	if held == nil {
		held = &outage{}
		o.shards[shard] = held
	}
	if held.waiting == 0 && held.isAnswered(now) {
		held.since = now
	}
	held.waiting++
	held.begunAt = now
}

// end notes that an operation ended, with an answer or without.
func (o *outages) end(shard uint32, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	held := o.shards[shard]
	o.judge(held, now)
	held.waiting--
	held.endedAt = now
}

// answered notes that a shard answered.
func (o *outages) answered(shard uint32, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answeredAt = now
	if held := o.shards[shard]; held != nil {
		held.since, held.answeredAt, held.out = now, now, false
	}
}

// isAnswered reports whether nothing speaks against a shard of which nothing is asked at the moment.
func (o *outage) isAnswered(now time.Time) bool {
	return !o.answeredAt.Before(o.begunAt) || now.Sub(o.endedAt) > quietGap
}

// isOut reports whether operations of a shard go without an answer. It stays so until the shard answers.
func (o *outages) isOut(shard uint32, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	held := o.shards[shard]
	if held == nil {
		return false
	}
	o.judge(held, now)
	return held.out
}

func (o *outages) judge(held *outage, now time.Time) {
	if held.waiting > 0 && now.Sub(held.since) >= o.after {
		held.out = true
	}
}

// anyOut reports whether one of so many shards is out.
func (o *outages) anyOut(count int, now time.Time) bool {
	for shard := range uint32(count) {
		if o.isOut(shard, now) {
			return true
		}
	}
	return false
}

// silentFor is how long no shard has answered.
func (o *outages) silentFor(now time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return now.Sub(o.answeredAt)
}
