package daemon

import (
	"maps"
	"sort"
	"sync"
)

const (
	conditionStarted  = "started"
	conditionDraining = "draining"
)

// Reason says why a process is not ready.
type Reason struct {
	Condition string `json:"condition"`
	Reason    string `json:"reason"`
}

// Readiness collects the conditions under which a process may be given work.
// A process is ready when no condition gives a reason against it. It may be
// used from any goroutine.
type Readiness struct {
	mutex   sync.Mutex
	reasons map[string]string
	checks  map[string]func() string
}

// NewReadiness gives a readiness without conditions.
func NewReadiness() *Readiness {
	return &Readiness{reasons: map[string]string{}, checks: map[string]func() string{}}
}

// Set records why the condition is not met; an empty reason says that it is met.
func (r *Readiness) Set(condition, reason string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reason == "" {
		delete(r.reasons, condition)
		return
	}
	r.reasons[condition] = reason
}

// AddCheck adds a condition that is asked whenever readiness is: check returns
// the reason against it, or nothing. It must not block.
func (r *Readiness) AddCheck(condition string, check func() string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checks[condition] = check
}

// Reasons lists what stands against being ready, sorted by condition; it is empty when ready.
func (r *Readiness) Reasons() []Reason {
	r.mutex.Lock()
	checks := make(map[string]func() string, len(r.checks))
	maps.Copy(checks, r.checks)
	reasons := make([]Reason, 0, len(r.reasons))
	for condition, reason := range r.reasons {
		reasons = append(reasons, Reason{Condition: condition, Reason: reason})
	}
	r.mutex.Unlock()
	for condition, check := range checks {
		if reason := check(); reason != "" {
			reasons = append(reasons, Reason{Condition: condition, Reason: reason})
		}
	}
	sort.Slice(reasons, func(i, j int) bool { return reasons[i].Condition < reasons[j].Condition })
	return reasons
}

// Ready reports whether no condition stands against it.
func (r *Readiness) Ready() bool {
	return len(r.Reasons()) == 0
}
