// Package heartbeats tracks the heartbeats of back ends on the members of the
// core. A follower acknowledges heartbeats that change nothing and relays them
// to the leader in batches (Relay). The leader orders them by their sequences
// (SequenceTable), distinguishes unchanged back ends from changed ones (Changes)
// and tracks which members relay (RelayingMembers), so that back ends can be
// directed to one of these (ChooseMember).
//
// The package does no I/O and reads no clock. Its tables are not safe for
// concurrent use; the goroutine that owns the control plane's tables uses them.
package heartbeats

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// MaxBatch is the maximum number of heartbeats in one batch.
	MaxBatch = 4096
	// RelayTimeout is the timeout for sending one batch; it is below the election timeout.
	RelayTimeout = 500 * time.Millisecond
	// relayInterval is the time between two batches of heartbeats to the leader.
	relayInterval = 200 * time.Millisecond
	// maxRelayAge is how long a follower acknowledges heartbeats after it sent the last batch that the leader confirmed.
	maxRelayAge = time.Second
	// relayAgesPerLease divides the duration of a back-end lease; if the result is below maxRelayAge, as for a short
	// lease, it is the limit instead.
	relayAgesPerLease = 4
)

// Relay holds the heartbeats that a follower has acknowledged until they have been relayed to the leader.
type Relay struct {
	// lease is the duration of a back end's lease. An older heartbeat is dropped, since the leader cannot use it.
	lease  time.Duration
	maxAge time.Duration
	// pending holds, by back end, the newest heartbeat that has not been part of a batch.
	pending map[string]Heartbeat
	// escalated are the back ends whose next heartbeat must go to the leader, because the leader's view of them differs
	// from this member's.
	escalated map[string]bool
	// leader is the id of the member that batches are sent to, zero while none is known.
	leader uint64
	// lastConfirmed is when the last batch that this leader confirmed was sent.
	lastConfirmed time.Time
	nextBatch     time.Time
	// batchInFlight is true while a batch to this leader is unanswered.
	batchInFlight bool
}

// Heartbeat is a heartbeat that this member acknowledged.
type Heartbeat struct {
	BackEnd  leases.Holder
	Sequence uint64
	// ViewVersion is the version of the back-end view that the heartbeat was compared with.
	ViewVersion uint64
	ReceivedAt  time.Time
}

// NewRelay returns an empty relay for back-end leases of that duration.
func NewRelay(lease time.Duration) *Relay {
	relay := &Relay{lease: lease, maxAge: min(maxRelayAge, lease/relayAgesPerLease)}
	relay.Reset()
	return relay
}

// Reset clears the relay. It is called when this member becomes the leader, which grants all back ends a full lease.
func (r *Relay) Reset() {
	r.pending, r.escalated = map[string]Heartbeat{}, map[string]bool{}
	r.ObserveLeader(0)
}

// ObserveLeader records the id of the leader. When the leader changes, batches that the previous one confirmed no
// longer count, and a batch to the new one is due at once.
func (r *Relay) ObserveLeader(leader uint64) {
	if r.leader != leader {
		r.leader, r.lastConfirmed, r.nextBatch, r.batchInFlight = leader, time.Time{}, time.Time{}, false
	}
}

// ReachesLeader reports whether the leader confirmed a batch that was sent within maxAge.
func (r *Relay) ReachesLeader(leader uint64, now time.Time) bool {
	return leader == r.leader && !r.lastConfirmed.IsZero() && now.Sub(r.lastConfirmed) <= r.maxAge
}

// Add adds a heartbeat to the next batch unless a later one of the same back end is pending.
func (r *Relay) Add(heartbeat Heartbeat) {
	if last, known := r.pending[heartbeat.BackEnd.Name]; known && !heartbeat.supersedes(last) {
		return
	}
	r.pending[heartbeat.BackEnd.Name] = heartbeat
}

// supersedes reports whether a heartbeat replaces another one of the same back end.
func (h Heartbeat) supersedes(other Heartbeat) bool {
	if h.BackEnd.Incarnation != other.BackEnd.Incarnation {
		return h.BackEnd.Incarnation > other.BackEnd.Incarnation
	}
	return h.Sequence >= other.Sequence && !h.ReceivedAt.Before(other.ReceivedAt)
}

// BeginBatch removes and returns the heartbeats of the next batch, oldest first; due is false while no batch is to be
// sent. A batch may be empty: its answer still shows that the leader is reachable.
func (r *Relay) BeginBatch(now time.Time) (batch []Heartbeat, due bool) {
	if r.batchInFlight || now.Before(r.nextBatch) {
		return nil, false
	}
	for id, heartbeat := range r.pending {
		if now.Sub(heartbeat.ReceivedAt) >= r.lease {
			delete(r.pending, id)
			continue
		}
		batch = append(batch, heartbeat)
	}
	slices.SortFunc(batch, func(a, b Heartbeat) int {
		return cmp.Or(a.ReceivedAt.Compare(b.ReceivedAt), cmp.Compare(a.BackEnd.Name, b.BackEnd.Name))
	})
	batch = batch[:min(len(batch), MaxBatch)]
	for _, heartbeat := range batch {
		delete(r.pending, heartbeat.BackEnd.Name)
	}
	r.batchInFlight, r.nextBatch = true, now.Add(relayInterval)
	return batch, true
}

// Confirm records a leader's answer to a batch that was sent at sentAt. The unknown back ends, those of which the
// leader has a different view than this member, are escalated.
func (r *Relay) Confirm(leader uint64, sentAt time.Time, unknown []string) {
	r.endBatch(leader)
	if leader == r.leader {
		r.lastConfirmed = sentAt
	}
	for _, id := range unknown {
		r.escalated[id] = true
	}
}

// Requeue adds the heartbeats of a batch that a leader did not answer to the next batch.
func (r *Relay) Requeue(leader uint64, batch []Heartbeat) {
	r.endBatch(leader)
	for _, heartbeat := range batch {
		r.Add(heartbeat)
	}
}

// endBatch records that a batch to a leader has ended. A batch to a previous leader does not delay the next one.
func (r *Relay) endBatch(leader uint64) {
	if leader == r.leader {
		r.batchInFlight = false
	}
}

// Escalated reports whether the next heartbeat of a back end must be acknowledged by the leader.
func (r *Relay) Escalated(id string) bool { return r.escalated[id] }

// EndEscalation records that the leader acknowledged a heartbeat of a back end.
func (r *Relay) EndEscalation(id string) { delete(r.escalated, id) }

// DropAbsent ends the escalation of back ends that are no longer in the view: their announcements go to the leader in
// any case.
func (r *Relay) DropAbsent(exists func(id string) bool) {
	for id := range r.escalated {
		if !exists(id) {
			delete(r.escalated, id)
		}
	}
}

// EncodeBatch encodes a batch of a member, with the age of each heartbeat at now.
func EncodeBatch(member uint64, batch []Heartbeat, now time.Time) *protocol.RenewBackEndsRequest {
	encoded := &protocol.RenewBackEndsRequest{Member: member, Heard: make([]*protocol.HeardBackEnd, len(batch))}
	for i, heartbeat := range batch {
		encoded.Heard[i] = &protocol.HeardBackEnd{
			Id: heartbeat.BackEnd.Name, Incarnation: heartbeat.BackEnd.Incarnation, Sequence: heartbeat.Sequence,
			AgeMillis: uint32(ageMillis(now.Sub(heartbeat.ReceivedAt))), BackEndsVersion: heartbeat.ViewVersion,
		}
	}
	return encoded
}

// ageMillis rounds an age up to milliseconds, so that rounding never extends a lease.
func ageMillis(age time.Duration) int64 {
	return (max(age, 0) + time.Millisecond - 1).Milliseconds()
}
