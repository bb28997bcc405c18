package core

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// storeSettle is how long the set of stores must be unchanged before the first placement.
	storeSettle = time.Second
	// replaceStoreAfter is how long a store may be without a lease before its shards are placed elsewhere.
	replaceStoreAfter = time.Minute
	// maxMoves bounds the shards that move at one time.
	maxMoves = 4
	// reconcileRetry is the wait after a proposal of the reconciler failed or was refused.
	reconcileRetry = time.Second
)

// reconciler brings the state towards what settings and stores ask for, one command at a time.
type reconciler struct {
	firstKeys    []*protocol.SignOffKey
	shardCount   uint32
	replicaCount uint32

	busy    bool
	waitTil time.Time
	// stores is the set of stores seen last and since when it is unchanged.
	stores       string
	storesSince  time.Time
	absentStores map[string]time.Time
}

func (r *reconciler) reset() {
	r.stores, r.storesSince = "", time.Time{}
	r.absentStores = map[string]time.Time{}
	r.waitTil = time.Time{}
}

// reconcile proposes the next command that is due, if any.
func (o *owner) reconcile(now time.Time) {
	r := o.reconciler
	view := o.machine.View()
	r.observeStores(view, now)
	if r.busy || now.Before(r.waitTil) || !o.leads() {
		return
	}
	command := r.next(view, now)
	if command == nil {
		return
	}
	r.busy = true
	var result *protocol.CommandResult
	o.work(func(ctx context.Context) error {
		var err error
		result, err = o.proposer.propose(ctx, command)
		return err
	}, func(now time.Time, err error) {
		r.busy = false
		if err != nil || !result.GetAccepted() {
			o.logger.Debug("reconciler's command not accepted", "error", err, "refusal", result.GetRefusal().GetMessage())
			o.metrics.reconciled.WithLabelValues("failed").Inc()
			r.waitTil = now.Add(reconcileRetry)
			return
		}
		o.metrics.reconciled.WithLabelValues("done").Inc()
		o.reconcile(now)
	})
}

// observeStores notes since when the set of stores is unchanged and which are absent.
func (r *reconciler) observeStores(view *controlstate.View, now time.Time) {
	set := ""
	present := map[string]bool{}
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			present[node.GetName()] = true
			set += node.GetName() + "\n"
		}
	}
	if set != r.stores || r.storesSince.IsZero() {
		r.stores, r.storesSince = set, now
	}
	absent := map[string]time.Time{}
	for _, shard := range view.Placement.GetShards() {
		for _, replicas := range [][]*protocol.Replica{shard.GetCurrent(), shard.GetNext()} {
			for _, holder := range replicas {
				if present[holder.GetStore()] {
					continue
				}
				since, known := r.absentStores[holder.GetStore()]
				if !known {
					since = now
				}
				absent[holder.GetStore()] = since
			}
		}
	}
	r.absentStores = absent
}

func (r *reconciler) lost(now time.Time) map[string]bool {
	lost := map[string]bool{}
	for store, since := range r.absentStores {
		if now.Sub(since) >= replaceStoreAfter {
			lost[store] = true
		}
	}
	return lost
}

func (r *reconciler) next(view *controlstate.View, now time.Time) *protocol.Command {
	if r.wantsKeys(view) {
		return &protocol.Command{Body: &protocol.Command_SeedSignOffKeys{
			SeedSignOffKeys: &protocol.SeedSignOffKeysCommand{Keys: r.firstKeys},
		}}
	}
	if len(view.Placement.GetShards()) == 0 {
		return r.firstPlacement(view, now)
	}
	steps := controlstate.Plan(controlstate.PlanInput{
		Placement: view.Placement, Nodes: view.Membership.GetNodes(), Lost: r.lost(now), MaxMoves: maxMoves,
	})
	if len(steps) == 0 {
		return nil
	}
	return &protocol.Command{Body: &protocol.Command_MoveShard{MoveShard: steps[0]}}
}

// wantsKeys reports that the settings of this leader name other first keys than the state, and that they still count.
func (r *reconciler) wantsKeys(view *controlstate.View) bool {
	if len(r.firstKeys) == 0 || (view.Configuration.GetActive() != nil && len(view.FirstKeys) > 0) {
		return false
	}
	if len(r.firstKeys) != len(view.FirstKeys) {
		return true
	}
	for i, key := range r.firstKeys {
		if !proto.Equal(key, view.FirstKeys[i]) {
			return true
		}
	}
	return false
}

func (r *reconciler) firstPlacement(view *controlstate.View, now time.Time) *protocol.Command {
	zones := controlstate.CountStoreZones(view.Placement, view.Membership.GetNodes())
	if zones < int(r.replicaCount) || now.Sub(r.storesSince) < storeSettle {
		return nil
	}
	return &protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{ShardCount: r.shardCount, ReplicaCount: r.replicaCount, OverRegions: true},
	}}
}
