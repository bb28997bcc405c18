package turns

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
)

// retention brings one turn onto a majority of the replicas before it may be charged. It
// belongs to the group's goroutine.
type retention struct {
	retainer *Retainer
	shard    register.ShardView
	turn     *protocol.Turn
	deadline time.Time
	// attempt counts the attempts; answers of earlier ones count only when they are positive.
	attempt  int
	retained []string
	failed   []string
	done     func(protocol.LedgerStatus)
	ended    bool
	// backingOff is true while the next attempt is due later.
	backingOff bool
}

// RetainOnMajority calls done on the group's goroutine: with LEDGER_OK once the turn is
// durable on a majority of the placement in force, with LEDGER_WRONG_PLACEMENT when that
// changes meanwhile, and with LEDGER_UNAVAILABLE after the deadline.
func (r *Retainer) RetainOnMajority(
	shard register.ShardView, turn *protocol.Turn, deadline time.Time, done func(protocol.LedgerStatus),
) {
	k := &retention{retainer: r, shard: shard, turn: turn, deadline: deadline, done: done}
	k.start()
}

func (k *retention) start() {
	k.attempt++
	k.backingOff = false
	k.failed = k.failed[:0]
	attempt := k.attempt
	for _, store := range k.shard.Quorum.Members() {
		if slices.Contains(k.retained, store) {
			continue
		}
		if store == k.retainer.service.options.Store {
			k.retainer.retainWithChain(k.shard.Shard, k.turn, func(retained bool) {
				k.handleAnswer(store, attempt, retained && k.isInForce())
			})
			continue
		}
		k.request(store, attempt)
	}
}

// isInForce reports whether this replica still acts under the placement of the retention: a
// copy of the shard made under a newer one may lack the turn.
func (k *retention) isInForce() bool {
	return k.retainer.group.Table(k.shard.Shard).View.Rejection(k.shard.Epoch) == notRejected
}

func (k *retention) request(store string, attempt int) {
	request := &protocol.Request{Body: &protocol.Request_KeepTurn{KeepTurn: &protocol.KeepTurnRequest{
		Shard: k.shard.Shard, PlacementEpoch: k.shard.Epoch, Turn: k.turn,
	}}}
	k.retainer.service.options.Peers.Send(store, request, func(response *protocol.Response, err error) {
		answer := response.GetKeepTurn()
		retained := err == nil && answer != nil && answer.GetRefusal() == notRejected
		k.retainer.group.Post(func() { k.handleAnswer(store, attempt, retained) })
	})
}

func (k *retention) handleAnswer(store string, attempt int, retained bool) {
	if k.ended {
		return
	}
	if retained {
		k.retained = append(k.retained, store)
	} else if attempt == k.attempt {
		k.failed = append(k.failed, store)
	}
	switch {
	case k.shard.Quorum.Reached(func(s string) bool { return slices.Contains(k.retained, s) }):
		k.end(protocol.LedgerStatus_LEDGER_OK)
	case k.backingOff:
	case k.shard.Quorum.Lost(func(s string) bool { return slices.Contains(k.failed, s) }):
		k.retryLater()
	}
}

func (k *retention) retryLater() {
	k.backingOff = true
	wait := k.retainer.backoff.Wait(k.attempt)
	k.retainer.service.options.Lifecycle.Clock().AfterFunc(wait, func() {
		k.retainer.group.Post(k.retry)
	})
}

func (k *retention) retry() {
	if k.ended {
		return
	}
	options := &k.retainer.service.options
	if !options.Lifecycle.Clock().Now().Before(k.deadline) {
		k.end(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
		return
	}
	if options.Placement.Current().Shard(k.shard.Shard).Epoch != k.shard.Epoch {
		k.end(protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT)
		return
	}
	k.start()
}

func (k *retention) end(status protocol.LedgerStatus) {
	k.ended = true
	k.done(status)
}
