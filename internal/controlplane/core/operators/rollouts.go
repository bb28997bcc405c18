package operators

import (
	"context"
	"encoding/json"

	"github.com/rosestand/rosestand/internal/protocol"
)

// rolloutDocument is the current roll-out, if any, with the measurements of its variants so far.
type rolloutDocument struct {
	Active   uint64            `json:"active"`
	Rollout  json.RawMessage   `json:"rollout,omitempty"`
	Variants []json.RawMessage `json:"arms"`
}

func (h *Handler) showRollout(ctx context.Context, _ *operatorRequest) (*response, error) {
	configuration := h.control.View().Configuration
	var sums []*protocol.ArmSample
	if configuration.GetRollout() != nil {
		var err error
		if sums, err = h.control.VariantSums(ctx); err != nil {
			return nil, err
		}
	}
	variants, err := encodeList(sums)
	if err != nil {
		return nil, err
	}
	document := rolloutDocument{Active: configuration.GetActive().GetVersion(), Variants: variants}
	if configuration.GetRollout() != nil {
		if document.Rollout, err = encode(configuration.GetRollout()); err != nil {
			return nil, err
		}
	}
	return okResponse(document), nil
}

func (h *Handler) setRollout(ctx context.Context, request *operatorRequest) (*response, error) {
	return h.rolloutOrder(ctx, "set_rollout", request, protocol.RolloutAction_ROLLOUT_SET)
}

func (h *Handler) promoteRollout(ctx context.Context, request *operatorRequest) (*response, error) {
	return h.rolloutOrder(ctx, "promote_rollout", request, protocol.RolloutAction_ROLLOUT_PROMOTE)
}

func (h *Handler) withdrawRollout(ctx context.Context, request *operatorRequest) (*response, error) {
	return h.rolloutOrder(ctx, "withdraw_rollout", request, protocol.RolloutAction_ROLLOUT_WITHDRAW)
}

func (h *Handler) rolloutOrder(
	ctx context.Context, kind string, request *operatorRequest, action protocol.RolloutAction,
) (*response, error) {
	rollout := &protocol.Rollout{}
	if err := readBody(request, rollout); err != nil {
		return nil, err
	}
	return h.order(ctx, kind, request, &protocol.Command{Body: &protocol.Command_SetRollout{
		SetRollout: &protocol.SetRolloutCommand{Action: action, Rollout: rollout, Reason: "operator " + request.operator},
	}})
}
