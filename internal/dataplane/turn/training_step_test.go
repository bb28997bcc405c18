package turn_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	stepName      = "run-1/step-2"
	pinnedVersion = 7
	otherVersion  = 8
)

// newStepScript returns the script of a turn of a training step.
func newStepScript(stateful bool) *script {
	request := httpRequest(stateful, 0, "")
	request.TrainingStep = stepName
	return newScript(request).on("resolve", turn.StepResolved{WeightVersion: pinnedVersion})
}

// headWithVersions returns the head of a stream that reports versions.
func headWithVersions(versions ...uint64) turn.Head {
	return turn.Head{Answer: &protocol.HttpAnswer{Status: 200}, WeightVersions: versions}
}

// eventWithVersion returns an event that reports a version, or none.
func eventWithVersion(data string, versions ...uint64) turn.Token {
	event := httpEvent(data)
	if len(versions) > 0 {
		event.WeightVersion, event.HasWeightVersion = versions[0], true
	}
	return event
}

// countDeltas counts the events of the server's stream that were emitted.
func (s *script) countDeltas() int {
	count := 0
	for _, event := range s.events {
		if event.GetDelta() != nil {
			count++
		}
	}
	return count
}

func (s *script) reserveOperation() *protocol.ReserveTurn {
	for _, command := range s.commands {
		if reserve, ok := command.(turn.Reserve); ok {
			return reserve.Operation
		}
	}
	return nil
}

// commandNames lists the commands that are answered by an event, in order.
func (s *script) commandNames() []string {
	var names []string
	for _, command := range s.commands {
		if name := commandName(command); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func TestTurnOfAStepResolvesItsVersionFirstAndNamesItToTheLedger(t *testing.T) {
	s := newStepScript(false).
		on("issue", headWithVersions(pinnedVersion), eventWithVersion("a"), eventWithVersion("b", pinnedVersion), httpDone).
		run()
	want := []string{"resolve", "admit", "reserve", "choose", "issue", "release"}
	if !slices.Equal(s.commandNames(), want) {
		t.Fatalf("commands %v, want %v", s.commandNames(), want)
	}
	reference := s.reserveOperation().GetTrainingStep()
	if reference.GetStep() != stepName || reference.GetWeightVersion() != pinnedVersion {
		t.Fatalf("reserved for %v, want step %q with version %d", reference, stepName, pinnedVersion)
	}
	if s.lastEvent().GetCompleted() == nil || s.countDeltas() != 2 {
		t.Fatalf("ended with %v after %d events, want a completed turn after 2", s.lastEvent(), s.countDeltas())
	}
	released := s.releaseOperation()
	if !released.GetCompleted() || released.GetTokens() != 2 ||
		!slices.Equal(released.GetWeightVersions(), []uint64{pinnedVersion}) {
		t.Fatalf("released %v, want a completed generation of 2 tokens on version %d", released, pinnedVersion)
	}
}

func TestRetainedTurnOfAStepIsCommittedWithItsVersions(t *testing.T) {
	s := newStepScript(true).on("issue", headWithVersions(pinnedVersion), eventWithVersion("a"), httpDone).run()
	for _, command := range s.commands {
		if commit, ok := command.(turn.Commit); ok {
			if !slices.Equal(commit.Operation.GetWeightVersions(), []uint64{pinnedVersion}) {
				t.Fatalf("committed %v, want version %d", commit.Operation, pinnedVersion)
			}
			return
		}
	}
	t.Fatal("the turn was not committed")
}

func TestTurnOfNoStepResolvesNothingAndNamesNoVersions(t *testing.T) {
	s := newScript(httpRequest(false, 9, "")).on("issue", headWithVersions(), httpEvent("a"), httpDone).run()
	if s.count("resolve") != 0 || s.reserveOperation().GetTrainingStep() != nil {
		t.Fatalf("commands %v, reserved with %v; want no resolve and no training step",
			s.commandNames(), s.reserveOperation())
	}
	if released := s.releaseOperation(); released.GetCompleted() || len(released.GetWeightVersions()) != 0 {
		t.Fatalf("released %v, want no completed generation and no versions", released)
	}
}

func TestStepWithoutVersionRejectsTurnBeforeAdmission(t *testing.T) {
	rejected := failure.New(failure.StepVersionUnavailable, protocol.Outcome_NOT_RUN, "none").Failure
	s := newStepScript(true).on("resolve", turn.StepNotResolved{Failure: rejected}).run()
	wantFailure(t, s, failure.StepVersionUnavailable, protocol.Outcome_NOT_RUN)
	if want := []string{"resolve"}; !slices.Equal(s.commandNames(), want) {
		t.Fatalf("commands %v, want %v", s.commandNames(), want)
	}
}

func TestProgramOfAnotherStepIsRejected(t *testing.T) {
	mismatch := turn.Reserved{Result: resultWithStatus(protocol.LedgerStatus_LEDGER_STEP_MISMATCH)}
	s := newStepScript(false).on("reserve", mismatch).run()
	wantFailure(t, s, failure.StepMismatch, protocol.Outcome_NOT_RUN)
	if s.count("issue") != 0 || s.lastEvent().GetFailed().GetStatus() != 409 {
		t.Fatalf("ended with %v after %d issues, want status 409 without an issue", s.lastEvent(), s.count("issue"))
	}
}

func TestAnswerOfAnotherVersionIsNotEmitted(t *testing.T) {
	for name, c := range map[string]struct {
		events  []turn.Event
		emitted int
		seen    []uint64
	}{
		"reported in the head": {[]turn.Event{headWithVersions(otherVersion)}, 0, []uint64{otherVersion}},
		"reported in a head with two versions": {
			[]turn.Event{headWithVersions(pinnedVersion, otherVersion)},
			0,
			[]uint64{pinnedVersion, otherVersion},
		},
		"absent from the head":    {[]turn.Event{headWithVersions()}, 0, nil},
		"unparseable in the head": {[]turn.Event{headWithVersions(0)}, 0, []uint64{0}},
		"reported in a later event": {
			[]turn.Event{headWithVersions(pinnedVersion), eventWithVersion("a"), eventWithVersion("b", otherVersion)},
			1,
			[]uint64{pinnedVersion, otherVersion},
		},
		"reported in a complete answer": {
			[]turn.Event{turn.CompleteAnswer{
				Answer:         &protocol.HttpAnswer{Status: 200},
				WeightVersions: []uint64{otherVersion},
			}}, 0, []uint64{otherVersion},
		},
	} {
		for _, stateful := range []bool{true, false} {
			s := newStepScript(stateful).on("issue", c.events...).run()
			wantFailure(t, s, failure.StepVersionChanged, protocol.Outcome_RAN)
			released := s.releaseOperation()
			if s.countDeltas() != c.emitted || s.count("commit") != 0 || s.count("issue") != 1 {
				t.Errorf("%s: %d events emitted, commands %v; want %d events, one issue and no commit",
					name, s.countDeltas(), s.commandNames(), c.emitted)
			}
			if released.GetCompleted() || released.GetTokens() == 0 || !slices.Equal(released.GetWeightVersions(), c.seen) {
				t.Errorf("%s: released %v, want a discarded generation that is charged, with versions %v", name, released, c.seen)
			}
		}
	}
}

func TestServerErrorIsEmittedRegardlessOfVersions(t *testing.T) {
	s := newStepScript(false).on("issue", httpBusy).run()
	if string(s.lastEvent().GetAnswered().GetBody()) != "busy" || s.releaseOperation().GetCompleted() {
		t.Fatalf("ended with %v, released %v; want the server's answer and no completed generation",
			s.lastEvent(), s.releaseOperation())
	}
}

func TestReleaseNamesNoMoreVersionsThanTheLedgerAccepts(t *testing.T) {
	var reported []uint64
	for version := range uint64(100) {
		reported = append(reported, pinnedVersion, version+100)
	}
	s := newStepScript(false).on("issue", headWithVersions(reported...)).run()
	wantFailure(t, s, failure.StepVersionChanged, protocol.Outcome_RAN)
	if versions := s.releaseOperation().GetWeightVersions(); len(versions) != ledger.MaxWeightVersions ||
		!slices.Contains(versions, 100) {
		t.Fatalf("released with versions %v, want %d versions and 100 among them", versions, ledger.MaxWeightVersions)
	}
}

func TestWrongVersionUsesNoRetryBudget(t *testing.T) {
	wrongVersion := turn.BackEndFailed{Fault: turn.FaultWrongVersion, Detail: "421"}
	s := newStepScript(false).on("choose", turn.Chosen{BackEnd: "b1"}, turn.Chosen{BackEnd: "b2"}).
		on("issue", wrongVersion).run()
	if s.count("issue") != 2 || s.count("retry") != 0 || s.count("release") != 0 {
		t.Fatalf("commands %v, want two issues, no retry and no release", s.commandNames())
	}
	none := turn.NotChosen{Failure: failure.New(failure.StepVersionUnavailable, protocol.Outcome_NOT_RUN, "none").Failure}
	s = newStepScript(false).on("choose", turn.Chosen{BackEnd: "b1"}, none).on("issue", wrongVersion).run()
	wantFailure(t, s, failure.StepVersionUnavailable, protocol.Outcome_NOT_RUN)
	if s.releaseOperation().GetTokens() != 0 || len(s.releaseOperation().GetWeightVersions()) != 0 ||
		s.lastEvent().GetFailed().GetRetryAfterMillis() == 0 {
		t.Fatalf("ended with %v, released %v; want a retry delay and a release without a charge and versions",
			s.lastEvent(), s.releaseOperation())
	}
}

func TestUnrecordedGenerationIsNotReportedComplete(t *testing.T) {
	for _, rejection := range []protocol.LedgerStatus{
		protocol.LedgerStatus_LEDGER_UNAVAILABLE, protocol.LedgerStatus_LEDGER_FENCED,
		protocol.LedgerStatus_LEDGER_NOT_RESERVED,
		protocol.LedgerStatus_LEDGER_ALREADY_FINISHED,
	} {
		answers := []turn.Event{turn.Released{Result: resultWithStatus(rejection)}}
		if rejection == protocol.LedgerStatus_LEDGER_UNAVAILABLE {
			for range 20 {
				answers = append(answers, answers[0])
			}
			answers = append(answers, turn.Released{Result: okResult})
		}
		s := newStepScript(false).on("issue", headWithVersions(pinnedVersion), eventWithVersion("a"), httpDone).
			on("release", answers...).run()
		if f := s.lastEvent().GetFailed(); f.GetOutcome() != protocol.Outcome_RAN || !s.machine.Done() {
			t.Errorf("%v: ended with %v, done: %t; want a failure with outcome RAN and a done machine",
				rejection, s.lastEvent(), s.machine.Done())
		}
	}
}

// stepObserver checks what the caller and the ledger observe of a turn of a training step.
type stepObserver struct {
	t                *rapid.T
	reportedVersions []uint64
	sawOtherVersion  bool
	recorded         bool
	terminal         *protocol.TurnEvent
}

// observeVersions records the versions of the server's next event. An event that is required to report one and reports
// none counts as one of another version.
func (o *stepObserver) observeVersions(versions []uint64, required bool) {
	o.reportedVersions = append(o.reportedVersions, versions...)
	o.sawOtherVersion = o.sawOtherVersion || required && len(versions) == 0 ||
		slices.ContainsFunc(versions, func(version uint64) bool { return version != pinnedVersion })
}

func (o *stepObserver) observeCommand(command turn.Command) {
	switch command := command.(type) {
	case turn.Emit:
		if o.sawOtherVersion && (command.Event.GetDelta() != nil || command.Event.GetCompleted() != nil) {
			o.t.Fatalf("%v was emitted after the server reported another version", command.Event)
		}
		if command.Event.GetCompleted() != nil && !o.recorded {
			o.t.Fatal("the answer was completed before the ledger recorded the generation")
		}
		if command.Event.GetCompleted() != nil || command.Event.GetFailed() != nil {
			o.terminal = command.Event
		}
	case turn.Commit:
		o.checkVersions(command.Operation.GetWeightVersions())
	case turn.Release:
		if command.Operation.GetTokens() > 0 {
			o.checkVersions(command.Operation.GetWeightVersions())
		}
		if command.Operation.GetCompleted() && o.sawOtherVersion {
			o.t.Fatal("the generation was released as completed although the server reported another version")
		}
	}
}

// checkVersions checks that the ledger gets each version that the server reported.
func (o *stepObserver) checkVersions(versions []uint64) {
	if want := slices.Compact(slices.Clone(o.reportedVersions)); !slices.Equal(versions, want) {
		o.t.Fatalf("the ledger got versions %v, want %v as the server reported", versions, want)
	}
}

func TestTurnOfAStepNeverMixesVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStepScript(rapid.Bool().Draw(t, "stateful"))
		o := &stepObserver{t: t}
		versions := rapid.SliceOfN(
			rapid.SampledFrom([]uint64{pinnedVersion, pinnedVersion, pinnedVersion, otherVersion, 0}), 0, 1,
		)
		pending := s.machine.Apply(turn.Begun{}, s.now)
		streaming, begun := false, false
		for step := 0; !s.machine.Done() || len(pending) > 0; step++ {
			if step > 2000 {
				t.Fatal("the turn did not end within 2000 steps")
			}
			var event turn.Event
			switch {
			case len(pending) > 0:
				command := pending[0]
				pending = pending[1:]
				o.observeCommand(command)
				switch command.(type) {
				case turn.Issue:
					streaming, begun = true, false
					continue
				case turn.StopBackEnd:
					streaming = false
					continue
				case turn.ResolveStep:
					event = turn.StepResolved{WeightVersion: pinnedVersion}
				default:
					event = drawAnswer(t, command)
				}
			case streaming && !begun:
				begun = true
				reported := versions.Draw(t, "head versions")
				o.observeVersions(reported, true)
				event = headWithVersions(reported...)
			case streaming:
				event = drawStepEvent(t, o, versions)
				streaming = !endsAttempt(event)
			}
			if event == nil {
				continue
			}
			switch event := event.(type) {
			case turn.Committed:
				o.recorded = o.recorded || event.Result.GetStatus() == protocol.LedgerStatus_LEDGER_OK ||
					event.Result.GetFinished().GetOutcome() == protocol.RequestOutcome_OUTCOME_SETTLED
			case turn.Released:
				o.recorded = o.recorded || event.Result.GetStatus() == protocol.LedgerStatus_LEDGER_OK
			}
			pending = append(pending, s.machine.Apply(event, s.now)...)
			s.now = s.now.Add(eventInterval)
		}
		if o.sawOtherVersion && o.terminal.GetFailed() == nil {
			t.Fatalf("the server reported another version, but the turn ended with %v, want a failure", o.terminal)
		}
	})
}

// eventInterval is the virtual time between two events.
const eventInterval = 10_000_000

// drawStepEvent draws what the server of a turn of a step sends after its head.
func drawStepEvent(t *rapid.T, o *stepObserver, versions *rapid.Generator[[]uint64]) turn.Event {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		return turn.BackEndFailed{Fault: turn.FaultBroken, Detail: "drawn"}
	case 1:
		return drawStop(t)
	case 2:
		return httpDone
	default:
		reported := versions.Draw(t, "versions")
		o.observeVersions(reported, false)
		return eventWithVersion("x", reported...)
	}
}
