package serverhealth

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_764_650_000, 0)

// story is a board with the time that a test moves.
type story struct {
	t     *testing.T
	board Board
	now   time.Time
}

func newStory(t *testing.T) *story { return &story{t: t, now: start} }

func (s *story) pass(by time.Duration) { s.now = s.now.Add(by) }

func (s *story) report(node, zone string, outcomes Outcomes) {
	if outcomes.Server == "" {
		outcomes.Server = "s1"
	}
	s.board.Take(Report{Node: node, Zone: zone, Outcomes: []Outcomes{outcomes}}, s.now)
}

func (s *story) expect(zone string, suspect bool, why string) {
	s.t.Helper()
	if found := len(s.board.Suspects(zone, s.now)) > 0; found != suspect {
		s.t.Errorf("suspect %t in %q: %s", found, zone, why)
	}
}

func TestFaultsThatSeveralFrontNodesSawMakeAServerSuspect(t *testing.T) {
	s := newStory(t)
	for node := range leastFaults - 1 {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1})
	}
	s.expect("z2", false, "too few faults")
	s.report("f9", "z2", Outcomes{Faults: 1})
	s.expect("z1", true, "each front node alone saw one fault")
	s.expect("z3", true, "it is avoided in all zones")
	s.pass(firstHold)
	s.expect("z1", false, "it is tried again")
}

func TestOneFrontNodeAloneMakesNothingSuspect(t *testing.T) {
	s := newStory(t)
	s.report("f1", "z1", Outcomes{Faults: 50, Overdue: 50})
	s.expect("z1", false, "its own link may be at fault")
}

func TestFaultsAmongManyAnswersMakeNothingSuspect(t *testing.T) {
	s := newStory(t)
	for node := range 20 {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1, Answered: 19})
	}
	s.expect("z1", false, "one answer in twenty is lost at all servers")
}

func TestFaultsThatAreLongPastDoNotCount(t *testing.T) {
	s := newStory(t)
	for node := range 2 * leastFaults {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1})
		s.pass(window)
	}
	s.expect("z1", false, "no two faults lie in one window")
}

func TestAServerThatAnswersNothingIsSuspectBeforeAnyRequestFailed(t *testing.T) {
	s := newStory(t)
	s.report("f1", "z1", Outcomes{Answered: 9})
	s.report("f1", "z1", Outcomes{Overdue: 2})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.expect("z1", false, "it answered a moment ago")
	s.pass(silence)
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.expect("z1", true, "four requests wait and nothing was answered since")
}

func TestLateAnswersUnderABurstMakeNothingSuspect(t *testing.T) {
	s := newStory(t)
	for range 10 {
		s.pass(200 * time.Millisecond)
		for node := range 5 {
			s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Overdue: 3, Answered: 1})
		}
		s.expect("z1", false, "it answers, though late")
	}
}

func TestRequestsThatWaitAreForgottenWhenTheirFrontNodeFallsSilent(t *testing.T) {
	s := newStory(t)
	s.report("f1", "z1", Outcomes{Overdue: 3})
	s.pass(overdueLife + time.Millisecond)
	s.report("f2", "z1", Outcomes{Overdue: 3})
	s.expect("z1", false, "what f1 said is too old")
}

func TestAServerThatOneZoneCannotUseIsAvoidedThereAlone(t *testing.T) {
	s := newStory(t)
	for node := range 10 {
		s.report(fmt.Sprintf("good%d", node), "z2", Outcomes{Answered: 5})
	}
	s.report("f1", "z1", Outcomes{Faults: 2})
	s.report("f2", "z1", Outcomes{Faults: 2})
	s.expect("z1", true, "all requests of the zone failed")
	s.expect("z2", false, "there it answers")
}

func TestAServerThatFailsAgainIsAvoidedForLonger(t *testing.T) {
	s := newStory(t)
	fail := func() {
		s.report("f1", "z1", Outcomes{Faults: 2})
		s.report("f2", "z2", Outcomes{Faults: 2})
	}
	for _, hold := range []time.Duration{firstHold, 2 * firstHold, longestHold, longestHold} {
		fail()
		s.pass(hold - time.Millisecond)
		s.expect("z1", true, "it failed again soon after it was tried again")
		s.pass(time.Millisecond)
		s.expect("z1", false, "the time is over")
	}
	s.pass(forgiveAfter + time.Millisecond)
	fail()
	s.pass(firstHold)
	s.expect("z1", false, "former faults are forgiven")
}

func TestANewIncarnationBeginsWithoutFaults(t *testing.T) {
	s := newStory(t)
	s.report("f1", "z1", Outcomes{Incarnation: 1, Faults: 2})
	s.report("f2", "z1", Outcomes{Incarnation: 1, Faults: 2})
	s.expect("z1", true, "it fails")
	s.report("f1", "z1", Outcomes{Incarnation: 2, Answered: 1})
	s.expect("z1", false, "another process answers at its name")
	s.report("f2", "z1", Outcomes{Incarnation: 1, Faults: 9})
	s.expect("z1", false, "faults of the former one come late")
}

func TestServersThatNobodyReportsAreForgotten(t *testing.T) {
	s := newStory(t)
	s.report("f1", "z1", Outcomes{Server: "gone", Faults: 1})
	s.pass(idleLife + time.Millisecond)
	s.report("f1", "z1", Outcomes{Server: "s1", Answered: 1})
	if len(s.board.servers) != 1 {
		t.Errorf("%d servers are remembered", len(s.board.servers))
	}
}

func TestAnAnswerReportedLateCountsFromWhenItCame(t *testing.T) {
	s := newStory(t)
	s.report("f1", "z1", Outcomes{Answered: 5, SignAge: silence})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.report("f3", "z2", Outcomes{Overdue: 2})
	s.expect("z1", true, "the answers told a moment ago are older than the silence")
}

func TestTheFirstEventsOfStreamsAreSignsOfAnswers(t *testing.T) {
	s := newStory(t)
	s.report("f1", "z1", Outcomes{Heard: true, SignAge: silence / 2})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.report("f3", "z2", Outcomes{Overdue: 2})
	s.expect("z1", false, "a stream began at it a moment ago")
}

func TestTheVersionGrowsWithEachSuspect(t *testing.T) {
	s := newStory(t)
	fail := func(server string) {
		s.report("f1", "z1", Outcomes{Server: server, Faults: 2})
		s.report("f2", "z2", Outcomes{Server: server, Faults: 2})
	}
	if s.board.Version() != 0 {
		t.Errorf("version %d before any suspect", s.board.Version())
	}
	fail("s1")
	first := s.board.Version()
	fail("s1")
	if s.board.Version() != first || first == 0 {
		t.Errorf("version %d, then %d while the same server is suspect", first, s.board.Version())
	}
	fail("s2")
	if s.board.Version() <= first {
		t.Errorf("version %d after another suspect, %d before", s.board.Version(), first)
	}
}
