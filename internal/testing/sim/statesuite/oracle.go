package statesuite

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// oracle applies each entry of the control log when the first core member does, and so knows the configuration in
// force.
type oracle struct {
	state *controlstate.State
	view  *controlstate.View
	// configurations are all configurations that were in force, by version.
	configurations map[uint64]*protocol.Configuration
	// acceptedCommands counts accepted commands.
	acceptedCommands int
}

func newOracle() *oracle {
	state := controlstate.New()
	return &oracle{state: state, view: state.View(), configurations: map[uint64]*protocol.Configuration{}}
}

// applyToOracle applies an entry that a core member applied before all others.
func (s *suite) applyToOracle(entry *protocol.Entry) {
	command := &protocol.Command{}
	if entry.GetKind() != protocol.EntryKind_ENTRY_COMMAND || proto.Unmarshal(entry.GetData(), command) != nil {
		return
	}
	oracle := s.oracle
	result := oracle.state.Apply(entry.GetIndex(), command)
	former := oracle.view
	oracle.view = oracle.state.View()
	if result.GetAccepted() {
		oracle.acceptedCommands++
	}
	if version := oracle.view.Configuration.GetVersion(); version > former.Configuration.GetVersion() {
		oracle.configurations[version] = oracle.view.Configuration
		s.expectInForce(version)
	}
	s.checkEmptied(former.Placement, oracle.view.Placement)
}

// checkEmptied checks that each shard has all its replicas without the stores that are now reported as emptied.
func (s *suite) checkEmptied(former, placement *protocol.Placement) {
	for _, store := range placement.GetEmptied() {
		if slices.Contains(former.GetEmptied(), store) {
			continue
		}
		for _, shard := range placement.GetShards() {
			s.rules.emptiedStoreIsEmpty.Check(completeWithout(shard, store),
				"%s counts as empty while shard %d is at %v", store, shard.GetShard(), shard.GetCurrent())
		}
	}
}

func completeWithout(shard *protocol.ShardPlacement, store string) bool {
	return len(shard.GetCurrent()) == replicaCount && !placedOn(shard, store) &&
		!slices.ContainsFunc(shard.GetCurrent(), func(replica *protocol.Replica) bool {
			return replica.GetState() != protocol.ReplicaState_REPLICA_ACTIVE
		})
}

func placedOn(shard *protocol.ShardPlacement, store string) bool {
	isStore := func(replica *protocol.Replica) bool { return replica.GetStore() == store }
	return slices.ContainsFunc(shard.GetCurrent(), isStore) || slices.ContainsFunc(shard.GetNext(), isStore)
}

const (
	observeInterval = 50 * time.Millisecond
	// secondLossWindow is the time after a repair within which the next loss counts as a second loss.
	secondLossWindow = time.Second
	// minChangesBeforeRestart is the number of accepted commands before a full restart that provokes its rule.
	minChangesBeforeRestart = 300
)

// repairTracker detects losses that follow within secondLossWindow after a repair.
type repairTracker struct {
	pending bool
	ended   time.Duration
	// secondLosses counts those losses.
	secondLosses int
}

func (r *repairTracker) observe(complete bool, now time.Duration) {
	if r.pending && complete {
		r.pending, r.ended = false, now
	}
}

// lose records a loss and reports whether it is a second loss.
func (r *repairTracker) lose(now time.Duration) bool {
	second := r.ended > 0 && now-r.ended <= secondLossWindow
	r.pending = true
	if second {
		r.secondLosses++
	}
	return second
}

// observeLater observes the whole fleet every observeInterval.
func (s *suite) observeLater() {
	s.world.After(observeInterval, func() {
		now := s.world.Elapsed()
		if s.coreRepair.pending {
			s.coreRepair.observe(s.coreComplete(), now)
		}
		if s.storeRepair.pending {
			s.storeRepair.observe(s.storesComplete(), now)
		}
		s.observeReachable(now)
		s.observeRegionCoverage(now)
		s.checkLeader()
		s.observeLater()
	})
}

// checkLeader compares a leader that may answer reads with what was acknowledged to operators.
func (s *suite) checkLeader() {
	leader := s.leader()
	if leader == nil {
		return
	}
	status := leader.node.Status()
	if status.Applied < max(status.TermStart, s.acknowledgedState.index) {
		return
	}
	view := leader.state.View()
	consistent := view.Newest >= s.acknowledgedState.version &&
		view.Configuration.GetVersion() >= s.acknowledgedState.configuration
	if s.acknowledgedState.version > 0 && consistent {
		consistent = view.Bundle(s.acknowledgedState.version).Status.GetSubmittedDigest() == s.acknowledgedState.digest
	}
	s.checkBundles(consistent, "%s leads with bundle %d and configuration %d, %d and %d were acknowledged",
		leader.environment.Address(), view.Newest, view.Configuration.GetVersion(), s.acknowledgedState.version,
		s.acknowledgedState.configuration)
	configuration, index := leader.node.Configuration()
	if index > status.Commit {
		return
	}
	for _, member := range configuration.GetMembers() {
		s.rules.removedMembersStayRemoved.Check(!s.removedMembers[member.GetId()],
			"%s is a core member again after it was removed", member.GetName())
	}
}

// checkBundles reports a lost bundle also to the rules about second losses and full restarts.
func (s *suite) checkBundles(durable bool, format string, arguments ...any) {
	s.rules.bundlesDurable.Check(durable, format, arguments...)
	if durable {
		return
	}
	if s.coreRepair.secondLosses > 0 {
		s.rules.bundlesSurviveSecondLoss.Violatef(format, arguments...)
	}
	if s.everythingRestarted {
		s.rules.bundlesSurviveRestart.Violatef(format, arguments...)
	}
}

// acknowledgedState is the newest bundle and configuration that was acknowledged to operators, and the index that a
// leader must have applied to know them.
type acknowledgedState struct {
	version, configuration, index uint64
	digest                        string
}

func (t *acknowledgedState) accept(result *protocol.CommandResult) {
	t.index = max(t.index, result.GetIndex())
	if status := result.GetBundle(); status.GetVersion() > t.version {
		t.version, t.digest = status.GetVersion(), status.GetSubmittedDigest()
	}
}
