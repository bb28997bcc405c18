package serverhealth

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_764_650_000, 0)

// scenario is a detector with a clock that the test advances.
type scenario struct {
	t        *testing.T
	detector Detector
	now      time.Time
}

func newScenario(t *testing.T) *scenario { return &scenario{t: t, now: start} }

func (s *scenario) advance(by time.Duration) { s.now = s.now.Add(by) }

func (s *scenario) report(node, zone string, outcomes Outcomes) {
	if outcomes.Server == "" {
		outcomes.Server = "s1"
	}
	s.detector.Merge(Report{Node: node, Zone: zone, Outcomes: []Outcomes{outcomes}}, s.now)
}

func (s *scenario) expect(zone string, ejected bool, why string) {
	s.t.Helper()
	if got := len(s.detector.Ejected(zone, s.now)) > 0; got != ejected {
		s.t.Errorf("zone %q: ejected = %t, want %t: %s", zone, got, ejected, why)
	}
}

func TestFaultsObservedBySeveralFrontNodesEjectAServer(t *testing.T) {
	s := newScenario(t)
	for node := range minFaults - 1 {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1})
	}
	s.expect("z2", false, "too few faults")
	s.report("f9", "z2", Outcomes{Faults: 1})
	s.expect("z1", true, "several front nodes observed one fault each")
	s.expect("z3", true, "the ejection applies to all zones")
	s.advance(initialEjection)
	s.expect("z1", false, "the ejection ended")
}

func TestOneFrontNodeAloneEjectsNoServer(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Faults: 50, Overdue: 50})
	s.expect("z1", false, "the fault may be in the front node's own link")
}

func TestFaultsAmongManyAnswersEjectNoServer(t *testing.T) {
	s := newScenario(t)
	for node := range 20 {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1, Answered: 19})
	}
	s.expect("z1", false, "a share of one fault in twenty outcomes is below faultShare")
}

func TestFaultsOutsideTheWindowDoNotCount(t *testing.T) {
	s := newScenario(t)
	for node := range 2 * minFaults {
		s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Faults: 1})
		s.advance(window)
	}
	s.expect("z1", false, "too few faults are within one window")
}

func TestUnresponsiveServerIsEjectedBeforeAnyRequestFailed(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Answered: 9})
	s.report("f1", "z1", Outcomes{Overdue: 2})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.expect("z1", false, "the server answered recently")
	s.advance(unresponsiveAfter)
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.expect("z1", true, "four requests are overdue and no answer arrived for unresponsiveAfter")
}

func TestLateAnswersUnderABurstEjectNoServer(t *testing.T) {
	s := newScenario(t)
	for range 10 {
		s.advance(200 * time.Millisecond)
		for node := range 5 {
			s.report(fmt.Sprintf("f%d", node), "z1", Outcomes{Overdue: 3, Answered: 1})
		}
		s.expect("z1", false, "the server answers, although late")
	}
}

func TestOverdueRequestsExpireWithoutFurtherReports(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Overdue: 3})
	s.advance(overdueTTL + time.Millisecond)
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
	s.expect("z2", false, "the server answers in this zone")
}

func TestServerThatFailsAgainIsEjectedForLonger(t *testing.T) {
	s := newScenario(t)
	fail := func() {
		s.report("f1", "z1", Outcomes{Faults: 2})
		s.report("f2", "z2", Outcomes{Faults: 2})
	}
	for _, duration := range []time.Duration{initialEjection, 2 * initialEjection, maxEjection, maxEjection} {
		fail()
		s.advance(duration - time.Millisecond)
		s.expect("z1", true, "the server failed again soon after its last ejection")
		s.advance(time.Millisecond)
		s.expect("z1", false, "the ejection ended")
	}
	s.advance(forgiveAfter + time.Millisecond)
	fail()
	s.advance(initialEjection)
	s.expect("z1", false, "a server without faults for forgiveAfter is ejected for initialEjection again")
}

func TestNewIncarnationBeginsWithoutFaults(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Incarnation: 1, Faults: 2})
	s.report("f2", "z1", Outcomes{Incarnation: 1, Faults: 2})
	s.expect("z1", true, "incarnation 1 fails")
	s.report("f1", "z1", Outcomes{Incarnation: 2, Answered: 1})
	s.expect("z1", false, "the ejection was of incarnation 1")
	s.report("f2", "z1", Outcomes{Incarnation: 1, Faults: 9})
	s.expect("z1", false, "late reports on incarnation 1 do not count")
}

func TestServersWithoutReportsAreRemoved(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Server: "gone", Faults: 1})
	s.advance(idleTTL + time.Millisecond)
	s.report("f1", "z1", Outcomes{Server: "s1", Answered: 1})
	if len(s.detector.servers) != 1 {
		t.Errorf("state of %d servers, want only that of s1", len(s.detector.servers))
	}
}

func TestAnswerReportedLateCountsFromItsArrival(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Answered: 5, ResponseAge: unresponsiveAfter})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.report("f3", "z2", Outcomes{Overdue: 2})
	s.expect("z1", true, "the answers arrived unresponsiveAfter ago")
}

func TestFirstEventsOfStreamsAreResponses(t *testing.T) {
	s := newScenario(t)
	s.report("f1", "z1", Outcomes{Responded: true, ResponseAge: unresponsiveAfter / 2})
	s.report("f2", "z2", Outcomes{Overdue: 2})
	s.report("f3", "z2", Outcomes{Overdue: 2})
	s.expect("z1", false, "a stream of the server began recently")
}

func TestVersionGrowsWithEachEjection(t *testing.T) {
	s := newScenario(t)
	fail := func(server string) {
		s.report("f1", "z1", Outcomes{Server: server, Faults: 2})
		s.report("f2", "z2", Outcomes{Server: server, Faults: 2})
	}
	if s.detector.Version() != 0 {
		t.Errorf("version = %d before any ejection, want 0", s.detector.Version())
	}
	fail("s1")
	first := s.detector.Version()
	fail("s1")
	if s.detector.Version() != first || first == 0 {
		t.Errorf("version = %d, then %d while the same server is ejected; want the same, not 0", first, s.detector.Version())
	}
	fail("s2")
	if s.detector.Version() <= first {
		t.Errorf("version = %d after another ejection, want more than %d", s.detector.Version(), first)
	}
}
