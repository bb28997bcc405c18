package operators

import (
	"context"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// storeList is the progress of the placement and a report of each store.
type storeList struct {
	PlacementEpoch uint64                     `json:"placement_epoch"`
	Shards         int                        `json:"shards"`
	ShardsMoving   int                        `json:"shards_moving"`
	Stores         []controlstate.StoreReport `json:"stores"`
}

func (h *Handler) listStores(context.Context, *operatorRequest) (*response, error) {
	view := h.control.View()
	moving := 0
	for _, shard := range view.Placement.GetShards() {
		if len(shard.GetNext()) > 0 {
			moving++
		}
	}
	return okResponse(storeList{
		PlacementEpoch: view.Placement.GetEpoch(), Shards: len(view.Placement.GetShards()),
		ShardsMoving: moving, Stores: view.ReportStores(),
	}), nil
}

func (h *Handler) showStore(_ context.Context, request *operatorRequest) (*response, error) {
	report, err := h.control.View().ReportStore(request.arguments[0])
	if err != nil {
		return nil, err
	}
	return okResponse(report), nil
}

func (h *Handler) emptyStore(ctx context.Context, request *operatorRequest) (*response, error) {
	command := &protocol.EmptyStoreCommand{}
	if err := readBody(request, command); err != nil {
		return nil, err
	}
	store := request.arguments[0]
	if err := checkMatchesPath(command.GetStore(), store, "store", "store"); err != nil {
		return nil, err
	}
	command.Store = store
	if command.KeepSpread == nil {
		command.KeepSpread = new(true)
	}
	return h.order(ctx, "empty_store", request, &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: command}})
}

func (h *Handler) retireStore(ctx context.Context, request *operatorRequest) (*response, error) {
	return h.order(ctx, "retire_store", request, &protocol.Command{
		Body: &protocol.Command_RetireStore{RetireStore: &protocol.RetireStoreCommand{Store: request.arguments[0]}},
	})
}
