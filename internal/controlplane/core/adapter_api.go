package core

import (
	"context"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// The methods in this file and in announce.go are the control plane's interface for adapters in
// the same process. Each but AnnounceBackEnd is answered by the leader; at another member it fails
// so that IsNotLeader holds, and LeaderHTTPAddress says where to ask. Errors are
// of type *failure.Error; one with the outcome UNKNOWN may or may not have taken
// effect, and the same call may be made again at any member.

// IsNotLeader reports that the call was made at a member that does not lead and did nothing.
func IsNotLeader(err error) bool {
	return failure.Is(err, failure.NotLeader) || failure.Is(err, failure.NoLeader)
}

// IsConflict reports that a release was rejected because another version is in
// force than the one it was built on, or because its number has other content already.
func IsConflict(err error) bool {
	return failure.Is(err, failure.WrongBase) || failure.Is(err, failure.VersionTaken)
}

// IsInvalid reports that the request has faults; it is rejected whenever it is sent.
func IsInvalid(err error) bool {
	for _, code := range []failure.Code{
		failure.InvalidBundle, failure.InvalidOrder, failure.InvalidField, failure.MissingField,
		failure.InvalidBody, failure.UnknownField, failure.BodyTooLarge,
	} {
		if failure.Is(err, code) {
			return true
		}
	}
	return false
}

// IsUnknownStore reports that there is no store of the name.
func IsUnknownStore(err error) bool { return failure.Is(err, failure.NotFound) }

// IsTooFewStores reports that a store cannot be emptied because too few would be left.
func IsTooFewStores(err error) bool { return failure.Is(err, failure.TooFewStores) }

// LeaderHTTPAddress is the HTTP address (ip:port) of the leader as far as this
// process knows; empty when it knows none or leads itself.
func (s *Service) LeaderHTTPAddress() string {
	leader := s.consensus.Leader()
	if leader == nil || leader.GetId() == s.consensus.Status().GetId() {
		return ""
	}
	return leader.GetHttpAddress()
}

// ReleaseBundle puts a bundle, complete or partial, in force if the version in force is expectedVersion (zero: none).
// It returns nil only when the release is on the disks of a majority of the core and applied. The same release made
// again is acknowledged again, at any later time. Failures: IsConflict, IsInvalid, IsNotLeader; Forbidden unless the
// settings trust operators.
func (s *Service) ReleaseBundle(ctx context.Context, bundle *protocol.Bundle, expectedVersion uint64) error {
	if !s.trustOperators {
		return controllog.OperatorsNotTrusted()
	}
	_, err := s.proposer.ProposeAccepted(ctx, controllog.ReleaseBundle(bundle, expectedVersion))
	return err
}

// ActiveBundle is the bundle in force, nil when there is none. The read is linearizable; the bundle must not be
// changed.
func (s *Service) ActiveBundle(ctx context.Context) (*protocol.Bundle, error) {
	view, err := s.freshView(ctx)
	if err != nil {
		return nil, err
	}
	return view.Configuration.GetActive(), nil
}

// freshView is a view that holds all that was committed when it was called.
func (s *Service) freshView(ctx context.Context) (*controlstate.View, error) {
	if err := s.consensus.Barrier(ctx); err != nil {
		return nil, controllog.Failure(err)
	}
	return s.machine.View(), nil
}

// EmptyStore orders that all shards leave a store. An order given again changes nothing. Failures: IsUnknownStore,
// IsTooFewStores when fewer stores would be left than a shard has replicas, IsNotLeader. It does not insist on the
// spread of the replicas, as the operators' interface does: a platform that orders it by an adapter decides about its
// own machines, and its interface has no field to give the spread up with.
func (s *Service) EmptyStore(ctx context.Context, store string) error {
	_, err := s.proposer.ProposeAccepted(ctx, &protocol.Command{Body: &protocol.Command_EmptyStore{
		EmptyStore: &protocol.EmptyStoreCommand{Store: store, StoresToKeep: s.replicaCount},
	}})
	return err
}

// StoreState says how far the emptying of a store is.
type StoreState int

// States of a store. The numbers mean nothing outside the process.
const (
	// StoreServing is a store that nobody ordered to be emptied.
	StoreServing StoreState = iota + 1
	// StoreEmptying is a store that still holds shards or is needed to copy them.
	StoreEmptying
	// StoreEmptied is a store that may be taken away at once with its disk: every shard has all its replicas elsewhere.
	StoreEmptied
)

// StoreState reads how far the emptying of a store is, linearizably. Failures: IsUnknownStore, IsNotLeader.
func (s *Service) StoreState(ctx context.Context, store string) (StoreState, error) {
	view, err := s.freshView(ctx)
	if err != nil {
		return 0, err
	}
	report, err := view.ReportStore(store)
	if err != nil {
		return 0, err
	}
	switch report.State {
	case controlstate.StoreEmptying:
		return StoreEmptying, nil
	case controlstate.StoreEmptied, controlstate.StoreRetired:
		return StoreEmptied, nil
	default:
		return StoreServing, nil
	}
}
