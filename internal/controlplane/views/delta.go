package views

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// MembershipDelta returns the changes from the known version to the view, whose
// checksum the caller supplies. It is nil if the history does not cover the known
// version, or if a full snapshot takes no more bytes.
func MembershipDelta(
	view *protocol.MembershipView, history *History, known, checksum uint64,
) *protocol.MembershipDelta {
	names, covered := history.Since(known)
	if !covered || known == 0 || known >= view.GetVersion() {
		return nil
	}
	delta := &protocol.MembershipDelta{
		BaseVersion: known, Version: view.GetVersion(), Count: uint32(len(view.GetNodes())), Checksum: checksum,
	}
	delta.Upserted, delta.Removed = splitChanges(view.GetNodes(), names, (*protocol.Node).GetName)
	return deltaIfSmaller(delta, view)
}

// BackEndDelta returns the changes from the known version to the view, as
// MembershipDelta does.
func BackEndDelta(view *protocol.BackEndView, history *History, known, checksum uint64) *protocol.BackEndDelta {
	names, covered := history.Since(known)
	if !covered || known == 0 || known >= view.GetVersion() {
		return nil
	}
	delta := &protocol.BackEndDelta{
		BaseVersion: known, Version: view.GetVersion(), Count: uint32(len(view.GetBackEnds())), Checksum: checksum,
	}
	delta.Upserted, delta.Removed = splitChanges(view.GetBackEnds(), names, (*protocol.BackEnd).GetId)
	return deltaIfSmaller(delta, view)
}

// PlacementDelta returns the changes from the known epoch to the placement, whose
// checksum the caller supplies. Each shard records the epoch of its last change, so
// no history is needed. It is nil if the known epoch is zero or not older than the
// placement, or if a full snapshot takes no more bytes.
func PlacementDelta(placement *protocol.Placement, known, checksum uint64) *protocol.PlacementDelta {
	if known == 0 || known >= placement.GetEpoch() {
		return nil
	}
	delta := &protocol.PlacementDelta{
		BaseEpoch: known, Epoch: placement.GetEpoch(), Count: uint32(len(placement.GetShards())), Checksum: checksum,
		Emptying: placement.GetEmptying(), Emptied: placement.GetEmptied(), Retired: placement.GetRetired(),
	}
	for _, shard := range placement.GetShards() {
		if shard.GetEpoch() > known || shard.GetEpoch() == 0 {
			delta.Shards = append(delta.Shards, shard)
		}
	}
	return deltaIfSmaller(delta, placement)
}

// splitChanges returns the entries of the view that have one of the changed names,
// and the names that are no longer in the view.
func splitChanges[T any](entries []T, names map[string]bool, name func(T) string) (upserted []T, removed []string) {
	present := make(map[string]bool, len(names))
	for _, entry := range entries {
		if names[name(entry)] {
			upserted = append(upserted, entry)
			present[name(entry)] = true
		}
	}
	for changedName := range names {
		if !present[changedName] {
			removed = append(removed, changedName)
		}
	}
	slices.Sort(removed)
	return upserted, removed
}

// deltaIfSmaller returns the delta if it takes fewer bytes than a full snapshot, otherwise nil.
func deltaIfSmaller[T any, Delta interface {
	*T
	proto.Message
}](delta Delta, snapshot proto.Message) Delta {
	if proto.Size(delta) >= proto.Size(snapshot) {
		return nil
	}
	return delta
}
