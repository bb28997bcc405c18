package schedule_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestRejectionsShowNothingOfHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	var outlier schedule.OutlierDetector
	for range 100 {
		if outlier.Observe(schedule.OutcomeNotExecuted, now) {
			t.Fatal("a full server was ejected")
		}
	}
	for range 4 {
		outlier.Observe(schedule.OutcomeFault, now)
	}
	outlier.Observe(schedule.OutcomeNotExecuted, now)
	if !outlier.Observe(schedule.OutcomeFault, now) {
		t.Fatal("a rejection ended consecutive faults")
	}
}

func TestUnreachableServerIsEjectedAtOnceAndBrieflyAtFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	var outlier schedule.OutlierDetector
	if !outlier.Observe(schedule.OutcomeUnreachable, now) || !outlier.Unreachable() {
		t.Fatal("not ejected")
	}
	if until := outlier.EjectedUntil(); !until.Equal(now.Add(time.Second)) {
		t.Fatalf("ejected until %v", until)
	}
	if outlier.Observe(schedule.OutcomeUnreachable, now) {
		t.Fatal("ejected twice at once")
	}
	now = outlier.EjectedUntil()
	outlier.Observe(schedule.OutcomeUnreachable, now)
	if until := outlier.EjectedUntil(); !until.Equal(now.Add(2 * time.Second)) {
		t.Fatalf("ejected until %v the second time", until)
	}
	if outlier.Observe(schedule.OutcomeAnswered, now); outlier.Unreachable() {
		t.Fatal("unreachable although it answered")
	}
}

func TestShareOfFaultsEjectsWithoutConsecutiveOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	fault, answer := schedule.OutcomeFault, schedule.OutcomeAnswered
	var sick, fair schedule.OutlierDetector
	ejected := false
	for range 20 {
		for _, outcome := range []schedule.Outcome{fault, fault, fault, answer} {
			ejected = sick.Observe(outcome, now) || ejected
		}
		for _, outcome := range []schedule.Outcome{fault, answer, answer} {
			if fair.Observe(outcome, now) {
				t.Fatal("a third of faults ejected a server")
			}
		}
	}
	if !ejected {
		t.Fatal("three faults of four did not eject a server")
	}
}

func TestEjectionLeavesHalfOfTheGroupInUse(t *testing.T) {
	candidates := servers(0, 0, 0, 0, 0)
	for at := range 4 {
		candidates[at].Ejected = true
		candidates[at].EjectedUntil = time.Unix(int64(1000-at), 0)
	}
	used := map[string]bool{}
	for sequence := range uint64(20) {
		decision := schedule.Choose(
			schedule.Request{Algorithm: protocol.SchedulingAlgorithm_ROUND_ROBIN, Sequence: sequence}, candidates, nil,
		)
		used[decision.Chosen] = true
	}
	if len(used) != 3 || !used["s04"] || !used["s03"] || !used["s02"] {
		t.Fatalf("used %v: the healthy one and the two that come back first", used)
	}
}

func TestUnreachableServerIsUsedOnlyWhenNoOtherIsLeft(t *testing.T) {
	candidates := servers(0, 0, 0)
	for at := range candidates {
		candidates[at].Ejected = true
		candidates[at].Unreachable = at > 0
	}
	for sequence := range uint64(6) {
		request := schedule.Request{Algorithm: protocol.SchedulingAlgorithm_ROUND_ROBIN, Sequence: sequence}
		if chosen := schedule.Choose(request, candidates, nil).Chosen; chosen != "s00" {
			t.Fatalf("chose %s", chosen)
		}
	}
	candidates[0].Draining = true
	if chosen := schedule.Choose(schedule.Request{}, candidates, nil).Chosen; chosen == "" {
		t.Fatal("chose nothing although nothing is proved of the servers now")
	}
}
