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
	maxOperationGap = 500 * time.Millisecond
)

// outages notices for each shard that operations get no answer. It learns from the operations alone: a shard of
// which nothing is asked is never said to be out.
type outageDetector struct {
	// after is how long operations go unanswered before their shard is out.
	threshold time.Duration

	mutex  sync.Mutex
	shards map[uint32]*shardState
	// answeredAt is when any shard answered last.
	answeredAt time.Time
}

// outage is what is known of one shard.
type shardState struct {
	// waiting counts the operations under way; the newest began at begunAt, and the last one ended at endedAt.
	inFlight           int
	startedAt, endedAt time.Time
	// since is from when on operations under way went unanswered; answeredAt is the time of the last answer.
	unansweredSince, answeredAt time.Time
	isOut                       bool
}

func newOutageDetector(after time.Duration, now time.Time) *outageDetector {
	return &outageDetector{threshold: after, shards: map[uint32]*shardState{}, answeredAt: now}
}

// begin notes that an operation begins.
func (o *outageDetector) observeStart(shard uint32, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := o.shards[shard]
	if state == nil {
		state = &shardState{}
		o.shards[shard] = state
	}
	if state.inFlight == 0 && state.isHealthy(now) {
		state.unansweredSince = now
	}
	state.inFlight++
	state.startedAt = now
}

// end notes that an operation ended, with an answer or without.
func (o *outageDetector) observeEnd(shard uint32, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := o.shards[shard]
	o.update(state, now)
	state.inFlight--
	state.endedAt = now
}

// answered notes that a shard answered.
func (o *outageDetector) observeAnswer(shard uint32, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answeredAt = now
	if state := o.shards[shard]; state != nil {
		state.unansweredSince, state.answeredAt, state.isOut = now, now, false
	}
}

// isAnswered reports whether nothing speaks against a shard of which nothing is asked at the moment.
func (o *shardState) isHealthy(now time.Time) bool {
	return !o.answeredAt.Before(o.startedAt) || now.Sub(o.endedAt) > maxOperationGap
}

// isOut reports whether operations of a shard go without an answer. It stays so until the shard answers.
func (o *outageDetector) isOut(shard uint32, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := o.shards[shard]
	if state == nil {
		return false
	}
	o.update(state, now)
	return state.isOut
}

func (o *outageDetector) update(state *shardState, now time.Time) {
	if state.inFlight > 0 && now.Sub(state.unansweredSince) >= o.threshold {
		state.isOut = true
	}
}

// anyOut reports whether one of so many shards is out.
func (o *outageDetector) anyOut(count int, now time.Time) bool {
	for shard := range uint32(count) {
		if o.isOut(shard, now) {
			return true
		}
	}
	return false
}

// silentFor is how long no shard has answered.
func (o *outageDetector) sinceLastAnswer(now time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return now.Sub(o.answeredAt)
}
