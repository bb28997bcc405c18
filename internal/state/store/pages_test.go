package store

import (
	"fmt"
	"strconv"
	"testing"
)

func TestPagesGiveAllOfAShardOnce(t *testing.T) {
	table := newShardTable(0)
	for number := range 3 * maximumPageScan {
		key := registerKey{program: fmt.Sprintf("program-%d", number/2), call: []string{"", "call"}[number%2]}
		held := table.entry(key)
		held.state.Accepted.Counter = 1
		table.turns.Put(turnKeyOf("p", strconv.Itoa(number)), turnEntry{offset: uint32(number)})
	}
	for name, filter := range map[string]bucketFilter{
		"all":        {},
		"one bucket": {buckets: 1024, only: map[uint32]bool{7: true}},
	} {
		wanted := 0
		for key := range table.registers.All() {
			if filter.keeps(key.bucketHash()) {
				wanted++
			}
		}
		seen := map[registerKey]bool{}
		for after, last := (registerKey{}), false; !last; {
			page, reached, ended := table.registersAfter(after, defaultPageItems, filter)
			for _, state := range page {
				if key := keyOf(state.GetKey()); seen[key] || !filter.keeps(key.bucketHash()) {
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
		for key := range table.turns.All() {
			if filter.keeps(key.low) {
				wantedTurns++
			}
		}
		for after, last := (turnKey{}), false; !last; {
			keys, entries, reached, ended := table.turnsAfter(after, defaultPageItems, filter)
			for place, key := range keys {
				if held, _ := table.turns.Get(key); turns[key] || held != entries[place] || !filter.keeps(key.low) {
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
