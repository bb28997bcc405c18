package controlstate

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

// SignedByCore is the key name in the status of released bundles, which the core signs off itself.
const SignedByCore = "core"

// releaseBundle accepts a bundle that is based on the active version, signs it off as SignedByCore and makes it active,
// all in one step. A repeated release is acknowledged again at any later time, whatever was released since.
func (s *State) releaseBundle(index uint64, command *protocol.ReleaseBundleCommand) *protocol.CommandResult {
	submitted, baseFaults := bundleOnExpectedBase(command)
	version, digest := submitted.GetVersion(), bundle.Digest(submitted)
	if winner := s.bundleRecord(version); winner != nil {
		if status := winner.Status; status.GetSubmittedDigest() == digest && status.GetSignedBy() == SignedByCore {
			return acceptBundle(status.GetAcceptedIndex(), status)
		}
		return rejectVersionTaken(winner.Status)
	}
	active := s.configuration.GetActive()
	if expected := command.GetExpectedVersion(); expected != active.GetVersion() {
		return s.rejectWrongBase(expected)
	}
	faults := slices.Concat(baseFaults, s.checkReleaseVersion(version))
	merged, contentFaults := bundle.Check(active, submitted)
	if faults = append(faults, contentFaults...); len(faults) > 0 {
		return rejectInvalidBundle(faults)
	}
	signed := proto.CloneOf(s.recordSubmission(index, submitted, merged, digest))
	signed.State, signed.SignedBy, signed.SignedIndex = protocol.BundleState_SIGNED, SignedByCore, index
	s.setBundleRecord(version, &BundleRecord{Status: signed, Merged: s.bundleRecord(version).Merged})
	s.activateVersion(index, version)
	return acceptBundle(index, signed)
}

// bundleOnExpectedBase returns a copy of the bundle with the expected version as its base, so that the digest covers
// the base.
func bundleOnExpectedBase(command *protocol.ReleaseBundleCommand) (*protocol.Bundle, []*protocol.Fault) {
	requested := command.GetBundle()
	if requested == nil {
		requested = &protocol.Bundle{}
	}
	submitted := &protocol.Bundle{}
	proto.Merge(submitted, requested)
	submitted.BaseVersion = command.GetExpectedVersion()
	switch base := requested.GetBaseVersion(); {
	case base != 0 && base != command.GetExpectedVersion():
		return submitted, []*protocol.Fault{fault("base_version",
			fmt.Sprintf("is %d, the release names %d", base, command.GetExpectedVersion()))}
	case requested.GetPartial() && command.GetExpectedVersion() == 0:
		return submitted, []*protocol.Fault{fault("base_version", "there is no bundle yet to build on; send a whole one")}
	default:
		return submitted, nil
	}
}

func (s *State) rejectWrongBase(expected uint64) *protocol.CommandResult {
	active := s.configuration.GetActive().GetVersion()
	result := reject(codeWrongBase, fmt.Sprintf("version %d is in force, not %d", active, expected),
		fault("expected_version", "is not the version in force"))
	if record := s.bundleRecord(active); record != nil {
		result.Refusal.Winner = record.Status
	}
	return result
}

// checkReleaseVersion requires a version above the newest, and so above the active one.
func (s *State) checkReleaseVersion(version uint64) []*protocol.Fault {
	if version == 0 || version > s.newest {
		return nil
	}
	return []*protocol.Fault{fault("version", fmt.Sprintf("must be above %d", s.newest))}
}
