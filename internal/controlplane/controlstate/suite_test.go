package controlstate_test

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestControlState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control state")
}

// harness applies commands to a state at increasing log indexes.
type harness struct {
	state   *controlstate.State
	index   uint64
	private ed25519.PrivateKey
}

// newHarness returns a harness with an empty state, except for the sign-off key "ann".
func newHarness() *harness {
	public, private, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{7}))
	Expect(err).NotTo(HaveOccurred())
	h := &harness{state: controlstate.New(), private: private}
	seed := &protocol.SeedSignOffKeysCommand{
		Keys: []*protocol.SignOffKey{{Name: "ann", PublicKey: hex.EncodeToString(public)}},
	}
	h.apply("", &protocol.Command{Body: &protocol.Command_SeedSignOffKeys{SeedSignOffKeys: seed}})
	return h
}

func (h *harness) apply(order string, command *protocol.Command) *protocol.CommandResult {
	h.index++
	sent := proto.CloneOf(command)
	sent.OrderId = order
	return h.state.Apply(h.index, sent)
}

func (h *harness) accepted(order string, command *protocol.Command) *protocol.CommandResult {
	GinkgoHelper()
	result := h.apply(order, command)
	Expect(result.GetAccepted()).To(BeTrue(), result.String())
	return result
}

func (h *harness) rejected(order string, command *protocol.Command) *protocol.Refusal {
	GinkgoHelper()
	result := h.apply(order, command)
	Expect(result.GetAccepted()).To(BeFalse(), result.String())
	return result.GetRefusal()
}

// restart replaces the state by one restored from its encoded snapshot.
func (h *harness) restart() {
	GinkgoHelper()
	encoded, err := proto.Marshal(h.state.Snapshot())
	Expect(err).NotTo(HaveOccurred())
	decoded := &protocol.ControlState{}
	Expect(proto.Unmarshal(encoded, decoded)).To(Succeed())
	h.state, err = controlstate.Restore(decoded)
	Expect(err).NotTo(HaveOccurred())
}

func put(submitted *protocol.Bundle) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_PutBundle{PutBundle: &protocol.PutBundleCommand{Bundle: submitted}}}
}

// partialOnPrevious returns a partial bundle that sets one limit and is based on the previous version.
func partialOnPrevious(version uint64, limit uint32) *protocol.Bundle {
	return &protocol.Bundle{
		Version: version, BaseVersion: version - 1, Partial: true,
		Limits: &protocol.LimitPolicy{MaxQueued: limit},
	}
}

// sign returns the sign-off of a submitted version; the roll-out may be nil.
func (h *harness) sign(version uint64, rollout *protocol.Rollout) *protocol.Command {
	digest := h.state.View().Bundle(version).Status.GetMergedDigest()
	return &protocol.Command{Body: &protocol.Command_SignBundle{SignBundle: &protocol.SignBundleCommand{
		Version: version, KeyName: "ann", Signature: bundle.Sign(h.private, digest), Rollout: rollout,
	}}}
}

func rollout(action protocol.RolloutAction, version uint64, share uint32) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_SetRollout{SetRollout: &protocol.SetRolloutCommand{
		Action: action, Rollout: &protocol.Rollout{CandidateVersion: version, ShareBasisPoints: share},
	}}}
}

func join(node *protocol.Node) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_JoinNode{JoinNode: &protocol.JoinNodeCommand{Node: node}}}
}

func store(number int, incarnation uint64, storage string) *protocol.Node {
	return &protocol.Node{
		Name: fmt.Sprintf("store-%d", number), Kind: protocol.NodeKind_STORE, Incarnation: incarnation,
		Address: fmt.Sprintf("127.0.0.1:%d", 7000+number), Zone: fmt.Sprintf("z%d", number), StorageId: storage,
	}
}

func front(number int, incarnation uint64) *protocol.Node {
	return &protocol.Node{
		Name: fmt.Sprintf("front-%d", number), Kind: protocol.NodeKind_FRONT, Incarnation: incarnation,
		Address: fmt.Sprintf("127.0.0.1:%d", 8000+number), Zone: "z1",
	}
}

func emptyStore(name string) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_EmptyStore{EmptyStore: &protocol.EmptyStoreCommand{Store: name}}}
}

func retireStore(name string) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_RetireStore{RetireStore: &protocol.RetireStoreCommand{Store: name}}}
}

func upsert(backEnd *protocol.BackEnd) *protocol.Command {
	return announce(backEnd, 0)
}

func release(submitted *protocol.Bundle, expected uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_ReleaseBundle{
		ReleaseBundle: &protocol.ReleaseBundleCommand{Bundle: submitted, ExpectedVersion: expected},
	}}
}

func announce(backEnd *protocol.BackEnd, sequence uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_UpsertBackEnd{
		UpsertBackEnd: &protocol.UpsertBackEndCommand{BackEnd: backEnd, Sequence: sequence},
	}}
}

func removeNode(name string, incarnation uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_RemoveNode{
		RemoveNode: &protocol.RemoveNodeCommand{Name: name, Incarnation: incarnation},
	}}
}

func removeBackEnd(id string, incarnation uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_RemoveBackEnd{
		RemoveBackEnd: &protocol.RemoveBackEndCommand{Id: id, Incarnation: incarnation},
	}}
}

func initializePlacement(shards, replicas uint32) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_InitializePlacement{
		InitializePlacement: &protocol.InitializePlacementCommand{ShardCount: shards, ReplicaCount: replicas},
	}}
}

func moveShard(step *protocol.MoveShardCommand) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_MoveShard{MoveShard: step}}
}

func depart(id string, sequence uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_RemoveBackEnd{
		RemoveBackEnd: &protocol.RemoveBackEndCommand{Id: id, Departed: true, Sequence: sequence},
	}}
}

func drain(id string, incarnation uint64) *protocol.Command {
	return &protocol.Command{Body: &protocol.Command_DrainBackEnd{DrainBackEnd: &protocol.DrainBackEndCommand{
		Id:          id,
		Incarnation: incarnation,
	}}}
}

func codes(refusal *protocol.Refusal) string { return refusal.GetCode() }
