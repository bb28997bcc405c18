package schedule_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestRejectionsDoNotAffectOutlierDetection(t *testing.T) {
	now := time.Unix(1000, 0)
	var outlier schedule.OutlierDetector
	for range 100 {
		if outlier.Observe(schedule.OutcomeNotExecuted, now) {
			t.Fatal("a server was ejected for rejections")
		}
	}
	for range 4 {
		outlier.Observe(schedule.OutcomeFault, now)
	}
	outlier.Observe(schedule.OutcomeNotExecuted, now)
	if !outlier.Observe(schedule.OutcomeFault, now) {
		t.Fatal("not ejected after five faults with a rejection between them")
	}
}

func TestUnreachableServerIsEjectedAtOnceAndBrieflyAtFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	var outlier schedule.OutlierDetector
	if !outlier.Observe(schedule.OutcomeUnreachable, now) || !outlier.Unreachable() {
		t.Fatal("an unreachable server was not ejected")
	}
	if until := outlier.EjectedUntil(); !until.Equal(now.Add(time.Second)) {
		t.Fatalf("ejected until %v, want for one second", until)
	}
	if outlier.Observe(schedule.OutcomeUnreachable, now) {
		t.Fatal("an ejected server was ejected again")
	}
	now = outlier.EjectedUntil()
	outlier.Observe(schedule.OutcomeUnreachable, now)
	if until := outlier.EjectedUntil(); !until.Equal(now.Add(2 * time.Second)) {
		t.Fatalf("ejected until %v the second time, want for two seconds", until)
	}
	if outlier.Observe(schedule.OutcomeAnswered, now); outlier.Unreachable() {
		t.Fatal("still unreachable after it answered")
	}
}

func TestShareOfFaultsEjectsWithoutConsecutiveOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	fault, answer := schedule.OutcomeFault, schedule.OutcomeAnswered
	var failing, mostlyHealthy schedule.OutlierDetector
	ejected := false
	for range 20 {
		for _, outcome := range []schedule.Outcome{fault, fault, fault, answer} {
			ejected = failing.Observe(outcome, now) || ejected
		}
		for _, outcome := range []schedule.Outcome{fault, answer, answer} {
			if mostlyHealthy.Observe(outcome, now) {
				t.Fatal("a share of one fault in three ejected a server")
			}
		}
	}
	if !ejected {
		t.Fatal("a share of three faults in four did not eject a server")
	}
}

func TestEjectionLeavesHalfOfTheGroupInUse(t *testing.T) {
	candidates := servers(0, 0, 0, 0, 0)
	for i := range 4 {
		candidates[i].Ejected = true
		candidates[i].EjectedUntil = time.Unix(int64(1000-i), 0)
	}
	used := map[string]bool{}
	for sequence := range uint64(20) {
		decision := schedule.Choose(
			schedule.Request{Algorithm: protocol.SchedulingAlgorithm_ROUND_ROBIN, Sequence: sequence}, candidates, nil,
		)
		used[decision.Chosen] = true
	}
	if len(used) != 3 || !used["s04"] || !used["s03"] || !used["s02"] {
		t.Fatalf("used %v, want the healthy server and the two whose ejections end first", used)
	}
}

func TestUnreachableServerIsUsedOnlyWhenNoOtherIsLeft(t *testing.T) {
	candidates := servers(0, 0, 0)
	for i := range candidates {
		candidates[i].Ejected = true
		candidates[i].Unreachable = i > 0
	}
	for sequence := range uint64(6) {
		request := schedule.Request{Algorithm: protocol.SchedulingAlgorithm_ROUND_ROBIN, Sequence: sequence}
		if chosen := schedule.Choose(request, candidates, nil).Chosen; chosen != "s00" {
			t.Fatalf("chose %s, want the only reachable server s00", chosen)
		}
	}
	candidates[0].Draining = true
	if chosen := schedule.Choose(schedule.Request{}, candidates, nil).Chosen; chosen == "" {
		t.Fatal("chose no server although the unreachable ones may have recovered")
	}
}
