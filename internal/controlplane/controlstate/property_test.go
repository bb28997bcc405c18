package controlstate_test

import (
	"fmt"
	"math"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// drawCommand returns any command, valid or not, from few names and numbers so that commands often concern the same
// entries.
func drawCommand(t *rapid.T, h *harness) *protocol.Command {
	number := rapid.IntRange(0, 4)
	version := func() uint64 { return uint64(rapid.IntRange(0, int(h.state.View().Newest)+2).Draw(t, "version")) }
	switch rapid.IntRange(0, 17).Draw(t, "kind") {
	case 14, 15:
		expected := rapid.SampledFrom([]uint64{h.state.View().Configuration.GetActive().GetVersion(), version()}).Draw(t,
			"expected")
		submitted := completeBundle(h.state.View().Newest+uint64(rapid.IntRange(0, 3).Draw(t, "skip")),
			uint32(number.Draw(t, "limit")))
		if rapid.Bool().Draw(t, "partial") {
			submitted = &protocol.Bundle{Version: submitted.GetVersion(), Partial: true, Limits: submitted.GetLimits()}
		}
		return release(submitted, expected)
	case 16:
		return announce(&protocol.BackEnd{
			Id: fmt.Sprintf("b%d", number.Draw(t, "id")), Address: strconv.Itoa(number.Draw(t, "address")),
			Incarnation: uint64(rapid.IntRange(0, 1).Draw(t, "incarnation")),
			State:       protocol.BackEndState(rapid.IntRange(1, 2).Draw(t, "state")),
		}, uint64(number.Draw(t, "sequence")))
	case 17:
		return depart(fmt.Sprintf("b%d", number.Draw(t, "id")), uint64(number.Draw(t, "sequence")))
	case 0, 1:
		return put(partialOnPrevious(h.state.View().Newest+1, uint32(number.Draw(t, "limit"))))
	case 2:
		return put(completeBundle(version(), uint32(number.Draw(t, "queued"))))
	case 3, 4:
		signed := version()
		if h.state.View().Bundle(signed) == nil {
			return put(completeBundle(h.state.View().Newest+1, 1))
		}
		var rolled *protocol.Rollout
		if rapid.Bool().Draw(t, "rolled") {
			rolled = &protocol.Rollout{ShareBasisPoints: 10}
		}
		return h.sign(signed, rolled)
	case 5:
		return rollout(protocol.RolloutAction(rapid.IntRange(0, 3).Draw(t, "action")), version(), 5)
	case 6:
		storage := fmt.Sprintf("disk-%d", rapid.IntRange(0, 2).Draw(t, "disk"))
		return join(store(number.Draw(t, "store"), h.index, storage))
	case 7:
		name := fmt.Sprintf("store-%d", number.Draw(t, "store"))
		return &protocol.Command{Body: &protocol.Command_RemoveNode{RemoveNode: &protocol.RemoveNodeCommand{
			Name: name, Incarnation: h.state.View().Node(name).GetIncarnation(),
		}}}
	case 8:
		return &protocol.Command{Body: &protocol.Command_InitializePlacement{
			InitializePlacement: &protocol.InitializePlacementCommand{ShardCount: 4, ReplicaCount: 3},
		}}
	case 9, 10:
		if steps := h.plan(fmt.Sprintf("store-%d", number.Draw(t, "lost"))); len(steps) > 0 {
			return &protocol.Command{Body: &protocol.Command_MoveShard{MoveShard: steps[0]}}
		}
		return emptyStore(fmt.Sprintf("store-%d", number.Draw(t, "store")))
	case 11:
		name := fmt.Sprintf("store-%d", number.Draw(t, "store"))
		epoch := uint64(rapid.IntRange(0, int(h.index)).Draw(t, "epoch"))
		return shardCopied(
			name, h.state.View().Node(name).GetStorageId(), uint32(rapid.IntRange(0, 4).Draw(t, "shard")), epoch,
		)
	case 12:
		return retireStore(fmt.Sprintf("store-%d", number.Draw(t, "store")))
	default:
		return upsert(&protocol.BackEnd{
			Id: fmt.Sprintf("b%d", number.Draw(t, "id")), Address: strconv.Itoa(number.Draw(t, "address")),
			Incarnation: uint64(number.Draw(t, "incarnation")),
			State:       protocol.BackEndState(rapid.IntRange(1, 2).Draw(t, "state")),
		})
	}
}

// completeBundle returns the default bundle with another queue limit.
func completeBundle(version uint64, limit uint32) *protocol.Bundle {
	limited := bundle.Default(version)
	limited.Limits.MaxQueued = limit
	return limited
}

// TestInvariantsHoldForAnyCommands applies any commands, checks the invariants after each, and compares the state with
// a second one that is not restored from snapshots in between.
func TestInvariantsHoldForAnyCommands(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		unrestarted, err := controlstate.Restore(h.state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		firstResults := map[string]*protocol.CommandResult{}
		commands := map[string]*protocol.Command{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := h.state.View()
			command := drawCommand(t, h)
			order := fmt.Sprintf("order-%d", step)
			result := h.apply(order, command)
			firstResults[order], commands[order] = proto.CloneOf(result), command
			command = proto.CloneOf(command)
			command.OrderId = order
			if expected := unrestarted.Apply(h.index, command); !proto.Equal(expected, result) {
				t.Fatalf("%s: the restarted state returned %v, the other one %v", order, result, expected)
			}
			checkInvariants(t, before, h.state.View())
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				h.restart()
			}
		}
		if !proto.Equal(h.state.Snapshot(), unrestarted.Snapshot()) {
			t.Fatal("the state with restarts differs from the one without restarts")
		}
		for order, command := range commands {
			if again := h.apply(order, command); !proto.Equal(again, firstResults[order]) {
				t.Fatalf("%s again: got %v, want the first result %v", order, again, firstResults[order])
			}
		}
	})
}

func checkInvariants(t *rapid.T, before, after *controlstate.View) {
	activeBefore := before.Configuration.GetActive().GetVersion()
	if after.Newest < before.Newest || after.Configuration.GetActive().GetVersion() < activeBefore {
		t.Fatalf("a bundle version decreased: newest from %d to %d, active from %d to %d", before.Newest, after.Newest,
			activeBefore, after.Configuration.GetActive().GetVersion())
	}
	former, latest := before.Versions(), after.Versions()
	if latest.GetConfiguration() < former.GetConfiguration() || latest.GetMembership() < former.GetMembership() ||
		latest.GetBackEnds() < former.GetBackEnds() || latest.GetPlacement() < former.GetPlacement() {
		t.Fatalf("the version of a section decreased: from %v to %v", former, latest)
	}
	checkBackEnds(t, before, after)
	for position, shard := range after.Placement.GetShards() {
		checkReplicas(t, shard.GetCurrent(), 3)
		checkReplicas(t, shard.GetNext(), len(shard.GetNext()))
		if shard.GetEpoch() > after.Placement.GetEpoch() {
			t.Fatalf("shard %d has epoch %d, the placement %d", position, shard.GetEpoch(), after.Placement.GetEpoch())
		}
		if len(before.Placement.GetShards()) > 0 {
			checkReplicasRetained(t, before.Placement.GetShards()[position], shard)
		}
	}
	for _, name := range after.Placement.GetEmptied() {
		for _, report := range after.ReportStores() {
			if report.Name == name && report.Shards+report.Arriving > 0 {
				t.Fatalf("emptied store %s has %d shards, %d are arriving", name, report.Shards, report.Arriving)
			}
		}
	}
}

// checkBackEnds fails when a draining incarnation of a back end becomes ready again, or when one that departed returns.
func checkBackEnds(t *rapid.T, before, after *controlstate.View) {
	for _, current := range after.BackEnds.GetBackEnds() {
		previous := before.BackEnd(current.GetId())
		readyAgain := previous.GetState() == protocol.BackEndState_DRAINING &&
			current.GetState() == protocol.BackEndState_READY
		if readyAgain && current.GetIncarnation() <= previous.GetIncarnation() {
			t.Fatalf("incarnation %d was draining and is ready: %v", previous.GetIncarnation(), current)
		}
		if previous == nil && before.Outdated(current.GetId(), current.GetIncarnation(), math.MaxUint64) {
			t.Fatalf("back end departed and returned in the same incarnation: %v", current)
		}
	}
}

func checkReplicas(t *rapid.T, replicas []*protocol.Replica, count int) {
	seen := map[string]bool{}
	for _, replica := range replicas {
		seen[replica.GetStore()] = true
	}
	if len(replicas) != count || len(seen) != count {
		t.Fatalf("got %d replicas on %d stores, want %d: %v", len(replicas), len(seen), count, replicas)
	}
}

// checkReplicasRetained fails when a change replaces more than one current replica of a shard.
func checkReplicasRetained(t *rapid.T, before, after *protocol.ShardPlacement) {
	retained := 0
	for _, previous := range before.GetCurrent() {
		for _, current := range after.GetCurrent() {
			if previous.GetStore() == current.GetStore() {
				retained++
			}
		}
	}
	if retained < 2 {
		t.Fatalf("%d replicas retained, want at least 2: from %v to %v", retained, before, after)
	}
}
