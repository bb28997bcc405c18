package schedule

import (
	"math"
	"time"
)

const (
	// recentTimeConstant is the time constant with which the count decays.
	recentTimeConstant = 20 * time.Second
	// busyShare is the part of its slots up to which a server counts as not busy, however it compares with others.
	busyShare = 0.2
	// unevenShare is the multiple of the mean above which a server counts as busier than others.
	unevenShare = 1.1
)

// RecentRequests is an exponentially decayed count of the requests sent to one server. Its zero value is a count of 0.
type RecentRequests struct {
	count     float64
	updatedAt time.Time
}

// Add counts a request.
func (r *RecentRequests) Add(now time.Time) {
	r.count = r.Count(now) + 1
	r.updatedAt = now
}

// Count returns the decayed count.
func (r *RecentRequests) Count(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/recentTimeConstant.Seconds())
}

// likelyCalls estimates the calls of other front nodes at a server: each of them sends it about as many as this one
// sent it recently, since all prefer the same servers for an object.
func (r *Request) likelyCalls(candidate *Candidate) float64 {
	perSecond := candidate.RecentCalls / recentTimeConstant.Seconds()
	return perSecond * r.Profile.ServiceTime.Seconds() * max(r.FrontsAtServer-1, 0)
}

// callBound returns the number of likely calls up to which a server is not penalized. Without it all calls that concern
// one object would go to one server: every front node chooses the same server and sees only few of the calls itself.
func (r *Request) callBound(candidates []*Candidate) float64 {
	sum := 0.0
	for _, candidate := range candidates {
		sum += r.likelyCalls(candidate)
	}
	return unevenShare * sum / float64(max(len(candidates), 1))
}

// excessCalls returns the number of likely calls at a server above the bound and above busyShare of its slots.
func (r *Request) excessCalls(candidate *Candidate, bound float64) float64 {
	return max(r.likelyCalls(candidate)-max(bound, busyShare*candidate.slots()), 0)
}
