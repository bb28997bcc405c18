package statesuite

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// oracle applies each entry of the control log when the first core member does, and so knows what has been in force since when.
type oracle struct {
	state *controlstate.State
	view  *controlstate.View
	// configurations holds every configuration that was in force, by version.
	configurations map[uint64]*protocol.Configuration
	// changes counts accepted commands.
	changes int
}

func newOracle() *oracle {
	state := controlstate.New()
	return &oracle{state: state, view: state.View(), configurations: map[uint64]*protocol.Configuration{}}
}

// follow takes in an entry that a core member applied before all others.
func (s *suite) follow(entry *protocol.Entry) {
	command := &protocol.Command{}
	if entry.GetKind() != protocol.EntryKind_ENTRY_COMMAND || proto.Unmarshal(entry.GetData(), command) != nil {
		return
	}
	known := s.oracle
	result := known.state.Apply(entry.GetIndex(), command)
	former := known.view
	known.view = known.state.View()
	if result.GetAccepted() {
		known.changes++
	}
	if version := known.view.Configuration.GetVersion(); version > former.Configuration.GetVersion() {
		known.configurations[version] = known.view.Configuration
		s.expectInForce(version)
	}
	s.checkEmptied(former.Placement, known.view.Placement)
}

// checkEmptied looks whether a store that counts as emptied from now on has left a full set of each shard elsewhere.
func (s *suite) checkEmptied(former, placement *protocol.Placement) {
	for _, store := range placement.GetEmptied() {
		if slices.Contains(former.GetEmptied(), store) {
			continue
		}
		for _, shard := range placement.GetShards() {
			s.rules.emptied.Check(fullWithout(shard, store),
				"%s counts as empty while shard %d is at %v", store, shard.GetShard(), shard.GetCurrent())
		}
	}
}

func fullWithout(shard *protocol.ShardPlacement, store string) bool {
	return len(shard.GetCurrent()) == replicaCount && !names(shard, store) &&
		!slices.ContainsFunc(shard.GetCurrent(), func(replica *protocol.Replica) bool {
			return replica.GetState() != protocol.ReplicaState_REPLICA_ACTIVE
		})
}

func names(shard *protocol.ShardPlacement, store string) bool {
	isStore := func(replica *protocol.Replica) bool { return replica.GetStore() == store }
	return slices.ContainsFunc(shard.GetCurrent(), isStore) || slices.ContainsFunc(shard.GetNext(), isStore)
}

const (
	observeInterval = 50 * time.Millisecond
	// rightAfter is how soon after a repair the next loss counts as right after it.
	rightAfter = time.Second
	// hundredsOfChanges must have been made before a restart of everything counts.
	hundredsOfChanges = 300
)

// repair tells losses that follow right after the repair of the one before.
type repair struct {
	pending bool
	ended   time.Duration
	// secondLosses counts losses right after a repair.
	secondLosses int
}

func (r *repair) observe(whole bool, now time.Duration) {
	if r.pending && whole {
		r.pending, r.ended = false, now
	}
}

// lose notes a loss and says whether it came right after a repair.
func (r *repair) lose(now time.Duration) bool {
	second := r.ended > 0 && now-r.ended <= rightAfter
	r.pending = true
	if second {
		r.secondLosses++
	}
	return second
}

// observeLater looks at the whole fleet again and again.
func (s *suite) observeLater() {
	s.world.After(observeInterval, func() {
		now := s.world.Elapsed()
		if s.coreRepair.pending {
			s.coreRepair.observe(s.coreWhole(), now)
		}
		if s.storeRepair.pending {
			s.storeRepair.observe(s.storesWhole(), now)
		}
		s.observeReachable(now)
		s.observeRegions(now)
		s.checkLeader()
		s.observeLater()
	})
}

// checkLeader holds a leader that may answer reads against what operators were told.
func (s *suite) checkLeader() {
	leader := s.leader()
	if leader == nil {
		return
	}
	status := leader.node.Status()
	if status.Applied < max(status.TermStart, s.told.index) {
		return
	}
	view := leader.state.View()
	kept := view.Newest >= s.told.version && view.Configuration.GetVersion() >= s.told.configuration
	if s.told.version > 0 && kept {
		kept = view.Bundle(s.told.version).Status.GetSubmittedDigest() == s.told.digest
	}
	s.checkBundles(kept, "%s leads with bundle %d and configuration %d, %d and %d were acknowledged",
		leader.environment.Address(), view.Newest, view.Configuration.GetVersion(), s.told.version, s.told.configuration)
	configuration, index := leader.node.Configuration()
	if index > status.Commit {
		return
	}
	for _, member := range configuration.GetMembers() {
		s.rules.members.Check(!s.removedMembers[member.GetId()], "%s is a core member again after it was removed", member.GetName())
	}
}

// checkBundles counts for the rules of the situations that the run has been in.
func (s *suite) checkBundles(kept bool, format string, arguments ...any) {
	s.rules.bundlesKept.Check(kept, format, arguments...)
	if kept {
		return
	}
	if s.coreRepair.secondLosses > 0 {
		s.rules.secondLoss.Violatef(format, arguments...)
	}
	if s.restarted {
		s.rules.restart.Violatef(format, arguments...)
	}
}

// told is the newest that operators were told of bundles and of configurations, and the index that a leader must have applied to know it.
type told struct {
	version, configuration, index uint64
	digest                        string
}

func (t *told) accept(result *protocol.CommandResult) {
	t.index = max(t.index, result.GetIndex())
	if status := result.GetBundle(); status.GetVersion() > t.version {
		t.version, t.digest = status.GetVersion(), status.GetSubmittedDigest()
	}
}
