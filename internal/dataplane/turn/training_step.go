package turn

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// A turn of a training step runs on one version of the weights only, the step's
// version pin. It resolves the pin before anything else, passes it to the
// ledger with its reservation, and compares it with the versions that the server
// reports before an event of the answer is emitted. The ledger records on which
// versions the turn ran before a complete answer ends.

const (
	stepPath = "training_step"
	// statusOK is the HTTP status of a successful answer.
	statusOK = 200
	// stepRetryAfter is the delay after which a caller may retry when no server has the step's version: starting a
	// server or loading its weights takes seconds.
	stepRetryAfter = time.Second
)

// stepProgress is the state of a turn of a training step.
type stepProgress struct {
	// versionPin is the version of the weights that the step is pinned to.
	versionPin uint64
	// seenVersions are the versions that the server reported, without consecutive repeats.
	seenVersions []uint64
	// recording is true while a complete answer waits for the ledger to record its generation.
	recording bool
	// complete is true when the caller gets the complete answer.
	complete bool
}

func (m *Machine) hasTrainingStep() bool { return m.parameters.Request.GetTrainingStep() != "" }

func (m *Machine) resolveStep() []Command {
	m.state = stateResolving
	return []Command{ResolveStep{Step: m.parameters.Request.GetTrainingStep()}}
}

func (m *Machine) handleStepResolution(event Event) []Command {
	switch answer := event.(type) {
	case StepResolved:
		m.step.versionPin = answer.WeightVersion
		return m.admit()
	case StepNotResolved:
		return m.reject(answer.Failure)
	}
	return nil
}

// stepReference returns the turn's step and its version for a reservation, or nil for a turn of no training step.
func (m *Machine) stepReference() *protocol.TrainingStepReference {
	if !m.hasTrainingStep() {
		return nil
	}
	return &protocol.TrainingStepReference{Step: m.parameters.Request.GetTrainingStep(), WeightVersion: m.step.versionPin}
}

// matchesVersionPin records the versions that a server reported and returns whether they
// all equal the version pin. An answer without a version cannot be traced to one
// and does not match. Turns of no training step always match.
func (m *Machine) matchesVersionPin(reported []uint64) bool {
	if !m.hasTrainingStep() {
		return true
	}
	m.recordVersions(reported)
	isOther := func(version uint64) bool { return version != m.step.versionPin }
	return len(reported) > 0 && !slices.ContainsFunc(reported, isOther)
}

// recordVersions records the versions that the server reported, up to the number that the ledger accepts.
func (m *Machine) recordVersions(reported []uint64) {
	for _, version := range reported {
		count := len(m.step.seenVersions)
		if count < ledger.MaxWeightVersions && (count == 0 || m.step.seenVersions[count-1] != version) {
			m.step.seenVersions = append(m.step.seenVersions, version)
		}
	}
}

// acceptsCompleteAnswer reports whether an answer that is not a stream may be emitted. An
// error is not a generation and is accepted with any version.
func (m *Machine) acceptsCompleteAnswer(answer CompleteAnswer) bool {
	if answer.Answer.GetStatus() != statusOK {
		m.recordVersions(answer.WeightVersions)
		return true
	}
	m.step.complete = m.matchesVersionPin(answer.WeightVersions)
	return m.step.complete
}

// endForVersionChange ends a turn whose server has other weights than those pinned for the step. Nothing more of the
// answer is emitted.
func (m *Machine) endForVersionChange(now time.Time) []Command {
	m.mayHaveRunBefore = true
	f := failure.New(failure.StepVersionChanged, protocol.Outcome_RAN,
		"the server answered with other weights than those pinned for the training step").Failure
	return prepend(m.releaseWith(f, max(m.emittedTokens, minCharge), now), StopBackEnd{})
}

// recordGeneration has the ledger record a complete answer that is not retained. The answer ends only after that.
func (m *Machine) recordGeneration(now time.Time) []Command {
	m.step.recording, m.step.complete = true, true
	f := failure.New(failure.OutcomeUnknown, protocol.Outcome_RAN, "the ledger did not record the generation").Failure
	return m.charge(f, now)
}

// discardGeneration makes the ledger count a generation as discarded because its caller gets a failure.
func (m *Machine) discardGeneration() {
	if !m.step.recording {
		return
	}
	m.step.recording, m.step.complete = false, false
	m.releaseOperation.Completed = false
}

// addVersionsToRelease adds to a release the versions on which the turn ran.
func (m *Machine) addVersionsToRelease() {
	if !m.hasTrainingStep() || m.releaseOperation.GetTokens() == 0 {
		return
	}
	m.releaseOperation.WeightVersions, m.releaseOperation.Completed = m.step.seenVersions, m.step.complete
}

// isRejected reports whether the ledger rejected an operation.
func isRejected(status protocol.LedgerStatus) bool {
	switch status {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_UNAVAILABLE,
		protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return false
	default:
		return true
	}
}
