package front_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// scheduleSeeds is the number of schedules, from seed 1.
const scheduleSeeds = 20

// crashableLedger receives nothing from a front node that has crashed.
type crashableLedger struct {
	*memoryLedger
	dead atomic.Bool
}

func (l *crashableLedger) Do(ctx context.Context, operation *protocol.LedgerOperation) (*protocol.LedgerResult, error) {
	if l.dead.Load() {
		return nil, &wire.NotSentError{Address: "ledger", Cause: context.Canceled}
	}
	return l.memoryLedger.Do(ctx, operation)
}

// violations are the ways in which the steps of a schedule do not trace to a single version.
func (s *stepSchedule) violations() []string {
	var violations []string
	byStep := map[string][]completeGeneration{}
	for _, generation := range s.complete {
		byStep[generation.step] = append(byStep[generation.step], generation)
	}
	for _, step := range slices.Sorted(maps.Keys(byStep)) {
		pinned := s.pinned(step)
		if versions := s.versionsOf(byStep[step]); !slices.Equal(versions, []uint64{pinned}) {
			violations = append(violations, fmt.Sprintf("%s ran on versions %v, pinned is %d", step, versions, pinned))
		}
		violations = append(violations, s.untraced(step, byStep[step], pinned)...)
	}
	return violations
}

// pinned is the version that the ledger has pinned for a step.
func (s *stepSchedule) pinned(step string) uint64 {
	result, err := s.rig.ledger.Do(context.Background(), &protocol.LedgerOperation{
		Program: ledger.TrainingStepProgram(step),
		Body:    &protocol.LedgerOperation_PinTrainingStep{PinTrainingStep: &protocol.PinTrainingStep{Step: step}},
	})
	Expect(err).NotTo(HaveOccurred())
	return result.GetTrainingStepPin().GetWeightVersion()
}

// versionsOf are the versions of generations, as their answers named them and as servers ran them.
func (s *stepSchedule) versionsOf(generations []completeGeneration) []uint64 {
	distinct := map[uint64]bool{}
	for _, generation := range generations {
		for _, version := range generation.versions {
			distinct[version] = true
		}
		for _, server := range s.servers {
			for _, version := range server.versionsOf(generation.id) {
				distinct[version] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(distinct))
}

// untraced are the programs whose completed generations on the pinned version, by the ledger, are not those of callers.
func (s *stepSchedule) untraced(step string, generations []completeGeneration, pinned uint64) []string {
	got := map[string]uint64{}
	for _, generation := range generations {
		got[generation.program]++
	}
	var missing []string
	for _, program := range slices.Sorted(maps.Keys(got)) {
		member := s.rig.ledger.program(program).GetTrainingStep()
		if member.GetStep() != step || member.GetWeightVersion() != pinned {
			missing = append(missing, fmt.Sprintf("%s is of step %q on version %d, must be %q on %d", program, member.GetStep(),
				member.GetWeightVersion(), step, pinned))
		}
		var completed uint64
		for _, count := range s.rig.ledger.generations(program) {
			if count.version == pinned {
				completed = count.completed
			} else if count.completed > 0 {
				missing = append(missing, fmt.Sprintf("%s completed %d on version %d, pinned is %d", program, count.completed,
					count.version, pinned))
			}
		}
		if completed < got[program] {
			missing = append(missing, fmt.Sprintf("%s completed %d, callers have %d", program, completed, got[program]))
		}
	}
	return missing
}

var _ = Describe("training steps in seeded schedules", func() {
	It("trace to a single version each", func() {
		var total scheduleCounts
		for seed := range uint64(scheduleSeeds) {
			schedule := newStepSchedule(seed + 1)
			schedule.play()
			Expect(schedule.violations()).To(BeEmpty(), "seed %d", seed+1)
			total.add(schedule.counts)
		}
		_, _ = fmt.Fprintf(GinkgoWriter, "%d schedules: %+v\n", scheduleSeeds, total)
		Expect(total.complete).To(BeNumerically(">", 0))
		Expect(total.unavailable).To(BeNumerically(">", 0))
		Expect(total.broken).To(BeNumerically(">", 0))
		Expect(total.crashes).To(BeNumerically(">", 0))
		Expect(total.outages).To(BeNumerically(">", 0))
	})

	It("are reported as violations when front nodes ignore the pin", func() {
		detected := 0
		for seed := range uint64(scheduleSeeds) {
			schedule := newStepSchedule(seed + 1)
			schedule.rig.ledger.intercept = ignorePins
			schedule.play()
			schedule.rig.ledger.intercept = nil
			if len(schedule.violations()) > 0 {
				detected++
			}
		}
		_, _ = fmt.Fprintf(GinkgoWriter, "detected with %d of %d seeds\n", detected, scheduleSeeds)
		Expect(detected).To(BeNumerically(">=", scheduleSeeds/2))
	})
})

// ignorePins makes each front node use the version that it proposes, whatever is pinned.
func ignorePins(operation *protocol.LedgerOperation) *protocol.LedgerResult {
	pin := operation.GetPinTrainingStep()
	if pin.GetWeightVersion() == 0 {
		return nil
	}
	result := ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_OK)
	result.TrainingStepPin = &protocol.TrainingStepPin{
		Step: pin.GetStep(), Model: pin.GetModel(),
		WeightVersion: pin.GetWeightVersion(),
	}
	return result
}
