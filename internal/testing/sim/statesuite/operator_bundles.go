package statesuite

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// signOffKey is a private key and the name under which the core counts it.
type signOffKey struct {
	name    string
	private ed25519.PrivateKey
}

// makeSignOffKeys makes a key for each operator; each operator uses all of them.
func (s *suite) makeSignOffKeys() {
	random := s.world.Random("sign-off keys")
	for number := range operatorCount {
		seed := make([]byte, ed25519.SeedSize)
		for place := range seed {
			seed[place] = byte(random.Uint32())
		}
		s.signOffKeys = append(s.signOffKeys, signOffKey{name: fmt.Sprintf("key-%d", number+1), private: ed25519.NewKeyFromSeed(seed)})
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

// newestSigned is how far below the newest version operators look for one to sign.
const newestSigned = 3

// sign signs one of the newest bundles off, sometimes as the candidate of a roll-out.
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
			Version: record.Status.GetVersion(), KeyName: key.name, Signature: bundle.Sign(key.private, record.Status.GetMergedDigest()),
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

// order gives an order under a new id. Its first answer is kept for ever.
func (o *operator) order(kind string, command *protocol.Command, next func()) {
	command.OrderId = o.name(kind)
	o.link.order(command, operatorPatience, func(result *protocol.CommandResult) {
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

// withView reads the newest view, or goes on with next.
func (o *operator) withView(next func(), use func(*controlstate.View)) {
	o.link.read(operatorPatience, func(view *controlstate.View) {
		if view == nil {
			next()
			return
		}
		o.suite.newestBundle = max(o.suite.newestBundle, view.Newest)
		o.suite.told.configuration = max(o.suite.told.configuration, view.Configuration.GetVersion())
		o.suite.told.index = max(o.suite.told.index, view.Configuration.GetVersion())
		use(view)
	})
}

// acknowledge remembers what an operator was told.
func (s *suite) acknowledge(command *protocol.Command, result *protocol.CommandResult) {
	s.acknowledged = append(s.acknowledged, acknowledgedOrder{command: command, result: result})
	s.told.accept(result)
}
