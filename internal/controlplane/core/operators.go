package core

import (
	"context"
	"net/http"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/controlplane/core/operators"
	"github.com/rosestand/rosestand/internal/protocol"
)

// operatorAccess adapts the service to operators.ControlPlane.
type operatorAccess struct{ *Service }

var _ operators.ControlPlane = operatorAccess{}

// ServeHTTP handles a request to the operators' HTTP interface.
func (s *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.operators.ServeHTTP(writer, request)
}

// View implements operators.ControlPlane.
func (a operatorAccess) View() *controlstate.View { return a.machine.View() }

// VariantSums implements operators.ControlPlane.
func (a operatorAccess) VariantSums(ctx context.Context) ([]*protocol.ArmSample, error) {
	var sums []*protocol.ArmSample
	if !a.owner.execute(ctx, func(time.Time) { sums = a.owner.variants.Sums() }) {
		return nil, controllog.Interrupted(ctx)
	}
	return sums, nil
}

// NodeLeases implements operators.ControlPlane.
func (a operatorAccess) NodeLeases(ctx context.Context, nodes []*protocol.Node) ([]leases.Status, error) {
	var statuses []leases.Status
	executed := a.owner.execute(ctx, func(now time.Time) {
		for _, node := range nodes {
			statuses = append(statuses, a.owner.nodes.Status(leases.NodeHolder(node), now))
		}
	})
	if !executed {
		return nil, controllog.Interrupted(ctx)
	}
	return statuses, nil
}

// DrainBackEnd implements operators.ControlPlane.
func (a operatorAccess) DrainBackEnd(
	ctx context.Context, orderID string, command *protocol.DrainBackEndCommand,
) (*protocol.CommandResult, error) {
	return a.drainBackEnd(ctx, orderID, command)
}
