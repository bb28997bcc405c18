package views

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosestand/rosestand/internal/protocol"
)

// fieldHasher encodes fields in a fixed order, each text with its length, so that
// different lists of fields never have the same encoding.
type fieldHasher struct {
	buffer []byte
}

func (h *fieldHasher) text(values ...string) {
	for _, value := range values {
		h.number(uint64(len(value)))
		h.buffer = append(h.buffer, value...)
	}
}

func (h *fieldHasher) number(values ...uint64) {
	for _, value := range values {
		h.buffer = binary.AppendUvarint(h.buffer, value)
	}
}

func (h *fieldHasher) list(values []string) {
	h.number(uint64(len(values)))
	h.text(values...)
}

func (h *fieldHasher) sum() uint64 { return xxhash.Sum64(h.buffer) }

// MembershipChecksum returns the xxHash of every field of every node, in the order of the view.
func MembershipChecksum(nodes []*protocol.Node) uint64 {
	h := &fieldHasher{}
	for _, node := range nodes {
		h.text(
			node.GetName(), node.GetAddress(), node.GetHttpAddress(), node.GetZone(), node.GetRegion(), node.GetStorageId(),
		)
		h.number(
			uint64(node.GetKind()), node.GetIncarnation(), boolNumber(node.GetDraining()), boolNumber(node.GetOwnedNothing()),
		)
	}
	return h.sum()
}

// BackEndsChecksum returns the xxHash of every field of every back end, in the order of the view.
func BackEndsChecksum(backEnds []*protocol.BackEnd) uint64 {
	h := &fieldHasher{}
	for _, backEnd := range backEnds {
		h.text(
			backEnd.GetId(), backEnd.GetAddress(), backEnd.GetZone(), backEnd.GetRegion(), backEnd.GetGroup(),
			backEnd.GetSoftwareVersion(),
		)
		h.list(backEnd.GetModels())
		h.list(backEnd.GetTools())
		h.number(
			uint64(backEnd.GetKind()), uint64(backEnd.GetState()), backEnd.GetIncarnation(), uint64(backEnd.GetCapacity()),
		)
		h.versions(backEnd.GetModelVersions())
	}
	return h.sum()
}

// versions encodes a map in the order of its keys.
func (h *fieldHasher) versions(versions map[string]uint64) {
	h.number(uint64(len(versions)))
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		h.text(name)
		h.number(versions[name])
	}
}

// PlacementChecksum returns the xxHash of every field of the placement except its epoch.
func PlacementChecksum(placement *protocol.Placement) uint64 {
	h := &fieldHasher{}
	for _, shard := range placement.GetShards() {
		h.number(uint64(shard.GetShard()), shard.GetEpoch())
		h.replicas(shard.GetCurrent())
		h.replicas(shard.GetNext())
	}
	h.list(placement.GetEmptying())
	h.list(placement.GetEmptied())
	h.replicas(placement.GetRetired())
	return h.sum()
}

func (h *fieldHasher) replicas(replicas []*protocol.Replica) {
	h.number(uint64(len(replicas)))
	for _, replica := range replicas {
		h.text(replica.GetStore(), replica.GetStorageId())
		h.number(uint64(replica.GetState()), replica.GetRebuildingSince())
	}
}

func boolNumber(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}
