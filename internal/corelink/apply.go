package corelink

import (
	"fmt"

	"github.com/rosestand/rosestand/internal/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

// DigestError says that a whole configuration does not have the digest that was promised with it.
type DigestError struct {
	Version uint64
	Section string
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration version %d: %s bundle has another digest", e.Version, e.Section)
}

// applyPoll makes the view that follows from an answer. No section ever steps
// back in its version. A configuration that does not fit or does not have its
// digest leaves the one held in force and is returned as mismatch; the other
// sections are applied all the same.
func applyPoll(held *View, answer *protocol.PollControlResponse) (next *View, changed bool, mismatch error) {
	view := *held
	configuration, mismatch := newerConfiguration(held.Configuration, answer)
	if configuration != nil {
		view.Configuration, changed = configuration, true
	}
	if membership := answer.GetMembership(); membership.GetVersion() > held.Membership.GetVersion() {
		view.Membership, changed = membership, true
	}
	if backEnds := answer.GetBackEnds(); backEnds.GetVersion() > held.BackEnds.GetVersion() {
		view.BackEnds, changed = backEnds, true
	}
	if placement := answer.GetPlacement(); placement.GetEpoch() > held.Placement.GetEpoch() {
		view.Placement, changed = placement, true
	}
	return &view, changed, mismatch
}

// newerConfiguration returns the newer configuration in the answer; nil when there is none.
func newerConfiguration(held *protocol.Configuration, answer *protocol.PollControlResponse) (*protocol.Configuration, error) {
	if whole := answer.GetConfiguration(); whole.GetVersion() > held.GetVersion() {
		if err := checkDigests(whole); err != nil {
			return nil, err
		}
		return whole, nil
	}
	delta := answer.GetConfigurationDelta()
	if delta.GetVersion() <= held.GetVersion() {
		return nil, nil
	}
	return bundle.ApplyDelta(held, delta)
}

// checkDigests compares the bundles with the digests that operators signed.
func checkDigests(configuration *protocol.Configuration) error {
	if active := configuration.GetActive(); active != nil && bundle.Digest(active) != configuration.GetActiveDigest() {
		return &DigestError{Version: configuration.GetVersion(), Section: "active"}
	}
	if candidate := configuration.GetCandidate(); candidate != nil && bundle.Digest(candidate) != configuration.GetCandidateDigest() {
		return &DigestError{Version: configuration.GetVersion(), Section: "candidate"}
	}
	return nil
}
