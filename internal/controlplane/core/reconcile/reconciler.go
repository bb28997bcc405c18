// Package reconcile determines the commands that converge the control state to
// the settings and the available stores: the first sign-off keys, the first
// placement, and the replacement of lost stores. It does no I/O; the owner of a
// Reconciler proposes the commands.
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
	// sharedZonesUnchangedInterval is that interval if fewer zones have stores than a shard has replicas. It is longer,
	// since a store of another zone may still join, but it ends, since a deployment with few zones or few stores must
	// work too.
	sharedZonesUnchangedInterval = 4 * time.Second
	// replaceAbsentAfter is how long a store may be without a lease before its shards are placed elsewhere.
	replaceAbsentAfter = 20 * time.Second
	// replaceUnresponsiveAfter is how long a store may fail to renew its lease before its shards are placed on a new
	// store: a store that joined recently counts as the successor of an unresponsive one. It is longer than two renewals
	// of a lease.
	replaceUnresponsiveAfter = 2500 * time.Millisecond
	// successorWindow is how long after its join a store counts as the successor of one that becomes unresponsive.
	successorWindow = 15 * time.Second
	// maxConcurrentMoves is the maximum number of shards that move at the same time. It is large enough that a store that
	// is lost or to be emptied is replaced within seconds, before another store may be lost.
	maxConcurrentMoves = 24
	// retryInterval is the wait before new commands are proposed after one failed or was rejected.
	retryInterval = time.Second
)

// Settings of a Reconciler.
type Settings struct {
	// FirstKeys are the sign-off keys of the settings; the state is seeded with them.
	FirstKeys    []*protocol.SignOffKey
	ShardCount   uint32
	ReplicaCount uint32
}

// Reconciler determines the next commands from the control state and its own observations. It is not safe for
// concurrent use.
type Reconciler struct {
	settings Settings

	proposalInFlight bool
	nextAttempt      time.Time
	// storeNames are the names of the stores at the last observation, one a line; storesSince is when they last changed.
	storeNames  string
	storesSince time.Time
	// absentSince is the time, by store, since which a store in the placement has had no lease.
	absentSince map[string]time.Time
	// replaced are the unresponsive stores whose shards are moved to a successor.
	replaced map[string]bool
	// joinedAt is when each store was first observed by this leader; nil before the first observation.
	joinedAt map[string]time.Time
}

// New returns a reconciler without observations.
func New(settings Settings) *Reconciler {
	return &Reconciler{settings: settings, absentSince: map[string]time.Time{}, replaced: map[string]bool{}}
}

// Reset clears all observations; a new leader calls it. A proposal in flight remains in flight until EndProposal.
func (r *Reconciler) Reset() {
	r.storeNames, r.storesSince = "", time.Time{}
	r.absentSince = map[string]time.Time{}
	r.replaced = map[string]bool{}
	r.joinedAt = nil
	r.nextAttempt = time.Time{}
}

// Due reports whether the next commands may be proposed: none is in flight, and the retry interval after a failure has
// passed.
func (r *Reconciler) Due(now time.Time) bool {
	return !r.proposalInFlight && !now.Before(r.nextAttempt)
}

// BeginProposal records that commands are being proposed.
func (r *Reconciler) BeginProposal() { r.proposalInFlight = true }

// EndProposal records that the proposal ended. If not all its commands were accepted, the next ones wait for the retry
// interval.
func (r *Reconciler) EndProposal(now time.Time, accepted bool) {
	r.proposalInFlight = false
	if !accepted {
		r.nextAttempt = now.Add(retryInterval)
	}
}

// ObserveStores records when the set of stores last changed and which stores of the placement are absent.
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

// NextCommands returns the commands to propose now, in order, if any. lastRenewal returns when a node last renewed its
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

// lostStores returns the names of the stores whose shards are to be placed elsewhere: those without a lease for
// replaceAbsentAfter, and those that are unresponsive while a store that joined recently can take over.
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

// observeUnresponsive updates the set of unresponsive stores that are being replaced. A store stays in the set until it
// renews its lease, so that the move to its successor is completed even after the successor window.
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

// hasSuccessor reports whether a usable, responsive store joined within the successor window.
func (r *Reconciler) hasSuccessor(view *controlstate.View, unresponsive map[string]bool, now time.Time) bool {
	for _, node := range placement.UsableStores(view.Placement, view.Membership.GetNodes()) {
		joinedAt, known := r.joinedAt[node.GetName()]
		if known && !unresponsive[node.GetName()] && now.Sub(joinedAt) < successorWindow {
			return true
		}
	}
	return false
}

// observeJoins records when stores joined. Stores that were present at this leader's first observation, or
// before the first placement, get the zero time, so that they never count as successors.
func (r *Reconciler) observeJoins(view *controlstate.View, now time.Time) {
	isBaseline := r.joinedAt == nil || len(view.Placement.GetShards()) == 0
	if r.joinedAt == nil {
		r.joinedAt = map[string]time.Time{}
	}
	for _, node := range view.Membership.GetNodes() {
		if _, known := r.joinedAt[node.GetName()]; known || node.GetKind() != protocol.NodeKind_STORE {
			continue
		}
		r.joinedAt[node.GetName()] = now
		if isBaseline {
			r.joinedAt[node.GetName()] = time.Time{}
		}
	}
}

// firstKeysDiffer reports whether the first keys of this leader's settings differ from those of the state and may still
// replace them: no bundle is active, or the state has no first keys.
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

// firstPlacement returns the command that initializes the placement, or nothing while more stores may still join. If
// there are too few zones, shards get the largest odd number of replicas that the stores can hold, in shared zones.
func (r *Reconciler) firstPlacement(view *controlstate.View, now time.Time) []*protocol.Command {
	unchangedFor := now.Sub(r.storesSince)
	stores := placement.UsableStores(view.Placement, view.Membership.GetNodes())
	command := &protocol.InitializePlacementCommand{
		ShardCount: r.settings.ShardCount, ReplicaCount: r.settings.ReplicaCount, OverRegions: true,
	}
	switch {
	case placement.CountZones(stores) >= int(r.settings.ReplicaCount) && unchangedFor >= storesUnchangedInterval:
	case unchangedFor >= sharedZonesUnchangedInterval:
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

// maxOddReplicas returns the largest odd number of replicas that so many stores can hold, at most the number wanted.
func maxOddReplicas(stores int, wanted uint32) uint32 {
	possible := min(uint32(stores), wanted)
	if possible > 0 && possible%2 == 0 {
		possible--
	}
	return possible
}
