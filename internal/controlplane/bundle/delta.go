package bundle

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Step gives the partial bundle that leads from one merged bundle to another.
// It reports false when no partial bundle can: sign-off keys cannot be emptied by one.
func Step(from, to *protocol.Bundle) (*protocol.Bundle, bool) {
	if len(to.GetSignOffKeys()) == 0 && len(from.GetSignOffKeys()) > 0 {
		return nil, false
	}
	step := &protocol.Bundle{Version: to.GetVersion(), BaseVersion: from.GetVersion(), Partial: true}
	step.Routes, step.RemovedRoutes = stepNamed(from.GetRoutes(), to.GetRoutes())
	step.Groups, step.RemovedGroups = stepNamed(from.GetGroups(), to.GetGroups())
	step.Tenants, step.RemovedTenants = stepNamed(from.GetTenants(), to.GetTenants())
	step.HttpRoutes, step.RemovedHttpRoutes = stepNamed(from.GetHttpRoutes(), to.GetHttpRoutes())
	if !equal(from.GetScheduling(), to.GetScheduling()) {
		step.Scheduling = to.GetScheduling()
	}
	if !equal(from.GetRecovery(), to.GetRecovery()) {
		step.Recovery = to.GetRecovery()
	}
	if !equal(from.GetLimits(), to.GetLimits()) {
		step.Limits = to.GetLimits()
	}
	if changed, removed := stepNamed(from.GetSignOffKeys(), to.GetSignOffKeys()); len(changed)+len(removed) > 0 {
		step.SignOffKeys = to.GetSignOffKeys()
	}
	return step, true
}

// equal compares by identity first, as merged bundles share what did not change.
func equal[T comparableMessage](a, b T) bool {
	if a == b {
		return true
	}
	if first, isRoute := any(a).(*protocol.HttpRoute); isRoute {
		return sameHTTPRoute(first, any(b).(*protocol.HttpRoute))
	}
	return proto.Equal(a, b)
}

type comparableMessage interface {
	comparable
	proto.Message
}

type namedMessage interface {
	comparableMessage
	named
}

// stepNamed walks two lists sorted by name side by side.
func stepNamed[T namedMessage](from, to []T) (changed []T, removed []string) {
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		switch {
		case j == len(to) || (i < len(from) && from[i].GetName() < to[j].GetName()):
			removed = append(removed, from[i].GetName())
			i++
		case i == len(from) || to[j].GetName() < from[i].GetName():
			changed = append(changed, to[j])
			j++
		default:
			if !equal(from[i], to[j]) {
				changed = append(changed, to[j])
			}
			i, j = i+1, j+1
		}
	}
	return changed, removed
}

// DeltaError says that a delta does not fit the configuration it was applied
// to; the receiver must ask for the whole, with known version zero.
type DeltaError struct {
	Reason string
}

func (e *DeltaError) Error() string { return "delta does not apply: " + e.Reason }

// ApplyDelta leads a configuration to the version of the delta and checks the
// digest of each bundle that changed. The configuration given is not changed.
// A candidate that arrives as a partial bundle is merged onto the new active one.
func ApplyDelta(held *protocol.Configuration, delta *protocol.ConfigurationDelta) (*protocol.Configuration, error) {
	if held.GetVersion() != delta.GetBaseVersion() {
		return nil, &DeltaError{Reason: fmt.Sprintf("held version %d, delta begins at %d", held.GetVersion(), delta.GetBaseVersion())}
	}
	active := held.GetActive()
	for _, step := range delta.GetActiveSteps() {
		if step.GetPartial() && active.GetVersion() != step.GetBaseVersion() {
			return nil, &DeltaError{Reason: fmt.Sprintf("step from bundle %d found bundle %d", step.GetBaseVersion(), active.GetVersion())}
		}
		active = Merge(active, step)
	}
	if len(delta.GetActiveSteps()) > 0 && Digest(active) != delta.GetActiveDigest() {
		return nil, &DeltaError{Reason: "digest of the active bundle differs"}
	}
	candidate, err := candidateOf(held, active, delta)
	if err != nil {
		return nil, err
	}
	return &protocol.Configuration{
		Version: delta.GetVersion(),
		Active:  active, ActiveDigest: delta.GetActiveDigest(),
		Candidate: candidate, CandidateDigest: delta.GetCandidateDigest(),
		Rollout: delta.GetRollout(),
	}, nil
}

func candidateOf(held *protocol.Configuration, active *protocol.Bundle, delta *protocol.ConfigurationDelta) (*protocol.Bundle, error) {
	if delta.GetCandidate() == nil {
		return nil, nil
	}
	if held.GetCandidate() != nil && held.GetCandidateDigest() == delta.GetCandidateDigest() {
		return held.GetCandidate(), nil
	}
	candidate := Merge(active, delta.GetCandidate())
	if Digest(candidate) != delta.GetCandidateDigest() {
		return nil, &DeltaError{Reason: "digest of the candidate bundle differs"}
	}
	return candidate, nil
}

// MakeDelta builds the delta from a version held to the configuration in force
// out of the active steps between them. It reports false when the delta would
// be no smaller than the whole.
func MakeDelta(base uint64, steps []*protocol.Bundle, inForce *protocol.Configuration) (*protocol.ConfigurationDelta, bool) {
	delta := &protocol.ConfigurationDelta{
		BaseVersion: base, Version: inForce.GetVersion(),
		ActiveSteps: steps, ActiveDigest: inForce.GetActiveDigest(),
		Candidate: inForce.GetCandidate(), CandidateDigest: inForce.GetCandidateDigest(),
		Rollout: inForce.GetRollout(),
	}
	if inForce.GetCandidate() != nil {
		if step, possible := Step(inForce.GetActive(), inForce.GetCandidate()); possible {
			delta.Candidate = step
		}
	}
	return delta, proto.Size(delta) < proto.Size(inForce)
}
