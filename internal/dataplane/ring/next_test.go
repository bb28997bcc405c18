package ring_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/ring"
)

// TestNextEqualsNew checks that Next and New return equal rings while members join, leave and return under other
// incarnations.
func TestNextEqualsNew(t *testing.T) {
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
			later, rebuilt := ring.Next(former, present, virtualNodes), ring.New(present, virtualNodes)
			if changes := ring.Changes(rebuilt, later); len(changes) > 0 {
				t.Fatalf("the rings of Next and New with the members %v differ in %v", present, changes)
			}
			if got, want := ring.Changes(former, later), ring.Changes(former, rebuilt); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("Changes from the former ring to that of Next = %v, want %v", got, want)
			}
			former = later
		}
	})
}

// BenchmarkOneOfManyLeaves compares New and Next for the removal of one of 330 members.
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
