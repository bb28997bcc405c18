// Package heartbeats keeps what the core's members know of the heartbeats of
// back ends. A member that does not lead acknowledges those that change nothing
// and relays them to the leader in batches (Relay); the leader orders them by
// their sequences (SequenceTable), tells unchanged back ends from changed ones
// (Changes) and knows which members relay (RelayingMembers), so that back ends
// can be sent to one of these (ChooseMember).
//
// The package decides and does no I/O. Its tables know no clock and belong to
// one goroutine, the owner of the control plane's tables.
package heartbeats

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// MaxBatch bounds the heartbeats of one batch.
	MaxBatch = 4096
	// RelayTimeout bounds the sending of one batch, below the election timeout.
	RelayTimeout = 500 * time.Millisecond
	// relayInterval is the time between two batches of heartbeats to the leader.
	relayInterval = 200 * time.Millisecond
	// maxRelayAge is the longest time since the last confirmed batch was sent in which a member acknowledges heartbeats.
	maxRelayAge = time.Second
	// relayAgesPerLease is how many times the relay's age goes into a back-end lease that is short.
	relayAgesPerLease = 4
)

// Relay holds the heartbeats that a member which does not lead has acknowledged until the leader has them.
type Relay struct {
	// lease is the duration of a back end's lease: an older heartbeat is of no use to the leader.
	lease  time.Duration
	maxAge time.Duration
	// pending are the newest heartbeats, by back end, that no batch carried yet.
	pending map[string]Heartbeat
	// escalated are the back ends whose next heartbeat goes to the leader, whose view of them differs from this member's.
	escalated map[string]bool
	// leader is the member that batches go to, zero while none is known.
	leader uint64
	// lastConfirmed is when the last batch that this leader answered was sent.
	lastConfirmed time.Time
	nextBatch     time.Time
	// batchInFlight is true while a batch to this leader is not answered.
	batchInFlight bool
}

// Heartbeat is one heartbeat that this member acknowledged.
type Heartbeat struct {
	BackEnd  leases.Holder
	Sequence uint64
	// ViewVersion is that of the back-end view that the heartbeat was compared with.
	ViewVersion uint64
	ReceivedAt  time.Time
}

// NewRelay makes an empty relay for back-end leases of a duration.
func NewRelay(lease time.Duration) *Relay {
	relay := &Relay{lease: lease, maxAge: min(maxRelayAge, lease/relayAgesPerLease)}
	relay.Reset()
	return relay
}

// Reset forgets everything, as at the beginning of this member's own leadership, which gives all back ends a full
// lease.
func (r *Relay) Reset() {
	r.pending, r.escalated = map[string]Heartbeat{}, map[string]bool{}
	r.ObserveLeader(0)
}

// ObserveLeader records which member leads, by id. What another one confirmed does not count, and a new one gets a
// batch at once.
func (r *Relay) ObserveLeader(leader uint64) {
	if r.leader != leader {
		r.leader, r.lastConfirmed, r.nextBatch, r.batchInFlight = leader, time.Time{}, time.Time{}, false
	}
}

// ReachesLeader reports whether the leader answered a batch that was sent recently.
func (r *Relay) ReachesLeader(leader uint64, now time.Time) bool {
	return leader == r.leader && !r.lastConfirmed.IsZero() && now.Sub(r.lastConfirmed) <= r.maxAge
}

// Add keeps a heartbeat for the next batch unless a later one of the back end is pending.
func (r *Relay) Add(heartbeat Heartbeat) {
	if last, known := r.pending[heartbeat.BackEnd.Name]; known && !heartbeat.supersedes(last) {
		return
	}
	r.pending[heartbeat.BackEnd.Name] = heartbeat
}

// supersedes reports whether a heartbeat replaces another one of its back end.
func (h Heartbeat) supersedes(other Heartbeat) bool {
	if h.BackEnd.Incarnation != other.BackEnd.Incarnation {
		return h.BackEnd.Incarnation > other.BackEnd.Incarnation
	}
	return h.Sequence >= other.Sequence && !h.ReceivedAt.Before(other.ReceivedAt)
}

// BeginBatch takes the heartbeats of the next batch, oldest first; due is false while none is to be sent. A batch may
// be empty: its answer shows that the leader is reached.
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

// Confirm records a leader's answer to a batch: when that was sent, and the back ends that the leader does not know
// as this member does.
func (r *Relay) Confirm(leader uint64, sentAt time.Time, unknown []string) {
	r.endBatch(leader)
	if leader == r.leader {
		r.lastConfirmed = sentAt
	}
	for _, id := range unknown {
		r.escalated[id] = true
	}
}

// Requeue keeps the heartbeats of a batch that a leader did not answer for the next one.
func (r *Relay) Requeue(leader uint64, batch []Heartbeat) {
	r.endBatch(leader)
	for _, heartbeat := range batch {
		r.Add(heartbeat)
	}
}

// endBatch allows the next batch once the one to the present leader has ended; one to a former leader delays nothing.
func (r *Relay) endBatch(leader uint64) {
	if leader == r.leader {
		r.batchInFlight = false
	}
}

// Escalated reports whether the next heartbeat of a back end must be acknowledged by the leader.
func (r *Relay) Escalated(id string) bool { return r.escalated[id] }

// EndEscalation records that the leader acknowledged a heartbeat of a back end.
func (r *Relay) EndEscalation(id string) { delete(r.escalated, id) }

// DropAbsent ends the escalation of back ends that left the view: their announcements go to the leader in any case.
func (r *Relay) DropAbsent(exists func(id string) bool) {
	for id := range r.escalated {
		if !exists(id) {
			delete(r.escalated, id)
		}
	}
}

// EncodeBatch writes a batch of a member with the age that each heartbeat has at a time.
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

// ageMillis rounds an age up, so that no lease gets longer by rounding.
func ageMillis(age time.Duration) int64 {
	return (max(age, 0) + time.Millisecond - 1).Milliseconds()
}
