package operators

import (
	"context"

	"github.com/rosestand/rosestand/internal/protocol"
)

// sequenceParameter is the query parameter with the sequence that orders the announcements of one incarnation of a back
// end.
const sequenceParameter = "sequence"

func (h *Handler) listBackEnds(context.Context, *operatorRequest) (*response, error) {
	return protoResponse(h.control.View().BackEnds)
}

// backEndAcknowledgement is the response to the announcement or the removal of a back end.
type backEndAcknowledgement struct {
	ID string `json:"id"`
}

func (h *Handler) announceBackEnd(ctx context.Context, request *operatorRequest) (*response, error) {
	sequence, err := queryNumber(request, sequenceParameter, 0)
	if err != nil {
		return nil, err
	}
	backEnd := &protocol.BackEnd{}
	if err := readBody(request, backEnd); err != nil {
		return nil, err
	}
	id := request.arguments[0]
	if err := checkMatchesPath(backEnd.GetId(), id, "back end", "id"); err != nil {
		return nil, err
	}
	backEnd.Id = id
	if err := h.control.AnnounceBackEnd(ctx, backEnd, sequence); err != nil {
		return nil, err
	}
	return okResponse(backEndAcknowledgement{ID: id}), nil
}

func (h *Handler) removeBackEnd(ctx context.Context, request *operatorRequest) (*response, error) {
	sequence, err := queryNumber(request, sequenceParameter, 0)
	if err != nil {
		return nil, err
	}
	id := request.arguments[0]
	if err := h.control.RemoveBackEnd(ctx, id, sequence); err != nil {
		return nil, err
	}
	return okResponse(backEndAcknowledgement{ID: id}), nil
}

// drainAcknowledgement is the response to a drain, once no front node sends to the back end any more.
type drainAcknowledgement struct {
	ViewVersion uint64 `json:"view_version"`
}

func (h *Handler) drainBackEnd(ctx context.Context, request *operatorRequest) (*response, error) {
	command := &protocol.DrainBackEndCommand{}
	if err := readBody(request, command); err != nil {
		return nil, err
	}
	id := request.arguments[0]
	if err := checkMatchesPath(command.GetId(), id, "back end", "id"); err != nil {
		return nil, err
	}
	command.Id = id
	result, err := h.control.DrainBackEnd(ctx, request.orderID, command)
	if err := h.recordResult("drain_back_end", request, result, err); err != nil {
		return nil, err
	}
	return okResponse(drainAcknowledgement{ViewVersion: result.GetIndex()}), nil
}
