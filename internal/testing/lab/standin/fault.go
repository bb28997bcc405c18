package standin

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fault is one way in which a stand-in misbehaves on a request.
type Fault string

// Faults of a stand-in.
const (
	FaultNone Fault = ""
	// FaultDieBefore aborts the connection before anything is run.
	FaultDieBefore Fault = "die_before"
	// FaultDieDuring aborts the connection in the middle of the answer.
	FaultDieDuring Fault = "die_during"
	// FaultDieAfter runs to the end and aborts the connection before the end of the answer.
	FaultDieAfter Fault = "die_after"
	// FaultLoseAnswer runs to the end and sends nothing of the answer.
	FaultLoseAnswer Fault = "lose_answer"
	// FaultLate runs at once and answers later.
	FaultLate Fault = "late"
	// FaultStall stops in the middle of the answer without closing.
	FaultStall Fault = "stall"
	// FaultReject rejects with a retry-after; nothing is run.
	FaultReject Fault = "refuse"
	// FaultGarbage sends bytes that are no answer.
	FaultGarbage Fault = "garbage"
)

// Faults lists every fault, in a stable order.
func Faults() []Fault {
	return []Fault{
		FaultDieBefore, FaultDieDuring, FaultDieAfter, FaultLoseAnswer,
		FaultLate, FaultStall, FaultReject, FaultGarbage,
	}
}

const (
	defaultLateMillis        = 1500
	defaultStallMillis       = 20000
	defaultRetryAfterSeconds = 1
)

// FaultPlan says which requests go wrong and how. The choice depends on the
// seed, the request id and how often the server has seen it, on nothing else.
type FaultPlan struct {
	Seed uint64 `json:"seed"`
	// Probabilities by fault; their sum is at most 1.
	Probabilities map[Fault]float64 `json:"probabilities,omitempty"`
	// Requests names the fault of the first run of single requests.
	Requests map[string]Fault `json:"requests,omitempty"`
	// Times of the faults; zero takes a default.
	LateMillis        int `json:"late_millis,omitempty"`
	StallMillis       int `json:"stall_millis,omitempty"`
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// FaultPlanError names what is wrong with a fault plan.
type FaultPlanError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *FaultPlanError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Reason) }

// Validate checks names and probabilities.
func (p *FaultPlan) Validate() error {
	sum := 0.0
	for fault, probability := range p.Probabilities {
		path := "probabilities." + string(fault)
		if !slices.Contains(Faults(), fault) {
			return &FaultPlanError{Path: path, Reason: "unknown fault"}
		}
		if probability < 0 || probability > 1 {
			return &FaultPlanError{Path: path, Reason: "not within 0 and 1"}
		}
		sum += probability
	}
	if sum > 1 {
		return &FaultPlanError{Path: "probabilities", Reason: "sum is above 1"}
	}
	for request, fault := range p.Requests {
		if !slices.Contains(Faults(), fault) {
			return &FaultPlanError{Path: "requests." + request, Reason: "unknown fault"}
		}
	}
	return nil
}

// Pick gives the fault of the run-th run (counted from 1) of a request on this server.
func (p *FaultPlan) Pick(requestID string, run int) Fault {
	if run == 1 {
		if fault, named := p.Requests[requestID]; named {
			return fault
		}
	}
	point := unitInterval(fmt.Sprintf("%d/%s/%d", p.Seed, requestID, run))
	for _, fault := range Faults() {
		point -= p.Probabilities[fault]
		if point < 0 {
			return fault
		}
	}
	return FaultNone
}

// unitInterval maps a text evenly onto [0, 1).
func unitInterval(text string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(text)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// Late is the delay of a late answer.
func (p *FaultPlan) Late() time.Duration {
	return millisOr(p.LateMillis, defaultLateMillis)
}

// Stall is how long a stalled answer keeps its connection open.
func (p *FaultPlan) Stall() time.Duration {
	return millisOr(p.StallMillis, defaultStallMillis)
}

// RetryAfter is the retry-after of a rejection in seconds.
func (p *FaultPlan) RetryAfter() int {
	if p.RetryAfterSeconds > 0 {
		return p.RetryAfterSeconds
	}
	return defaultRetryAfterSeconds
}

func millisOr(millis, fallback int) time.Duration {
	if millis <= 0 {
		millis = fallback
	}
	return time.Duration(millis) * time.Millisecond
}

// FaultSwitch holds the plan in force; it may be replaced while requests run.
type FaultSwitch struct {
	plan atomic.Pointer[FaultPlan]
}

// NewFaultSwitch begins with the plan.
func NewFaultSwitch(plan FaultPlan) *FaultSwitch {
	s := &FaultSwitch{}
	s.plan.Store(&plan)
	return s
}

// Plan returns the plan in force; it must not be changed.
func (s *FaultSwitch) Plan() *FaultPlan { return s.plan.Load() }

// Replace puts another plan in force.
func (s *FaultSwitch) Replace(plan FaultPlan) error {
	if err := plan.Validate(); err != nil {
		return err
	}
	s.plan.Store(&plan)
	return nil
}
