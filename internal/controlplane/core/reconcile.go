package core

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// storeSettle is how long the set of stores must be unchanged before the first placement.
	storesUnchangedInterval = time.Second
	// sharedZonesSettle is the same where there are fewer zones with stores than replicas: a store of another zone may
	// yet come. A deployment with few zones, or few stores, is served all the same.
	sharedZonesUnchangedInterval = 4 * time.Second
	// replaceStoreAfter is how long a store may be without a lease before its shards are placed elsewhere.
	replaceStoreAfter = 20 * time.Second
	// replaceSilentAfter is how long a store may be silent before its shards are placed on a store that has none: a new
	// store beside a silent one is its successor. It is above two renewals of a lease.
	replaceUnresponsiveAfter = 2500 * time.Millisecond
	// successorWindow is how long a store that joined counts as the successor of one that falls silent.
	successorWindow = 15 * time.Second
	// maxMoves bounds the shards that move at one time. A store that is lost, or that is to be emptied, is replaced in
	// seconds, since the next one may be lost then.
	maxConcurrentMoves = 24
	// reconcileRetry is the wait after a proposal of the reconciler failed or was refused.
	reconcileRetryInterval = time.Second
)

// reconciler brings the state towards what settings and stores ask for, a few commands at a time.
type reconciler struct {
	firstKeys    []*protocol.SignOffKey
	shardCount   uint32
	replicaCount uint32

	proposalInFlight bool
	nextAttempt      time.Time
	// stores is the set of stores seen last and since when it is unchanged.
	storeSet     string
	storesSince  time.Time
	absentStores map[string]time.Time
	// replaced are the silent stores whose shards go to a successor.
	replaced map[string]bool
	// joined is when stores were first seen by this leader.
	joined map[string]time.Time
}

func (r *reconciler) reset() {
	r.storeSet, r.storesSince = "", time.Time{}
	r.absentStores = map[string]time.Time{}
	r.replaced = map[string]bool{}
	r.joined = nil
	r.nextAttempt = time.Time{}
}

// reconcile proposes the next commands that are due, if any, one after the other.
func (o *owner) reconcile(now time.Time) {
	r := o.reconciler
	view := o.machine.View()
	r.observeStores(view, now)
	if r.proposalInFlight || now.Before(r.nextAttempt) || !o.isLeader() {
		return
	}
	commands := r.nextCommands(view, o.lostStores(view, now), now)
	if len(commands) == 0 {
		return
	}
	r.proposalInFlight = true
	var result *protocol.CommandResult
	o.runTask(func(ctx context.Context) error {
		for _, command := range commands {
			var err error
			if result, err = o.proposer.Propose(ctx, command); err != nil || !result.GetAccepted() {
				return err
			}
		}
		return nil
	}, func(now time.Time, err error) {
		r.proposalInFlight = false
		if err != nil || !result.GetAccepted() {
			o.logger.Debug("reconciler's command not accepted", "error", err, "refusal", result.GetRefusal().GetMessage())
			o.metrics.reconciled.WithLabelValues("failed").Inc()
			r.nextAttempt = now.Add(reconcileRetryInterval)
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
	var setSb98 strings.Builder
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			present[node.GetName()] = true
			setSb98.WriteString(node.GetName() + "\n")
		}
	}
	set += setSb98.String()
	if set != r.storeSet || r.storesSince.IsZero() {
		r.storeSet, r.storesSince = set, now
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

// lostStores names the stores whose shards are to be placed elsewhere: those without a
// lease for long, and those that are silent while a store that joined lately is there to take over.
func (o *owner) lostStores(view *controlstate.View, now time.Time) map[string]bool {
	o.observeUnresponsiveStores(view, now)
	lost := o.reconciler.storesAbsentTooLong(now)
	for store := range o.reconciler.replaced {
		lost[store] = true
	}
	return lost
}

// observeSilence brings the set of stores that are being replaced up to date. A
// store stays in it until it is heard of again, so that the move to its successor is not left half done.
func (o *owner) observeUnresponsiveStores(view *controlstate.View, now time.Time) {
	r := o.reconciler
	r.observeJoins(view, now)
	unresponsive := map[string]bool{}
	for store := range r.absentStores {
		unresponsive[store] = true
	}
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE && o.timeSinceRenewal(node, now) >= replaceUnresponsiveAfter {
			unresponsive[node.GetName()] = true
		}
	}
	successor := len(unresponsive) > 0 && r.hasSuccessor(view, unresponsive, now)
	for store := range unresponsive {
		if successor {
			r.replaced[store] = true
		}
	}
	for store := range r.replaced {
		if !unresponsive[store] {
			delete(r.replaced, store)
		}
	}
}

// silence is how long a node has not renewed its lease, as far as this leader knows.
func (o *owner) timeSinceRenewal(node *protocol.Node, now time.Time) time.Duration {
	lastRenewal := o.nodes.expiry(node.GetName(), node.GetIncarnation()).Add(-o.nodes.duration)
	return now.Sub(lastRenewal)
}

// hasSuccessor reports whether a store that joined lately is there to take shards over.
func (r *reconciler) hasSuccessor(view *controlstate.View, unresponsive map[string]bool, now time.Time) bool {
	for _, node := range controlstate.UsableStores(view.Placement, view.Membership.GetNodes()) {
		joined, known := r.joined[node.GetName()]
		if known && !unresponsive[node.GetName()] && now.Sub(joined) < successorWindow {
			return true
		}
	}
	return false
}

// observeJoins notes when stores joined. Those that were there when this leader
// began, or before the first placement, succeed nobody.
func (r *reconciler) observeJoins(view *controlstate.View, now time.Time) {
	first := r.joined == nil || len(view.Placement.GetShards()) == 0
	if r.joined == nil {
		r.joined = map[string]time.Time{}
	}
	for _, node := range view.Membership.GetNodes() {
		if _, known := r.joined[node.GetName()]; known || node.GetKind() != protocol.NodeKind_STORE {
			continue
		}
		r.joined[node.GetName()] = now
		if first {
			r.joined[node.GetName()] = time.Time{}
		}
	}
}

func (r *reconciler) storesAbsentTooLong(now time.Time) map[string]bool {
	lost := map[string]bool{}
	for store, since := range r.absentStores {
		if now.Sub(since) >= replaceStoreAfter {
			lost[store] = true
		}
	}
	return lost
}

func (r *reconciler) nextCommands(view *controlstate.View, lost map[string]bool, now time.Time) []*protocol.Command {
	if r.firstKeysDiffer(view) {
		return []*protocol.Command{{Body: &protocol.Command_SeedSignOffKeys{
			SeedSignOffKeys: &protocol.SeedSignOffKeysCommand{Keys: r.firstKeys},
		}}}
	}
	if len(view.Placement.GetShards()) == 0 {
		return r.firstPlacementCommands(view, now)
	}
	steps := controlstate.Plan(controlstate.PlanInput{
		Placement: view.Placement, Nodes: view.Membership.GetNodes(), Lost: lost, MaxMoves: maxConcurrentMoves,
	})
	commands := make([]*protocol.Command, 0, len(steps))
	for _, step := range steps {
		commands = append(commands, &protocol.Command{Body: &protocol.Command_MoveShard{MoveShard: step}})
	}
	return commands
}

// wantsKeys reports that the settings of this leader name other first keys than the state, and that they still count.
func (r *reconciler) firstKeysDiffer(view *controlstate.View) bool {
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

func (r *reconciler) firstPlacementCommands(view *controlstate.View, now time.Time) []*protocol.Command {
	unchanged := now.Sub(r.storesSince)
	zones := controlstate.CountStoreZones(view.Placement, view.Membership.GetNodes())
	placement := &protocol.InitializePlacementCommand{ShardCount: r.shardCount, ReplicaCount: r.replicaCount, OverRegions: true}
	switch {
	case zones >= int(r.replicaCount) && unchanged >= storesUnchangedInterval:
	case unchanged >= sharedZonesUnchangedInterval:
		stores := controlstate.UsableStores(view.Placement, view.Membership.GetNodes())
		placement.ReplicaCount, placement.SharedZones = maxOddReplicas(len(stores), r.replicaCount), true
	default:
		return nil
	}
	if placement.GetReplicaCount() == 0 {
		return nil
	}
	return []*protocol.Command{{Body: &protocol.Command_InitializePlacement{InitializePlacement: placement}}}
}

// replicasFor is the largest odd number of replicas that so many stores can hold, at most the number wanted.
func maxOddReplicas(stores int, wanted uint32) uint32 {
	possible := min(uint32(stores), wanted)
	if possible > 0 && possible%2 == 0 {
		possible--
	}
	return possible
}
