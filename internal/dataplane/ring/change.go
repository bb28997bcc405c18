package ring

// Range is the set of keys above After up to and including Through. It wraps around the end of the key space when
// Through is not larger than After, and is the complete ring when they are equal.
type Range struct {
	After   uint64
	Through uint64
}

// Contains reports whether the key is in the range.
func (r Range) Contains(key uint64) bool {
	if r.After < r.Through {
		return r.After < key && key <= r.Through
	}
	return r.After < key || key <= r.Through
}

// Change is a range whose holder differs between two rings. From is the zero Member when the former ring is empty, To
// when the later ring is empty.
type Change struct {
	Range
	From Member
	To   Member
}

// Changes returns the ranges whose holder differs between two rings, in the order of their bounds. Adjacent ranges with
// the same members are joined. A member that returned under another incarnation is a different member. A nil ring is
// empty.
func Changes(former, later *Ring) []Change {
	bounds := sortedBounds(former, later)
	formerCursor, laterCursor := cursor{ring: former}, cursor{ring: later}
	var changes []Change
	for i, through := range bounds {
		from, to := formerCursor.holder(through), laterCursor.holder(through)
		if from == to {
			continue
		}
		after := bounds[(i+len(bounds)-1)%len(bounds)]
		changes = appendChange(changes, Change{Range: Range{After: after, Through: through}, From: from, To: to})
	}
	return joinAcrossWrap(changes)
}

// cursor finds the holders of keys in ascending order in one pass over a ring.
type cursor struct {
	ring *Ring
	// below counts the virtual nodes whose hash is below the last key.
	below int
}

// holder returns the holder of a key, which must not be smaller than the previous one; the zero Member on an empty
// ring.
func (c *cursor) holder(key uint64) Member {
	vnodes := c.ring.virtualNodes()
	if len(vnodes) == 0 {
		return Member{}
	}
	for c.below < len(vnodes) && vnodes[c.below].hash < key {
		c.below++
	}
	return c.ring.members[vnodes[(c.below+len(vnodes)-1)%len(vnodes)].member]
}

// sortedBounds returns the distinct hashes of the virtual nodes of both rings in ascending order.
func sortedBounds(former, later *Ring) []uint64 {
	one, other := former.virtualNodes(), later.virtualNodes()
	bounds := make([]uint64, 0, len(one)+len(other))
	for len(one) > 0 || len(other) > 0 {
		var next uint64
		if len(other) == 0 || len(one) > 0 && one[0].hash <= other[0].hash {
			next, one = one[0].hash, one[1:]
		} else {
			next, other = other[0].hash, other[1:]
		}
		if last := len(bounds) - 1; last < 0 || bounds[last] != next {
			bounds = append(bounds, next)
		}
	}
	return bounds
}

// virtualNodes returns the virtual nodes of the ring in order; none for a nil ring.
func (r *Ring) virtualNodes() []virtualNode {
	if r == nil {
		return nil
	}
	return r.vnodes
}

// appendChange appends a change, or extends the last one if the two can be joined.
func appendChange(changes []Change, next Change) []Change {
	if last := len(changes) - 1; last >= 0 && canJoin(changes[last], next) {
		changes[last].Through = next.Through
		return changes
	}
	return append(changes, next)
}

// joinAcrossWrap joins the last change with the first if they are adjacent across the end of the key space.
func joinAcrossWrap(changes []Change) []Change {
	last := len(changes) - 1
	if last < 1 || !canJoin(changes[last], changes[0]) {
		return changes
	}
	changes[0].After = changes[last].After
	return changes[:last]
}

// canJoin reports whether two changes have adjacent ranges and the same members.
func canJoin(one, next Change) bool {
	return one.Through == next.After && one.From == next.From && one.To == next.To
}
