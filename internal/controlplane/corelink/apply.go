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

// DigestError reports that the digest of a bundle in a full snapshot of the
// configuration differs from the one stated in the snapshot.
type DigestError struct {
	// Version is the version of the configuration.
	Version uint64
	// Section is active or candidate.
	Section string
}

// Error names the version of the configuration and the bundle.
func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration version %d: digest of the %s bundle does not match", e.Version, e.Section)
}

// snapshotRequest names the sections that the next poll requests as full snapshots.
type snapshotRequest struct {
	configuration, membership, backEnds, placement bool
	// unpacked requests all sections unpacked, after a packed one could not be applied.
	unpacked bool
}

// resetKnown sets the known versions of these sections to zero, so that the core
// answers with full snapshots.
func (r snapshotRequest) resetKnown(known *protocol.ControlVersions) {
	if r.configuration {
		known.Configuration = 0
	}
	if r.membership {
		known.Membership = 0
	}
	if r.backEnds {
		known.BackEnds = 0
	}
	if r.placement {
		known.Placement = 0
	}
}

// pollResult is the result of applying the answer to a poll.
type pollResult struct {
	view    *View
	changed bool
	// snapshots names the sections that could not be applied.
	snapshots snapshotRequest
	// mismatch joins the errors of these sections; nil if there are none.
	mismatch error
}

// applyPoll applies the answer to a poll to the current view. The version of a
// section never decreases. A section whose update does not apply, or whose digest
// or checksum does not match, keeps its current state; the other sections are
// still updated.
func applyPoll(current *View, answer *protocol.PollControlResponse) pollResult {
	next := *current
	changed := false
	configuration, configurationError := configurationUpdate(answer).next(current.Configuration)
	if configuration != nil {
		next.Configuration, changed = configuration, true
	}
	membership, membershipError := membershipUpdate(answer).next(current.Membership)
	if membership != nil {
		next.Membership, changed = membership, true
	}
	backEnds, backEndsError := backEndUpdate(answer).next(current.BackEnds)
	if backEnds != nil {
		next.BackEnds, changed = backEnds, true
	}
	placement, placementError := placementUpdate(answer).next(current.Placement)
	if placement != nil {
		next.Placement, changed = placement, true
	}
	return pollResult{
		view:    &next,
		changed: changed,
		snapshots: snapshotRequest{
			configuration: configurationError != nil,
			membership:    membershipError != nil,
			backEnds:      backEndsError != nil,
			placement:     placementError != nil,
			unpacked: configurationError != nil && len(answer.GetPackedConfiguration()) > 0 ||
				membershipError != nil && len(answer.GetPackedMembership()) > 0 ||
				backEndsError != nil && len(answer.GetPackedBackEnds()) > 0 ||
				placementError != nil && len(answer.GetPackedPlacement()) > 0,
		},
		mismatch: errors.Join(configurationError, membershipError, backEndsError, placementError),
	}
}

// sectionUpdate is the part of an answer for one section: a full snapshot,
// packed or not, or a delta, or neither.
type sectionUpdate[Section, Delta proto.Message] struct {
	snapshot Section
	packed   []byte
	// unpacked is an empty message to unpack into.
	unpacked Section
	delta    Delta

	version      func(Section) uint64
	deltaVersion func(Delta) uint64
	// verify checks a full snapshot; nil if there is nothing to check.
	verify func(Section) error
	apply  func(current Section, delta Delta) (Section, error)
}

// next returns the updated section; nil without an error if the answer has nothing newer than the current one.
func (u sectionUpdate[Section, Delta]) next(current Section) (Section, error) {
	var none Section
	snapshot, err := u.unpack()
	if err != nil {
		return none, err
	}
	if u.version(snapshot) > u.version(current) {
		if u.verify != nil {
			if err := u.verify(snapshot); err != nil {
				return none, err
			}
		}
		return snapshot, nil
	}
	if u.deltaVersion(u.delta) > u.version(current) {
		return u.apply(current, u.delta)
	}
	return none, nil
}

func (u sectionUpdate[Section, Delta]) unpack() (Section, error) {
	if len(u.packed) == 0 {
		return u.snapshot, nil
	}
	return u.unpacked, packing.Unpack(u.packed, u.unpacked)
}

func configurationUpdate(
	answer *protocol.PollControlResponse,
) sectionUpdate[*protocol.Configuration, *protocol.ConfigurationDelta] {
	return sectionUpdate[*protocol.Configuration, *protocol.ConfigurationDelta]{
		snapshot: answer.GetConfiguration(), packed: answer.GetPackedConfiguration(), unpacked: &protocol.Configuration{},
		delta:   answer.GetConfigurationDelta(),
		version: (*protocol.Configuration).GetVersion, deltaVersion: (*protocol.ConfigurationDelta).GetVersion,
		verify: verifyDigests, apply: bundle.ApplyDelta,
	}
}

func membershipUpdate(
	answer *protocol.PollControlResponse,
) sectionUpdate[*protocol.MembershipView, *protocol.MembershipDelta] {
	return sectionUpdate[*protocol.MembershipView, *protocol.MembershipDelta]{
		snapshot: answer.GetMembership(), packed: answer.GetPackedMembership(), unpacked: &protocol.MembershipView{},
		delta:   answer.GetMembershipDelta(),
		version: (*protocol.MembershipView).GetVersion, deltaVersion: (*protocol.MembershipDelta).GetVersion,
		apply: views.ApplyMembership,
	}
}

func backEndUpdate(answer *protocol.PollControlResponse) sectionUpdate[*protocol.BackEndView, *protocol.BackEndDelta] {
	return sectionUpdate[*protocol.BackEndView, *protocol.BackEndDelta]{
		snapshot: answer.GetBackEnds(), packed: answer.GetPackedBackEnds(), unpacked: &protocol.BackEndView{},
		delta:   answer.GetBackEndsDelta(),
		version: (*protocol.BackEndView).GetVersion, deltaVersion: (*protocol.BackEndDelta).GetVersion,
		apply: views.ApplyBackEnds,
	}
}

func placementUpdate(
	answer *protocol.PollControlResponse,
) sectionUpdate[*protocol.Placement, *protocol.PlacementDelta] {
	return sectionUpdate[*protocol.Placement, *protocol.PlacementDelta]{
		snapshot: answer.GetPlacement(), packed: answer.GetPackedPlacement(), unpacked: &protocol.Placement{},
		delta:   answer.GetPlacementDelta(),
		version: (*protocol.Placement).GetEpoch, deltaVersion: (*protocol.PlacementDelta).GetEpoch,
		apply: views.ApplyPlacement,
	}
}

// verifyDigests compares the bundles with the digests that operators signed.
func verifyDigests(configuration *protocol.Configuration) error {
	active, candidate := configuration.GetActive(), configuration.GetCandidate()
	if active != nil && bundle.Digest(active) != configuration.GetActiveDigest() {
		return &DigestError{Version: configuration.GetVersion(), Section: "active"}
	}
	if candidate != nil && bundle.Digest(candidate) != configuration.GetCandidateDigest() {
		return &DigestError{Version: configuration.GetVersion(), Section: "candidate"}
	}
	return nil
}
