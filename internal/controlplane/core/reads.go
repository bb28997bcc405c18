package core

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const defaultBundlePage = 200

// bundlesAnswer lists bundle versions, newest first.
type bundlesAnswer struct {
	Newest    uint64            `json:"newest"`
	Active    uint64            `json:"active"`
	Candidate uint64            `json:"candidate,omitempty"`
	Bundles   []json.RawMessage `json:"bundles"`
}

func (s *Service) listBundles(_ context.Context, request *operatorRequest) (*answer, error) {
	limit, err := queryNumber(request, "limit", defaultBundlePage)
	if err != nil {
		return nil, err
	}
	before, err := queryNumber(request, "before", 0)
	if err != nil {
		return nil, err
	}
	view := s.machine.View()
	statuses, err := encodeList(view.BundleStatuses(before, int(min(limit, 10_000))))
	if err != nil {
		return nil, err
	}
	return &answer{status: http.StatusOK, document: bundlesAnswer{
		Newest: view.Newest, Active: view.Configuration.GetActive().GetVersion(),
		Candidate: view.Configuration.GetCandidate().GetVersion(), Bundles: statuses,
	}}, nil
}

func queryNumber(request *operatorRequest, name string, fallback uint64) (uint64, error) {
	text := request.http.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "must be a number", failure.WithPath(name))
	}
	return number, nil
}

// bundleAnswer is one version: its status and, while it is kept, the merged bundle.
type bundleAnswer struct {
	Status json.RawMessage `json:"status"`
	Bundle json.RawMessage `json:"bundle,omitempty"`
}

func (s *Service) showBundle(_ context.Context, request *operatorRequest) (*answer, error) {
	record, err := findBundle(s.machine.View(), request.arguments[0])
	if err != nil {
		return nil, err
	}
	status, err := encode(record.Status)
	if err != nil {
		return nil, err
	}
	document := bundleAnswer{Status: status}
	if record.Merged != nil {
		if document.Bundle, err = encode(record.Merged); err != nil {
			return nil, err
		}
	}
	return &answer{status: http.StatusOK, document: document}, nil
}

// findBundle takes a number or one of newest, active and candidate.
func findBundle(view *controlstate.View, text string) (*controlstate.BundleRecord, error) {
	var version uint64
	switch text {
	case "newest":
		version = view.Newest
	case "active":
		version = view.Configuration.GetActive().GetVersion()
	case "candidate":
		version = view.Configuration.GetCandidate().GetVersion()
	default:
		number, err := parseVersion(text)
		if err != nil {
			return nil, err
		}
		version = number
	}
	record := view.Bundle(version)
	if record == nil {
		return nil, failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, "there is no bundle "+text, failure.WithPath("version"))
	}
	return record, nil
}

func (s *Service) diffBundles(_ context.Context, request *operatorRequest) (*answer, error) {
	var sides [2]*protocol.Bundle
	for i, text := range request.arguments {
		record, err := findBundle(s.machine.View(), text)
		if err != nil {
			return nil, err
		}
		if record.Merged == nil {
			return nil, failure.New(failure.NotFound, protocol.Outcome_NOT_RUN,
				fmt.Sprintf("the content of bundle %s is not kept any more", text), failure.WithPath("version"))
		}
		sides[i] = record.Merged
	}
	return &answer{status: http.StatusOK, document: bundle.Compare(sides[0], sides[1])}, nil
}

// rolloutAnswer is the roll-out under way, if any, and what its arms measured so far.
type rolloutAnswer struct {
	Active   uint64            `json:"active"`
	Rollout  json.RawMessage   `json:"rollout,omitempty"`
	Variants []json.RawMessage `json:"arms"`
}

func (s *Service) showRollout(ctx context.Context, _ *operatorRequest) (*answer, error) {
	configuration := s.machine.View().Configuration
	var samples []*protocol.ArmSample
	if configuration.GetRollout() != nil {
		var listed []*protocol.ArmSample
		if !s.owner.execute(ctx, func(time.Time) { listed = s.owner.variants.Sums() }) {
			return nil, controllog.Interrupted(ctx)
		}
		samples = listed
	}
	variants, err := encodeList(samples)
	if err != nil {
		return nil, err
	}
	document := rolloutAnswer{Active: configuration.GetActive().GetVersion(), Variants: variants}
	if configuration.GetRollout() != nil {
		if document.Rollout, err = encode(configuration.GetRollout()); err != nil {
			return nil, err
		}
	}
	return &answer{status: http.StatusOK, document: document}, nil
}

// nodesAnswer is the membership view with what this leader knows of each lease.
type nodesAnswer struct {
	Version uint64            `json:"version"`
	Nodes   []json.RawMessage `json:"nodes"`
	Leases  []leaseAnswer     `json:"leases"`
}

type leaseAnswer struct {
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"`
	MillisLeft  int64          `json:"millis_left"`
	InForce     versionsAnswer `json:"in_force"`
}

type versionsAnswer struct {
	Configuration uint64 `json:"configuration"`
	Membership    uint64 `json:"membership"`
	BackEnds      uint64 `json:"back_ends"`
	Placement     uint64 `json:"placement"`
}

func (s *Service) listNodes(ctx context.Context, _ *operatorRequest) (*answer, error) {
	membership := s.machine.View().Membership
	nodes, err := encodeList(membership.GetNodes())
	if err != nil {
		return nil, err
	}
	var statuses []leaseAnswer
	if !s.owner.execute(ctx, func(now time.Time) { statuses = s.owner.describeLeases(membership, now) }) {
		return nil, controllog.Interrupted(ctx)
	}
	return &answer{status: http.StatusOK, document: nodesAnswer{Version: membership.GetVersion(), Nodes: nodes, Leases: statuses}}, nil
}

func (o *owner) describeLeases(membership *protocol.MembershipView, now time.Time) []leaseAnswer {
	statuses := make([]leaseAnswer, 0, len(membership.GetNodes()))
	for _, node := range membership.GetNodes() {
		described := leaseAnswer{
			Name: node.GetName(), Incarnation: node.GetIncarnation(),
			MillisLeft: o.nodes.Expiry(leases.NodeHolder(node)).Sub(now).Milliseconds(),
		}
		if lease := o.nodes.Find(leases.NodeHolder(node)); lease != nil {
			described.InForce = versionsAnswer{
				Configuration: lease.InForce().Configuration, Membership: lease.InForce().Membership,
				BackEnds: lease.InForce().BackEnds, Placement: lease.InForce().Placement,
			}
		}
		statuses = append(statuses, described)
	}
	return statuses
}

func (s *Service) listBackEnds(context.Context, *operatorRequest) (*answer, error) {
	return protoAnswer(s.machine.View().BackEnds)
}

// storesAnswer says how far the placement is and what each store holds.
type storesAnswer struct {
	PlacementEpoch uint64                     `json:"placement_epoch"`
	Shards         int                        `json:"shards"`
	ShardsMoving   int                        `json:"shards_moving"`
	Stores         []controlstate.StoreReport `json:"stores"`
}

func (s *Service) listStores(context.Context, *operatorRequest) (*answer, error) {
	view := s.machine.View()
	moving := 0
	for _, shard := range view.Placement.GetShards() {
		if len(shard.GetNext()) > 0 {
			moving++
		}
	}
	return &answer{status: http.StatusOK, document: storesAnswer{
		PlacementEpoch: view.Placement.GetEpoch(), Shards: len(view.Placement.GetShards()),
		ShardsMoving: moving, Stores: view.ReportStores(),
	}}, nil
}

func (s *Service) showCore(context.Context, *operatorRequest) (*answer, error) {
	return protoAnswer(s.consensus.Status())
}
