package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// demandMemory is the time constant with which demand is forgotten.
const demandMemory = 500 * time.Millisecond

// demand follows how many tickets a second a class or tenant asks for.
type demand struct {
	perSecond float64
	at        time.Time
}

// add counts one ticket.
func (d *demand) add(now time.Time) {
	d.perSecond = d.now(now) + 1/demandMemory.Seconds()
	d.at = now
}

// now is the demand as of now.
func (d *demand) now(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.perSecond * math.Exp(-max(now.Sub(d.at), 0).Seconds()/demandMemory.Seconds())
}

// rival is a class or tenant that shares a rate with another.
type rival struct {
	weight float64
	// perSecond is what it asks for: it takes no more, whatever its weight.
	perSecond float64
}

// fairRate is what a member of the weight gets of a rate when it takes all it can.
// Rivals that ask for less than their shares leave the rest to the others.
func fairRate(perSecond, weight float64, rivals []rival) float64 {
	total := weight
	for _, other := range rivals {
		total += other.weight
	}
	slices.SortFunc(rivals, func(a, b rival) int {
		return cmp.Compare(a.perSecond*b.weight, b.perSecond*a.weight)
	})
	for _, other := range rivals {
		if other.perSecond >= perSecond*other.weight/total {
			break
		}
		perSecond -= other.perSecond
		total -= other.weight
	}
	return perSecond * weight / total
}
