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
	stepRetry = time.Second
)

// stepProgress is what a turn of a training step keeps to, and what it has seen.
type stepProgress struct {
	// pinned is the step's version.
	pinned uint64
	// seen are the versions that the server named, without repeats in a row.
	seen []uint64
	// recording is true while a whole answer waits for the ledger to count it.
	recording bool
	// whole is true when all of the answer goes to the caller.
	whole bool
}

func (m *Machine) isOfStep() bool { return m.parameters.Request.GetTrainingStep() != "" }

func (m *Machine) resolveStep() []Command {
	m.state = stateResolving
	return []Command{ResolveStep{Step: m.parameters.Request.GetTrainingStep()}}
}

func (m *Machine) stepResolved(event Event, now time.Time) []Command {
	switch answer := event.(type) {
	case StepResolved:
		m.step.pinned = answer.WeightVersion
		return m.admit()
	case StepNotResolved:
		return m.refuse(answer.Failure, now)
	}
	return nil
}

// stepReference is what a reservation says of the turn's step; nil for other turns.
func (m *Machine) stepReference() *protocol.TrainingStepReference {
	if !m.isOfStep() {
		return nil
	}
	return &protocol.TrainingStepReference{Step: m.parameters.Request.GetTrainingStep(), WeightVersion: m.step.pinned}
}

// keepsVersion notes the versions that a server named and reports whether they
// are all the pinned one. An answer that names none is not traced to a version,
// so it does not pass. Turns of no training step always pass.
func (m *Machine) keepsVersion(named []uint64) bool {
	if !m.isOfStep() {
		return true
	}
	m.noteVersions(named)
	isOther := func(version uint64) bool { return version != m.step.pinned }
	return len(named) > 0 && !slices.ContainsFunc(named, isOther)
}

// noteVersions remembers what the server named, as much as the ledger takes.
func (m *Machine) noteVersions(named []uint64) {
	for _, version := range named {
		count := len(m.step.seen)
		if count < ledger.MaximumWeightVersions && (count == 0 || m.step.seen[count-1] != version) {
			m.step.seen = append(m.step.seen, version)
		}
	}
}

// takesWhole reports whether an answer that is no stream may be passed on. One
// that reports an error is no generation, whatever it names.
func (m *Machine) takesWhole(answer AnswerCompleted) bool {
	if answer.Answer.GetStatus() != statusOK {
		m.noteVersions(answer.WeightVersions)
		return true
	}
	m.step.whole = m.keepsVersion(answer.WeightVersions)
	return m.step.whole
}

// versionChanged ends a turn whose server has other weights than the step. Nothing more is passed on.
func (m *Machine) versionChanged(now time.Time) []Command {
	m.ranEver = true
	f := failure.New(failure.StepVersionChanged, protocol.Outcome_RAN,
		"the server answered with other weights than those pinned for the training step").Failure
	return first(m.releaseWith(f, max(m.passed, chargedAtOnce), now), StopBackEnd{})
}

// recordGeneration has the ledger count a whole answer that is not kept. The answer ends after that.
func (m *Machine) recordGeneration(now time.Time) []Command {
	m.step.recording, m.step.whole = true, true
	f := failure.New(failure.OutcomeUnknown, protocol.Outcome_RAN, "the ledger did not record the generation").Failure
	return m.charge(f, now)
}

// giveUpRecording lets a generation count as discarded whose caller was told that it failed.
func (m *Machine) giveUpRecording() {
	if !m.step.recording {
		return
	}
	m.step.recording, m.step.whole = false, false
	m.release.Completed = false
}

// traceRelease says in a release on which versions the turn ran.
func (m *Machine) traceRelease() {
	if !m.isOfStep() || m.release.GetTokens() == 0 {
		return
	}
	m.release.WeightVersions, m.release.Completed = m.step.seen, m.step.whole
}

// isRefused reports whether the ledger decided against an operation.
func isRefused(status protocol.LedgerStatus) bool {
	switch status {
	case protocol.LedgerStatus_LEDGER_OK, protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_WRONG_PLACEMENT:
		return false
	default:
		return true
	}
}
