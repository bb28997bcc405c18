package statesuite

import (
	"fmt"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// probeCheckInterval is the simulated time between two checks of a condition in runUntil.
const probeCheckInterval = 100 * time.Millisecond

// runUntil runs the world until a condition holds or a time is reached. It returns false when a rule was violated.
func (s *suite) runUntil(end time.Duration, holds func() bool) bool {
	for s.world.Elapsed() < end && !holds() {
		if !s.world.RunUntil(s.world.Elapsed() + probeCheckInterval) {
			return false
		}
	}
	return true
}

// awaitRecovery waits until a read of the core and a change of a register in every shard succeed.
func (s *suite) awaitRecovery() {
	s.rules.serviceRecovers.Provoke()
	begun := s.world.Elapsed()
	returned := 0
	for shard := range uint32(shardCount) {
		program := programIn(shard, "probe")
		s.probeShardFrom(frontAddress(len(program)%frontCount), program, func() { returned++ })
	}
	s.probeCore(func() { returned++ })
	recovered := func() bool { return returned == shardCount+1 }
	if !s.runUntil(begun+recoveryBound, recovered) {
		return
	}
	if !recovered() {
		s.rules.serviceRecovers.Violatef("%d of %d services answer %s after the last fault", returned, shardCount+1,
			recoveryBound)
	}
}

// programIn returns the name of a program whose records are in a shard.
func programIn(shard uint32, prefix string) string {
	for number := 0; ; number++ {
		if name := fmt.Sprintf("%s-%d", prefix, number); ledger.ShardOf(name, shardCount) == shard {
			return name
		}
	}
}

// someFront returns a front node, nil when its process does not run; all run once the faults have ended.
func (s *suite) someFront(number int) *front {
	process, _ := s.world.Machine(frontAddress(number % frontCount)).Process().(*front)
	return process
}

// probeShardFrom opens a program through one front node, with retries until that is acknowledged.
func (s *suite) probeShardFrom(address sim.Address, program string, done func()) {
	again := func() { s.world.After(scriptInterval, func() { s.probeShardFrom(address, program, done) }) }
	prober, runs := s.world.Machine(address).Process().(*front)
	if !runs {
		again()
		return
	}
	open := operationOf(program)
	open.Body = &protocol.LedgerOperation_OpenProgram{OpenProgram: &protocol.OpenProgram{Tenant: "tenant", Budget: 1}}
	prober.apply(open, func(result *protocol.LedgerResult) {
		if result.GetStatus() == protocol.LedgerStatus_LEDGER_OK {
			done()
			return
		}
		again()
	})
}

// probeCore reads the view through the first front node, with retries until it answers.
func (s *suite) probeCore(done func()) {
	prober := s.someFront(0)
	if prober == nil {
		s.world.After(scriptInterval, func() { s.probeCore(done) })
		return
	}
	prober.link.read(operatorTimeout, func(view *controlstate.View) {
		if view != nil {
			done()
			return
		}
		s.world.After(scriptInterval, func() { s.probeCore(done) })
	})
}

// probeCoreFrom reads from the core through one front node, with retries until it answers.
func (s *suite) probeCoreFrom(address sim.Address, done func()) {
	again := func() { s.world.After(scriptInterval, func() { s.probeCoreFrom(address, done) }) }
	prober, runs := s.world.Machine(address).Process().(*front)
	if !runs {
		again()
		return
	}
	prober.link.call(coreRead{}, operatorTimeout, func(answer any) {
		if _, read := answer.(readReply); read {
			done()
			return
		}
		again()
	})
}
