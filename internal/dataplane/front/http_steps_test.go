package front_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

var _ = Describe("a query for a training step at a front node", func() {
	var (
		r          *rig
		f1         *node
		answered   *protocol.LedgerResult
		operations []*protocol.LedgerOperation
	)

	BeforeEach(func() {
		r = newRig()
		f1 = r.front("f1")
		operations = nil
		r.ledger.intercept = func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
			if operation.GetTraceTrainingStep() == nil {
				return nil
			}
			operations = append(operations, operation)
			return answered
		}
	})

	It("returns the ledger's trace of the step", func() {
		answered = &protocol.LedgerResult{
			Status: protocol.LedgerStatus_LEDGER_OK,
			TrainingStepTrace: &protocol.TrainingStepTrace{
				Pin: &protocol.TrainingStepPin{
					Step: "run 3/17", Model: "m", WeightVersion: 4, PinnedBy: "f2",
					PinnedAtMillis: 1_800_000_000_000,
				},
				Programs: []*protocol.TrainingStepProgram{{Program: "p", Tenant: "t", Membership: &protocol.TrainingStepMembership{
					Step: "run 3/17", WeightVersion: 4, Generations: []*protocol.GenerationCount{
						{WeightVersion: 4, Completed: 2},
						{WeightVersion: 5, Discarded: 1},
					},
				}}},
			},
		}
		got := f1.do(http.MethodGet, "/v1/training-steps/run%203%2F17", "", nil)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.text).To(MatchJSON(`{
			"pin":{"step":"run 3/17","model":"m","weight_version":"4","pinned_by":"f2","pinned_at_millis":"1800000000000"},
			"programs":[{"program":"p","tenant":"t","membership":{"step":"run 3/17","weight_version":"4",
				"generations":[{"weight_version":"4","completed":"2"},{"weight_version":"5","discarded":"1"}]}}]}`))
		Expect(operations).To(HaveLen(1))
		Expect(operations[0].GetTraceTrainingStep().GetStep()).To(Equal("run 3/17"))
		Expect(ledger.Validate(operations[0])).To(Succeed())
	})

	It("answers 404 for an unknown step", func() {
		answered = ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_STEP_UNKNOWN)
		got := f1.do(http.MethodGet, "/v1/training-steps/17", "", nil)
		Expect(got.status).To(Equal(http.StatusNotFound))
		Expect(got.errorCode()).To(BeEquivalentTo(failure.NotFound))
	})

	It("answers that the ledger is unavailable rather than with a partial trace", func() {
		answered = ledger.ResultWithStatus(protocol.LedgerStatus_LEDGER_UNAVAILABLE)
		got := f1.do(http.MethodGet, "/v1/training-steps/17", "", nil)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.errorCode()).To(BeEquivalentTo(failure.LedgerUnavailable))
	})
})
