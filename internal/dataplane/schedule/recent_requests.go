package schedule

import (
	"math"
	"time"
)

const (
	// recentMemory is the time constant with which requests of late are forgotten.
	recentTimeConstant = 20 * time.Second
	// busyShare is the part of its slots up to which a server is taken to have room, however it compares with others.
	busyShare = 0.2
	// unevenShare is the multiple of the mean from which a server counts as busier than others.
	unevenShare = 1.1
)

// RecentRequests counts requests sent to one server of late; the older ones count the less. The zero value has counted none.
type RecentRequests struct {
	count float64
	at    time.Time
}

// Add counts a request.
func (r *RecentRequests) Add(now time.Time) {
	r.count = r.Count(now) + 1
	r.at = now
}

// Count is what is remembered of the requests.
func (r *RecentRequests) Count(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-max(now.Sub(r.at), 0).Seconds()/recentTimeConstant.Seconds())
}

// likelyCalls is how many calls other front nodes are taken to have at a server: each of them sends it about what this one
// sent it of late, since all prefer the same servers for an object.
func (r *Request) likelyCalls(candidate *Candidate) float64 {
	perSecond := candidate.Recent / recentTimeConstant.Seconds()
	return perSecond * r.Profile.ServiceTime.Seconds() * max(r.FrontsAtServer-1, 0)
}

// callBound is how many likely calls a server may have before others are preferred. Without it an object that many calls concern has one server
// to itself, chosen by many front nodes alike, each of which sees few of them.
func (r *Request) callBound(candidates []*Candidate) float64 {
	sum := 0.0
	for _, candidate := range candidates {
		sum += r.likelyCalls(candidate)
	}
	return unevenShare * sum / float64(max(len(candidates), 1))
}

// surplus is by how much a server has more likely calls than the bound, and than leave it room.
func (r *Request) surplus(candidate *Candidate, bound float64) float64 {
	return max(r.likelyCalls(candidate)-max(bound, busyShare*candidate.slots()), 0)
}
