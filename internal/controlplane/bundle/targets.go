package bundle

import (
	"math/bits"

	"github.com/rosestand/rosestand/internal/protocol"
)

// PickTarget returns the group of an HTTP route for a hash, in proportion to the
// weights; empty if no target has a weight. Equal hashes get the same group as long
// as the targets stay the same.
func PickTarget(route *protocol.HttpRoute, hash uint64) string {
	total := totalWeight(route.GetTargets())
	if total == 0 {
		return ""
	}
	// The high half of the product is uniform over 0 to total-1.
	position, _ := bits.Mul64(mixBits(hash), total)
	for _, target := range route.GetTargets() {
		weight := uint64(target.GetWeight())
		if position < weight {
			return target.GetGroup()
		}
		position -= weight
	}
	return ""
}

func totalWeight(targets []*protocol.WeightedGroup) uint64 {
	total := uint64(0)
	for _, target := range targets {
		total += uint64(target.GetWeight())
	}
	return total
}

// mixBits is the finalizer of splitmix64: each bit of the hash changes half of the bits of the result.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
