package operator

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// AnswerError says that an answer could not be understood.
type AnswerError struct {
	Cause error
}

func (e *AnswerError) Error() string { return "the answer cannot be understood: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }

// bundlesAnswer lists bundle versions.
type bundlesAnswer struct {
	Newest    uint64            `json:"newest"`
	Active    uint64            `json:"active"`
	Candidate uint64            `json:"candidate"`
	Bundles   []json.RawMessage `json:"bundles"`
}

// bundleAnswer is one version; its content is absent once it is not kept any more.
type bundleAnswer struct {
	Status json.RawMessage `json:"status"`
	Bundle json.RawMessage `json:"bundle"`
}

// rolloutAnswer is the roll-out under way with what its arms measured.
type rolloutAnswer struct {
	Active   uint64            `json:"active"`
	Rollout  json.RawMessage   `json:"rollout"`
	Variants []json.RawMessage `json:"arms"`
}

type nodesAnswer struct {
	Version uint64            `json:"version"`
	Nodes   []json.RawMessage `json:"nodes"`
	Leases  []leaseAnswer     `json:"leases"`
}

type leaseAnswer struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	MillisLeft  int64  `json:"millis_left"`
	InForce     struct {
		Configuration uint64 `json:"configuration"`
		Membership    uint64 `json:"membership"`
		BackEnds      uint64 `json:"back_ends"`
		Placement     uint64 `json:"placement"`
	} `json:"in_force"`
}

type storesAnswer struct {
	PlacementEpoch uint64                     `json:"placement_epoch"`
	Shards         int                        `json:"shards"`
	ShardsMoving   int                        `json:"shards_moving"`
	Stores         []controlstate.StoreReport `json:"stores"`
}

type drainAnswer struct {
	ViewVersion uint64 `json:"view_version"`
}

func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return &AnswerError{Cause: err}
	}
	return nil
}

// decodeProto reads a message; fields of newer servers are passed over.
func decodeProto(body []byte, message proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, message); err != nil {
		return &AnswerError{Cause: err}
	}
	return nil
}

// decodeList reads a list of messages of one type.
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
