package statesuite

import (
	"slices"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// mayApply bounds what is lost for ever to one disk at a time within the core and within the stores: a disk may be lost
// as soon as the loss before it has been repaired, and not earlier. A standby that lost its disk counts as lost until its
// silence can be seen: until then a leader may still make it a voter, and a voter lost with it would be the second at once. All other faults are free to come together.
func (s *suite) mayApply(fault sim.Fault) bool {
	if isZoneFault(fault.Kind) {
		return s.mayStrikeZones(fault)
	}
	if s.world.Elapsed() > faultsEnd {
		return false
	}
	if !isLoss(fault.Kind) {
		s.noteFault(fault)
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
		if !s.coreWhole() || s.world.Elapsed() < s.coreLossSeen {
			return false
		}
		s.coreLossSeen = s.world.Elapsed() + aliveWithin
		s.loseCoreDisk(target)
	case isRole(target, RoleStore):
		if !s.storesWhole() {
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

func (s *suite) noteFault(fault sim.Fault) {
	if fault.Kind == sim.FaultMessageLoss {
		s.lossyUntil = max(s.lossyUntil, s.world.Elapsed()+fault.Duration)
	}
	if slices.Contains(fault.Targets, sim.AllWithPrefix(string(RoleCore))) {
		s.restarted = true
		s.counts.changes = s.oracle.changes
		if s.oracle.changes >= hundredsOfChanges && s.told.version > 0 {
			s.rules.restart.Provoke()
		}
	}
}

// loseCoreDisk counts the loss of a voter's disk right after the repair of another.
func (s *suite) loseCoreDisk(target sim.Address) {
	process, running := s.world.Machine(target).Process().(*coreProcess)
	if !running {
		return
	}
	configuration, _ := process.node.Configuration()
	isVoter := slices.Contains(consensus.Voters(configuration), process.self.GetId())
	s.coreRepair.observe(true, s.world.Elapsed())
	if isVoter && s.coreRepair.lose(s.world.Elapsed()) && s.told.version > 0 {
		s.rules.secondLoss.Provoke()
	}
}

// loseStoreDisk counts the loss of a store's disk right after the repair of another.
func (s *suite) loseStoreDisk() {
	s.storeRepair.observe(true, s.world.Elapsed())
	if s.storeRepair.lose(s.world.Elapsed()) && len(s.keptTurns) > 0 {
		s.rules.storeLoss.Provoke()
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

// leader is the member that holds the leader lease, if any.
func (s *suite) leader() *coreProcess {
	for _, process := range s.coreProcesses() {
		if process.leaseRuns() {
			return process
		}
	}
	return nil
}

// coreWhole says that the committed configuration has all its voters, each with its disk.
func (s *suite) coreWhole() bool {
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

// storesWhole says that every shard has all its replicas, each with the disk that the placement names.
func (s *suite) storesWhole() bool {
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
