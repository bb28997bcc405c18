package ring_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
)

// TestNextIsTheRingThatNewBuilds lets members join, leave and come back under other incarnations.
func TestNextIsTheRingThatNewBuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(12)
		var former *ring.Ring
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			var present []ring.Member
			for _, member := range all {
				if rapid.Bool().Draw(t, member.Name) {
					member.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation of "+member.Name)
					present = append(present, member)
				}
			}
			virtualNodes := rapid.IntRange(1, 3).Draw(t, "virtual nodes")
			later, wanted := ring.Next(former, present, virtualNodes), ring.New(present, virtualNodes)
			if changes := ring.Changes(wanted, later); len(changes) > 0 {
				t.Fatalf("differs from the ring of %v in %v", present, changes)
			}
			if got, want := ring.Changes(former, later), ring.Changes(former, wanted); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("changes %v, want %v", got, want)
			}
			former = later
		}
	})
}

// BenchmarkOneOfManyLeaves builds the ring of 330 members without one of them.
func BenchmarkOneOfManyLeaves(b *testing.B) {
	all := members(330)
	full := ring.New(all, ring.DefaultVirtualNodes)
	b.Run("New", func(b *testing.B) {
		for b.Loop() {
			ring.Changes(full, ring.New(all[1:], ring.DefaultVirtualNodes))
		}
	})
	b.Run("Next", func(b *testing.B) {
		for b.Loop() {
			ring.Changes(full, ring.Next(full, all[1:], ring.DefaultVirtualNodes))
		}
	})
}
