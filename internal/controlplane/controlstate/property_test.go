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

// drawCommand makes any command out of a small space of names and numbers, valid or not.
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

// completeBundle is a complete bundle that differs by one limit.
func completeBundle(version uint64, limit uint32) *protocol.Bundle {
	limited := bundle.Default(version)
	limited.Limits.MaxQueued = limit
	return limited
}

// TestInvariantsHoldForAnyCommands applies any commands and checks what must hold after each.
func TestInvariantsHoldForAnyCommands(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		twin, err := controlstate.Restore(h.state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		first := map[string]*protocol.CommandResult{}
		sent := map[string]*protocol.Command{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := h.state.View()
			command := drawCommand(t, h)
			order := fmt.Sprintf("order-%d", step)
			result := h.apply(order, command)
			first[order], sent[order] = proto.CloneOf(result), command
			command = proto.CloneOf(command)
			command.OrderId = order
			if twice := twin.Apply(h.index, command); !proto.Equal(twice, result) {
				t.Fatalf("two states answer %v and %v", result, twice)
			}
			checkInvariants(t, before, h.state.View())
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				h.restart()
			}
		}
		if !proto.Equal(h.state.Snapshot(), twin.Snapshot()) {
			t.Fatal("the same commands made two states, one with restarts and one without")
		}
		for order, command := range sent {
			if again := h.apply(order, command); !proto.Equal(again, first[order]) {
				t.Fatalf("%s: first %v, then %v", order, first[order], again)
			}
		}
	})
}

func checkInvariants(t *rapid.T, before, after *controlstate.View) {
	activeBefore := before.Configuration.GetActive().GetVersion()
	if after.Newest < before.Newest || after.Configuration.GetActive().GetVersion() < activeBefore {
		t.Fatal("a bundle version stepped back")
	}
	old, now := before.Versions(), after.Versions()
	if now.GetConfiguration() < old.GetConfiguration() || now.GetMembership() < old.GetMembership() ||
		now.GetBackEnds() < old.GetBackEnds() || now.GetPlacement() < old.GetPlacement() {
		t.Fatalf("a section stepped back from %v to %v", old, now)
	}
	checkBackEnds(t, before, after)
	for at, shard := range after.Placement.GetShards() {
		checkReplicas(t, shard.GetCurrent(), 3)
		checkReplicas(t, shard.GetNext(), len(shard.GetNext()))
		if shard.GetEpoch() > after.Placement.GetEpoch() {
			t.Fatal("a shard is newer than its table")
		}
		if len(before.Placement.GetShards()) > 0 {
			checkReplicasRetained(t, before.Placement.GetShards()[at], shard)
		}
	}
	for _, name := range after.Placement.GetEmptied() {
		for _, report := range after.ReportStores() {
			if report.Name == name && report.Shards+report.Arriving > 0 {
				t.Fatalf("%s is emptied and holds shards", name)
			}
		}
	}
}

// checkBackEnds sees to it that what was draining is not ready again and what left does not come back, in the same
// incarnation.
func checkBackEnds(t *rapid.T, before, after *controlstate.View) {
	for _, now := range after.BackEnds.GetBackEnds() {
		was := before.BackEnd(now.GetId())
		readyAgain := was.GetState() == protocol.BackEndState_DRAINING && now.GetState() == protocol.BackEndState_READY
		if readyAgain && now.GetIncarnation() <= was.GetIncarnation() {
			t.Fatalf("%v was draining and is ready", now)
		}
		if was == nil && before.Outdated(now.GetId(), now.GetIncarnation(), math.MaxUint64) {
			t.Fatalf("%v left and came back", now)
		}
	}
}

func checkReplicas(t *rapid.T, replicas []*protocol.Replica, count int) {
	seen := map[string]bool{}
	for _, replica := range replicas {
		seen[replica.GetStore()] = true
	}
	if len(replicas) != count || len(seen) != count {
		t.Fatalf("replicas %v", replicas)
	}
}

// checkReplicasRetained sees to it that one change replaces at most one replica of those that serve.
func checkReplicasRetained(t *rapid.T, before, after *protocol.ShardPlacement) {
	retained := 0
	for _, was := range before.GetCurrent() {
		for _, is := range after.GetCurrent() {
			if was.GetStore() == is.GetStore() {
				retained++
			}
		}
	}
	if retained < 2 {
		t.Fatalf("a step led from %v to %v", before, after)
	}
}
