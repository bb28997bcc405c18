package store

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
)

// keep brings one turn onto a majority of the replicas before it may be charged.
type keep struct {
	group    *group
	shard    register.ShardView
	turn     *protocol.Turn
	deadline time.Time
	round    int
	kept     []string
	failed   []string
	done     func(protocol.LedgerStatus)
	ended    bool
	resting  bool
}

// keepOnMajority calls done on the group's goroutine: LEDGER_OK once the turn
// is durable on a majority of the placement in force.
func (g *group) keepOnMajority(shard register.ShardView, turn *protocol.Turn, deadline time.Time, done func(protocol.LedgerStatus)) {
	k := &keep{group: g, shard: shard, turn: turn, deadline: deadline, done: done}
	k.start()
}

func (k *keep) start() {
	k.round++
	k.resting = false
	k.failed = k.failed[:0]
	round := k.round
	for _, store := range k.shard.Quorum.Members() {
		if slices.Contains(k.kept, store) {
			continue
		}
		if store == k.group.store.options.Self.GetName() {
			k.group.keepWithChain(k.shard.Shard, k.turn, func(kept bool) { k.answered(store, round, kept && k.inForce()) })
			continue
		}
		k.ask(store, round)
	}
}

// inForce reports whether this replica still acts under the placement of the
// round: a copy of the shard made under a newer one may lack the turn.
func (k *keep) inForce() bool {
	return k.group.table(k.shard.Shard).View.Rejection(k.shard.Epoch) == notRefused
}

func (k *keep) ask(store string, round int) {
	request := &protocol.Request{Body: &protocol.Request_KeepTurn{KeepTurn: &protocol.KeepTurnRequest{
		Shard: k.shard.Shard, PlacementEpoch: k.shard.Epoch, Turn: k.turn,
	}}}
	k.group.store.peers.Send(store, request, func(response *protocol.Response, err error) {
		kept := err == nil && response.GetKeepTurn() != nil && response.GetKeepTurn().GetRefusal() == notRefused
		k.group.mailbox.Post(func() { k.answered(store, round, kept) })
	})
}

func (k *keep) answered(store string, round int, kept bool) {
	if k.ended {
		return
	}
	if kept {
		k.kept = append(k.kept, store)
	} else if round == k.round {
		k.failed = append(k.failed, store)
	}
	switch {
	case k.shard.Quorum.Reached(func(s string) bool { return slices.Contains(k.kept, s) }):
		k.end(protocol.LedgerStatus_LEDGER_OK)
	case k.resting:
	case k.shard.Quorum.Lost(func(s string) bool { return slices.Contains(k.failed, s) }):
		k.retryLater()
	}
}

func (k *keep) retryLater() {
	k.resting = true
	clock := k.group.store.options.Clock
	clock.AfterFunc(k.group.backoff(k.round), func() {
		k.group.mailbox.Post(k.retry)
	})
}

func (k *keep) retry() {
	if k.ended {
		return
	}
	if !k.group.store.options.Clock.Now().Before(k.deadline) {
		k.end(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
		return
	}
	if k.group.store.shardView(k.shard.Shard).Epoch != k.shard.Epoch {
		k.end(protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT)
		return
	}
	k.start()
}

func (k *keep) end(status protocol.LedgerStatus) {
	k.ended = true
	k.done(status)
}
