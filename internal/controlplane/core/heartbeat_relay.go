package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// relayInterval is the time between two batches of heartbeats to the leader.
	relayInterval = 200 * time.Millisecond
	// relayTimeout bounds one batch, below the election timeout.
	relayTimeout = 500 * time.Millisecond
	// maxRelayAge is the longest time since the last confirmed batch was sent in which a member acknowledges heartbeats.
	maxRelayAge = time.Second
	// leaseShareOfRelayAge is the part of a short back-end lease that the relay's age may take.
	leaseShareOfRelayAge = 4
)

// heartbeatRelay holds the heartbeats that a member which does not lead has acknowledged until the leader has them. It is
// part of the owner and knows no clock.
type heartbeatRelay struct {
	// lease is the length of a back end's lease: an older heartbeat is of no use to the leader.
	lease  time.Duration
	maxAge time.Duration
	// waiting are the newest heartbeats, by back end, that no batch carried yet.
	pending map[string]receivedHeartbeat
	// escalated are the back ends whose next heartbeat goes to the leader, which does not hold them as this member does.
	escalated map[string]bool
	// leader is the member that batches go to, zero while none is known.
	leader uint64
	// confirmed is when the last batch that this leader answered was sent.
	lastConfirmed time.Time
	nextBatch     time.Time
	// sending is true while a batch is on its way to this leader.
	batchInFlight bool
}

// heardBackEnd is one heartbeat that this member acknowledged.
type receivedHeartbeat struct {
	id                    string
	incarnation, sequence uint64
	// viewVersion is that of the back-end view that the heartbeat was compared with.
	viewVersion uint64
	receivedAt  time.Time
}

func newHeartbeatRelay(lease time.Duration) *heartbeatRelay {
	relay := &heartbeatRelay{lease: lease, maxAge: min(maxRelayAge, lease/leaseShareOfRelayAge)}
	relay.reset()
	return relay
}

// reset forgets everything, as at the beginning of this member's own leadership, which gives all back ends a whole lease.
func (r *heartbeatRelay) reset() {
	r.pending, r.escalated = map[string]receivedHeartbeat{}, map[string]bool{}
	r.observeLeader(0)
}

// observeLeader notes which member leads; what another one confirmed does not count, and a new one gets a batch at once.
func (r *heartbeatRelay) observeLeader(leader uint64) {
	if r.leader != leader {
		r.leader, r.lastConfirmed, r.nextBatch, r.batchInFlight = leader, time.Time{}, time.Time{}, false
	}
}

// reaches reports whether the leader answered a batch that was sent a short while ago.
func (r *heartbeatRelay) reachesLeader(leader uint64, now time.Time) bool {
	return leader == r.leader && !r.lastConfirmed.IsZero() && now.Sub(r.lastConfirmed) <= r.maxAge
}

// hear keeps a heartbeat for the next batch unless a later one of the back end waits already.
func (r *heartbeatRelay) add(heartbeat receivedHeartbeat) {
	if last, known := r.pending[heartbeat.id]; known && !heartbeat.follows(last) {
		return
	}
	r.pending[heartbeat.id] = heartbeat
}

// follows reports whether a heartbeat takes the place of another one of its back end.
func (h receivedHeartbeat) follows(other receivedHeartbeat) bool {
	if h.incarnation != other.incarnation {
		return h.incarnation > other.incarnation
	}
	return h.sequence >= other.sequence && !h.receivedAt.Before(other.receivedAt)
}

// beginBatch takes out the heartbeats of the next batch, oldest first; due is false while none is to be sent.
func (r *heartbeatRelay) beginBatch(now time.Time) (batch []receivedHeartbeat, due bool) {
	if r.batchInFlight || now.Before(r.nextBatch) {
		return nil, false
	}
	for id, heartbeat := range r.pending {
		if now.Sub(heartbeat.receivedAt) >= r.lease {
			delete(r.pending, id)
			continue
		}
		batch = append(batch, heartbeat)
	}
	slices.SortFunc(batch, func(a, b receivedHeartbeat) int {
		return cmp.Or(a.receivedAt.Compare(b.receivedAt), cmp.Compare(a.id, b.id))
	})
	batch = batch[:min(len(batch), maxHeartbeatBatch)]
	for _, heartbeat := range batch {
		delete(r.pending, heartbeat.id)
	}
	r.batchInFlight, r.nextBatch = true, now.Add(relayInterval)
	return batch, true
}

// confirm takes in a leader's answer to a batch that was sent at a time.
func (r *heartbeatRelay) confirm(leader uint64, sent time.Time, unknown []string) {
	r.endBatch(leader)
	if leader == r.leader {
		r.lastConfirmed = sent
	}
	for _, id := range unknown {
		r.escalated[id] = true
	}
}

// endBatch lets the next batch go once the one to the present leader has ended; one to a former leader holds nothing up.
func (r *heartbeatRelay) endBatch(leader uint64) {
	if leader == r.leader {
		r.batchInFlight = false
	}
}

// putBack keeps the heartbeats of a batch that a leader did not answer for the next one.
func (r *heartbeatRelay) requeue(leader uint64, batch []receivedHeartbeat) {
	r.endBatch(leader)
	for _, heartbeat := range batch {
		r.add(heartbeat)
	}
}

// sweep forgets the escalation of back ends that left the view: their announcements are news in any case.
func (r *heartbeatRelay) sweep(present func(id string) bool) {
	for id := range r.escalated {
		if !present(id) {
			delete(r.escalated, id)
		}
	}
}

// encodeBatch writes a batch with the age that each heartbeat has at a time.
func encodeBatch(member uint64, batch []receivedHeartbeat, now time.Time) *protocol.RenewBackEndsRequest {
	encoded := &protocol.RenewBackEndsRequest{Member: member, Heard: make([]*protocol.HeardBackEnd, len(batch))}
	for i, heartbeat := range batch {
		encoded.Heard[i] = &protocol.HeardBackEnd{
			Id: heartbeat.id, Incarnation: heartbeat.incarnation, Sequence: heartbeat.sequence,
			AgeMillis: uint32(ageMillis(now.Sub(heartbeat.receivedAt))), BackEndsVersion: heartbeat.viewVersion,
		}
	}
	return encoded
}

// ageMillis rounds an age up, so that no lease gets longer by rounding.
func ageMillis(age time.Duration) int64 {
	return (max(age, 0) + time.Millisecond - 1).Milliseconds()
}
