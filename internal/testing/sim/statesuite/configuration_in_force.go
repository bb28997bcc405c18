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
	// inForceWithin is the time after which reachable nodes must have a configuration in force.
	inForceWithin = 2 * time.Second
	rarePoll      = 5 * time.Second
)

// reached says since when one life of a front node and one leader of the core have been able to talk.
type reached struct {
	since  time.Duration
	life   *front
	leader *coreProcess
}

// observeReachable notes which front nodes run and reach the leader over ways without cuts or a burst of losses.
func (s *suite) observeReachable(now time.Duration) {
	leader := s.leader()
	for _, address := range s.addresses(RoleFront) {
		machine := s.world.Machine(address)
		process, runs := machine.Process().(*front)
		if !runs || machine.Frozen() || leader == nil || now < s.lossyUntil || !s.world.Connected(address, leader.environment.Address()) {
			delete(s.reachable, address)
			continue
		}
		known := s.reachable[address]
		if known.life != process || known.leader != leader {
			s.reachable[address] = reached{since: now, life: process, leader: leader}
		}
	}
}

// expectInForce looks later which of the nodes that were reachable all the time have a configuration or a newer one in force.
func (s *suite) expectInForce(version uint64) {
	begun := s.world.Elapsed()
	s.world.After(inForceWithin, func() {
		for _, address := range s.addresses(RoleFront) {
			known, reachable := s.reachable[address]
			if !reachable || known.since > begun {
				continue
			}
			held := known.life.configuration.GetVersion()
			s.rules.inForce.Check(held >= version, "%s has configuration %d in force %s after %d", address, held, inForceWithin, version)
		}
	})
}

// noteInForce compares what a front node puts in force with what it had and with what the log says.
func (s *suite) noteInForce(address sim.Address, next *protocol.Configuration) {
	former := s.inForce[address]
	notOlder := next.GetVersion() >= former.GetVersion() && next.GetActive().GetVersion() >= former.GetActive().GetVersion()
	s.rules.noStepBack.Check(notOlder, "%s goes back from bundle %d of configuration %d to bundle %d of configuration %d", address,
		former.GetActive().GetVersion(), former.GetVersion(), next.GetActive().GetVersion(), next.GetVersion())
	s.inForce[address] = next
	s.rules.sameContent.Check(proto.Equal(next, s.oracle.configurations[next.GetVersion()]),
		"%s has another configuration %d than the control log", address, next.GetVersion())
}

// takeConfiguration puts in force what a view has newer, by a delta where there is one.
func (f *front) takeConfiguration(view *controlstate.View) {
	known := f.configuration.GetVersion()
	if view.Configuration.GetVersion() <= known || f.pollsRarely() {
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
	f.suite.noteInForce(f.environment.Address(), next)
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

// pollsRarely lets a mutated front node pass over most of its polls.
func (f *front) pollsRarely() bool {
	if f.suite.options.Mutation != FrontPollsRarely {
		return false
	}
	now := f.environment.Now()
	if now.Before(f.nextPoll) {
		return true
	}
	f.nextPoll = now.Add(rarePoll)
	return false
}

// takeAnyView lets a mutated front node take whatever any core member holds.
func (f *front) takeAnyView() {
	addresses := f.suite.coreAddresses()
	address := addresses[f.environment.Random().IntN(len(addresses))]
	f.endpoint.call(address, anyRead{}, coreCallPatience, func(answer any) {
		if reply, found := answer.(readReply); found && reply.view.Configuration.GetVersion() > 0 {
			f.putInForce(reply.view.Configuration)
		}
		f.environment.After(pollInterval, f.takeAnyView)
	})
}
