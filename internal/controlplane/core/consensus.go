package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Consensus is the part of the replica that the control plane uses; *replica.Replica implements it.
type Consensus interface {
	// Propose returns the result of a command once it is committed and applied.
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	// Barrier returns once every command committed before the call is applied on this member.
	Barrier(ctx context.Context) error
	// IsLeader reports whether this process leads and its leader lease has not expired.
	IsLeader() bool
	// LeaderSince returns when the current leadership of this process began, or the zero time if it does not lead.
	LeaderSince() time.Time
	// Leader returns the leader known to this process, or nil.
	Leader() *protocol.CoreMember
	Status() *protocol.CoreStatusResponse
	ServeWire(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
	// Identify requests the identity of the core process at an internal address.
	Identify(ctx context.Context, address string) (*protocol.CoreMember, error)
	// Admit adds a member; adding a present member succeeds.
	Admit(ctx context.Context, member *protocol.CoreMember) error
	// RemoveMember removes the member with that name or id; removing a member again succeeds.
	RemoveMember(ctx context.Context, name string) error
}
