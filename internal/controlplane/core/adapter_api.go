package core

import (
	"context"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// The methods in this file and in announce.go are the control plane's interface for adapters in
// the same process. Only the leader serves them, except for AnnounceBackEnd; a follower returns an
// error for which IsNotLeader is true, and LeaderHTTPAddress returns the address to retry at.
// Errors are of type *failure.Error. A call that failed with the outcome UNKNOWN may or may not
// have taken effect; it may be repeated at any member.

// IsNotLeader reports whether the call failed because this member is not the leader. Such a call had no effect.
func IsNotLeader(err error) bool {
	return failure.Is(err, failure.NotLeader) || failure.Is(err, failure.NoLeader)
}

// IsConflict reports whether a release was rejected because the active version is not the one that
// it was built on, or because its version number is taken by a bundle with other content.
func IsConflict(err error) bool {
	return failure.Is(err, failure.WrongBase) || failure.Is(err, failure.VersionTaken)
}

// IsInvalid reports whether the request itself is invalid, so that repeating it fails again.
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

// IsUnknownStore reports whether no store has the requested name.
func IsUnknownStore(err error) bool { return failure.Is(err, failure.NotFound) }

// IsTooFewStores reports whether a store cannot be emptied because too few stores would remain.
func IsTooFewStores(err error) bool { return failure.Is(err, failure.TooFewStores) }

// LeaderHTTPAddress returns the HTTP address (ip:port) of the leader known to this process. It is
// empty if no leader is known or this process leads.
func (s *Service) LeaderHTTPAddress() string {
	leader := s.consensus.Leader()
	if leader == nil || leader.GetId() == s.consensus.Status().GetId() {
		return ""
	}
	return leader.GetHttpAddress()
}

// ReleaseBundle activates a bundle, complete or partial, if the active version is expectedVersion (zero: none). It
// returns nil only once the release is on the disks of a majority of the core and applied. Releases are idempotent:
// the same release is acknowledged again at any later time. Failures: IsConflict, IsInvalid, IsNotLeader; Forbidden
// unless the settings trust operators.
func (s *Service) ReleaseBundle(ctx context.Context, bundle *protocol.Bundle, expectedVersion uint64) error {
	if !s.trustOperators {
		return controllog.OperatorsNotTrusted()
	}
	_, err := s.proposer.ProposeAccepted(ctx, controllog.ReleaseBundle(bundle, expectedVersion))
	return err
}

// ActiveBundle returns the active bundle, or nil if there is none. The read is linearizable; the caller must not modify
// the bundle.
func (s *Service) ActiveBundle(ctx context.Context) (*protocol.Bundle, error) {
	view, err := s.freshView(ctx)
	if err != nil {
		return nil, err
	}
	return view.Configuration.GetActive(), nil
}

// freshView returns a view that includes every command committed before the call.
func (s *Service) freshView(ctx context.Context) (*controlstate.View, error) {
	if err := s.consensus.Barrier(ctx); err != nil {
		return nil, controllog.Failure(err)
	}
	return s.machine.View(), nil
}

// EmptyStore orders that all shards be moved off a store. Repeating the order changes nothing. Failures:
// IsUnknownStore, IsTooFewStores if fewer stores would remain than a shard has replicas, IsNotLeader. Unlike the
// operators' interface it does not require that the replicas stay spread over zones: a platform that empties a store
// through an adapter decides about its own machines, and its interface has no field to waive the requirement.
func (s *Service) EmptyStore(ctx context.Context, store string) error {
	_, err := s.proposer.ProposeAccepted(ctx, &protocol.Command{Body: &protocol.Command_EmptyStore{
		EmptyStore: &protocol.EmptyStoreCommand{Store: store, StoresToKeep: s.replicaCount},
	}})
	return err
}

// StoreState is the progress of emptying a store.
type StoreState int

// States of a store. The numeric values are not used outside the process.
const (
	// StoreServing is the state of a store with no order to empty it.
	StoreServing StoreState = iota + 1
	// StoreEmptying is the state of a store that still holds shards or is needed to copy them.
	StoreEmptying
	// StoreEmptied is the state of a store that may be removed at once with its disk: every shard has all its replicas on
	// other stores.
	StoreEmptied
)

// StoreState returns the progress of emptying a store. The read is linearizable. Failures: IsUnknownStore, IsNotLeader.
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
