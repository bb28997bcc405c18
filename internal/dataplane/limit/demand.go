package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// demandTimeConstant is the time constant with which demand decays.
const demandTimeConstant = 500 * time.Millisecond

// demand is the rate, in tickets per second, of a class's or tenant's requests for slots.
type demand struct {
	// lastRate is the rate at updatedAt.
	lastRate  float64
	updatedAt time.Time
}

// add counts one ticket.
func (d *demand) add(now time.Time) {
	d.lastRate = d.rate(now) + 1/demandTimeConstant.Seconds()
	d.updatedAt = now
}

// rate returns the demand as of now.
func (d *demand) rate(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.lastRate * math.Exp(-max(now.Sub(d.updatedAt), 0).Seconds()/demandTimeConstant.Seconds())
}

// competitor is a class or tenant that shares a rate with another.
type competitor struct {
	weight float64
	// perSecond is its demand, which bounds its share whatever its weight.
	perSecond float64
}

// fairRate returns the max-min fair share of a rate for a member of that weight with unbounded demand. Competitors
// whose demand is below their share leave the rest to the others.
func fairRate(perSecond, weight float64, competitors []competitor) float64 {
	total := weight
	for _, other := range competitors {
		total += other.weight
	}
	slices.SortFunc(competitors, func(a, b competitor) int {
		return cmp.Compare(a.perSecond*b.weight, b.perSecond*a.weight)
	})
	for _, other := range competitors {
		if other.perSecond >= perSecond*other.weight/total {
			break
		}
		perSecond -= other.perSecond
		total -= other.weight
	}
	return perSecond * weight / total
}
