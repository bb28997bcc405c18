package coremembership

import (
	"cmp"

	"github.com/rosestand/rosestand/internal/protocol"
)

// failureDomain identifies a zone by its region and name, since zones of different regions may have the same name.
type failureDomain struct{ region, zone string }

func failureDomainOf(member *protocol.CoreMember) failureDomain {
	return failureDomain{region: member.GetRegion(), zone: member.GetZone()}
}

// voterSpread counts the voters that are not lost, by region and by zone.
type voterSpread struct {
	regions map[string]int
	zones   map[failureDomain]int
}

func (v *View) voterSpread() voterSpread {
	spread := voterSpread{regions: map[string]int{}, zones: map[failureDomain]int{}}
	for _, voter := range v.voters() {
		if !v.isLost(voter) {
			spread.regions[voter.GetRegion()]++
			spread.zones[failureDomainOf(voter)]++
		}
	}
	return spread
}

// compare orders members by the number of voters in their region, then by the number in their zone.
func (s voterSpread) compare(a, b *protocol.CoreMember) int {
	return cmp.Or(
		cmp.Compare(s.regions[a.GetRegion()], s.regions[b.GetRegion()]),
		cmp.Compare(s.zones[failureDomainOf(a)], s.zones[failureDomainOf(b)]),
	)
}
