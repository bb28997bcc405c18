package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Consensus is what the control plane needs of its replica; *replica.Replica implements it.
type Consensus interface {
	// Propose returns the result of a command once it is committed and applied.
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	// Barrier returns once all that was committed when it was called is applied here.
	Barrier(ctx context.Context) error
	// IsLeader is true only while this process leads and its leader lease runs.
	IsLeader() bool
	// LeaderSince is when the present leadership of this process began; zero when it does not lead.
	LeaderSince() time.Time
	// Leader is the member that leads as far as this process knows, or nil.
	Leader() *protocol.CoreMember
	Status() *protocol.CoreStatusResponse
	ServeWire(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
	// Identify asks the core process at an internal address who it is.
	Identify(ctx context.Context, address string) (*protocol.CoreMember, error)
	// Admit adds a member; adding one that is there succeeds.
	Admit(ctx context.Context, member *protocol.CoreMember) error
	// RemoveMember removes the member of that name or id; removing one that was removed before succeeds.
	RemoveMember(ctx context.Context, name string) error
}
