// Package reconcile decides which commands bring the control state towards what
// the settings and the stores ask for: the first sign-off keys, the first
// placement, and the replacement of stores that are lost. It does no I/O; the
// owner of a Reconciler proposes the commands.
package reconcile

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/placement"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// storesUnchangedInterval is how long the set of stores must be unchanged before the first placement.
	storesUnchangedInterval = time.Second
	// sharedZonesUnchangedInterval is the same where fewer zones have stores than a shard has replicas: a store of another
	// zone may yet join. A deployment with few zones, or few stores, is served all the same.
	sharedZonesUnchangedInterval = 4 * time.Second
	// replaceAbsentAfter is how long a store may be without a lease before its shards are placed elsewhere.
	replaceAbsentAfter = 20 * time.Second
	// replaceUnresponsiveAfter is how long a store may fail to renew its lease before its shards are placed on a store
	// that has none: a new store beside an unresponsive one is its successor. It is above two renewals of a lease.
	replaceUnresponsiveAfter = 2500 * time.Millisecond
	// successorWindow is how long a store that joined counts as the successor of one that becomes unresponsive.
	successorWindow = 15 * time.Second
	// maxConcurrentMoves bounds the shards that move at one time. A store that is lost, or that is to be emptied, is
	// replaced within seconds, since the next one may be lost then.
	maxConcurrentMoves = 24
	// retryInterval is the wait after a command failed or was rejected.
	retryInterval = time.Second
)

// Settings of a Reconciler.
type Settings struct {
	// FirstKeys are the sign-off keys that the settings name.
	FirstKeys    []*protocol.SignOffKey
	ShardCount   uint32
	ReplicaCount uint32
}

// Reconciler decides on a few commands at a time. It belongs to one goroutine.
type Reconciler struct {
	settings Settings

	proposalInFlight bool
	nextAttempt      time.Time
	// storeNames are the stores at the last observation, and storesSince is since when they are unchanged.
	storeNames  string
	storesSince time.Time
	// absentSince is since when a store that the placement names has had no lease.
	absentSince map[string]time.Time
	// replaced are the unresponsive stores whose shards go to a successor.
	replaced map[string]bool
	// joinedAt is when each store was first observed by this leader; nil before the first observation.
	joinedAt map[string]time.Time
}

// New makes a reconciler that has observed nothing.
func New(settings Settings) *Reconciler {
	return &Reconciler{settings: settings, absentSince: map[string]time.Time{}, replaced: map[string]bool{}}
}

// Reset forgets all observations, as a new leader does. A proposal in flight stays so until EndProposal.
func (r *Reconciler) Reset() {
	r.storeNames, r.storesSince = "", time.Time{}
	r.absentSince = map[string]time.Time{}
	r.replaced = map[string]bool{}
	r.joinedAt = nil
	r.nextAttempt = time.Time{}
}

// Due reports whether the next commands may be proposed: none is in flight and no retry is waited for.
func (r *Reconciler) Due(now time.Time) bool {
	return !r.proposalInFlight && !now.Before(r.nextAttempt)
}

// BeginProposal records that commands are being proposed.
func (r *Reconciler) BeginProposal() { r.proposalInFlight = true }

// EndProposal records whether all the commands were accepted; if not, the next ones wait for the retry interval.
func (r *Reconciler) EndProposal(now time.Time, accepted bool) {
	r.proposalInFlight = false
	if !accepted {
		r.nextAttempt = now.Add(retryInterval)
	}
}

// ObserveStores records since when the set of stores is unchanged and which stores are absent.
func (r *Reconciler) ObserveStores(view *controlstate.View, now time.Time) {
	present := map[string]bool{}
	var names strings.Builder
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE {
			present[node.GetName()] = true
			names.WriteString(node.GetName() + "\n")
		}
	}
	if names.String() != r.storeNames || r.storesSince.IsZero() {
		r.storeNames, r.storesSince = names.String(), now
	}
	absentSince := map[string]time.Time{}
	for _, shard := range view.Placement.GetShards() {
		for _, replicas := range [][]*protocol.Replica{shard.GetCurrent(), shard.GetNext()} {
			for _, replica := range replicas {
				store := replica.GetStore()
				if present[store] {
					continue
				}
				since, known := r.absentSince[store]
				if !known {
					since = now
				}
				absentSince[store] = since
			}
		}
	}
	r.absentSince = absentSince
}

// NextCommands are the commands to propose now, in their order, if any. lastRenewal is when a node last renewed its
// lease.
func (r *Reconciler) NextCommands(
	view *controlstate.View, lastRenewal func(*protocol.Node) time.Time, now time.Time,
) []*protocol.Command {
	lost := r.lostStores(view, lastRenewal, now)
	if r.firstKeysDiffer(view) {
		return []*protocol.Command{{Body: &protocol.Command_SeedSignOffKeys{
			SeedSignOffKeys: &protocol.SeedSignOffKeysCommand{Keys: r.settings.FirstKeys},
		}}}
	}
	if len(view.Placement.GetShards()) == 0 {
		return r.firstPlacement(view, now)
	}
	steps := placement.Plan(placement.Input{
		Placement: view.Placement, Nodes: view.Membership.GetNodes(), Lost: lost, MaxMoves: maxConcurrentMoves,
	})
	commands := make([]*protocol.Command, 0, len(steps))
	for _, step := range steps {
		commands = append(commands, &protocol.Command{Body: &protocol.Command_MoveShard{MoveShard: step}})
	}
	return commands
}

// lostStores names the stores whose shards are to be placed elsewhere: those without a lease for long, and those that
// are unresponsive while a store that joined recently can take over.
func (r *Reconciler) lostStores(
	view *controlstate.View, lastRenewal func(*protocol.Node) time.Time, now time.Time,
) map[string]bool {
	r.observeUnresponsive(view, lastRenewal, now)
	lost := map[string]bool{}
	for store, since := range r.absentSince {
		if now.Sub(since) >= replaceAbsentAfter {
			lost[store] = true
		}
	}
	for store := range r.replaced {
		lost[store] = true
	}
	return lost
}

// observeUnresponsive updates the set of stores that are being replaced. A store stays in it until it renews its
// lease, so that the move to its successor is not left half done.
func (r *Reconciler) observeUnresponsive(
	view *controlstate.View, lastRenewal func(*protocol.Node) time.Time, now time.Time,
) {
	r.observeJoins(view, now)
	unresponsive := map[string]bool{}
	for store := range r.absentSince {
		unresponsive[store] = true
	}
	for _, node := range view.Membership.GetNodes() {
		if node.GetKind() == protocol.NodeKind_STORE && now.Sub(lastRenewal(node)) >= replaceUnresponsiveAfter {
			unresponsive[node.GetName()] = true
		}
	}
	if len(unresponsive) > 0 && r.hasSuccessor(view, unresponsive, now) {
		for store := range unresponsive {
			r.replaced[store] = true
		}
	}
	for store := range r.replaced {
		if !unresponsive[store] {
			delete(r.replaced, store)
		}
	}
}

// hasSuccessor reports whether a store that joined recently can take shards over.
func (r *Reconciler) hasSuccessor(view *controlstate.View, unresponsive map[string]bool, now time.Time) bool {
	for _, node := range placement.UsableStores(view.Placement, view.Membership.GetNodes()) {
		joinedAt, known := r.joinedAt[node.GetName()]
		if known && !unresponsive[node.GetName()] && now.Sub(joinedAt) < successorWindow {
			return true
		}
	}
	return false
}

// observeJoins records when stores joined. Those that were present when this leader
// began, or before the first placement, succeed none.
func (r *Reconciler) observeJoins(view *controlstate.View, now time.Time) {
	first := r.joinedAt == nil || len(view.Placement.GetShards()) == 0
	if r.joinedAt == nil {
		r.joinedAt = map[string]time.Time{}
	}
	for _, node := range view.Membership.GetNodes() {
		if _, known := r.joinedAt[node.GetName()]; known || node.GetKind() != protocol.NodeKind_STORE {
			continue
		}
		r.joinedAt[node.GetName()] = now
		if first {
			r.joinedAt[node.GetName()] = time.Time{}
		}
	}
}

// firstKeysDiffer reports that the settings of this leader name other first keys than the state while these still
// count.
func (r *Reconciler) firstKeysDiffer(view *controlstate.View) bool {
	keys := r.settings.FirstKeys
	if len(keys) == 0 || (view.Configuration.GetActive() != nil && len(view.FirstKeys) > 0) {
		return false
	}
	if len(keys) != len(view.FirstKeys) {
		return true
	}
	for i, key := range keys {
		if !proto.Equal(key, view.FirstKeys[i]) {
			return true
		}
	}
	return false
}

func (r *Reconciler) firstPlacement(view *controlstate.View, now time.Time) []*protocol.Command {
	unchanged := now.Sub(r.storesSince)
	stores := placement.UsableStores(view.Placement, view.Membership.GetNodes())
	command := &protocol.InitializePlacementCommand{
		ShardCount: r.settings.ShardCount, ReplicaCount: r.settings.ReplicaCount, OverRegions: true,
	}
	switch {
	case placement.CountZones(stores) >= int(r.settings.ReplicaCount) && unchanged >= storesUnchangedInterval:
	case unchanged >= sharedZonesUnchangedInterval:
		command.ReplicaCount = maxOddReplicas(len(stores), r.settings.ReplicaCount)
		command.SharedZones = true
	default:
		return nil
	}
	if command.GetReplicaCount() == 0 {
		return nil
	}
	return []*protocol.Command{{Body: &protocol.Command_InitializePlacement{InitializePlacement: command}}}
}

// maxOddReplicas is the largest odd number of replicas that so many stores can hold, at most the number wanted.
func maxOddReplicas(stores int, wanted uint32) uint32 {
	possible := min(uint32(stores), wanted)
	if possible > 0 && possible%2 == 0 {
		possible--
	}
	return possible
}
