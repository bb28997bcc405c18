package controlstate

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// maxOldBundles is the number of merged bundles older than the active one that are retained.
	maxOldBundles = 32
	// maxSteps is the number of configuration changes that a delta can span.
	maxSteps = 256
)

func (s *State) bundleRecord(version uint64) *BundleRecord {
	record, _ := s.bundles.Get(versionKey(version))
	return record
}

func (s *State) setBundleRecord(version uint64, record *BundleRecord) {
	s.bundles, _, _ = s.bundles.Insert(versionKey(version), record)
}

// setBundleState sets the state of a version in a copy of its status.
func (s *State) setBundleState(version uint64, state protocol.BundleState) {
	record := s.bundleRecord(version)
	status := proto.CloneOf(record.Status)
	status.State = state
	s.setBundleRecord(version, &BundleRecord{Status: status, Merged: record.Merged})
}

// putBundle accepts a bundle submitted as the next version. The same content submitted again under its version is
// acknowledged again; other content under that version is rejected.
func (s *State) putBundle(index uint64, submitted *protocol.Bundle) *protocol.CommandResult {
	version := submitted.GetVersion()
	digest := bundle.Digest(submitted)
	if winner := s.bundleRecord(version); winner != nil {
		if winner.Status.GetSubmittedDigest() == digest {
			return acceptBundle(winner.Status.GetAcceptedIndex(), winner.Status)
		}
		return rejectVersionTaken(winner.Status)
	}
	faults := s.checkNextVersion(version)
	base, baseFault := s.mergeBase(submitted)
	if baseFault != nil {
		return reject(codeWrongBase, "the bundle is not built on the newest version", append(faults, baseFault)...)
	}
	merged, contentFaults := bundle.Check(base, submitted)
	if faults = append(faults, contentFaults...); len(faults) > 0 {
		return rejectInvalidBundle(faults)
	}
	return acceptBundle(index, s.recordSubmission(index, submitted, merged, digest))
}

func rejectInvalidBundle(faults []*protocol.Fault) *protocol.CommandResult {
	return reject(codeInvalidBundle, fmt.Sprintf("the bundle has %d faults", len(faults)), faults...)
}

// recordSubmission stores a valid bundle under its version, which becomes the newest.
func (s *State) recordSubmission(
	index uint64, submitted, merged *protocol.Bundle, digest string,
) *protocol.BundleStatus {
	merged = bundle.ShareUnchanged(s.newestMerged(), merged)
	status := &protocol.BundleStatus{
		Version:         submitted.GetVersion(),
		State:           protocol.BundleState_ACCEPTED,
		SubmittedDigest: digest,
		MergedDigest:    bundle.Digest(merged),
		BaseVersion:     submitted.GetBaseVersion(),
		AcceptedIndex:   index,
	}
	s.setBundleRecord(status.GetVersion(), &BundleRecord{Status: status, Merged: merged})
	s.retainedVersions = append(s.retainedVersions, status.GetVersion())
	s.newest = status.GetVersion()
	return status
}

// newestMerged returns the newest merged bundle; nil before the first.
func (s *State) newestMerged() *protocol.Bundle {
	if len(s.retainedVersions) == 0 {
		return nil
	}
	return s.bundleRecord(s.retainedVersions[len(s.retainedVersions)-1]).Merged
}

func rejectVersionTaken(winner *protocol.BundleStatus) *protocol.CommandResult {
	result := reject(codeVersionTaken, fmt.Sprintf("version %d was taken by other content", winner.GetVersion()))
	result.Refusal.Winner = winner
	return result
}

func (s *State) checkNextVersion(version uint64) []*protocol.Fault {
	if version == 0 || version == s.newest+1 {
		return nil
	}
	return []*protocol.Fault{fault("version", fmt.Sprintf("the next version is %d", s.newest+1))}
}

// mergeBase returns the merged bundle that a partial one is based on: the newest, or the newest that was not withdrawn.
// It returns nil for a complete bundle.
func (s *State) mergeBase(submitted *protocol.Bundle) (*protocol.Bundle, *protocol.Fault) {
	if !submitted.GetPartial() {
		return nil, nil
	}
	if s.newest == 0 {
		return nil, fault("base_version", "there is no bundle yet to build on; send a whole one")
	}
	expected := s.newestNotWithdrawn()
	if base := submitted.GetBaseVersion(); base == 0 || (base != s.newest && base != expected) {
		return nil, fault("base_version", fmt.Sprintf("is %d, the newest version is %d", base, expected))
	}
	return s.bundleRecord(submitted.GetBaseVersion()).Merged, nil
}

func (s *State) newestNotWithdrawn() uint64 {
	for _, v := range slices.Backward(s.retainedVersions) {
		if s.bundleRecord(v).Status.GetState() != protocol.BundleState_WITHDRAWN {
			return v
		}
	}
	return s.newest
}

// activeKeys returns the sign-off keys of the active bundle. When it has none, these are the keys that were active
// before it, or the keys from the settings.
func (s *State) activeKeys() []*protocol.SignOffKey {
	if keys := s.configuration.GetActive().GetSignOffKeys(); len(keys) > 0 {
		return keys
	}
	return s.firstKeys
}

// seedKeys sets the first keys, which the settings contain. It changes nothing once a bundle became active with first
// keys set.
func (s *State) seedKeys(index uint64, command *protocol.SeedSignOffKeysCommand) *protocol.CommandResult {
	if s.configuration.GetActive() == nil || len(s.firstKeys) == 0 {
		s.firstKeys = command.GetKeys()
	}
	return accept(index)
}

// signBundle verifies a sign-off and makes the bundle active, or the candidate of a roll-out if the command has one.
func (s *State) signBundle(index uint64, command *protocol.SignBundleCommand) *protocol.CommandResult {
	record := s.bundleRecord(command.GetVersion())
	if record == nil {
		return reject(codeNotFound, fmt.Sprintf("there is no bundle %d", command.GetVersion()),
			fault("version", "is not taken"))
	}
	status := record.Status
	sameSignature := status.GetSignature() == command.GetSignature() && status.GetSignedBy() == command.GetKeyName()
	if status.GetSignature() != "" && sameSignature {
		return acceptBundle(status.GetSignedIndex(), status)
	}
	if err := bundle.Verify(s.activeKeys(), command.GetKeyName(), status.GetMergedDigest(),
		command.GetSignature()); err != nil {
		return reject(codeBadSignature, err.Error(), fault("signature", err.Error()))
	}
	if status.GetSignedBy() != "" {
		return acceptBundle(status.GetSignedIndex(), status)
	}
	if active := s.configuration.GetActive().GetVersion(); command.GetVersion() < active {
		return reject(codeInvalidOrder, fmt.Sprintf("bundle %d is in force; an older one never is again", active),
			fault("version", "is older than the bundle in force"))
	}
	if rejection := s.checkFirstRollout(command); rejection != nil {
		return rejection
	}
	signed := proto.CloneOf(status)
	signed.State = protocol.BundleState_SIGNED
	signed.SignedBy, signed.Signature, signed.SignedIndex = command.GetKeyName(), command.GetSignature(), index
	s.setBundleRecord(command.GetVersion(), &BundleRecord{Status: signed, Merged: record.Merged})
	if command.GetRollout() == nil {
		s.activateVersion(index, command.GetVersion())
	} else {
		s.setCandidate(index, withCandidateVersion(command.GetRollout(), command.GetVersion()))
	}
	return acceptBundle(index, signed)
}

// checkFirstRollout checks the roll-out in a sign-off, if there is one.
func (s *State) checkFirstRollout(command *protocol.SignBundleCommand) *protocol.CommandResult {
	rollout := command.GetRollout()
	if rollout == nil {
		return nil
	}
	if named := rollout.GetCandidateVersion(); named != 0 && named != command.GetVersion() {
		return reject(codeInvalidOrder, "the roll-out names another bundle",
			fault("rollout.candidate_version", "must be the version signed, or absent"))
	}
	return s.checkRollout(withCandidateVersion(rollout, command.GetVersion()), "rollout.")
}

func withCandidateVersion(rollout *protocol.Rollout, version uint64) *protocol.Rollout {
	named := proto.CloneOf(rollout)
	named.CandidateVersion = version
	return named
}

// activateVersion makes a signed version the active one and withdraws an older candidate. The keys that were active
// before stay valid until an active bundle has keys of its own.
func (s *State) activateVersion(index, version uint64) {
	former := s.configuration
	record := s.bundleRecord(version)
	next := &protocol.Configuration{Version: index, Active: record.Merged, ActiveDigest: record.Status.GetMergedDigest()}
	if candidate := former.GetCandidate(); candidate.GetVersion() > version {
		next.Candidate, next.CandidateDigest, next.Rollout = candidate, former.GetCandidateDigest(), former.GetRollout()
	} else if candidate != nil && candidate.GetVersion() < version {
		s.setBundleState(candidate.GetVersion(), protocol.BundleState_WITHDRAWN)
	}
	s.firstKeys = s.activeKeys()
	s.configuration = next
	s.appendStep(former, next)
	s.dropOldBundles(version)
}

// appendStep records a change of the configuration, for deltas. It drops all steps when the active bundle is the first
// one, or when its change cannot be expressed by a partial bundle of at most half its size.
func (s *State) appendStep(former, next *protocol.Configuration) {
	step := &protocol.ConfigurationStep{FromVersion: former.GetVersion(), ToVersion: next.GetVersion()}
	if former.GetActive() != next.GetActive() {
		if former.GetActive() == nil {
			s.steps = nil
			return
		}
		partial, possible := bundle.MakePartial(former.GetActive(), next.GetActive())
		if !possible || proto.Size(partial) > proto.Size(next.GetActive())/2 {
			s.steps = nil
			return
		}
		step.Step = partial
	}
	if former.GetVersion() == 0 {
		return
	}
	if len(s.steps) >= maxSteps {
		s.steps = slices.Clone(s.steps[len(s.steps)-maxSteps+1:])
	}
	s.steps = append(s.steps, step)
}

// dropOldBundles drops the merged bundles of all but the last maxOldBundles versions before the active one. Their
// statuses are never dropped.
func (s *State) dropOldBundles(active uint64) {
	olderCount, _ := slices.BinarySearch(s.retainedVersions, active)
	excess := olderCount - maxOldBundles
	if excess <= 0 {
		return
	}
	for _, version := range s.retainedVersions[:excess] {
		s.setBundleRecord(version, &BundleRecord{Status: s.bundleRecord(version).Status})
	}
	s.retainedVersions = slices.Clone(s.retainedVersions[excess:])
}
