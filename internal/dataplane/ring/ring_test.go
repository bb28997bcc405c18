package ring_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
)

func members(count int) []ring.Member {
	list := make([]ring.Member, count)
	for i := range list {
		list[i] = ring.Member{
			Name: fmt.Sprintf("front-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Incarnation: 1,
		}
	}
	return list
}

func TestHolderHasTheVirtualNodeWithTheLargestHashStrictlyBelow(t *testing.T) {
	pair := members(2)
	assigned := ring.New(pair, 1)
	low, high := pair[0], pair[1]
	lowHash, highHash := ring.VirtualNodeHash(low.Address, 0), ring.VirtualNodeHash(high.Address, 0)
	if lowHash > highHash {
		low, high, lowHash, highHash = high, low, highHash, lowHash
	}
	for _, example := range []struct {
		name string
		key  uint64
		want ring.Member
	}{
		{"just above the lower virtual node", lowHash + 1, low},
		{"between", lowHash + (highHash-lowHash)/2, low},
		{"equal to the higher virtual node is not above it", highHash, low},
		{"just above the higher virtual node", highHash + 1, high},
		{"the largest key", math.MaxUint64, high},
		{"wraps round below all virtual nodes", 0, high},
		{"equal to the lowest virtual node wraps round", lowHash, high},
	} {
		if got, ok := assigned.Holder(example.key); !ok || got != example.want {
			t.Errorf("%s: got %v, want %v", example.name, got, example.want)
		}
	}
}

func TestEmptyRingHasNoHolder(t *testing.T) {
	if holder, ok := ring.New(nil, 16).Holder(7); ok {
		t.Fatalf("an empty ring has the holder %v, want none", holder)
	}
}

func TestOrderOfMembersDoesNotMatter(t *testing.T) {
	forward := members(9)
	backward := make([]ring.Member, len(forward))
	for i, member := range forward {
		backward[len(forward)-1-i] = member
	}
	one, other := ring.New(forward, 16), ring.New(backward, 16)
	for key := uint64(0); key < 1<<63; key += 1 << 52 {
		a, _ := one.Holder(key)
		b, _ := other.Holder(key)
		if a != b {
			t.Fatalf("key %d has the holder %v, and %v with the members reversed", key, a, b)
		}
	}
}

// Of virtual nodes with equal hashes the last one by address and index holds the range.
func TestTiesGoToTheLargerAddress(t *testing.T) {
	same := []ring.Member{{Name: "a", Address: "same"}, {Name: "b", Address: "same"}}
	distinct := ring.New([]ring.Member{{Name: "b", Address: "10.0.0.2:1"}, {Name: "a", Address: "10.0.0.1:1"}}, 4)
	if names := distinct.Members(); names[0].Name != "a" {
		t.Fatalf("members %v are not ordered by address", names)
	}
	tied := ring.New(same, 1)
	for _, key := range []uint64{0, 1 << 40, math.MaxUint64} {
		if holder, _ := tied.Holder(key); holder.Name != "b" {
			t.Fatalf("key %d has the holder %v, want b", key, holder)
		}
	}
}

func TestKnownHashesDoNotChange(t *testing.T) {
	if got := ring.Key("session-1"); got != 0xb098057f22ed07c3 {
		t.Errorf("Key(\"session-1\") = %#x, want 0xb098057f22ed07c3", got)
	}
	if got := ring.VirtualNodeHash("127.0.0.1:7000", 3); got != 0x49c929ac9267d27c {
		t.Errorf("VirtualNodeHash(\"127.0.0.1:7000\", 3) = %#x, want 0x49c929ac9267d27c", got)
	}
}

func TestSharesAddUpAndAreEven(t *testing.T) {
	fleet := members(330)
	assigned := ring.New(fleet, 16)
	sum, largest := 0.0, 0.0
	for _, member := range fleet {
		share := assigned.Share(member.Name)
		sum += share
		largest = max(largest, share)
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Fatalf("shares add up to %f, want 1", sum)
	}
	if largest > 2.2/330 {
		t.Fatalf("one member holds %.2f times its even share, want at most 2.2", largest*330)
	}
	if only := ring.New(fleet[:1], 1).Share(fleet[0].Name); only != 1 {
		t.Fatalf("the only member of a ring with one virtual node has share %f, want 1", only)
	}
}

// drawMembers draws a subset of eight members with incarnations.
func drawMembers(t *rapid.T, label string) []ring.Member {
	var drawn []ring.Member
	for _, member := range members(8) {
		if incarnation := rapid.Uint64Range(0, 2).Draw(t, label+member.Name); incarnation > 0 {
			member.Incarnation = incarnation
			drawn = append(drawn, member)
		}
	}
	return drawn
}

func TestChangesAreExactlyTheKeysWhoseHolderChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		virtualNodes := rapid.IntRange(1, 4).Draw(t, "virtual nodes")
		former := ring.New(drawMembers(t, "former"), virtualNodes)
		later := ring.New(drawMembers(t, "later"), virtualNodes)
		changes := ring.Changes(former, later)
		keys := []uint64{0, math.MaxUint64, rapid.Uint64().Draw(t, "key")}
		for _, change := range changes {
			keys = append(keys, change.After, change.After+1, change.Through, change.Through+1)
		}
		for _, key := range keys {
			checkChangesOfKey(t, former, later, changes, key)
		}
	})
}

func checkChangesOfKey(t *rapid.T, former, later *ring.Ring, changes []ring.Change, key uint64) {
	from, _ := former.Holder(key)
	to, _ := later.Holder(key)
	var covering []ring.Change
	for _, change := range changes {
		if change.Contains(key) {
			covering = append(covering, change)
		}
	}
	switch {
	case from == to && len(covering) != 0:
		t.Fatalf("key %d has the same holder on both rings and is in the changes %v", key, covering)
	case from != to && len(covering) != 1:
		t.Fatalf("the holder of key %d changed and the key is in %d changes, want 1", key, len(covering))
	case from != to && (covering[0].From != from || covering[0].To != to):
		t.Fatalf("key %d is in the change %v, want one from %v to %v", key, covering[0], from, to)
	}
}

func TestChangesFromNilRingCoverTheWholeRing(t *testing.T) {
	changes := ring.Changes(nil, ring.New(members(1), 16))
	if len(changes) != 1 || changes[0].From != (ring.Member{}) ||
		!changes[0].Contains(0) || !changes[0].Contains(math.MaxUint64) {
		t.Fatalf("Changes from a nil ring = %v, want one change of the whole ring", changes)
	}
	if none := ring.Changes(nil, nil); len(none) != 0 {
		t.Fatalf("Changes between nil rings = %v, want none", none)
	}
}

func TestLossOfAMemberMovesOnlyItsKeys(t *testing.T) {
	fleet := members(20)
	for _, change := range ring.Changes(ring.New(fleet, 16), ring.New(fleet[1:], 16)) {
		if change.From != fleet[0] {
			t.Fatalf("a range of %v moved, want only ranges of %v", change.From, fleet[0])
		}
	}
}
