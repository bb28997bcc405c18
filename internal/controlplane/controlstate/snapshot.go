package controlstate

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Snapshot encodes the complete state into one message. Merged bundles are encoded as partial bundles on the version
// before them where that is possible, and the results of orders without the digests that the bundle statuses have.
func (s *State) Snapshot() *protocol.ControlState {
	snapshot := &protocol.ControlState{
		Index:         s.index,
		ClusterId:     s.clusterID,
		Configuration: s.configuration,
		Membership:    s.membership,
		BackEnds:      s.backEnds,
		Placement:     s.placement,
		Steps:         s.steps,
		FirstKeys:     s.firstKeys,
		MemberOrders:  s.encodeMemberOrders(),
	}
	s.bundles.Root().Walk(func(_ []byte, record *BundleRecord) bool {
		snapshot.Bundles = append(snapshot.Bundles, record.Status)
		return false
	})
	snapshot.MergedBundles = s.encodeMergedBundles()
	for _, id := range slices.Sorted(maps.Keys(s.orders)) {
		entry := s.orders[id]
		snapshot.Orders = append(snapshot.Orders, &protocol.OrderRecord{
			OrderId: id, Result: withoutDigests(entry.result), ContentDigest: entry.digest[:],
		})
	}
	for _, id := range slices.Sorted(maps.Keys(s.drained)) {
		snapshot.Drained = append(snapshot.Drained, &protocol.DrainedBackEnd{Id: id, Incarnation: s.drained[id]})
	}
	snapshot.Announcements = s.announcements.list()
	return snapshot
}

func (s *State) encodeMergedBundles() []*protocol.Bundle {
	var encoded []*protocol.Bundle
	var previous *protocol.Bundle
	for _, version := range s.retainedVersions {
		merged := s.bundleRecord(version).Merged
		stored := merged
		if previous != nil {
			if step, possible := bundle.MakePartial(previous, merged); possible {
				stored = step
			}
		}
		encoded = append(encoded, stored)
		previous = merged
	}
	return encoded
}

// withoutDigests returns a result without the digests and the signature that the status of its bundle has.
func withoutDigests(result *protocol.CommandResult) *protocol.CommandResult {
	if result.GetBundle() == nil {
		return result
	}
	short := proto.CloneOf(result)
	short.Bundle.SubmittedDigest, short.Bundle.MergedDigest, short.Bundle.Signature = "", "", ""
	return short
}

// restoreDigests is the inverse of withoutDigests. It changes the result in place.
func (s *State) restoreDigests(result *protocol.CommandResult) *protocol.CommandResult {
	record := s.bundleRecord(result.GetBundle().GetVersion())
	if result.GetBundle() == nil || record == nil {
		return result
	}
	result.Bundle.SubmittedDigest = record.Status.GetSubmittedDigest()
	result.Bundle.MergedDigest = record.Status.GetMergedDigest()
	if result.Bundle.GetState() != protocol.BundleState_ACCEPTED {
		result.Bundle.Signature = record.Status.GetSignature()
	}
	return result
}

// SnapshotError reports that a snapshot is inconsistent.
type SnapshotError struct {
	Reason string
}

// Error implements error.
func (e *SnapshotError) Error() string { return "inconsistent control state snapshot: " + e.Reason }

// Restore returns the state of a snapshot. The error is a *SnapshotError.
func Restore(snapshot *protocol.ControlState) (*State, error) {
	s := New()
	s.index = snapshot.GetIndex()
	s.clusterID = snapshot.GetClusterId()
	s.steps = snapshot.GetSteps()
	s.firstKeys = snapshot.GetFirstKeys()
	s.memberOrders = decodeMemberOrders(snapshot.GetMemberOrders())
	s.membership = valueOrEmpty(snapshot.GetMembership())
	s.backEnds = valueOrEmpty(snapshot.GetBackEnds())
	s.placement = valueOrEmpty(snapshot.GetPlacement())
	s.nodeHistory = views.NewHistory(s.membership.GetVersion())
	s.backEndHistory = views.NewHistory(s.backEnds.GetVersion())
	for _, status := range snapshot.GetBundles() {
		s.setBundleRecord(status.GetVersion(), &BundleRecord{Status: status})
		s.newest = max(s.newest, status.GetVersion())
	}
	if err := s.decodeMergedBundles(snapshot.GetMergedBundles()); err != nil {
		return nil, err
	}
	s.configuration = s.shareMergedBundles(valueOrEmpty(snapshot.GetConfiguration()))
	for _, order := range snapshot.GetOrders() {
		if len(order.GetContentDigest()) != len(contentDigest{}) {
			return nil, &SnapshotError{Reason: fmt.Sprintf("content digest of order %q has %d bytes, want %d",
				order.GetOrderId(), len(order.GetContentDigest()), len(contentDigest{}))}
		}
		s.orders[order.GetOrderId()] = &orderEntry{
			digest: contentDigest(order.GetContentDigest()),
			result: s.restoreDigests(order.GetResult()),
		}
	}
	for _, drained := range snapshot.GetDrained() {
		s.drained[drained.GetId()] = drained.GetIncarnation()
	}
	for _, last := range snapshot.GetAnnouncements() {
		s.announcements = s.announcements.with(last)
	}
	return s, nil
}

func valueOrEmpty[T any](message *T) *T {
	if message == nil {
		return new(T)
	}
	return message
}

// decodeMergedBundles restores the merged bundles. It verifies the digest of the last one only, which depends on the
// partial bundles that it was merged from.
func (s *State) decodeMergedBundles(stored []*protocol.Bundle) error {
	var previous *protocol.Bundle
	for _, step := range stored {
		merged := bundle.Merge(previous, step)
		record := s.bundleRecord(merged.GetVersion())
		if record == nil || (step.GetPartial() && step.GetBaseVersion() != previous.GetVersion()) {
			return &SnapshotError{Reason: fmt.Sprintf(
				"merged bundle %d has no status or is not based on bundle %d before it",
				merged.GetVersion(), previous.GetVersion(),
			)}
		}
		s.setBundleRecord(merged.GetVersion(), &BundleRecord{Status: record.Status, Merged: merged})
		s.retainedVersions = append(s.retainedVersions, merged.GetVersion())
		previous = merged
	}
	if previous != nil && bundle.Digest(previous) != s.bundleRecord(previous.GetVersion()).Status.GetMergedDigest() {
		return &SnapshotError{
			Reason: fmt.Sprintf("digest of merged bundle %d differs from its status", previous.GetVersion()),
		}
	}
	return nil
}

// shareMergedBundles returns a configuration that shares the merged bundles of the records.
func (s *State) shareMergedBundles(stored *protocol.Configuration) *protocol.Configuration {
	configuration := &protocol.Configuration{
		Version: stored.GetVersion(),
		Active:  stored.GetActive(), ActiveDigest: stored.GetActiveDigest(),
		Candidate: stored.GetCandidate(), CandidateDigest: stored.GetCandidateDigest(),
		Rollout: stored.GetRollout(),
	}
	if record := s.bundleRecord(stored.GetActive().GetVersion()); record != nil && record.Merged != nil {
		configuration.Active = record.Merged
	}
	if record := s.bundleRecord(stored.GetCandidate().GetVersion()); record != nil && record.Merged != nil {
		configuration.Candidate = record.Merged
	}
	return configuration
}
