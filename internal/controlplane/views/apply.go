package views

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// MismatchError reports that a delta does not apply to the current view: its base
// or its result differs from what the delta states. The receiver must request a
// full snapshot of the section, by stating version zero as the known one.
type MismatchError struct {
	// Section is membership, back_ends or placement.
	Section string
	Reason  string
}

// Error names the section and the reason.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("delta of the section %s does not apply: %s", e.Section, e.Reason)
}

// ApplyMembership applies a delta to the current view, which is not modified, and
// returns the result. The error is a *MismatchError.
func ApplyMembership(
	current *protocol.MembershipView, delta *protocol.MembershipDelta,
) (*protocol.MembershipView, error) {
	nodes := mergeSorted(current.GetNodes(), delta.GetUpserted(), delta.GetRemoved(), (*protocol.Node).GetName)
	verification := &deltaVerification{
		section: "membership", currentVersion: current.GetVersion(), baseVersion: delta.GetBaseVersion(),
		count: len(nodes), expectedCount: delta.GetCount(), checksum: MembershipChecksum(nodes),
		expectedChecksum: delta.GetChecksum(),
	}
	if err := verification.verify(); err != nil {
		return nil, err
	}
	return &protocol.MembershipView{Version: delta.GetVersion(), Nodes: nodes}, nil
}

// ApplyBackEnds applies a delta to the current view, which is not modified, and
// returns the result. The error is a *MismatchError.
func ApplyBackEnds(current *protocol.BackEndView, delta *protocol.BackEndDelta) (*protocol.BackEndView, error) {
	backEnds := mergeSorted(current.GetBackEnds(), delta.GetUpserted(), delta.GetRemoved(), (*protocol.BackEnd).GetId)
	verification := &deltaVerification{
		section: "back_ends", currentVersion: current.GetVersion(), baseVersion: delta.GetBaseVersion(),
		count: len(backEnds), expectedCount: delta.GetCount(), checksum: BackEndsChecksum(backEnds),
		expectedChecksum: delta.GetChecksum(),
	}
	if err := verification.verify(); err != nil {
		return nil, err
	}
	return &protocol.BackEndView{Version: delta.GetVersion(), BackEnds: backEnds}, nil
}

// ApplyPlacement applies a delta to the current placement, which is not modified,
// and returns the result. The error is a *MismatchError.
func ApplyPlacement(current *protocol.Placement, delta *protocol.PlacementDelta) (*protocol.Placement, error) {
	placement := &protocol.Placement{
		Epoch: delta.GetEpoch(), Shards: slices.Clone(current.GetShards()),
		Emptying: delta.GetEmptying(), Emptied: delta.GetEmptied(), Retired: delta.GetRetired(),
	}
	for _, shard := range delta.GetShards() {
		if int(shard.GetShard()) >= len(placement.GetShards()) {
			return nil, &MismatchError{
				Section: "placement", Reason: fmt.Sprintf("shard %d is not in the current placement", shard.GetShard()),
			}
		}
		placement.Shards[shard.GetShard()] = shard
	}
	verification := &deltaVerification{
		section: "placement", currentVersion: current.GetEpoch(), baseVersion: delta.GetBaseEpoch(),
		count: len(placement.GetShards()), expectedCount: delta.GetCount(), checksum: PlacementChecksum(placement),
		expectedChecksum: delta.GetChecksum(),
	}
	if err := verification.verify(); err != nil {
		return nil, err
	}
	return placement, nil
}

// deltaVerification compares what a delta states about its result with the
// result of applying it.
type deltaVerification struct {
	section                     string
	currentVersion, baseVersion uint64
	count                       int
	expectedCount               uint32
	checksum, expectedChecksum  uint64
}

func (v *deltaVerification) verify() error {
	switch {
	case v.currentVersion != v.baseVersion:
		return &MismatchError{
			Section: v.section,
			Reason:  fmt.Sprintf("it is based on version %d, the current version is %d", v.baseVersion, v.currentVersion),
		}
	case v.count != int(v.expectedCount):
		return &MismatchError{
			Section: v.section, Reason: fmt.Sprintf("the result has %d entries, want %d", v.count, v.expectedCount),
		}
	case v.checksum != v.expectedChecksum:
		return &MismatchError{Section: v.section, Reason: "the checksum of the result does not match"}
	default:
		return nil
	}
}

// mergeSorted returns the base, which is sorted by name, without the removed
// entries and with the upserted ones inserted or replaced in order. It merges in
// one pass, so the cost is linear in the size of the fleet.
func mergeSorted[T any](base, upserted []T, removed []string, name func(T) string) []T {
	upserted = slices.SortedFunc(slices.Values(upserted), func(a, b T) int { return strings.Compare(name(a), name(b)) })
	removedNames := make(map[string]bool, len(removed))
	for _, entry := range removed {
		removedNames[entry] = true
	}
	merged := make([]T, 0, len(base)+len(upserted))
	for _, entry := range base {
		for len(upserted) > 0 && name(upserted[0]) < name(entry) {
			merged, upserted = append(merged, upserted[0]), upserted[1:]
		}
		switch {
		case len(upserted) > 0 && name(upserted[0]) == name(entry):
			merged, upserted = append(merged, upserted[0]), upserted[1:]
		case !removedNames[name(entry)]:
			merged = append(merged, entry)
		}
	}
	return append(merged, upserted...)
}
