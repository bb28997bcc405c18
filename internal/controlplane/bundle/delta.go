package bundle

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// MakePartial returns the partial bundle that, merged onto one merged bundle,
// results in another. It reports false if there is none, because a partial bundle
// cannot remove all sign-off keys.
func MakePartial(from, to *protocol.Bundle) (*protocol.Bundle, bool) {
	if len(to.GetSignOffKeys()) == 0 && len(from.GetSignOffKeys()) > 0 {
		return nil, false
	}
	partial := &protocol.Bundle{Version: to.GetVersion(), BaseVersion: from.GetVersion(), Partial: true}
	partial.Routes, partial.RemovedRoutes = changesByName(from.GetRoutes(), to.GetRoutes())
	partial.Groups, partial.RemovedGroups = changesByName(from.GetGroups(), to.GetGroups())
	partial.Tenants, partial.RemovedTenants = changesByName(from.GetTenants(), to.GetTenants())
	partial.HttpRoutes, partial.RemovedHttpRoutes = changesByName(from.GetHttpRoutes(), to.GetHttpRoutes())
	if !equal(from.GetScheduling(), to.GetScheduling()) {
		partial.Scheduling = to.GetScheduling()
	}
	if !equal(from.GetRecovery(), to.GetRecovery()) {
		partial.Recovery = to.GetRecovery()
	}
	if !equal(from.GetLimits(), to.GetLimits()) {
		partial.Limits = to.GetLimits()
	}
	if changed, removed := changesByName(from.GetSignOffKeys(), to.GetSignOffKeys()); len(changed)+len(removed) > 0 {
		partial.SignOffKeys = to.GetSignOffKeys()
	}
	return partial, true
}

// equal compares pointers first, because merged bundles share their unchanged entries.
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

// changesByName returns the added and changed entries, and the names of removed
// ones. Both lists must be sorted by name.
func changesByName[T namedMessage](from, to []T) (changed []T, removed []string) {
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

// DeltaError reports that a delta does not apply to the current configuration. The
// receiver must request a full snapshot, by sending zero as its known version.
type DeltaError struct {
	Reason string
}

// Error returns the message with the reason.
func (e *DeltaError) Error() string { return "configuration delta does not apply: " + e.Reason }

// ApplyDelta applies a delta to a copy of the current configuration, returns the
// result, and verifies the digest of each bundle that changed. A candidate that
// arrives as a partial bundle is merged onto the new active one. The error is a
// *DeltaError.
func ApplyDelta(current *protocol.Configuration, delta *protocol.ConfigurationDelta) (*protocol.Configuration, error) {
	if current.GetVersion() != delta.GetBaseVersion() {
		return nil, &DeltaError{Reason: fmt.Sprintf(
			"it is based on version %d, the current version is %d", delta.GetBaseVersion(), current.GetVersion(),
		)}
	}
	active := current.GetActive()
	for _, step := range delta.GetActiveSteps() {
		if step.GetPartial() && active.GetVersion() != step.GetBaseVersion() {
			return nil, &DeltaError{Reason: fmt.Sprintf(
				"a step is based on bundle %d, the active bundle is %d", step.GetBaseVersion(), active.GetVersion(),
			)}
		}
		active = Merge(active, step)
	}
	if len(delta.GetActiveSteps()) > 0 && Digest(active) != delta.GetActiveDigest() {
		return nil, &DeltaError{Reason: "digest of the active bundle differs"}
	}
	candidate, err := nextCandidate(current, active, delta)
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

func nextCandidate(
	current *protocol.Configuration, active *protocol.Bundle, delta *protocol.ConfigurationDelta,
) (*protocol.Bundle, error) {
	if delta.GetCandidate() == nil {
		return nil, nil
	}
	if current.GetCandidate() != nil && current.GetCandidateDigest() == delta.GetCandidateDigest() {
		return current.GetCandidate(), nil
	}
	candidate := Merge(active, delta.GetCandidate())
	if Digest(candidate) != delta.GetCandidateDigest() {
		return nil, &DeltaError{Reason: "digest of the candidate bundle differs"}
	}
	return candidate, nil
}

// MakeDelta returns the delta from a base version to the configuration; steps are
// the changes of the active bundle between them. It reports false if the delta is
// not smaller than the configuration.
func MakeDelta(
	base uint64, steps []*protocol.Bundle, configuration *protocol.Configuration,
) (*protocol.ConfigurationDelta, bool) {
	delta := &protocol.ConfigurationDelta{
		BaseVersion: base, Version: configuration.GetVersion(),
		ActiveSteps: steps, ActiveDigest: configuration.GetActiveDigest(),
		Candidate: configuration.GetCandidate(), CandidateDigest: configuration.GetCandidateDigest(),
		Rollout: configuration.GetRollout(),
	}
	if configuration.GetCandidate() != nil {
		if partial, possible := MakePartial(configuration.GetActive(), configuration.GetCandidate()); possible {
			delta.Candidate = partial
		}
	}
	return delta, proto.Size(delta) < proto.Size(configuration)
}
