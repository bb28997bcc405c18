package ledgerclient

import (
	"sync"
	"time"
)

const (
	// replicaOutageAfter is how long the operations of a shard go without an answer of its replicas before they are
	// relayed by other front nodes. It is long enough for several attempts and hedges.
	replicaOutageAfter = 500 * time.Millisecond
	// shardOutageAfter is how long they go without any answer, direct or through relays, before the shard counts as
	// unreachable. It leaves half a second for relays to answer.
	shardOutageAfter = time.Second
	// maxOperationGap is the longest time between two unanswered operations that belong to one unanswered period.
	maxOperationGap = 500 * time.Millisecond
)

// outageDetector tracks for each shard whether its operations are answered. It observes operations only: a shard
// without any is never down. It is safe for concurrent use.
type outageDetector struct {
	// threshold is how long operations go unanswered before their shard is down.
	threshold time.Duration

	// mutex guards the fields below and the states that shards points to.
	mutex  sync.Mutex
	shards map[uint32]*shardState
	// answeredAt is when any shard last answered.
	answeredAt time.Time
}

// shardState is the state of one shard as observed through its operations.
type shardState struct {
	// inFlight counts the operations in flight; the latest one to start did so at startedAt, the latest one to end at
	// endedAt.
	inFlight           int
	startedAt, endedAt time.Time
	// unansweredSince is the start of the period without an answer; answeredAt is the time of the last answer.
	unansweredSince, answeredAt time.Time
	down                        bool
}

func newOutageDetector(threshold time.Duration, now time.Time) *outageDetector {
	return &outageDetector{threshold: threshold, shards: map[uint32]*shardState{}, answeredAt: now}
}

// observeStart records that an operation starts.
func (d *outageDetector) observeStart(shard uint32, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.shards[shard]
	if state == nil {
		state = &shardState{}
		d.shards[shard] = state
	}
	if state.inFlight == 0 && state.startsNewPeriod(now) {
		state.unansweredSince = now
	}
	state.inFlight++
	state.startedAt = now
}

// observeEnd records that an operation ended, with an answer or without.
func (d *outageDetector) observeEnd(shard uint32, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.shards[shard]
	d.update(state, now)
	state.inFlight--
	state.endedAt = now
}

// observeAnswer records that a shard answered.
func (d *outageDetector) observeAnswer(shard uint32, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.answeredAt = now
	if state := d.shards[shard]; state != nil {
		state.unansweredSince, state.answeredAt, state.down = now, now, false
	}
}

// startsNewPeriod reports whether an operation that starts now, with none in flight, does not continue an unanswered
// period: the operation before it was answered, or ended long ago.
func (s *shardState) startsNewPeriod(now time.Time) bool {
	return !s.answeredAt.Before(s.startedAt) || now.Sub(s.endedAt) > maxOperationGap
}

// isDown reports whether the operations of a shard go unanswered. It stays true until the shard answers.
func (d *outageDetector) isDown(shard uint32, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.shards[shard]
	if state == nil {
		return false
	}
	d.update(state, now)
	return state.down
}

// update marks a shard as down when its unanswered period reaches the threshold. The caller holds the mutex.
func (d *outageDetector) update(state *shardState, now time.Time) {
	if state.inFlight > 0 && now.Sub(state.unansweredSince) >= d.threshold {
		state.down = true
	}
}

// anyDown reports whether one of the first count shards is down.
func (d *outageDetector) anyDown(count int, now time.Time) bool {
	for shard := range uint32(count) {
		if d.isDown(shard, now) {
			return true
		}
	}
	return false
}

// sinceLastAnswer returns how long no shard has answered.
func (d *outageDetector) sinceLastAnswer(now time.Time) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return now.Sub(d.answeredAt)
}
