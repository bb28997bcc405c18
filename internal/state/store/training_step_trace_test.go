package store_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	stepUnknown  = protocol.LedgerStatus_LEDGER_STEP_UNKNOWN
	stepMismatch = protocol.LedgerStatus_LEDGER_STEP_MISMATCH
	// rolloutStep and pinnedVersion are those of the specs' rollouts.
	rolloutStep   = "step-17"
	pinnedVersion = 4
)

func newPinOperation(version uint64, owner string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(rolloutStep),
		Body: &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{
			Step: rolloutStep, Model: "m", WeightVersion: version, Owner: owner,
		}},
	}
}

func newTraceOperation(step string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body:    &protocol.LedgerOperation_TraceTrainingStep{TraceTrainingStep: &protocol.TraceTrainingStep{Step: step}},
	}
}

// generate runs one turn of a rollout on the versions.
func (p *program) generate(versions ...uint64) {
	GinkgoHelper()
	Expect(p.fleet.do(p.reserveForStep()).GetStatus()).To(Equal(ok))
	commit := p.commit()
	commit.GetSettleTurn().WeightVersions = versions
	Expect(p.fleet.do(commit).GetStatus()).To(Equal(ok))
	p.turns = append(p.turns, commit.GetSettleTurn().GetTurn().GetId())
}

func (p *program) reserveForStep() *protocol.LedgerOperation {
	reserve := p.reserve()
	reserve.GetReserveTurn().TrainingStep = &protocol.TrainingStepReference{
		Step: rolloutStep, WeightVersion: pinnedVersion,
	}
	return reserve
}

// release ends the turn reserved last as delivered to its caller completely, on a version.
func (p *program) release(version uint64) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: p.name,
		Body: &protocol.LedgerOperation_ReleaseTurn{ReleaseTurn: &protocol.ReleaseTurn{
			RequestId: fmt.Sprintf("%s-r%d", p.name, p.requests), Session: p.name, Epoch: p.epoch,
			Tokens: 7, WeightVersions: []uint64{version}, Completed: true,
		}},
	}
}

// runRollouts pins the step and runs programs for it in every shard, the first of which also had a turn on
// another version.
func (f *fleet) runRollouts(names ...string) {
	GinkgoHelper()
	Expect(f.do(newPinOperation(pinnedVersion, "front-1")).GetStatus()).To(Equal(ok))
	for number, name := range names {
		p := f.program(name)
		p.generate(pinnedVersion)
		p.generate(pinnedVersion)
		if number == 0 {
			p.generate(pinnedVersion, 5)
		}
	}
	f.program("live").takeTurn()
}

func newMembership(text string) *protocol.TrainingStepMembership {
	GinkgoHelper()
	membership := &protocol.TrainingStepMembership{}
	Expect(prototext.Unmarshal([]byte(text), membership)).To(Succeed())
	membership.Step, membership.WeightVersion = rolloutStep, pinnedVersion
	return membership
}

const twoCompleted = `generations { weight_version: 4 completed: 2 }`

// expectTrace compares a trace with the rollouts of these names.
func expectTrace(result *protocol.LedgerResult, names ...string) {
	GinkgoHelper()
	Expect(result.GetStatus()).To(Equal(ok))
	pinned := result.GetTrainingStepTrace().GetPin()
	Expect(pinned.GetStep()).To(Equal(rolloutStep))
	Expect(pinned.GetModel()).To(Equal("m"))
	Expect(pinned.GetWeightVersion()).To(BeEquivalentTo(pinnedVersion))
	Expect(pinned.GetPinnedBy()).To(Equal("front-1"))
	Expect(pinned.GetPinnedAtMillis()).To(BeNumerically(">", 0))
	programs := result.GetTrainingStepTrace().GetPrograms()
	Expect(programs).To(HaveLen(len(names)))
	for number, traced := range programs {
		wanted := newMembership(twoCompleted)
		if number == 0 {
			wanted = newMembership(twoCompleted + `generations { weight_version: 5 discarded: 1 }`)
		}
		Expect(traced.GetProgram()).To(Equal(names[number]))
		Expect(traced.GetTenant()).To(Equal("tenant"))
		Expect(proto.Equal(traced.GetMembership(), wanted)).To(BeTrue(), "%v", traced)
	}
}

// rolloutNames are spread over all shards of the fleet.
var rolloutNames = []string{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"}

var _ = Describe("the rollouts", func() {
	It("are spread over all shards", func() {
		shards := map[uint32]bool{}
		for _, name := range rolloutNames {
			shards[ledger.ShardOf(name, shardCount)] = true
		}
		Expect(shards).To(HaveLen(shardCount))
	})
})

var _ = Describe("a training step", func() {
	It("given two front nodes that pin it at once by way of different stores, then one version wins everywhere", func() {
		f := newFleet("a", "b", "c")
		f.until(f.placementApplied)
		for round := range 5 {
			step := fmt.Sprintf("step-%d", round)
			pinAs := func(version uint64, owner string) *protocol.LedgerOperation {
				operation := newPinOperation(version, owner)
				operation.Program = ledger.TrainingStepProgram(step)
				operation.GetPinTrainingStep().Step = step
				operation.PlacementEpoch = f.shardEpoch(operation)
				return operation
			}
			others := make(chan *protocol.LedgerResult, 1)
			first := f.await(func() (*protocol.LedgerResult, error) {
				ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
				defer cancel()
				go func() {
					response, _ := (&network{fleet: f}).Call(ctx, "b",
						&protocol.Request{Body: &protocol.Request_Ledger{Ledger: pinAs(5, "front-2")}})
					others <- response.GetLedger()
				}()
				response, err := (&network{fleet: f}).Call(ctx, "a",
					&protocol.Request{Body: &protocol.Request_Ledger{Ledger: pinAs(4, "front-1")}})
				others <- <-others
				return response.GetLedger(), err
			})
			second := <-others
			Expect(first.GetStatus()).To(Equal(ok))
			Expect(second.GetStatus()).To(Equal(ok))
			Expect(proto.Equal(first.GetTrainingStepPin(), second.GetTrainingStepPin())).To(BeTrue(), "%v and %v", first, second)
			for _, name := range f.names {
				again := f.request(name, awaitTimeout, pinAs(6, "front-3"))
				Expect(proto.Equal(again.GetTrainingStepPin(), first.GetTrainingStepPin())).To(BeTrue(), "%v and %v", again, first)
			}
		}
	})

	It("given a pin, when every store loses power, then it is still there", func() {
		f := newFleet("a", "b", "c")
		pinned := f.do(newPinOperation(pinnedVersion, "front-1"))
		f.loseAllPower()
		again := f.do(newPinOperation(5, "front-2"))
		Expect(again.GetStatus()).To(Equal(ok))
		Expect(proto.Equal(again.GetTrainingStepPin(), pinned.GetTrainingStepPin())).To(BeTrue())
	})

	It("is unknown without a pin, to reads and traces", func() {
		f := newFleet("a", "b", "c")
		Expect(f.do(newPinOperation(0, "front-1")).GetStatus()).To(Equal(stepUnknown))
		Expect(f.do(newTraceOperation(rolloutStep)).GetStatus()).To(Equal(stepUnknown))
	})

	It("leaves turns of other steps and of none out of its programs", func() {
		f := newFleet("a", "b", "c")
		f.runRollouts(rolloutNames...)
		p := &program{fleet: f, name: "p1", requests: 100}
		p.claim("front-2")
		Expect(f.do(p.reserve()).GetStatus()).To(Equal(stepMismatch))
		live := &program{fleet: f, name: "live", requests: 100}
		live.claim("front-2")
		Expect(f.do(live.reserveForStep()).GetStatus()).To(Equal(stepMismatch))
		expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
	})
})

// loseAllPower stops all stores without a sync and starts them again.
// acceptReleaseOnAAlone ends a program's turn by way of store a, which is partitioned from the others by then.
func (f *fleet) acceptReleaseOnAAlone() *program {
	GinkgoHelper()
	f.until(f.placementApplied)
	Expect(f.do(newPinOperation(pinnedVersion, "front-1")).GetStatus()).To(Equal(ok))
	p := f.program("p")
	Expect(f.request("a", awaitTimeout, p.reserveForStep()).GetStatus()).To(Equal(ok))
	f.setPartitioned("a", true)
	Expect(f.requestDirectlyFromA(shortTimeout, p.release(pinnedVersion)).GetStatus()).To(Equal(unavailable))
	return p
}

func (f *fleet) loseAllPower() {
	for _, name := range f.names {
		f.stopOne(name, true)
	}
	for _, name := range f.names {
		f.restart(name)
	}
	f.until(f.placementApplied)
}

var _ = Describe("a trace of a training step", func() {
	It("shows the pin and every program with its counts, whichever store is queried", func() {
		f := newFleet("a", "b", "c")
		f.runRollouts(rolloutNames...)
		for _, name := range f.names {
			expectTrace(f.request(name, awaitTimeout, newTraceOperation(rolloutStep)), rolloutNames...)
		}
		Expect(f.do(newTraceOperation("step-18")).GetStatus()).To(Equal(stepUnknown))
	})

	It("is the same after every store lost power", func() {
		f := newFleet("a", "b", "c")
		f.runRollouts(rolloutNames...)
		f.loseAllPower()
		expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
	})

	It("is the same from snapshots", func() {
		f := newFleet("a", "b", "c")
		f.runRollouts(rolloutNames...)
		busy := f.program("busy")
		for _, name := range f.names {
			f.writeUntilSnapshot(name, busy)
		}
		f.loseAllPower()
		expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
	})

	It("is the same after two disks were lost and rebuilt, from these stores alone", func() {
		f := newFleet("a", "b", "c")
		f.runRollouts(rolloutNames...)
		for _, name := range []string{"a", "b"} {
			f.loseDisk(name)
			f.until(f.allReplicasActive)
		}
		f.until(f.placementApplied)
		f.stopOne("c", true)
		expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
	})

	It("counts no store whose disk was lost until it is rebuilt", func() {
		f := newFleet("a", "b", "c")
		f.runRollouts(rolloutNames...)
		f.setPartitioned("c", true)
		f.stopOne("a", true)
		f.restartEmpty("a")
		f.until(func() bool { return f.placementAppliedExcept("c") })
		Expect(f.request("b", shortTimeout, newTraceOperation(rolloutStep)).GetStatus()).To(Equal(unavailable))
		f.setPartitioned("c", false)
		f.until(f.allReplicasActive)
		expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
	})

	It("is complete with a minority down", func() {
		for _, away := range []string{"a", "b", "c"} {
			f := newFleet("a", "b", "c")
			f.runRollouts(rolloutNames...)
			f.setPartitioned(away, true)
			expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
		}
	})

	It("is complete with a minority that is unresponsive", func() {
		f := newFleet("a", "b", "c")
		f.runRollouts(rolloutNames...)
		f.suspend("a")
		defer f.resume("a")
		expectTrace(f.request("b", awaitTimeout, newTraceOperation(rolloutStep)), rolloutNames...)
	})

	It("is unavailable with a majority down, never incomplete", func() {
		f := newFleet("a", "b", "c")
		f.runRollouts(rolloutNames...)
		f.setPartitioned("b", true)
		f.setPartitioned("c", true)
		Expect(f.request("a", shortTimeout, newTraceOperation(rolloutStep)).GetStatus()).To(Equal(unavailable))
		f.setPartitioned("b", false)
		expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
	})

	It("is unavailable when one shard alone lacks a majority", func() {
		f := newFleet("a", "b", "c", "d")
		f.runRollouts(rolloutNames...)
		moved := (ledger.ShardOf(ledger.TrainingStepProgram(rolloutStep), shardCount) + 1) % shardCount
		f.move(moved, "a", "d")
		f.until(f.allReplicasActive)
		f.until(f.placementApplied)
		// Programs of the shard that moved are read by way of its stores.
		expectTrace(f.request("a", awaitTimeout, newTraceOperation(rolloutStep)), rolloutNames...)
		f.setPartitioned("d", true)
		expectTrace(f.request("a", awaitTimeout, newTraceOperation(rolloutStep)), rolloutNames...)
		f.setPartitioned("c", true)
		Expect(f.request("a", shortTimeout, newTraceOperation(rolloutStep)).GetStatus()).To(Equal(unavailable))
		Expect(f.request("b", awaitTimeout, newPinOperation(0, "")).GetStatus()).To(Equal(ok))
	})

	It("is unavailable, never incomplete, when only a stale replica answers for one shard", func() {
		f := newFleet("a", "b", "c", "d", "e", "f")
		moved := (ledger.ShardOf(ledger.TrainingStepProgram(rolloutStep), shardCount) + 1) % shardCount
		for from, to := range map[string]string{"a": "d", "b": "e", "c": "f"} {
			f.move(moved, from, to)
			f.until(f.allReplicasActive)
		}
		f.until(f.placementApplied)
		f.setPartitioned("f", true)
		f.runRollouts(rolloutNames...)
		f.setPartitioned("d", true)
		f.setPartitioned("e", true)
		Expect(f.request("a", awaitTimeout, newTraceOperation(rolloutStep)).GetStatus()).To(Equal(unavailable))
		f.setPartitioned("f", false)
		Expect(f.request("a", awaitTimeout, newTraceOperation(rolloutStep)).GetStatus()).To(Equal(unavailable))
		f.setPartitioned("e", false)
		expectTrace(f.request("a", awaitTimeout, newTraceOperation(rolloutStep)), rolloutNames...)
	})

	It("is complete while shards move", func() {
		f := newFleet("a", "b", "c", "d")
		f.runRollouts(rolloutNames...)
		for shard := range uint32(shardCount) {
			f.move(shard, "a", "d")
		}
		expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
		f.until(f.allReplicasActive)
		expectTrace(f.do(newTraceOperation(rolloutStep)), rolloutNames...)
	})

	It("shows no completed generation that a store accepted alone and a claim charged after", func() {
		f := newFleet("a", "b", "c")
		f.acceptReleaseOnAAlone()
		successor := &program{fleet: f, name: "p"}
		successor.claim("front-2")
		f.clock.advance(20 * time.Second)
		f.setPartitioned("a", false)
		for _, name := range f.names {
			traced := f.request(name, awaitTimeout, newTraceOperation(rolloutStep)).GetTrainingStepTrace().GetPrograms()
			Expect(traced).To(HaveLen(1))
			Expect(proto.Equal(traced[0].GetMembership(), newMembership(`generations { discarded: 1 }`))).To(BeTrue(), "%v",
				traced)
		}
	})

	It("never takes back what it showed of a change that a store accepted alone", func() {
		f := newFleet("a", "b", "c")
		p := f.acceptReleaseOnAAlone()
		f.clock.advance(20 * time.Second)
		f.setPartitioned("a", false)
		first := f.request("c", awaitTimeout, newTraceOperation(rolloutStep)).GetTrainingStepTrace().GetPrograms()
		Expect(first).To(HaveLen(1))
		counted := ledger.TotalGenerations(first[0].GetMembership())
		f.setPartitioned("a", true)
		second := f.request("b", awaitTimeout, newTraceOperation(rolloutStep)).GetTrainingStepTrace().GetPrograms()
		Expect(second).To(HaveLen(1))
		Expect(ledger.TotalGenerations(second[0].GetMembership())).To(BeNumerically(">=", counted))
		f.setPartitioned("a", false)
		Expect(f.do(p.release(pinnedVersion)).GetStatus()).To(Equal(ok))
		last := f.do(newTraceOperation(rolloutStep)).GetTrainingStepTrace().GetPrograms()
		Expect(proto.Equal(last[0].GetMembership(),
			newMembership(`generations { weight_version: 4 completed: 1 }`))).To(BeTrue(), "%v", last)
	})
})
