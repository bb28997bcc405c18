package core

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// order proposes an operator's command under its order id and answers with the CommandResult.
func (s *Service) order(ctx context.Context, kind string, request *operatorRequest, command *protocol.Command) (*answer, error) {
	command.OrderId = request.orderID
	result, err := s.proposer.Propose(ctx, command)
	if err != nil {
		s.metrics.orders.WithLabelValues(kind, failure.From(err).GetCode()).Inc()
		return nil, err
	}
	if err := s.orderResult(kind, request, result); err != nil {
		return nil, err
	}
	return protoAnswer(result)
}

func (s *Service) orderResult(kind string, request *operatorRequest, result *protocol.CommandResult) error {
	if !result.GetAccepted() {
		s.metrics.orders.WithLabelValues(kind, result.GetRefusal().GetCode()).Inc()
		return &rejectedError{refusal: result.GetRefusal()}
	}
	s.metrics.orders.WithLabelValues(kind, "accepted").Inc()
	s.logger.Info("order accepted", "kind", kind, "operator", request.operator, "order", request.orderID, "index", result.GetIndex())
	return nil
}

// readBody parses the JSON body into a message; an empty body leaves it as it is.
func readBody(request *operatorRequest, message proto.Message) error {
	content, err := io.ReadAll(request.http.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return failure.New(failure.BodyTooLarge, protocol.Outcome_NOT_RUN, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	case err != nil:
		return failure.New(failure.InvalidBody, protocol.Outcome_NOT_RUN, "the body cannot be read: "+err.Error())
	case len(bytes.TrimSpace(content)) == 0:
		return nil
	}
	return bundle.ParseMessage(content, message)
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "a version is a number from 1", failure.WithPath("version"))
	}
	return version, nil
}

// readBundle reads a bundle from the body. Its version is that of the path, which the body may repeat.
func readBundle(request *operatorRequest) (*protocol.Bundle, error) {
	version, err := parseVersion(request.arguments[0])
	if err != nil {
		return nil, err
	}
	submitted := &protocol.Bundle{}
	if err := readBody(request, submitted); err != nil {
		return nil, err
	}
	if err := checkVersion(submitted.GetVersion(), version); err != nil {
		return nil, err
	}
	submitted.Version = version
	return submitted, nil
}

// checkVersion refuses a body that names another version than the path; zero names none.
func checkVersion(named, version uint64) error {
	if named == 0 || named == version {
		return nil
	}
	return failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "the body names another version than the path", failure.WithPath("version"))
}

func (s *Service) putBundle(ctx context.Context, request *operatorRequest) (*answer, error) {
	submitted, err := readBundle(request)
	if err != nil {
		return nil, err
	}
	return s.order(ctx, "put_bundle", request, &protocol.Command{
		Body: &protocol.Command_PutBundle{PutBundle: &protocol.PutBundleCommand{Bundle: submitted}},
	})
}

func (s *Service) signBundle(ctx context.Context, request *operatorRequest) (*answer, error) {
	version, err := parseVersion(request.arguments[0])
	if err != nil {
		return nil, err
	}
	sign := &protocol.SignBundleCommand{}
	if err := readBody(request, sign); err != nil {
		return nil, err
	}
	if err := checkVersion(sign.GetVersion(), version); err != nil {
		return nil, err
	}
	for path, value := range map[string]string{"key_name": sign.GetKeyName(), "signature": sign.GetSignature()} {
		if value == "" {
			return nil, failure.New(failure.MissingField, protocol.Outcome_NOT_RUN, "must be set", failure.WithPath(path))
		}
	}
	sign.Version = version
	return s.order(ctx, "sign_bundle", request, &protocol.Command{Body: &protocol.Command_SignBundle{SignBundle: sign}})
}

func (s *Service) setRollout(ctx context.Context, request *operatorRequest) (*answer, error) {
	return s.rolloutOrder(ctx, "set_rollout", request, protocol.RolloutAction_ROLLOUT_SET)
}

func (s *Service) promoteRollout(ctx context.Context, request *operatorRequest) (*answer, error) {
	return s.rolloutOrder(ctx, "promote_rollout", request, protocol.RolloutAction_ROLLOUT_PROMOTE)
}

func (s *Service) withdrawRollout(ctx context.Context, request *operatorRequest) (*answer, error) {
	return s.rolloutOrder(ctx, "withdraw_rollout", request, protocol.RolloutAction_ROLLOUT_WITHDRAW)
}

func (s *Service) rolloutOrder(ctx context.Context, kind string, request *operatorRequest, action protocol.RolloutAction) (*answer, error) {
	rollout := &protocol.Rollout{}
	if err := readBody(request, rollout); err != nil {
		return nil, err
	}
	return s.order(ctx, kind, request, &protocol.Command{Body: &protocol.Command_SetRollout{
		SetRollout: &protocol.SetRolloutCommand{Action: action, Rollout: rollout, Reason: "operator " + request.operator},
	}})
}

func (s *Service) emptyStore(ctx context.Context, request *operatorRequest) (*answer, error) {
	command := &protocol.EmptyStoreCommand{}
	if err := readBody(request, command); err != nil {
		return nil, err
	}
	if named := command.GetStore(); named != "" && named != request.arguments[0] {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "the body names another store than the path", failure.WithPath("store"))
	}
	command.Store = request.arguments[0]
	if command.KeepSpread == nil {
		command.KeepSpread = new(true)
	}
	return s.order(ctx, "empty_store", request, &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: command}})
}

func (s *Service) retireStore(ctx context.Context, request *operatorRequest) (*answer, error) {
	return s.order(ctx, "retire_store", request, &protocol.Command{
		Body: &protocol.Command_RetireStore{RetireStore: &protocol.RetireStoreCommand{Store: request.arguments[0]}},
	})
}

// drainAnswer is the acknowledgement that no front node sends to the back end any more.
type drainAnswer struct {
	ViewVersion uint64 `json:"view_version"`
}

func (s *Service) drainBackEndOrder(ctx context.Context, request *operatorRequest) (*answer, error) {
	command := &protocol.DrainBackEndCommand{}
	if err := readBody(request, command); err != nil {
		return nil, err
	}
	if named := command.GetId(); named != "" && named != request.arguments[0] {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "the body names another back end than the path", failure.WithPath("id"))
	}
	command.Id = request.arguments[0]
	result, err := s.drainBackEnd(ctx, request.orderID, command)
	if err != nil {
		s.metrics.orders.WithLabelValues("drain_back_end", failure.From(err).GetCode()).Inc()
		return nil, err
	}
	if err := s.orderResult("drain_back_end", request, result); err != nil {
		return nil, err
	}
	return &answer{status: http.StatusOK, document: drainAnswer{ViewVersion: result.GetIndex()}}, nil
}
