package schedule

import (
	"slices"
)

// filter drops candidates that must not be used. Ejected ones are readmitted when too few would be left; draining ones
// never are.
func (d *Decision) filter(request Request, candidates []Candidate) []*Candidate {
	var usable, ejected []*Candidate
	for index := range candidates {
		candidate := &candidates[index]
		switch {
		case candidate.Draining:
			d.passOver(candidate, 0, ReasonDraining)
		case slices.Contains(request.Avoid, candidate.ID):
			d.passOver(candidate, 0, ReasonAvoided)
		case candidate.Weight <= 0:
			d.passOver(candidate, 0, ReasonNoWeight)
		case candidate.Ejected:
			ejected = append(ejected, candidate)
		default:
			usable = append(usable, candidate)
		}
	}
	usable, ejected = readmit(usable, ejected)
	for _, candidate := range ejected {
		d.passOver(candidate, 0, ReasonEjected)
	}
	return usable
}

// readmit readmits ejected servers until half of the group is usable: when most seem faulty, the cause is likely
// elsewhere. Those whose ejection ends first come first. Unreachable ones are used only when there is no other.
func readmit(usable, ejected []*Candidate) (readmitted, stillEjected []*Candidate) {
	minUsable := (len(usable) + len(ejected) + 1) / 2
	unreachable, suspected := partition(ejected, func(c *Candidate) bool { return c.Unreachable })
	slices.SortStableFunc(suspected, func(a, b *Candidate) int { return a.EjectedUntil.Compare(b.EjectedUntil) })
	readmittedCount := min(len(suspected), max(minUsable-len(usable), 0))
	usable = append(usable, suspected[:readmittedCount]...)
	if len(usable) == 0 {
		return unreachable, nil
	}
	return usable, append(unreachable, suspected[readmittedCount:]...)
}

// localZone restricts the choice to the front node's own zone while a server there has a free slot, otherwise to its
// own region while a server there has one, and otherwise returns all candidates.
func (d *Decision) localZone(request Request, usable []*Candidate) []*Candidate {
	if !request.ZoneLocalFirst {
		return usable
	}
	ownZone := func(c *Candidate) bool { return c.Zone == request.Zone }
	ownRegion := func(c *Candidate) bool { return ownZone(c) || request.Region != "" && c.Region == request.Region }
	zone, otherZones := partition(usable, ownZone)
	if hasFree(zone) {
		return d.restrictTo(zone, otherZones, ReasonOtherZone)
	}
	d.Spilled = len(zone) > 0 && len(otherZones) > 0
	region, otherRegions := partition(usable, ownRegion)
	if hasFree(region) {
		return d.restrictTo(region, otherRegions, ReasonFarRegion)
	}
	return usable
}

// restrictTo passes over the other candidates and returns the selected ones.
func (d *Decision) restrictTo(selected, others []*Candidate, reason string) []*Candidate {
	for _, candidate := range others {
		d.passOver(candidate, candidate.Load(), reason)
	}
	return selected
}

// partition separates the candidates that match from the others and keeps the order of both.
func partition(candidates []*Candidate, matches func(*Candidate) bool) (matching, others []*Candidate) {
	for _, candidate := range candidates {
		if matches(candidate) {
			matching = append(matching, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	return matching, others
}

// hasFree reports whether one of the candidates has a free slot.
func hasFree(candidates []*Candidate) bool {
	return slices.ContainsFunc(candidates, func(c *Candidate) bool { return c.loadWith(1) <= fullLoad })
}
