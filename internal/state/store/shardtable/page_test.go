package shardtable

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

func TestPagesContainEveryEntryOnce(t *testing.T) {
	table := New(0)
	for number := range 3 * maxPageScan {
		key := Key{Program: fmt.Sprintf("program-%d", number/2), Call: []string{"", "call"}[number%2]}
		table.Register(key).State.Accepted.Counter = 1
		table.Turns.Put(turnindex.NewKey("p", strconv.Itoa(number)), turnindex.Entry{Offset: uint32(number)})
	}
	for name, filter := range map[string]bucketFilter{
		"all":        {},
		"one bucket": {buckets: 1024, only: map[uint32]bool{7: true}},
	} {
		t.Run(name, func(t *testing.T) {
			checkRegisterPages(t, table, filter)
			checkTurnPages(t, table, filter)
		})
	}
}

func checkRegisterPages(t *testing.T, table *Table, filter bucketFilter) {
	t.Helper()
	wanted := 0
	for key := range table.Registers.All() {
		if filter.matches(key.bucketHash()) {
			wanted++
		}
	}
	seen := map[Key]bool{}
	for after, last := (Key{}), false; !last; {
		page := table.registersAfter(after, defaultPageItems, filter)
		for _, state := range page.states {
			key := KeyFromProto(state.GetKey())
			if seen[key] || !filter.matches(key.bucketHash()) {
				t.Fatalf("register %v was returned twice or is in no requested bucket", key)
			}
			seen[key] = true
		}
		after, last = page.lastScanned, page.last
	}
	if len(seen) != wanted {
		t.Errorf("the pages contain %d registers, want %d", len(seen), wanted)
	}
}

func checkTurnPages(t *testing.T, table *Table, filter bucketFilter) {
	t.Helper()
	wanted := 0
	for key := range table.Turns.All() {
		if filter.matches(key.TurnHash) {
			wanted++
		}
	}
	seen := map[turnindex.Key]bool{}
	for after, last := (turnindex.Key{}), false; !last; {
		page := table.turnsAfter(after, defaultPageItems, filter)
		for i, key := range page.keys {
			entry, _ := table.Turns.Get(key)
			if seen[key] || entry != page.entries[i] || !filter.matches(key.TurnHash) {
				t.Fatalf("turn %v was returned twice, with a wrong entry or is in no requested bucket", key)
			}
			seen[key] = true
		}
		after, last = page.lastScanned, page.last
	}
	if len(seen) != wanted {
		t.Errorf("the pages contain %d turns, want %d", len(seen), wanted)
	}
}
