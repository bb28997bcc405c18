package statesuite

import (
	"slices"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// mayApply bounds lost data to one disk at a time within the core and within the stores: a disk may be lost as soon as
// the previous loss has been repaired. A standby that lost its disk counts as lost until its missing contact is
// detectable: before that a leader may still promote it, and a voter lost with it would be the second loss at once. All
// other faults may coincide.
func (s *suite) mayApply(fault sim.Fault) bool {
	if isZoneFault(fault.Kind) {
		return s.mayApplyZoneFault(fault)
	}
	if s.world.Elapsed() > faultsEnd {
		return false
	}
	if !isLoss(fault.Kind) {
		s.observeFault(fault)
		return true
	}
	if s.world.Elapsed() < s.zoneFault.ends {
		return false
	}
	target := fault.Targets[0]
	switch {
	case s.world.Machine(target) == nil || !s.present(target):
		return false
	case isRole(target, RoleCore):
		if !s.coreComplete() || s.world.Elapsed() < s.coreLossDetectable {
			return false
		}
		s.coreLossDetectable = s.world.Elapsed() + contactTimeout
		s.loseCoreDisk(target)
	case isRole(target, RoleStore):
		if !s.storesComplete() {
			return false
		}
		s.loseStoreDisk()
	default:
		return fault.Kind != sim.FaultReplace
	}
	s.counts.losses++
	return true
}

func isLoss(kind sim.FaultKind) bool { return kind == sim.FaultDiskLoss || kind == sim.FaultReplace }

func (s *suite) observeFault(fault sim.Fault) {
	if fault.Kind == sim.FaultMessageLoss {
		s.messageLossUntil = max(s.messageLossUntil, s.world.Elapsed()+fault.Duration)
	}
	if slices.Contains(fault.Targets, sim.AllWithPrefix(string(RoleCore))) {
		s.everythingRestarted = true
		s.counts.changes = s.oracle.acceptedCommands
		if s.oracle.acceptedCommands >= minChangesBeforeRestart && s.acknowledgedState.version > 0 {
			s.rules.bundlesSurviveRestart.Provoke()
		}
	}
}

// loseCoreDisk counts the loss of a voter's disk within secondLossWindow after the repair of another.
func (s *suite) loseCoreDisk(target sim.Address) {
	process, running := s.world.Machine(target).Process().(*coreProcess)
	if !running {
		return
	}
	configuration, _ := process.node.Configuration()
	isVoter := slices.Contains(consensus.Voters(configuration), process.self.GetId())
	s.coreRepair.observe(true, s.world.Elapsed())
	if isVoter && s.coreRepair.lose(s.world.Elapsed()) && s.acknowledgedState.version > 0 {
		s.rules.bundlesSurviveSecondLoss.Provoke()
	}
}

// loseStoreDisk counts the loss of a store's disk within secondLossWindow after the repair of another.
func (s *suite) loseStoreDisk() {
	s.storeRepair.observe(true, s.world.Elapsed())
	if s.storeRepair.lose(s.world.Elapsed()) && len(s.retainedTurns) > 0 {
		s.rules.turnsSurviveSecondLoss.Provoke()
	}
}

func (s *suite) present(address sim.Address) bool {
	for _, machine := range s.world.Machines() {
		if machine.Address() == address {
			return true
		}
	}
	return false
}

// leader returns the member with the leader lease, or nil.
func (s *suite) leader() *coreProcess {
	for _, process := range s.coreProcesses() {
		if process.holdsLease() {
			return process
		}
	}
	return nil
}

// coreComplete reports whether the committed configuration has all its voters, each with its disk.
func (s *suite) coreComplete() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	status := leader.node.Status()
	voters := consensus.Voters(status.Configuration)
	if len(voters) < s.shape.voters || status.ConfigurationIndex > status.Commit || status.Applied < status.TermStart {
		return false
	}
	for _, id := range voters {
		member := consensus.Member(status.Configuration, id)
		machine := s.world.Machine(sim.Address(member.GetAddress()))
		if machine == nil || !s.present(machine.Address()) {
			return false
		}
		process, running := machine.Process().(*coreProcess)
		if !running || process.self.GetId() != id {
			return false
		}
	}
	return true
}

// storesComplete reports whether every shard has all its replicas, each with the disk that the placement names.
func (s *suite) storesComplete() bool {
	leader := s.leader()
	if leader == nil || len(leader.state.View().Placement.GetShards()) == 0 {
		return false
	}
	for _, shard := range leader.state.View().Placement.GetShards() {
		if len(shard.GetNext()) > 0 {
			return false
		}
		for _, replica := range shard.GetCurrent() {
			machine := s.world.Machine(sim.Address(replica.GetStore()))
			if replica.GetState() != protocol.ReplicaState_REPLICA_ACTIVE || machine == nil || !s.present(machine.Address()) {
				return false
			}
			process, running := machine.Process().(*storeProcess)
			if !running || process.self.GetStorageId() != replica.GetStorageId() {
				return false
			}
		}
	}
	return true
}
