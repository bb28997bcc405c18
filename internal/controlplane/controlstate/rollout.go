package controlstate

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

func (s *State) setRollout(index uint64, command *protocol.SetRolloutCommand) *protocol.CommandResult {
	switch command.GetAction() {
	case protocol.RolloutAction_ROLLOUT_SET:
		if rejection := s.checkRollout(command.GetRollout(), ""); rejection != nil {
			return rejection
		}
		s.setCandidate(index, command.GetRollout())
		return acceptBundle(index, s.bundleRecord(command.GetRollout().GetCandidateVersion()).Status)
	case protocol.RolloutAction_ROLLOUT_PROMOTE:
		return s.promote(index, command.GetRollout().GetCandidateVersion())
	case protocol.RolloutAction_ROLLOUT_WITHDRAW:
		return s.withdraw(index, command.GetRollout().GetCandidateVersion())
	default:
		return reject(codeInvalidOrder, "unknown action", fault("action", "must be set, promote or withdraw"))
	}
}

// checkRollout rejects a roll-out that may not begin or change. The paths of its faults start with prefix.
func (s *State) checkRollout(rollout *protocol.Rollout, prefix string) *protocol.CommandResult {
	if faults := bundle.CheckRollout(rollout); len(faults) > 0 {
		for _, invalid := range faults {
			invalid.Path = prefix + invalid.GetPath()
		}
		return reject(codeInvalidOrder, "the roll-out has faults", faults...)
	}
	path := prefix + "candidate_version"
	version := rollout.GetCandidateVersion()
	record, active := s.bundleRecord(version), s.configuration.GetActive()
	switch {
	case record == nil:
		return reject(codeNotFound, fmt.Sprintf("there is no bundle %d", version), fault(path, "is not taken"))
	case active == nil:
		return reject(codeInvalidOrder, "there is no bundle in force to compare with",
			fault(path, "sign the first bundle without a roll-out"))
	case version <= active.GetVersion():
		return reject(codeInvalidOrder,
			fmt.Sprintf("bundle %d is in force; the candidate must be newer", active.GetVersion()),
			fault(path, "is not newer than the bundle in force"))
	case record.Status.GetState() == protocol.BundleState_WITHDRAWN:
		return reject(codeInvalidOrder, fmt.Sprintf("bundle %d was withdrawn; send it again under a new number", version),
			fault(path, "was withdrawn"))
	case record.Status.GetState() == protocol.BundleState_ACCEPTED && prefix == "":
		return reject(codeNotSigned, fmt.Sprintf("bundle %d is not signed off", version), fault(path, "is not signed off"))
	}
	if other := s.configuration.GetCandidate(); other != nil && other.GetVersion() != version {
		return reject(codeChangeInProgress,
			fmt.Sprintf("bundle %d is being rolled out; promote or withdraw it first", other.GetVersion()),
			fault(path, "another candidate is being rolled out"))
	}
	return nil
}

func (s *State) setCandidate(index uint64, rollout *protocol.Rollout) {
	record := s.bundleRecord(rollout.GetCandidateVersion())
	s.replaceConfiguration(&protocol.Configuration{
		Version: index,
		Active:  s.configuration.GetActive(), ActiveDigest: s.configuration.GetActiveDigest(),
		Candidate: record.Merged, CandidateDigest: record.Status.GetMergedDigest(),
		Rollout: rollout,
	})
}

func (s *State) replaceConfiguration(next *protocol.Configuration) {
	former := s.configuration
	s.configuration = next
	s.appendStep(former, next)
}

// promote makes the candidate active. A version of zero means the current candidate.
func (s *State) promote(index, version uint64) *protocol.CommandResult {
	candidate := s.configuration.GetCandidate().GetVersion()
	if candidate == 0 || (version != 0 && version != candidate) {
		if version != 0 && version == s.configuration.GetActive().GetVersion() {
			return acceptBundle(s.configuration.GetVersion(), s.bundleRecord(version).Status)
		}
		return s.rejectNoCandidate(version)
	}
	s.activateVersion(index, candidate)
	return acceptBundle(index, s.bundleRecord(candidate).Status)
}

// withdraw ends the roll-out and withdraws the candidate, which never becomes active. A version of zero means the
// current candidate.
func (s *State) withdraw(index, version uint64) *protocol.CommandResult {
	candidate := s.configuration.GetCandidate().GetVersion()
	if candidate == 0 || (version != 0 && version != candidate) {
		if record := s.bundleRecord(version); record != nil && record.Status.GetState() == protocol.BundleState_WITHDRAWN {
			return acceptBundle(index, record.Status)
		}
		return s.rejectNoCandidate(version)
	}
	s.setBundleState(candidate, protocol.BundleState_WITHDRAWN)
	s.replaceConfiguration(&protocol.Configuration{
		Version: index,
		Active:  s.configuration.GetActive(), ActiveDigest: s.configuration.GetActiveDigest(),
	})
	return acceptBundle(index, s.bundleRecord(candidate).Status)
}

func (s *State) rejectNoCandidate(version uint64) *protocol.CommandResult {
	if version == 0 {
		return reject(codeInvalidOrder, "no bundle is being rolled out")
	}
	return reject(codeInvalidOrder, fmt.Sprintf("bundle %d is not being rolled out", version),
		fault("candidate_version", "is not the candidate"))
}
