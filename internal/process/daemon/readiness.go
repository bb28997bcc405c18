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

// Reason is a condition that is not met, and why; it makes a process not ready.
type Reason struct {
	Condition string `json:"condition"`
	Reason    string `json:"reason"`
}

// Readiness collects the conditions under which a process can accept work. The
// process is ready if all of them are met. It is safe for concurrent use; its mutex
// is not held while checks run.
type Readiness struct {
	mutex   sync.Mutex
	reasons map[string]string
	checks  map[string]func() string
}

// NewReadiness returns a readiness without conditions.
func NewReadiness() *Readiness {
	return &Readiness{reasons: map[string]string{}, checks: map[string]func() string{}}
}

// Set records why the condition is not met; an empty reason means that it is met.
func (r *Readiness) Set(condition, reason string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reason == "" {
		delete(r.reasons, condition)
		return
	}
	r.reasons[condition] = reason
}

// AddCheck adds a condition that is evaluated on each query: check returns why it is
// not met, or an empty string. It must not block.
func (r *Readiness) AddCheck(condition string, check func() string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checks[condition] = check
}

// Reasons lists the conditions that are not met, sorted by name; it is empty if the process is ready.
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

// Ready reports whether all conditions are met.
func (r *Readiness) Ready() bool {
	return len(r.Reasons()) == 0
}
