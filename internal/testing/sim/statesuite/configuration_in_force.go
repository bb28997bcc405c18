package statesuite

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

const (
	// inForceWithin bounds the time until reachable nodes have a configuration in force.
	inForceWithin          = 2 * time.Second
	infrequentPollInterval = 5 * time.Second
)

// contact is since when one incarnation of a front node and one leader of the core have been connected.
type contact struct {
	since  time.Duration
	node   *front
	leader *coreProcess
}

// observeReachable records which front nodes run and are connected to the leader without a partition or message loss.
func (s *suite) observeReachable(now time.Duration) {
	leader := s.leader()
	for _, address := range s.addresses(RoleFront) {
		machine := s.world.Machine(address)
		process, runs := machine.Process().(*front)
		if !runs || machine.Frozen() || leader == nil || now < s.messageLossUntil ||
			!s.world.Connected(address, leader.environment.Address()) {
			delete(s.reachableSince, address)
			continue
		}
		known := s.reachableSince[address]
		if known.node != process || known.leader != leader {
			s.reachableSince[address] = contact{since: now, node: process, leader: leader}
		}
	}
}

// expectInForce checks after inForceWithin that the nodes that were reachable throughout have a configuration or a
// newer one in force.
func (s *suite) expectInForce(version uint64) {
	begun := s.world.Elapsed()
	s.world.After(inForceWithin, func() {
		for _, address := range s.addresses(RoleFront) {
			known, reachable := s.reachableSince[address]
			if !reachable || known.since > begun {
				continue
			}
			current := known.node.configuration.GetVersion()
			s.rules.inForceWithinBound.Check(current >= version, "%s has configuration %d in force %s after %d", address,
				current, inForceWithin, version)
		}
	})
}

// checkInForce compares the configuration that a front node puts in force with its former one and with the control log.
func (s *suite) checkInForce(address sim.Address, next *protocol.Configuration) {
	former := s.inForce[address]
	notOlder := next.GetVersion() >= former.GetVersion() &&
		next.GetActive().GetVersion() >= former.GetActive().GetVersion()
	s.rules.configurationMonotonic.Check(notOlder,
		"%s goes back from bundle %d of configuration %d to bundle %d of configuration %d", address,
		former.GetActive().GetVersion(), former.GetVersion(), next.GetActive().GetVersion(), next.GetVersion())
	s.inForce[address] = next
	s.rules.sameContent.Check(proto.Equal(next, s.oracle.configurations[next.GetVersion()]),
		"%s has another configuration %d than the control log", address, next.GetVersion())
}

// applyConfiguration puts the newer configuration of a view in force, by a delta where there is one.
func (f *front) applyConfiguration(view *controlstate.View) {
	known := f.configuration.GetVersion()
	if view.Configuration.GetVersion() <= known || f.skipsPoll() {
		return
	}
	next, delta := view.ConfigurationSince(known)
	if delta != nil {
		var err error
		if next, err = f.applyDelta(delta); err != nil {
			f.suite.rules.sameContent.Violatef("%s: %v", f.environment.Address(), err)
			return
		}
		f.suite.counts.deltas++
	}
	f.putInForce(next)
}

func (f *front) putInForce(next *protocol.Configuration) {
	f.configuration = next
	f.suite.checkInForce(f.environment.Address(), next)
}

func (f *front) applyDelta(delta *protocol.ConfigurationDelta) (*protocol.Configuration, error) {
	steps := delta.GetActiveSteps()
	if f.suite.options.Mutation != FrontSkipsDeltaSteps || len(steps) == 0 {
		return bundle.ApplyDelta(f.configuration, delta)
	}
	return &protocol.Configuration{
		Version: delta.GetVersion(), Active: bundle.Merge(f.configuration.GetActive(), steps[len(steps)-1]),
		ActiveDigest: delta.GetActiveDigest(), Candidate: delta.GetCandidate(), CandidateDigest: delta.GetCandidateDigest(),
		Rollout: delta.GetRollout(),
	}, nil
}

// skipsPoll makes a front node skip most of its polls under FrontPollsInfrequently.
func (f *front) skipsPoll() bool {
	if f.suite.options.Mutation != FrontPollsInfrequently {
		return false
	}
	now := f.environment.Now()
	if now.Before(f.nextPoll) {
		return true
	}
	f.nextPoll = now.Add(infrequentPollInterval)
	return false
}

// readAnyMember puts the configuration of any core member in force, under FrontReadsAnyMember.
func (f *front) readAnyMember() {
	addresses := f.suite.coreAddresses()
	address := addresses[f.environment.Random().IntN(len(addresses))]
	f.endpoint.call(address, localRead{}, coreCallTimeout, func(answer any) {
		if reply, found := answer.(readReply); found && reply.view.Configuration.GetVersion() > 0 {
			f.putInForce(reply.view.Configuration)
		}
		f.environment.After(pollInterval, f.readAnyMember)
	})
}
