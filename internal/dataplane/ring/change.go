package ring

// Range is the keys above After up to and including Through. It wraps around the end of the key space when
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

// Change is a range whose holder differs between two rings. From is the zero
// Member where the former ring was empty, To where the later one is.
type Change struct {
	Range
	From Member
	To   Member
}

// Changes lists the ranges that changed hands between two rings, in the order of
// their bounds; neighbouring ranges with the same members are one. A member that
// came back under another incarnation is another member. A nil ring is empty.
func Changes(former, later *Ring) []Change {
	bounds := boundsOf(former, later)
	walkFormer, walkLater := walk{ring: former}, walk{ring: later}
	var changes []Change
	for i, through := range bounds {
		from, to := walkFormer.holder(through), walkLater.holder(through)
		if from == to {
			continue
		}
		after := bounds[(i+len(bounds)-1)%len(bounds)]
		changes = appendChange(changes, Change{Range: Range{After: after, Through: through}, From: from, To: to})
	}
	return joinEnds(changes)
}

// walk finds the holders of rising keys in one pass over a ring.
type walk struct {
	ring *Ring
	// below counts the virtual nodes whose hash is below the last key.
	below int
}

// holder is the holder of a key not smaller than the one before; the zero Member on an empty ring.
func (w *walk) holder(key uint64) Member {
	vnodes := w.ring.virtualNodes()
	if len(vnodes) == 0 {
		return Member{}
	}
	for w.below < len(vnodes) && vnodes[w.below].hash < key {
		w.below++
	}
	return w.ring.members[vnodes[(w.below+len(vnodes)-1)%len(vnodes)].member]
}

// boundsOf lists the hashes of the virtual nodes of both rings in their order, each once.
func boundsOf(former, later *Ring) []uint64 {
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

// virtualNodes are the virtual nodes of the ring in their order, none for a nil ring.
func (r *Ring) virtualNodes() []virtualNode {
	if r == nil {
		return nil
	}
	return r.vnodes
}

// appendChange extends the last change where the next one continues it.
func appendChange(changes []Change, next Change) []Change {
	if last := len(changes) - 1; last >= 0 && joins(changes[last], next) {
		changes[last].Through = next.Through
		return changes
	}
	return append(changes, next)
}

// joinEnds joins the last range with the first where they meet at the wrap.
func joinEnds(changes []Change) []Change {
	last := len(changes) - 1
	if last < 1 || !joins(changes[last], changes[0]) {
		return changes
	}
	changes[0].After = changes[last].After
	return changes[:last]
}

func joins(one, next Change) bool {
	return one.Through == next.After && one.From == next.From && one.To == next.To
}
