package operator

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ResponseError reports that a response could not be decoded.
type ResponseError struct {
	Cause error
}

// Error names the cause.
func (e *ResponseError) Error() string { return "the answer cannot be understood: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// bundlesResponse lists bundle versions.
type bundlesResponse struct {
	Newest    uint64            `json:"newest"`
	Active    uint64            `json:"active"`
	Candidate uint64            `json:"candidate"`
	Bundles   []json.RawMessage `json:"bundles"`
}

// bundleResponse is one version; its content is absent once it is no longer retained.
type bundleResponse struct {
	Status json.RawMessage `json:"status"`
	Bundle json.RawMessage `json:"bundle"`
}

// rolloutResponse is the roll-out in progress and the metrics of its variants.
type rolloutResponse struct {
	Active   uint64            `json:"active"`
	Rollout  json.RawMessage   `json:"rollout"`
	Variants []json.RawMessage `json:"arms"`
}

type nodesResponse struct {
	Version uint64            `json:"version"`
	Nodes   []json.RawMessage `json:"nodes"`
	Leases  []leaseResponse   `json:"leases"`
}

type leaseResponse struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	MillisLeft  int64  `json:"millis_left"`
	Active      struct {
		Configuration uint64 `json:"configuration"`
		Membership    uint64 `json:"membership"`
		BackEnds      uint64 `json:"back_ends"`
		Placement     uint64 `json:"placement"`
	} `json:"in_force"`
}

type storesResponse struct {
	PlacementEpoch uint64                     `json:"placement_epoch"`
	Shards         int                        `json:"shards"`
	ShardsMoving   int                        `json:"shards_moving"`
	Stores         []controlstate.StoreReport `json:"stores"`
}

type drainResponse struct {
	ViewVersion uint64 `json:"view_version"`
}

func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return &ResponseError{Cause: err}
	}
	return nil
}

// decodeProto decodes a message; it ignores unknown fields, which newer servers may send.
func decodeProto(body []byte, message proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, message); err != nil {
		return &ResponseError{Cause: err}
	}
	return nil
}

// decodeList decodes a list of messages of one type.
func decodeList[T any, M interface {
	*T
	proto.Message
}](bodies []json.RawMessage,
) ([]M, error) {
	messages := make([]M, len(bodies))
	for i, body := range bodies {
		messages[i] = M(new(T))
		if err := decodeProto(body, messages[i]); err != nil {
			return nil, err
		}
	}
	return messages, nil
}

func decodeCoreStatus(body []byte) (*protocol.CoreStatusResponse, error) {
	status := &protocol.CoreStatusResponse{}
	return status, errors.Wrap(decodeProto(body, status), "core status")
}
