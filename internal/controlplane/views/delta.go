package views

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// MembershipDelta leads from the known version to the view; checksum is that of
// the view. It is nil when the history does not reach back or the whole is no larger.
func MembershipDelta(view *protocol.MembershipView, history *History, known, checksum uint64) *protocol.MembershipDelta {
	names, reaches := history.Since(known)
	if !reaches || known == 0 || known >= view.GetVersion() {
		return nil
	}
	delta := &protocol.MembershipDelta{BaseVersion: known, Version: view.GetVersion(), Count: uint32(len(view.GetNodes())), Checksum: checksum}
	delta.Upserted, delta.Removed = split(view.GetNodes(), names, (*protocol.Node).GetName)
	return smaller(delta, view)
}

// BackEndDelta is what MembershipDelta is, of back ends.
func BackEndDelta(view *protocol.BackEndView, history *History, known, checksum uint64) *protocol.BackEndDelta {
	names, reaches := history.Since(known)
	if !reaches || known == 0 || known >= view.GetVersion() {
		return nil
	}
	delta := &protocol.BackEndDelta{BaseVersion: known, Version: view.GetVersion(), Count: uint32(len(view.GetBackEnds())), Checksum: checksum}
	delta.Upserted, delta.Removed = split(view.GetBackEnds(), names, (*protocol.BackEnd).GetId)
	return smaller(delta, view)
}

// PlacementDelta leads from the known epoch to the placement. Each shard names
// the epoch of its last change, so no history is needed. It is nil when the
// known epoch is older than the first table or the whole is no larger.
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
	return smaller(delta, placement)
}

// split gives the entries of the view that have one of the names, and the names that the view has no more.
func split[T any](entries []T, names map[string]bool, name func(T) string) (upserted []T, removed []string) {
	present := make(map[string]bool, len(names))
	for _, entry := range entries {
		if names[name(entry)] {
			upserted = append(upserted, entry)
			present[name(entry)] = true
		}
	}
	for gone := range names {
		if !present[gone] {
			removed = append(removed, gone)
		}
	}
	slices.Sort(removed)
	return upserted, removed
}

// smaller returns the delta when it takes fewer bytes than the whole, else nil.
func smaller[T any, Delta interface {
	*T
	proto.Message
}](delta Delta, whole proto.Message) Delta {
	if proto.Size(delta) >= proto.Size(whole) {
		return nil
	}
	return delta
}
