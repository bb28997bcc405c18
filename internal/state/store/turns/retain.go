package turns

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
)

// retention retains one turn on a majority of the replicas, as is required before it is
// charged. It belongs to the group's goroutine.
type retention struct {
	retainer *Retainer
	shard    register.ShardView
	turn     *protocol.Turn
	deadline time.Time
	// attempt counts the attempts; of the answers to earlier ones only positive ones count.
	attempt  int
	retained []string
	failed   []string
	done     func(protocol.LedgerStatus)
	ended    bool
	// backingOff is true while the retention waits for its next attempt.
	backingOff bool
}

// RetainOnMajority calls done on the group's goroutine: with LEDGER_OK once the turn is
// durable on a majority of the current placement, with LEDGER_WRONG_PLACEMENT when the
// placement changes meanwhile, and with LEDGER_UNAVAILABLE after the deadline.
func (r *Retainer) RetainOnMajority(
	shard register.ShardView, turn *protocol.Turn, deadline time.Time, done func(protocol.LedgerStatus),
) {
	retaining := &retention{retainer: r, shard: shard, turn: turn, deadline: deadline, done: done}
	retaining.start()
}

func (r *retention) start() {
	r.attempt++
	r.backingOff = false
	r.failed = r.failed[:0]
	attempt := r.attempt
	for _, store := range r.shard.Quorum.Members() {
		if slices.Contains(r.retained, store) {
			continue
		}
		if store == r.retainer.service.options.Store {
			r.retainer.retainWithChain(r.shard.Shard, r.turn, func(retained bool) {
				r.handleAnswer(store, attempt, retained && r.isPlacementCurrent())
			})
			continue
		}
		r.request(store, attempt)
	}
}

// isPlacementCurrent reports whether this replica still uses the placement of the retention: a
// copy of the shard that was made under a newer one may lack the turn.
func (r *retention) isPlacementCurrent() bool {
	return r.retainer.group.Table(r.shard.Shard).View.Rejection(r.shard.Epoch) == notRejected
}

func (r *retention) request(store string, attempt int) {
	request := &protocol.Request{Body: &protocol.Request_KeepTurn{KeepTurn: &protocol.KeepTurnRequest{
		Shard: r.shard.Shard, PlacementEpoch: r.shard.Epoch, Turn: r.turn,
	}}}
	r.retainer.service.options.Peers.Send(store, request, func(response *protocol.Response, err error) {
		answer := response.GetKeepTurn()
		retained := err == nil && answer != nil && answer.GetRefusal() == notRejected
		r.retainer.group.Post(func() { r.handleAnswer(store, attempt, retained) })
	})
}

func (r *retention) handleAnswer(store string, attempt int, retained bool) {
	if r.ended {
		return
	}
	if retained {
		r.retained = append(r.retained, store)
	} else if attempt == r.attempt {
		r.failed = append(r.failed, store)
	}
	switch {
	case r.shard.Quorum.Reached(func(s string) bool { return slices.Contains(r.retained, s) }):
		r.end(protocol.LedgerStatus_LEDGER_OK)
	case r.backingOff:
	case r.shard.Quorum.Lost(func(s string) bool { return slices.Contains(r.failed, s) }):
		r.retryLater()
	}
}

func (r *retention) retryLater() {
	r.backingOff = true
	wait := r.retainer.backoff.Wait(r.attempt)
	r.retainer.service.options.Lifecycle.Clock().AfterFunc(wait, func() {
		r.retainer.group.Post(r.retry)
	})
}

func (r *retention) retry() {
	if r.ended {
		return
	}
	options := &r.retainer.service.options
	if !options.Lifecycle.Clock().Now().Before(r.deadline) {
		r.end(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
		return
	}
	if options.Placement.Current().Shard(r.shard.Shard).Epoch != r.shard.Epoch {
		r.end(protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT)
		return
	}
	r.start()
}

func (r *retention) end(status protocol.LedgerStatus) {
	r.ended = true
	r.done(status)
}
