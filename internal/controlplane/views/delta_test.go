package views_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

// fillFields sets every field of a message to a value other than zero, and lists and maps to one entry.
func fillFields(message protoreflect.Message, number uint64) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsMap() {
			key := scalar(field.MapKey(), number).MapKey()
			message.Mutable(field).Map().Set(key, scalar(field.MapValue(), number))
			continue
		}
		value := scalar(field, number)
		if field.IsList() {
			list := message.Mutable(field).List()
			if field.Kind() == protoreflect.MessageKind {
				fillFields(list.AppendMutable().Message(), number)
			} else {
				list.Append(value)
			}
			continue
		}
		message.Set(field, value)
	}
}

func scalar(field protoreflect.FieldDescriptor, number uint64) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text-%d", number))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(number)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.MessageKind:
		return protoreflect.Value{}
	default:
		panic(field.FullName())
	}
}

// Guards against a new field of a message that is not added to its checksum.
func TestChecksumsCoverEveryField(t *testing.T) {
	membershipSum := func(m proto.Message) uint64 {
		return views.MembershipChecksum(m.(*protocol.MembershipView).GetNodes())
	}
	backEndsSum := func(m proto.Message) uint64 { return views.BackEndsChecksum(m.(*protocol.BackEndView).GetBackEnds()) }
	placementSum := func(m proto.Message) uint64 { return views.PlacementChecksum(m.(*protocol.Placement)) }
	for _, sample := range []struct {
		view    proto.Message
		part    func(proto.Message) proto.Message
		sum     func(proto.Message) uint64
		without protoreflect.Name
	}{
		{
			view: &protocol.MembershipView{}, sum: membershipSum,
			part: func(m proto.Message) proto.Message { return m.(*protocol.MembershipView).GetNodes()[0] },
		},
		{
			view: &protocol.BackEndView{}, sum: backEndsSum,
			part: func(m proto.Message) proto.Message { return m.(*protocol.BackEndView).GetBackEnds()[0] },
		},
		{
			view: &protocol.Placement{}, sum: placementSum,
			part: func(m proto.Message) proto.Message { return m }, without: "epoch",
		},
		{
			view: &protocol.Placement{}, sum: placementSum,
			part: func(m proto.Message) proto.Message { return m.(*protocol.Placement).GetShards()[0] },
		},
		{
			view: &protocol.Placement{}, sum: placementSum,
			part: func(m proto.Message) proto.Message { return m.(*protocol.Placement).GetShards()[0].GetNext()[0] },
		},
	} {
		fillFields(sample.view.ProtoReflect(), 7)
		fields := sample.part(sample.view).ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			if fields.Get(i).Name() == sample.without {
				continue
			}
			changed := proto.Clone(sample.view)
			sample.part(changed).ProtoReflect().Clear(fields.Get(i))
			if sample.sum(changed) == sample.sum(sample.view) {
				t.Errorf("clearing %s does not change the checksum", fields.Get(i).FullName())
			}
		}
	}
}

func node(number int, incarnation uint64) *protocol.Node {
	return &protocol.Node{
		Name: fmt.Sprintf("node-%03d", number), Incarnation: incarnation, Address: "10.0.0.1:1", HttpAddress: "10.0.0.1:2",
		Zone: "z1", Region: "r1",
	}
}

func viewOf(version uint64, incarnations map[int]uint64) *protocol.MembershipView {
	view := &protocol.MembershipView{Version: version}
	for number := range 60 {
		if incarnations[number] > 0 {
			view.Nodes = append(view.Nodes, node(number, incarnations[number]))
		}
	}
	return view
}

// For each earlier version, applying the delta results in the latest view, or no delta is made.
func TestDeltasFromAnyVersionResultInTheLatestView(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	incarnations := map[int]uint64{}
	history := views.NewHistory(0)
	var versions []*protocol.MembershipView
	deltas, snapshots := 0, 0
	for version := uint64(1); version <= 6000; version++ {
		number := random.IntN(60)
		if incarnations[number] > 0 && random.IntN(3) == 0 {
			delete(incarnations, number)
		} else {
			incarnations[number] = version
		}
		history.Add(version, node(number, 0).GetName())
		if version%100 != 0 {
			continue
		}
		view := viewOf(version, incarnations)
		versions = append(versions, view)
		checksum := views.MembershipChecksum(view.GetNodes())
		for _, base := range versions {
			copied := history.Copy()
			delta := views.MembershipDelta(view, &copied, base.GetVersion(), checksum)
			if delta == nil {
				snapshots++
				continue
			}
			deltas++
			applied, err := views.ApplyMembership(base, delta)
			if err != nil || !proto.Equal(applied, view) {
				t.Fatalf(
					"delta from version %d to %d: got a view of %d nodes and error %v, want the latest view of %d nodes",
					base.GetVersion(), version, len(applied.GetNodes()), err, len(view.GetNodes()),
				)
			}
		}
	}
	if deltas == 0 || snapshots == 0 {
		t.Errorf("got %d deltas and %d snapshots, want some of both", deltas, snapshots)
	}
}

func TestNoDeltaIsMadeFromAVersionThatTheHistoryDoesNotCover(t *testing.T) {
	history := views.NewHistory(10)
	view := viewOf(20_000, map[int]uint64{1: 1, 2: 1, 3: 1})
	if views.MembershipDelta(view, &history, 9, 0) != nil {
		t.Error("got a delta from version 9, want none: the history begins at 10")
	}
	history.Add(11, "node-001")
	early := history.Copy()
	for version := uint64(12); version < 20_000; version++ {
		history.Add(version, "node-002")
	}
	if views.MembershipDelta(view, &history, 11, 0) != nil {
		t.Error("got a delta from version 11, want none: its changes were discarded")
	}
	if views.MembershipDelta(view, &history, 19_000, 0) == nil {
		t.Error("got no delta from version 19000, which the history covers")
	}
	if delta := views.MembershipDelta(
		viewOf(11, map[int]uint64{1: 1, 2: 1, 3: 1}), &early, 10, 0,
	); len(delta.GetUpserted()) != 1 {
		t.Errorf("delta from the copied history: got %v, want one upserted node", delta)
	}
}

func TestPlacementDeltasContainOnlyTheShardsThatChanged(t *testing.T) {
	base := &protocol.Placement{Epoch: 5}
	for number := range uint32(64) {
		base.Shards = append(
			base.Shards,
			&protocol.ShardPlacement{Shard: number, Epoch: 5, Current: []*protocol.Replica{{Store: "s1", StorageId: "d1"}}},
		)
	}
	next := proto.CloneOf(base)
	next.Epoch, next.Emptying = 9, []string{"s1"}
	next.Shards[3].Epoch, next.Shards[3].Next = 9, []*protocol.Replica{{Store: "s2", StorageId: "d2"}}
	delta := views.PlacementDelta(next, 5, views.PlacementChecksum(next))
	if len(delta.GetShards()) != 1 {
		t.Fatalf("got delta %v, want one with shard 3 alone", delta)
	}
	applied, err := views.ApplyPlacement(base, delta)
	if err != nil || !proto.Equal(applied, next) {
		t.Fatalf("applying the delta: got %v, error %v, want %v", applied, err, next)
	}
	if base.GetShards()[3].GetEpoch() != 5 {
		t.Errorf("epoch of shard 3 of the base is %d, want 5: the base was modified", base.GetShards()[3].GetEpoch())
	}
	other := proto.CloneOf(base)
	other.Shards[8].Epoch = 4
	var mismatch *views.MismatchError
	if _, err := views.ApplyPlacement(other, delta); !errors.As(err, &mismatch) {
		t.Errorf("applying the delta to another base: got error %v, want a *MismatchError", err)
	}
	if _, err := views.ApplyPlacement(&protocol.Placement{Epoch: 5}, delta); !errors.As(err, &mismatch) {
		t.Errorf("applying the delta to an empty base: got error %v, want a *MismatchError", err)
	}
}

func TestBackEndDeltasAreRejectedOnAnotherBase(t *testing.T) {
	history := views.NewHistory(1)
	view := &protocol.BackEndView{Version: 2}
	for number := range 20 {
		view.BackEnds = append(
			view.BackEnds, &protocol.BackEnd{Id: fmt.Sprintf("b%02d", number), Models: []string{"m"}, Address: "10.0.0.1:1"},
		)
	}
	base := proto.CloneOf(view)
	base.Version, base.BackEnds[4].Capacity = 1, 9
	history.Add(2, "b04")
	delta := views.BackEndDelta(view, &history, 1, views.BackEndsChecksum(view.GetBackEnds()))
	if applied, err := views.ApplyBackEnds(base, delta); err != nil || !proto.Equal(applied, view) {
		t.Fatalf("applying the delta: got %v, error %v, want %v", applied, err, view)
	}
	for name, damage := range map[string]func(*protocol.BackEndView){
		"another version":  func(v *protocol.BackEndView) { v.Version = 3 },
		"one entry less":   func(v *protocol.BackEndView) { v.BackEnds = v.BackEnds[:19] },
		"another capacity": func(v *protocol.BackEndView) { v.BackEnds[7].Capacity = 3 },
	} {
		damagedView := proto.CloneOf(base)
		damage(damagedView)
		var mismatch *views.MismatchError
		if _, err := views.ApplyBackEnds(damagedView, delta); !errors.As(err, &mismatch) {
			t.Errorf("applying the delta to a base with %s: got error %v, want a *MismatchError", name, err)
		}
	}
}
