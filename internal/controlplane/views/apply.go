package views

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// MismatchError says that a delta does not fit the view it was applied to; the
// receiver must ask for the whole section, with known version zero.
type MismatchError struct {
	Section string
	Reason  string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("delta of the section %s does not apply: %s", e.Section, e.Reason)
}

// ApplyMembership gives the view that a delta leads to. The error is a *MismatchError.
func ApplyMembership(held *protocol.MembershipView, delta *protocol.MembershipDelta) (*protocol.MembershipView, error) {
	nodes := merge(held.GetNodes(), delta.GetUpserted(), delta.GetRemoved(), (*protocol.Node).GetName)
	outcome := &comparison{
		section: "membership", held: held.GetVersion(), base: delta.GetBaseVersion(),
		count: len(nodes), wantedCount: delta.GetCount(), checksum: MembershipChecksum(nodes), wantedChecksum: delta.GetChecksum(),
	}
	if err := outcome.check(); err != nil {
		return nil, err
	}
	return &protocol.MembershipView{Version: delta.GetVersion(), Nodes: nodes}, nil
}

// ApplyBackEnds gives the view that a delta leads to. The error is a *MismatchError.
func ApplyBackEnds(held *protocol.BackEndView, delta *protocol.BackEndDelta) (*protocol.BackEndView, error) {
	backEnds := merge(held.GetBackEnds(), delta.GetUpserted(), delta.GetRemoved(), (*protocol.BackEnd).GetId)
	outcome := &comparison{
		section: "back_ends", held: held.GetVersion(), base: delta.GetBaseVersion(),
		count: len(backEnds), wantedCount: delta.GetCount(), checksum: BackEndsChecksum(backEnds), wantedChecksum: delta.GetChecksum(),
	}
	if err := outcome.check(); err != nil {
		return nil, err
	}
	return &protocol.BackEndView{Version: delta.GetVersion(), BackEnds: backEnds}, nil
}

// ApplyPlacement gives the placement that a delta leads to. The error is a *MismatchError.
func ApplyPlacement(held *protocol.Placement, delta *protocol.PlacementDelta) (*protocol.Placement, error) {
	placement := &protocol.Placement{
		Epoch: delta.GetEpoch(), Shards: slices.Clone(held.GetShards()),
		Emptying: delta.GetEmptying(), Emptied: delta.GetEmptied(), Retired: delta.GetRetired(),
	}
	for _, shard := range delta.GetShards() {
		if int(shard.GetShard()) >= len(placement.GetShards()) {
			return nil, &MismatchError{Section: "placement", Reason: fmt.Sprintf("shard %d is not in the base", shard.GetShard())}
		}
		placement.Shards[shard.GetShard()] = shard
	}
	outcome := &comparison{
		section: "placement", held: held.GetEpoch(), base: delta.GetBaseEpoch(),
		count: len(placement.GetShards()), wantedCount: delta.GetCount(), checksum: PlacementChecksum(placement), wantedChecksum: delta.GetChecksum(),
	}
	if err := outcome.check(); err != nil {
		return nil, err
	}
	return placement, nil
}

// comparison is what a delta promises beside what came of it.
type comparison struct {
	section                  string
	held, base               uint64
	count                    int
	wantedCount              uint32
	checksum, wantedChecksum uint64
}

func (c *comparison) check() error {
	switch {
	case c.held != c.base:
		return &MismatchError{Section: c.section, Reason: fmt.Sprintf("it is made on version %d, version %d is held", c.base, c.held)}
	case c.count != int(c.wantedCount):
		return &MismatchError{Section: c.section, Reason: fmt.Sprintf("%d entries result in place of %d", c.count, c.wantedCount)}
	case c.checksum != c.wantedChecksum:
		return &MismatchError{Section: c.section, Reason: "the checksum differs"}
	default:
		return nil
	}
}

// merge takes out the entries that are removed or upserted and puts the
// upserted ones in their places. The base is sorted by name.
func merge[T any](base, upserted []T, removed []string, name func(T) string) []T {
	upserted = slices.SortedFunc(slices.Values(upserted), func(a, b T) int { return strings.Compare(name(a), name(b)) })
	gone := make(map[string]bool, len(removed))
	for _, entry := range removed {
		gone[entry] = true
	}
	merged := make([]T, 0, len(base)+len(upserted))
	for _, entry := range base {
		for len(upserted) > 0 && name(upserted[0]) < name(entry) {
			merged, upserted = append(merged, upserted[0]), upserted[1:]
		}
		switch {
		case len(upserted) > 0 && name(upserted[0]) == name(entry):
			merged, upserted = append(merged, upserted[0]), upserted[1:]
		case !gone[name(entry)]:
			merged = append(merged, entry)
		}
	}
	return append(merged, upserted...)
}
