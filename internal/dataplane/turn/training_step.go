package turn

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// A turn of a training step runs on one version of the weights only, the one
// pinned for the step. It learns the version before anything else, tells it to
// the ledger with its reservation, and compares what the server names with it
// before a piece of the answer is passed on. The ledger hears on which versions
// the turn ran before a whole answer ends.

const (
	stepPath = "training_step"
	// statusOK is the HTTP status of an answer that is no error.
	statusOK = 200
	// stepRetry is told when no server has the step's version: a server is started or given its weights in some seconds.
	stepRetryAfter = time.Second
)

// stepProgress is what a turn of a training step keeps to, and what it has seen.
type stepProgress struct {
	// pinned is the step's version.
	versionPin uint64
	// seen are the versions that the server named, without repeats in a row.
	seenVersions []uint64
	// recording is true while a whole answer waits for the ledger to count it.
	recording bool
	// whole is true when all of the answer goes to the caller.
	complete bool
}

func (m *Machine) isOfStep() bool { return m.parameters.Request.GetTrainingStep() != "" }

func (m *Machine) resolveStep() []Command {
	m.state = stateResolving
	return []Command{ResolveStep{Step: m.parameters.Request.GetTrainingStep()}}
}

func (m *Machine) stepResolved(event Event, now time.Time) []Command {
	switch answer := event.(type) {
	case StepResolved:
		m.step.versionPin = answer.WeightVersion
		return m.admit()
	case StepNotResolved:
		return m.reject(answer.Failure, now)
	}
	return nil
}

// stepReference is what a reservation says of the turn's step; nil for other turns.
func (m *Machine) stepReference() *protocol.TrainingStepReference {
	if !m.isOfStep() {
		return nil
	}
	return &protocol.TrainingStepReference{Step: m.parameters.Request.GetTrainingStep(), WeightVersion: m.step.versionPin}
}

// keepsVersion notes the versions that a server named and reports whether they
// are all the pinned one. An answer that names none is not traced to a version,
// so it does not pass. Turns of no training step always pass.
func (m *Machine) matchesVersionPin(named []uint64) bool {
	if !m.isOfStep() {
		return true
	}
	m.recordVersions(named)
	isOther := func(version uint64) bool { return version != m.step.versionPin }
	return len(named) > 0 && !slices.ContainsFunc(named, isOther)
}

// noteVersions remembers what the server named, as much as the ledger takes.
func (m *Machine) recordVersions(named []uint64) {
	for _, version := range named {
		count := len(m.step.seenVersions)
		if count < ledger.MaximumWeightVersions && (count == 0 || m.step.seenVersions[count-1] != version) {
			m.step.seenVersions = append(m.step.seenVersions, version)
		}
	}
}

// takesWhole reports whether an answer that is no stream may be passed on. One
// that reports an error is no generation, whatever it names.
func (m *Machine) acceptsCompleteAnswer(answer AnswerCompleted) bool {
	if answer.Answer.GetStatus() != statusOK {
		m.recordVersions(answer.WeightVersions)
		return true
	}
	m.step.complete = m.matchesVersionPin(answer.WeightVersions)
	return m.step.complete
}

// versionChanged ends a turn whose server has other weights than the step. Nothing more is passed on.
func (m *Machine) versionChanged(now time.Time) []Command {
	m.ranBefore = true
	f := failure.New(failure.StepVersionChanged, protocol.Outcome_RAN,
		"the server answered with other weights than those pinned for the training step").Failure
	return prepend(m.releaseWith(f, max(m.emittedTokens, minCharge), now), StopBackEnd{})
}

// recordGeneration has the ledger count a whole answer that is not kept. The answer ends after that.
func (m *Machine) recordGeneration(now time.Time) []Command {
	m.step.recording, m.step.complete = true, true
	f := failure.New(failure.OutcomeUnknown, protocol.Outcome_RAN, "the ledger did not record the generation").Failure
	return m.charge(f, now)
}

// giveUpRecording lets a generation count as discarded whose caller was told that it failed.
func (m *Machine) giveUpRecording() {
	if !m.step.recording {
		return
	}
	m.step.recording, m.step.complete = false, false
	m.releaseOperation.Completed = false
}

// traceRelease says in a release on which versions the turn ran.
func (m *Machine) traceRelease() {
	if !m.isOfStep() || m.releaseOperation.GetTokens() == 0 {
		return
	}
	m.releaseOperation.WeightVersions, m.releaseOperation.Completed = m.step.seenVersions, m.step.complete
}

// isRefused reports whether the ledger decided against an operation.
func isRejected(status protocol.LedgerStatus) bool {
	switch status {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return false
	default:
		return true
	}
}
