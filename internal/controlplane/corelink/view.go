package corelink

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/protocol"
)

// View is the cluster data that a node received. It is immutable; a section is nil until it was first received.
type View struct {
	Configuration *protocol.Configuration
	Membership    *protocol.MembershipView
	BackEnds      *protocol.BackEndView
	Placement     *protocol.Placement
}

// Versions returns the version of each section; zero for a section that was never received.
func (v *View) Versions() *protocol.ControlVersions {
	return &protocol.ControlVersions{
		Configuration: v.Configuration.GetVersion(),
		Membership:    v.Membership.GetVersion(),
		BackEnds:      v.BackEnds.GetVersion(),
		Placement:     v.Placement.GetEpoch(),
	}
}

// Authority is an immutable snapshot of the state of the lease.
type Authority struct {
	// Self describes this process with its current incarnation.
	Self *protocol.Node
	// ExpiresAt is when authority ends on the monotonic clock; zero without a lease.
	ExpiresAt time.Time
}

// Valid reports whether the node has authority now.
func (a *Authority) Valid() bool {
	return lease.ValidAt(time.Now(), a.ExpiresAt)
}
