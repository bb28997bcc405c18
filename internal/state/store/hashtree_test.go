package store

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// narrowKey falls on few places, so that keys of one place are met too.
type narrowKey uint16

func (k narrowKey) place() uint64             { return uint64(k>>3) << (placeBits - 13) }
func (k narrowKey) less(other narrowKey) bool { return k < other }

func TestHashTreeHoldsWhatAMapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, wanted := &hashTree[narrowKey, int]{}, map[narrowKey]int{}
		key := rapid.Uint16()
		check := func(t *rapid.T) {
			if got := maps.Collect(tree.all()); !maps.Equal(got, wanted) || tree.size() != len(wanted) {
				t.Fatalf("holds %d entries and says %d, wanted %d", len(got), tree.size(), len(wanted))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				first, step := key.Draw(t, "first"), key.Draw(t, "step")
				for number := range rapid.IntRange(1, 2*largestLeaf).Draw(t, "count") {
					added := narrowKey(first + uint16(number)*step)
					tree.put(added, number)
					wanted[added] = number
				}
			},
			"remove": func(t *rapid.T) {
				parts := narrowKey(rapid.IntRange(1, 8).Draw(t, "one in"))
				for held := range tree.all() {
					if held%parts == 0 {
						tree.remove(held)
						delete(wanted, held)
					}
				}
				absentOrNot := narrowKey(key.Draw(t, "absent or not"))
				tree.remove(absentOrNot)
				delete(wanted, absentOrNot)
				check(t)
			},
			"read on": func(t *rapid.T) {
				from := narrowKey(key.Draw(t, "after"))
				var got []narrowKey
				for held, value := range tree.after(from) {
					if known, found := tree.get(held); !found || known != value {
						t.Fatalf("%d is %d when read on and %d, %v when asked for", held, value, known, found)
					}
					got = append(got, held)
				}
				behind := slices.DeleteFunc(slices.Sorted(maps.Keys(wanted)), func(held narrowKey) bool { return held <= from })
				if !slices.Equal(got, behind) {
					t.Fatalf("after %d: %v, wanted %v", from, got, behind)
				}
			},
			"": func(t *rapid.T) {
				for held, value := range wanted {
					if known, found := tree.get(held); !found || known != value {
						t.Fatalf("%d is %d, %v; wanted %d", held, known, found, value)
					}
				}
				check(t)
			},
		})
	})
}

func TestPagesGiveAllOfAShardOnce(t *testing.T) {
	table := newShardTable(0)
	for number := range 3 * maximumPageScan {
		key := registerKey{program: fmt.Sprintf("program-%d", number/2), call: []string{"", "call"}[number%2]}
		held := table.entry(key)
		held.state.Accepted.Counter = 1
		table.turns.put(turnKeyOf("p", strconv.Itoa(number)), turnEntry{offset: uint32(number)})
	}
	for name, filter := range map[string]bucketFilter{
		"all":        {},
		"one bucket": {buckets: 1024, only: map[uint32]bool{7: true}},
	} {
		wanted := 0
		for key := range table.registers.all() {
			if filter.keeps(key.hash()) {
				wanted++
			}
		}
		seen := map[registerKey]bool{}
		for after, last := (registerKey{}), false; !last; {
			page, reached, ended := table.registersAfter(after, defaultPageItems, filter)
			for _, state := range page {
				if key := keyOf(state.GetKey()); seen[key] || !filter.keeps(key.hash()) {
					t.Fatalf("%s: %v came twice or is not asked for", name, key)
				}
				seen[keyOf(state.GetKey())] = true
			}
			after, last = reached, ended
		}
		if len(seen) != wanted {
			t.Errorf("%s: %d registers in the pages, wanted %d", name, len(seen), wanted)
		}
		wantedTurns, turns := 0, map[turnKey]bool{}
		for key := range table.turns.all() {
			if filter.keeps(key.low) {
				wantedTurns++
			}
		}
		for after, last := (turnKey{}), false; !last; {
			keys, entries, reached, ended := table.turnsAfter(after, defaultPageItems, filter)
			for place, key := range keys {
				if held, _ := table.turns.get(key); turns[key] || held != entries[place] || !filter.keeps(key.low) {
					t.Fatalf("%s: %v came twice or is not asked for", name, key)
				}
				turns[key] = true
			}
			after, last = reached, ended
		}
		if len(turns) != wantedTurns {
			t.Errorf("%s: %d turns in the pages, wanted %d", name, len(turns), wantedTurns)
		}
	}
}

func TestAScanByLeavesSeesEveryEntryThatStays(t *testing.T) {
	const stays, comes = 5_000, 20_000
	var tree hashTree[registerKey, int]
	keyOfNumber := func(number int) registerKey { return registerKey{program: strconv.Itoa(number)} }
	for number := range stays {
		tree.put(keyOfNumber(number), number)
	}
	seen := map[int]int{}
	added := stays
	for place, last := uint64(0), false; !last; {
		entries, next := tree.leafAt(place)
		if len(entries) > largestLeaf {
			t.Fatalf("a leaf holds %d entries", len(entries))
		}
		for _, number := range entries {
			seen[number]++
		}
		for end := min(added+1_000, stays+comes); added < end; added++ {
			tree.put(keyOfNumber(added), added)
		}
		place, last = next, next == 0
	}
	for number := range stays {
		if seen[number] != 1 {
			t.Fatalf("entry %d was seen %d times", number, seen[number])
		}
	}
}
