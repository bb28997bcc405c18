package operators

import (
	"context"
	"encoding/json"

	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
)

// nodeList is the membership view with the leases of its nodes as this leader has them.
type nodeList struct {
	Version uint64            `json:"version"`
	Nodes   []json.RawMessage `json:"nodes"`
	Leases  []leaseDocument   `json:"leases"`
}

type leaseDocument struct {
	Name        string           `json:"name"`
	Incarnation uint64           `json:"incarnation"`
	MillisLeft  int64            `json:"millis_left"`
	InForce     versionsDocument `json:"in_force"`
}

type versionsDocument struct {
	Configuration uint64 `json:"configuration"`
	Membership    uint64 `json:"membership"`
	BackEnds      uint64 `json:"back_ends"`
	Placement     uint64 `json:"placement"`
}

func (h *Handler) listNodes(ctx context.Context, _ *operatorRequest) (*response, error) {
	membership := h.control.View().Membership
	nodes, err := encodeList(membership.GetNodes())
	if err != nil {
		return nil, err
	}
	statuses, err := h.control.NodeLeases(ctx, membership.GetNodes())
	if err != nil {
		return nil, err
	}
	documents := make([]leaseDocument, len(statuses))
	for i, status := range statuses {
		documents[i] = describeLease(status)
	}
	return okResponse(nodeList{Version: membership.GetVersion(), Nodes: nodes, Leases: documents}), nil
}

func describeLease(status leases.Status) leaseDocument {
	return leaseDocument{
		Name: status.Holder.Name, Incarnation: status.Holder.Incarnation,
		MillisLeft: status.Remaining.Milliseconds(), InForce: versionsDocument(status.InForce),
	}
}

func (h *Handler) showCore(context.Context, *operatorRequest) (*response, error) {
	return protoResponse(h.consensus.Status())
}
