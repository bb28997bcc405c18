package operators

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	defaultBundlePage = 200
	maxBundlePage     = 10_000
	// baseParameter is the query parameter with the active version that a release replaces.
	baseParameter = "base"
)

// bundleList is a page of bundle versions, newest first.
type bundleList struct {
	Newest    uint64            `json:"newest"`
	Active    uint64            `json:"active"`
	Candidate uint64            `json:"candidate,omitempty"`
	Bundles   []json.RawMessage `json:"bundles"`
}

func (h *Handler) listBundles(_ context.Context, request *operatorRequest) (*response, error) {
	limit, err := queryNumber(request, "limit", defaultBundlePage)
	if err != nil {
		return nil, err
	}
	before, err := queryNumber(request, "before", 0)
	if err != nil {
		return nil, err
	}
	view := h.control.View()
	statuses, err := encodeList(view.BundleStatuses(before, int(min(limit, maxBundlePage))))
	if err != nil {
		return nil, err
	}
	return okResponse(bundleList{
		Newest: view.Newest, Active: view.Configuration.GetActive().GetVersion(),
		Candidate: view.Configuration.GetCandidate().GetVersion(), Bundles: statuses,
	}), nil
}

// bundleDocument is one bundle version: its status and, while it is retained, the merged bundle.
type bundleDocument struct {
	Status json.RawMessage `json:"status"`
	Bundle json.RawMessage `json:"bundle,omitempty"`
}

func (h *Handler) showBundle(_ context.Context, request *operatorRequest) (*response, error) {
	record, err := findBundle(h.control.View(), request.arguments[0])
	if err != nil {
		return nil, err
	}
	status, err := encode(record.Status)
	if err != nil {
		return nil, err
	}
	document := bundleDocument{Status: status}
	if record.Merged != nil {
		if document.Bundle, err = encode(record.Merged); err != nil {
			return nil, err
		}
	}
	return okResponse(document), nil
}

// findBundle returns the bundle that text identifies: a version number, or "newest", "active" or "candidate".
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
		return nil, notFound("version", "there is no bundle "+text)
	}
	return record, nil
}

func (h *Handler) diffBundles(_ context.Context, request *operatorRequest) (*response, error) {
	var bundles [2]*protocol.Bundle
	for i, text := range request.arguments {
		record, err := findBundle(h.control.View(), text)
		if err != nil {
			return nil, err
		}
		if record.Merged == nil {
			return nil, notFound("version", fmt.Sprintf("the content of bundle %s is not kept any more", text))
		}
		bundles[i] = record.Merged
	}
	return okResponse(bundle.Compare(bundles[0], bundles[1])), nil
}

// readBundle reads a bundle from the body. Its version is taken from the path; the body may omit or repeat it.
func readBundle(request *operatorRequest) (*protocol.Bundle, error) {
	version, err := parseVersion(request.arguments[0])
	if err != nil {
		return nil, err
	}
	submitted := &protocol.Bundle{}
	if err := readBody(request, submitted); err != nil {
		return nil, err
	}
	if err := checkVersionMatchesPath(submitted.GetVersion(), version); err != nil {
		return nil, err
	}
	submitted.Version = version
	return submitted, nil
}

// checkVersionMatchesPath rejects a body whose version differs from the one in the path; zero means that the body has
// none.
func checkVersionMatchesPath(inBody, inPath uint64) error {
	if inBody == 0 {
		return nil
	}
	return checkMatchesPath(strconv.FormatUint(inBody, 10), strconv.FormatUint(inPath, 10), "version", "version")
}

func (h *Handler) putBundle(ctx context.Context, request *operatorRequest) (*response, error) {
	submitted, err := readBundle(request)
	if err != nil {
		return nil, err
	}
	return h.order(ctx, "put_bundle", request, &protocol.Command{
		Body: &protocol.Command_PutBundle{PutBundle: &protocol.PutBundleCommand{Bundle: submitted}},
	})
}

func (h *Handler) signBundle(ctx context.Context, request *operatorRequest) (*response, error) {
	version, err := parseVersion(request.arguments[0])
	if err != nil {
		return nil, err
	}
	sign := &protocol.SignBundleCommand{}
	if err := readBody(request, sign); err != nil {
		return nil, err
	}
	if err := checkVersionMatchesPath(sign.GetVersion(), version); err != nil {
		return nil, err
	}
	for path, value := range map[string]string{"key_name": sign.GetKeyName(), "signature": sign.GetSignature()} {
		if value == "" {
			return nil, missingField(path)
		}
	}
	sign.Version = version
	return h.order(ctx, "sign_bundle", request, &protocol.Command{Body: &protocol.Command_SignBundle{SignBundle: sign}})
}

// releaseBundle makes a bundle the active one at once, signed off by the core itself.
func (h *Handler) releaseBundle(ctx context.Context, request *operatorRequest) (*response, error) {
	if !h.trustOperators {
		return nil, controllog.OperatorsNotTrusted()
	}
	expected, err := queryNumber(request, baseParameter, 0)
	if err != nil {
		return nil, err
	}
	submitted, err := readBundle(request)
	if err != nil {
		return nil, err
	}
	return h.order(ctx, "release_bundle", request, controllog.ReleaseBundle(submitted, expected))
}

// showRelease returns the active bundle as it is delivered to front nodes.
func (h *Handler) showRelease(context.Context, *operatorRequest) (*response, error) {
	active := h.control.View().Configuration.GetActive()
	if active == nil {
		return nil, failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, "no bundle is in force")
	}
	return protoResponse(active)
}
