package statesuite

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// signOffKey is a private key with the name that the core has for it.
type signOffKey struct {
	name    string
	private ed25519.PrivateKey
}

// makeSignOffKeys makes a key for each operator; each operator uses all of them.
func (s *suite) makeSignOffKeys() {
	random := s.world.Random("sign-off keys")
	for number := range operatorCount {
		seed := make([]byte, ed25519.SeedSize)
		for index := range seed {
			seed[index] = byte(random.Uint32())
		}
		s.signOffKeys = append(s.signOffKeys, signOffKey{
			name:    fmt.Sprintf("key-%d", number+1),
			private: ed25519.NewKeyFromSeed(seed),
		})
	}
}

func (s *suite) publicKeys() []*protocol.SignOffKey {
	var keys []*protocol.SignOffKey
	for _, key := range s.signOffKeys {
		public := key.private.Public().(ed25519.PublicKey)
		keys = append(keys, &protocol.SignOffKey{Name: key.name, PublicKey: hex.EncodeToString([]byte(public))})
	}
	return keys
}

// newestSigned is how many of the newest versions operators sign.
const newestSigned = 3

// sign signs one of the newest bundles, sometimes as the candidate of a roll-out.
func (o *operator) sign(next func()) {
	o.withView(next, func(view *controlstate.View) {
		random := o.environment.Random()
		back := uint64(random.IntN(newestSigned))
		record := view.Bundle(max(view.Newest, back+1) - back)
		if record == nil {
			next()
			return
		}
		key := o.suite.signOffKeys[random.IntN(len(o.suite.signOffKeys))]
		command := &protocol.SignBundleCommand{
			Version: record.Status.GetVersion(), KeyName: key.name,
			Signature: bundle.Sign(key.private, record.Status.GetMergedDigest()),
		}
		if random.IntN(3) == 0 {
			command.Rollout = &protocol.Rollout{ShareBasisPoints: uint32(random.IntN(10_001))}
		}
		o.order("sign", &protocol.Command{Body: &protocol.Command_SignBundle{SignBundle: command}}, next)
	})
}

// rollOut changes the share of a candidate, promotes it or withdraws it.
func (o *operator) rollOut(next func()) {
	o.withView(next, func(view *controlstate.View) {
		random := o.environment.Random()
		version := view.Configuration.GetCandidate().GetVersion()
		if version == 0 {
			version = view.Newest
		}
		actions := []protocol.RolloutAction{
			protocol.RolloutAction_ROLLOUT_SET, protocol.RolloutAction_ROLLOUT_PROMOTE, protocol.RolloutAction_ROLLOUT_WITHDRAW,
		}
		command := &protocol.SetRolloutCommand{
			Action:  actions[random.IntN(len(actions))],
			Rollout: &protocol.Rollout{CandidateVersion: version, ShareBasisPoints: uint32(random.IntN(10_001))},
		}
		o.order("rollout", &protocol.Command{Body: &protocol.Command_SetRollout{SetRollout: command}}, next)
	})
}

// order submits a command under a new order id and records its result when it was accepted.
func (o *operator) order(kind string, command *protocol.Command, next func()) {
	command.OrderId = o.name(kind)
	o.link.order(command, operatorTimeout, func(result *protocol.CommandResult) {
		if result.GetAccepted() {
			o.suite.acknowledge(command, result)
		}
		next()
	})
}

// name makes an identifier that no other process uses.
func (o *operator) name(kind string) string {
	o.orders++
	return fmt.Sprintf("%s-%s-%d-%d", kind, o.environment.Address(), o.environment.Incarnation(), o.orders)
}

// withView reads the newest view and passes it to use, or calls next when there is none.
func (o *operator) withView(next func(), use func(*controlstate.View)) {
	o.link.read(operatorTimeout, func(view *controlstate.View) {
		if view == nil {
			next()
			return
		}
		o.suite.newestBundle = max(o.suite.newestBundle, view.Newest)
		o.suite.acknowledgedState.configuration = max(o.suite.acknowledgedState.configuration,
			view.Configuration.GetVersion())
		o.suite.acknowledgedState.index = max(o.suite.acknowledgedState.index, view.Configuration.GetVersion())
		use(view)
	})
}

// acknowledge records an acknowledged order.
func (s *suite) acknowledge(command *protocol.Command, result *protocol.CommandResult) {
	s.acknowledgedOrders = append(s.acknowledgedOrders, acknowledgedOrder{command: command, result: result})
	s.acknowledgedState.accept(result)
}
