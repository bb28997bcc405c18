package serverhealth

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_764_650_000, 0)

// scenario is a detector with the time that a test moves.
type scenario struct {
	t        *testing.T
	detector Detector
	now      time.Time
}

func newScenario(t *testing.T) *scenario { return &scenario{t: t, now: start} }

func (s *scenario) pass(by time.Duration) { s.now = s.now.Add(by) }

func (s *scenario) report(node, zone string, outcomes Outcomes) {
	if outcomes.Server == "" {
		outcomes.Server = "s1"
	}
	s.detector.Merge(Report{Node: node, Zone: zone, Outcomes: []Outcomes{outcomes}}, s.now)
}

func (s *scenario) expect(zone string, ejected bool, why string) {
	s.t.Helper()
	if got := len(s.detector.Ejected(zone, s.now)) > 0; got != ejected {
		s.t.Errorf("ejected %t in %q: %s", got, zone, why)
	}
}

func TestFaultsObservedBySeveralFrontNodesEjectAServer(t *testing.T) {
	s := newScenario(t)
	for node := range minFaults - 1 {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1})
	}
	s.expect("z2", false, "too few faults")
	s.report("f9", "z2", Outcomes{Faults: 1})
	s.expect("z1", true, "each front node alone saw one fault")
	s.expect("z3", true, "it is ejected in all zones")
	s.pass(initialEjection)
	s.expect("z1", false, "it is tried again")
}

func TestOneFrontNodeAloneEjectsNoServer(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Faults: 50, Overdue: 50})
	s.expect("z1", false, "its own link may be at fault")
}

func TestFaultsAmongManyAnswersEjectNoServer(t *testing.T) {
	s := newScenario(t)
	for node := range 20 {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1, Answered: 19})
	}
	s.expect("z1", false, "one answer in twenty is lost at all servers")
}

func TestFaultsOutsideTheWindowDoNotCount(t *testing.T) {
	s := newScenario(t)
	for node := range 2 * minFaults {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1})
		s.pass(window)
	}
	s.expect("z1", false, "no two faults lie in one window")
}

func TestUnresponsiveServerIsEjectedBeforeAnyRequestFailed(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Answered: 9})
	s.report("f1", "z1", Outcomes{Overdue: 2})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.expect("z1", false, "it answered a moment ago")
	s.pass(unresponsiveAfter)
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.expect("z1", true, "four requests wait and nothing was answered since")
}

func TestLateAnswersUnderABurstEjectNoServer(t *testing.T) {
	s := newScenario(t)
	for range 10 {
		s.pass(200 * time.Millisecond)
		for node := range 5 {
			s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Overdue: 3, Answered: 1})
		}
		s.expect("z1", false, "it answers, though late")
	}
}

func TestOverdueRequestsExpireWithoutFurtherReports(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Overdue: 3})
	s.pass(overdueTTL + time.Millisecond)
	s.report("f2", "z1", Outcomes{Overdue: 3})
	s.expect("z1", false, "the report of f1 is too old")
}

func TestServerThatOneZoneCannotUseIsEjectedThereAlone(t *testing.T) {
	s := newScenario(t)
	for node := range 10 {
		s.report(fmt.Sprintf("good%d", node), "z2", Outcomes{Answered: 5})
	}
	s.report("f1", "z1", Outcomes{Faults: 2})
	s.report("f2", "z1", Outcomes{Faults: 2})
	s.expect("z1", true, "all requests of the zone failed")
	s.expect("z2", false, "there it answers")
}

func TestServerThatFailsAgainIsEjectedForLonger(t *testing.T) {
	s := newScenario(t)
	fail := func() {
		s.report("f1", "z1", Outcomes{Faults: 2})
		s.report("f2", "z2", Outcomes{Faults: 2})
	}
	for _, duration := range []time.Duration{initialEjection, 2 * initialEjection, maxEjection, maxEjection} {
		fail()
		s.pass(duration - time.Millisecond)
		s.expect("z1", true, "it failed again soon after it was tried again")
		s.pass(time.Millisecond)
		s.expect("z1", false, "the ejection ended")
	}
	s.pass(forgiveAfter + time.Millisecond)
	fail()
	s.pass(initialEjection)
	s.expect("z1", false, "former faults are forgiven")
}

func TestNewIncarnationBeginsWithoutFaults(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Incarnation: 1, Faults: 2})
	s.report("f2", "z1", Outcomes{Incarnation: 1, Faults: 2})
	s.expect("z1", true, "it fails")
	s.report("f1", "z1", Outcomes{Incarnation: 2, Answered: 1})
	s.expect("z1", false, "another process answers at its name")
	s.report("f2", "z1", Outcomes{Incarnation: 1, Faults: 9})
	s.expect("z1", false, "faults of the former one come late")
}

func TestServersWithoutReportsAreRemoved(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Server: "gone", Faults: 1})
	s.pass(idleTTL + time.Millisecond)
	s.report("f1", "z1", Outcomes{Server: "s1", Answered: 1})
	if len(s.detector.servers) != 1 {
		t.Errorf("%d servers have state", len(s.detector.servers))
	}
}

func TestAnswerReportedLateCountsFromItsArrival(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Answered: 5, ResponseAge: unresponsiveAfter})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.report("f3", "z2", Outcomes{Overdue: 2})
	s.expect("z1", true, "the answers reported a moment ago are too old")
}

func TestFirstEventsOfStreamsAreResponses(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Responded: true, ResponseAge: unresponsiveAfter / 2})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.report("f3", "z2", Outcomes{Overdue: 2})
	s.expect("z1", false, "a stream began at it a moment ago")
}

func TestVersionGrowsWithEachEjection(t *testing.T) {
	s := newScenario(t)
	fail := func(server string) {
		s.report("f1", "z1", Outcomes{Server: server, Faults: 2})
		s.report("f2", "z2", Outcomes{Server: server, Faults: 2})
	}
	if s.detector.Version() != 0 {
		t.Errorf("version %d before any ejection", s.detector.Version())
	}
	fail("s1")
	first := s.detector.Version()
	fail("s1")
	if s.detector.Version() != first || first == 0 {
		t.Errorf("version %d, then %d while the same server is ejected", first, s.detector.Version())
	}
	fail("s2")
	if s.detector.Version() <= first {
		t.Errorf("version %d after another ejection, %d before", s.detector.Version(), first)
	}
}
