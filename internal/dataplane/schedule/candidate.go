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
	// Capacity is the maximum number of concurrent requests of the server; 0 means unknown.
	Capacity uint32
	// InFlight counts this front node's own requests at the server.
	InFlight uint32
	// Running and Queued are from the server's last load report, and InFlightAtReport is the value of InFlight at that
	// time.
	Running          uint32
	Queued           uint32
	InFlightAtReport uint32
	// Weight scales the share of traffic: the zone's weight times the slow-start factor after an ejection. A server of
	// weight 0 gets none.
	Weight float64
	// EjectedUntil is when the ejection ends. When too much of a group is ejected, the servers whose ejections end first
	// are readmitted first.
	EjectedUntil time.Time
	// Unreachable is true while connections to the server fail; such a server is readmitted only when there is no other.
	Unreachable bool

	// The fields up to Slowness are used by EXPECTED_FIRST_TOKEN, CachedTokens also for generations of training steps.

	// Waiting counts this front node's own requests at the server without a first token.
	Waiting uint32
	// PendingTokens counts the prompt tokens of those requests that the server has yet to prefill, as far as is known.
	PendingTokens uint64
	// CachedTokens counts the tokens of the request's prompt that the server has in its prefix cache.
	CachedTokens uint64
	// ReportAge is the age of Running, Queued and UsedTokens; 0 or less means that there is no report.
	ReportAge time.Duration
	// WaitingAtReport is Waiting as it was when the load was reported.
	WaitingAtReport uint32
	// UsedTokens is the part of the server's memory, CacheTokens, that running requests occupy. A CacheTokens of 0 means
	// unknown.
	UsedTokens  uint64
	CacheTokens uint64
	// RecentCalls is the decayed count of calls that this front node sent there; see RecentRequests.
	RecentCalls float64
	// Slowness is the factor by which the server is slower than its group; 0 means 1.
	Slowness float64

	// The fields below are used for generations of training steps only.

	// Steps counts this front node's own generations of training steps at the server, and StepSlots is their maximum
	// number.
	Steps     uint32
	StepSlots uint32
	// StepsAtReport is Steps as it was when the load was reported.
	StepsAtReport uint32
	// StepTokens counts the prompt tokens of those generations that the server has yet to prefill and the output tokens
	// that they may still generate.
	StepTokens uint64
}

// Load returns the relative load: the requests at the server divided by its capacity and its weight; 1 means full.
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

// estimatedRequests estimates the requests at the server now: this front node's own, and those that other front nodes
// had there at the time of the report, decayed since then.
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

// slots returns the maximum number of concurrent requests of the server, or a default if that is unknown.
func (c *Candidate) slots() float64 { return float64(cmp.Or(c.Capacity, defaultCapacity)) }

// weightedSlots returns the capacity scaled by the weight.
func (c *Candidate) weightedSlots() float64 {
	return c.slots() * c.Weight
}
