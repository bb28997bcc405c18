package core

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/core/delivery"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/protocol"
)

// pollAccess adapts the service to delivery.ControlPlane.
type pollAccess struct{ *Service }

var _ delivery.ControlPlane = pollAccess{}

// Barrier implements delivery.ControlPlane.
func (a pollAccess) Barrier(ctx context.Context) error { return a.consensus.Barrier(ctx) }

// Leadership implements delivery.ControlPlane.
func (a pollAccess) Leadership() (lost <-chan struct{}, isLeader bool) {
	return a.owner.currentLeadership()
}

// AcknowledgeVersions implements delivery.ControlPlane. It drops the update while the owner's queue is full; the next
// renewal of the lease acknowledges the same versions.
func (a pollAccess) AcknowledgeVersions(holder leases.Holder, active *protocol.ControlVersions) {
	select {
	case a.owner.queue <- func(now time.Time) { a.owner.acknowledgeVersions(holder, active, now) }:
	default:
	}
}
