package schedule

import (
	"cmp"
	"math"
	"time"
)

// Candidate is one back end of the group, as seen by this front node.
type Candidate struct {
	ID       string
	Zone     string
	Region   string
	Draining bool
	// Ejected is true while outlier ejection keeps traffic off the server.
	Ejected bool
	// Capacity is the maximum number of concurrent requests of the server; 0 is unknown.
	Capacity uint32
	// InFlight counts this front node's own requests at the server.
	InFlight uint32
	// Running and Queued are what the server last reported, and InFlightAtReport is InFlight as it was then.
	Running          uint32
	Queued           uint32
	InFlightAtReport uint32
	// Weight scales the share of traffic: the zone's weight times the slow start after an ejection. 0 takes none.
	Weight float64
	// EjectedUntil orders the ejected ones when too many of a group are: the first to return is used first.
	EjectedUntil time.Time
	// Unreachable is true while connections to the server fail; such a server is readmitted only when there is no other.
	Unreachable bool

	// The rest is used by EXPECTED_FIRST_TOKEN alone.

	// Waiting counts this front node's own requests at the server without a first token.
	Waiting uint32
	// PendingTokens are the known prompt tokens of those that the server has still to prefill.
	PendingTokens uint64
	// CachedTokens are the tokens of the request's prompt that the server has in its prefix cache.
	CachedTokens uint64
	// ReportAge is how old Running, Queued and UsedTokens are; 0 or less means that nothing was reported.
	ReportAge time.Duration
	// WaitingAtReport is Waiting as it was when the load was reported.
	WaitingAtReport uint32
	// UsedTokens is the part of CacheTokens, the server's memory, that running requests occupy; CacheTokens 0 is unknown.
	UsedTokens  uint64
	CacheTokens uint64
	// RecentCalls is the decayed count of calls that this front node sent there; see RecentRequests.
	RecentCalls float64
	// Slowness is the factor by which the server is slower than its group; 0 means 1.
	Slowness float64

	// The rest is used by generations of training steps alone.

	// Steps counts this front node's own generations of steps at the server, and StepSlots is their maximum.
	Steps     uint32
	StepSlots uint32
	// StepsAtReport is Steps as it was when the load was reported.
	StepsAtReport uint32
	// StepTokens are the prompt tokens of those still to prefill and the output tokens that they may still generate.
	StepTokens uint64
}

// Load is the relative load: requests at the server by its capacity and weight; 1 is full.
func (c *Candidate) Load() float64 {
	return c.loadWith(0)
}

func (c *Candidate) loadWith(extra float64) float64 {
	return (c.requests() + extra) / c.weightedSlots()
}

// requests counts the requests at the server: the larger of those that it reported and those that this front node sent.
func (c *Candidate) requests() float64 {
	return float64(max(c.InFlight, c.Running+c.Queued))
}

// estimatedRequests estimates the requests at the server now: this front node's own, and those that others
// had there at the time of the report, decayed since.
func (c *Candidate) estimatedRequests() float64 {
	own, reported := float64(c.InFlight), c.Running+c.Queued
	if c.ReportAge <= 0 {
		return own
	}
	others := float64(reported - min(reported, c.InFlightAtReport))
	return own + others*math.Exp(-c.ReportAge.Seconds()/reportTimeConstant.Seconds())
}

// OtherRequests counts the requests at the server other than generations of this front node's training steps.
func (c *Candidate) OtherRequests() uint32 {
	own := c.InFlight - min(c.InFlight, c.Steps)
	reported := c.Running + c.Queued
	return max(own, reported-min(reported, c.StepsAtReport))
}

// othersWaiting estimates the requests of other front nodes without a first token.
func (c *Candidate) othersWaiting() float64 {
	if c.ReportAge <= 0 {
		return 0
	}
	others := float64(c.Queued - min(c.Queued, c.WaitingAtReport))
	return others * math.Exp(-c.ReportAge.Seconds()/reportTimeConstant.Seconds())
}

// isFull reports whether one more request would find no free slot, as far as is known.
func (c *Candidate) isFull() bool {
	return c.requests()+1 > c.slots()
}

// slots is the maximum number of concurrent requests of the server, or a default where it is unknown.
func (c *Candidate) slots() float64 { return float64(cmp.Or(c.Capacity, defaultCapacity)) }

// weightedSlots is the capacity scaled by weight.
func (c *Candidate) weightedSlots() float64 {
	return c.slots() * c.Weight
}
