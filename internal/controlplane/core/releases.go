package core

import (
	"context"
	"fmt"
	"net/http"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// The HTTP routes of what control.go offers in Go.

const (
	baseParameter     = "base"
	sequenceParameter = "sequence"
)

// releaseBundle puts a bundle in force at once, signed off by the core itself.
func (s *Service) releaseBundle(ctx context.Context, request *operatorRequest) (*answer, error) {
	if !s.trustOperators {
		return nil, untrustedFailure()
	}
	expected, err := queryNumber(request, baseParameter, 0)
	if err != nil {
		return nil, err
	}
	submitted, err := readBundle(request)
	if err != nil {
		return nil, err
	}
	return s.order(ctx, "release_bundle", request, releaseCommand(submitted, expected))
}

// showRelease answers with the bundle in force as it is delivered to front nodes.
func (s *Service) showRelease(context.Context, *operatorRequest) (*answer, error) {
	active := s.machine.View().Configuration.GetActive()
	if active == nil {
		return nil, failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, "no bundle is in force")
	}
	return protoAnswer(active)
}

// announcedAnswer acknowledges what a back end said of itself.
type announcedAnswer struct {
	ID string `json:"id"`
}

func (s *Service) announceBackEnd(ctx context.Context, request *operatorRequest) (*answer, error) {
	sequence, err := queryNumber(request, sequenceParameter, 0)
	if err != nil {
		return nil, err
	}
	backEnd := &protocol.BackEnd{}
	if err := readBody(request, backEnd); err != nil {
		return nil, err
	}
	if named := backEnd.GetId(); named != "" && named != request.arguments[0] {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "the body names another back end than the path", failure.WithPath("id"))
	}
	backEnd.Id = request.arguments[0]
	if err := s.AnnounceBackEnd(ctx, backEnd, sequence); err != nil {
		return nil, err
	}
	return &answer{status: http.StatusOK, document: announcedAnswer{ID: backEnd.GetId()}}, nil
}

func (s *Service) removeBackEnd(ctx context.Context, request *operatorRequest) (*answer, error) {
	sequence, err := queryNumber(request, sequenceParameter, 0)
	if err != nil {
		return nil, err
	}
	if err := s.RemoveBackEnd(ctx, request.arguments[0], sequence); err != nil {
		return nil, err
	}
	return &answer{status: http.StatusOK, document: announcedAnswer{ID: request.arguments[0]}}, nil
}

func (s *Service) showStore(_ context.Context, request *operatorRequest) (*answer, error) {
	report, err := findStore(s.machine.View(), request.arguments[0])
	if err != nil {
		return nil, err
	}
	return &answer{status: http.StatusOK, document: report}, nil
}

func findStore(view *controlstate.View, name string) (controlstate.StoreReport, error) {
	for _, report := range view.ReportStores() {
		if report.Name == name {
			return report, nil
		}
	}
	return controlstate.StoreReport{}, failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, fmt.Sprintf("there is no store %q", name), failure.WithPath("store"))
}

func untrustedFailure() error {
	return failure.New(failure.Forbidden, protocol.Outcome_NOT_RUN, "the core signs nothing off by itself unless its settings trust operators")
}
