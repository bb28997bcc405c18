package hashtree

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	_ "github.com/rosestand/rosestand/internal/testing/lab/fixedseed" // Property tests draw the same cases on every run.
)

// narrowKey has few distinct hashes, so that tests include keys of equal hash.
type narrowKey uint16

func (k narrowKey) Hash() uint64              { return uint64(k>>3) << (hashBits - 13) }
func (k narrowKey) Less(other narrowKey) bool { return k < other }

// stringKey has evenly distributed hashes, like the keys of registers and turns.
type stringKey string

func (k stringKey) Hash() uint64              { return xxhash.Sum64String(string(k)) }
func (k stringKey) Less(other stringKey) bool { return k < other }

func TestTreeMatchesAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, wanted := &Tree[narrowKey, int]{}, map[narrowKey]int{}
		key := rapid.Uint16()
		check := func(t *rapid.T) {
			if got := maps.Collect(tree.All()); !maps.Equal(got, wanted) || tree.Len() != len(wanted) {
				t.Fatalf("the tree yields %d entries and Len returns %d, want %d", len(got), tree.Len(), len(wanted))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				first, step := key.Draw(t, "first"), key.Draw(t, "step")
				for number := range rapid.IntRange(1, 2*MaxLeafEntries).Draw(t, "count") {
					added := narrowKey(first + uint16(number)*step)
					tree.Put(added, number)
					wanted[added] = number
				}
			},
			"remove": func(t *rapid.T) {
				divisor := narrowKey(rapid.IntRange(1, 8).Draw(t, "one in"))
				for current := range tree.All() {
					if current%divisor == 0 {
						tree.Delete(current)
						delete(wanted, current)
					}
				}
				absentOrNot := narrowKey(key.Draw(t, "absent or not"))
				tree.Delete(absentOrNot)
				delete(wanted, absentOrNot)
				check(t)
			},
			"read on": func(t *rapid.T) {
				from := narrowKey(key.Draw(t, "after"))
				var got []narrowKey
				for current, value := range tree.After(from) {
					if known, found := tree.Get(current); !found || known != value {
						t.Fatalf("After yields key %d with value %d, but Get returns %d, %v", current, value, known, found)
					}
					got = append(got, current)
				}
				behind := slices.DeleteFunc(slices.Sorted(maps.Keys(wanted)),
					func(current narrowKey) bool { return current <= from })
				if !slices.Equal(got, behind) {
					t.Fatalf("After(%d) yields %v, want %v", from, got, behind)
				}
			},
			"": func(t *rapid.T) {
				for current, value := range wanted {
					if known, found := tree.Get(current); !found || known != value {
						t.Fatalf("Get(%d) returns %d, %v; want %d", current, known, found, value)
					}
				}
				check(t)
			},
		})
	})
}

func TestScanByLeavesVisitsEveryEntryThatStaysOnce(t *testing.T) {
	const stays, comes = 5_000, 20_000
	var tree Tree[stringKey, int]
	keyOfNumber := func(number int) stringKey { return stringKey(strconv.Itoa(number)) }
	for number := range stays {
		tree.Put(keyOfNumber(number), number)
	}
	seen := map[int]int{}
	added := stays
	for hash, last := uint64(0), false; !last; {
		entries, next := tree.Leaf(hash)
		if len(entries) > MaxLeafEntries {
			t.Fatalf("a leaf has %d entries, want at most MaxLeafEntries", len(entries))
		}
		for _, number := range entries {
			seen[number]++
		}
		for end := min(added+1_000, stays+comes); added < end; added++ {
			tree.Put(keyOfNumber(added), added)
		}
		hash, last = next, next == 0
	}
	for number := range stays {
		if seen[number] != 1 {
			t.Fatalf("the scan visited entry %d %d times, want once", number, seen[number])
		}
	}
}
