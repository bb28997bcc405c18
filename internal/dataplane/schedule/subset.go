package schedule

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetSize returns how many servers of a large group a front node uses; a size of 0 means DefaultSubsetSize.
func SubsetSize(size uint32) int { return int(cmp.Or(size, DefaultSubsetSize)) }

// Subset returns the candidates of a group that a front node of a zone uses, by the same rule as Choose.
func Subset(front, zone string, size uint32, group []Candidate) []Candidate {
	if len(group) <= SubsetSize(size) {
		return group
	}
	pointers := make([]*Candidate, 0, len(group))
	for index := range group {
		pointers = append(pointers, &group[index])
	}
	selected := make([]Candidate, 0, SubsetSize(size))
	for _, candidate := range rankForFront(front, zone, SubsetSize(size), pointers)[:SubsetSize(size)] {
		selected = append(selected, *candidate)
	}
	return selected
}

// rankForFront orders a group for a front node: servers of its own zone come first, since traffic between zones costs
// money, up to three quarters of the subset. The rest is for times when the own zone is full or unhealthy.
func rankForFront(front, zone string, size int, group []*Candidate) []*Candidate {
	ranked := rank(front, group)
	if zone == "" {
		return ranked
	}
	own, others := partition(ranked, func(c *Candidate) bool { return c.Zone == zone })
	first := min(len(own), size-size/otherZonesDivisor)
	return slices.Concat(own[:first], others, own[first:])
}

// subset restricts a large group to the part that this front node uses, which stays the same while the group does not
// change. The session's last server is always in it.
func (d *Decision) subset(request Request, usable []*Candidate) []*Candidate {
	size := SubsetSize(request.SubsetSize)
	if len(usable) <= size {
		return usable
	}
	ranked := rankForFront(request.Front, request.Zone, size, usable)
	selected := ranked[:size]
	for _, candidate := range ranked[size:] {
		if candidate.ID == request.LastServer {
			selected = append(selected[:size:size], candidate)
			continue
		}
		d.passOver(candidate, 0, ReasonNotSubset)
	}
	return selected
}

// rank orders candidates by rendezvous hash of the key, highest first.
func rank(key string, candidates []*Candidate) []*Candidate {
	type ranked struct {
		candidate *Candidate
		hash      uint64
	}
	order := make([]ranked, 0, len(candidates))
	for _, candidate := range candidates {
		order = append(order, ranked{candidate, rankHash(key, candidate)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if byHash := cmp.Compare(b.hash, a.hash); byHash != 0 {
			return byHash
		}
		return cmp.Compare(a.candidate.ID, b.candidate.ID)
	})
	result := make([]*Candidate, 0, len(order))
	for _, entry := range order {
		result = append(result, entry.candidate)
	}
	return result
}

// rankHash returns the rendezvous hash of a key and a candidate.
func rankHash(key string, candidate *Candidate) uint64 {
	return xxhash.Sum64String(key + "\x00" + candidate.ID)
}
