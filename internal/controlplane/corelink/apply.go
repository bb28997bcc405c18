package corelink

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/packing"
)

// DigestError says that a whole configuration does not have the digest that was promised with it.
type DigestError struct {
	Version uint64
	Section string
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration version %d: %s bundle has another digest", e.Version, e.Section)
}

// wholes names the sections to be asked for whole.
type wholes struct {
	configuration, membership, backEnds, placement bool
	// plain asks for all sections without packing, after a packed one did not fit.
	plain bool
}

// forget makes a poll ask for the sections as if none of them were known.
func (w wholes) forget(known *protocol.ControlVersions) {
	if w.configuration {
		known.Configuration = 0
	}
	if w.membership {
		known.Membership = 0
	}
	if w.backEnds {
		known.BackEnds = 0
	}
	if w.placement {
		known.Placement = 0
	}
}

// applyPoll makes the view that follows from an answer. No section ever steps
// back in its version. A section that does not fit, or does not have its digest
// or checksum, leaves the one held in force, is named in whole and returned as
// mismatch; the other sections are applied all the same.
func applyPoll(held *View, answer *protocol.PollControlResponse) (next *View, changed bool, whole wholes, mismatch error) {
	view := *held
	configuration, configurationError := newerConfiguration(held.Configuration, answer)
	membership, membershipError := newerMembership(held.Membership, answer)
	backEnds, backEndsError := newerBackEnds(held.BackEnds, answer)
	placement, placementError := newerPlacement(held.Placement, answer)
	if configuration != nil {
		view.Configuration, changed = configuration, true
	}
	if membership != nil {
		view.Membership, changed = membership, true
	}
	if backEnds != nil {
		view.BackEnds, changed = backEnds, true
	}
	if placement != nil {
		view.Placement, changed = placement, true
	}
	whole = wholes{
		configuration: configurationError != nil, membership: membershipError != nil,
		backEnds: backEndsError != nil, placement: placementError != nil,
		plain: configurationError != nil && len(answer.GetPackedConfiguration()) > 0 ||
			membershipError != nil && len(answer.GetPackedMembership()) > 0 ||
			backEndsError != nil && len(answer.GetPackedBackEnds()) > 0 ||
			placementError != nil && len(answer.GetPackedPlacement()) > 0,
	}
	return &view, changed, whole, errors.Join(configurationError, membershipError, backEndsError, placementError)
}

// unpackedOr gives the view that came packed, read into an empty one, or else the one that came plain.
func unpackedOr[V proto.Message](plain V, packed []byte, empty V) (V, error) {
	if len(packed) == 0 {
		return plain, nil
	}
	return empty, packing.Unpack(packed, empty)
}

// newerMembership returns the newer view in the answer; nil when there is none.
func newerMembership(held *protocol.MembershipView, answer *protocol.PollControlResponse) (*protocol.MembershipView, error) {
	whole, err := unpackedOr(answer.GetMembership(), answer.GetPackedMembership(), &protocol.MembershipView{})
	if err != nil {
		return nil, err
	}
	if whole.GetVersion() > held.GetVersion() {
		return whole, nil
	}
	if delta := answer.GetMembershipDelta(); delta.GetVersion() > held.GetVersion() {
		return views.ApplyMembership(held, delta)
	}
	return nil, nil
}

// newerBackEnds returns the newer view in the answer; nil when there is none.
func newerBackEnds(held *protocol.BackEndView, answer *protocol.PollControlResponse) (*protocol.BackEndView, error) {
	whole, err := unpackedOr(answer.GetBackEnds(), answer.GetPackedBackEnds(), &protocol.BackEndView{})
	if err != nil {
		return nil, err
	}
	if whole.GetVersion() > held.GetVersion() {
		return whole, nil
	}
	if delta := answer.GetBackEndsDelta(); delta.GetVersion() > held.GetVersion() {
		return views.ApplyBackEnds(held, delta)
	}
	return nil, nil
}

// newerPlacement returns the newer placement in the answer; nil when there is none.
func newerPlacement(held *protocol.Placement, answer *protocol.PollControlResponse) (*protocol.Placement, error) {
	whole, err := unpackedOr(answer.GetPlacement(), answer.GetPackedPlacement(), &protocol.Placement{})
	if err != nil {
		return nil, err
	}
	if whole.GetEpoch() > held.GetEpoch() {
		return whole, nil
	}
	if delta := answer.GetPlacementDelta(); delta.GetEpoch() > held.GetEpoch() {
		return views.ApplyPlacement(held, delta)
	}
	return nil, nil
}

// newerConfiguration returns the newer configuration in the answer; nil when there is none.
func newerConfiguration(held *protocol.Configuration, answer *protocol.PollControlResponse) (*protocol.Configuration, error) {
	whole, err := wholeConfiguration(answer)
	if err != nil {
		return nil, err
	}
	if whole.GetVersion() > held.GetVersion() {
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

// wholeConfiguration returns the whole configuration in the answer, plain or packed; nil when there is none.
func wholeConfiguration(answer *protocol.PollControlResponse) (*protocol.Configuration, error) {
	if packed := answer.GetPackedConfiguration(); len(packed) > 0 {
		return packing.UnpackConfiguration(packed)
	}
	return answer.GetConfiguration(), nil
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
