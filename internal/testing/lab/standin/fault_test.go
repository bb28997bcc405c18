package standin_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

func TestFaultsFollowSeedAndProbabilities(t *testing.T) {
	plan := standin.FaultPlan{Seed: 7, Probabilities: map[standin.Fault]float64{
		standin.FaultStall: 0.1,
		standin.FaultLate:  0.2,
	}}
	counts := map[standin.Fault]int{}
	const requests = 20000
	for i := range requests {
		id := fmt.Sprintf("r%d", i)
		fault := plan.Pick(id, 1)
		if fault != plan.Pick(id, 1) {
			t.Fatal("the same run has two faults")
		}
		counts[fault]++
	}
	for fault, want := range map[standin.Fault]float64{
		standin.FaultStall: 0.1, standin.FaultLate: 0.2,
		standin.FaultNone: 0.7,
	} {
		if share := float64(counts[fault]) / requests; share < want-0.02 || share > want+0.02 {
			t.Errorf("%q on %.3f of requests, want %.1f", fault, share, want)
		}
	}
}

func TestNamedRequestFailsOnce(t *testing.T) {
	plan := standin.FaultPlan{Requests: map[string]standin.Fault{"r1": standin.FaultDieBefore}}
	if plan.Pick("r1", 1) != standin.FaultDieBefore || plan.Pick("r1", 2) != standin.FaultNone ||
		plan.Pick("r2", 1) != standin.FaultNone {
		t.Fatal("the fault strikes elsewhere than on the first run of r1")
	}
}

func TestInvalidPlansAreRejected(t *testing.T) {
	for name, plan := range map[string]standin.FaultPlan{
		"probabilities.explode": {Probabilities: map[standin.Fault]float64{"explode": 0.1}},
		"probabilities.late":    {Probabilities: map[standin.Fault]float64{standin.FaultLate: -1}},
		"probabilities":         {Probabilities: map[standin.Fault]float64{standin.FaultLate: 0.6, standin.FaultStall: 0.6}},
		"requests.r1":           {Requests: map[string]standin.Fault{"r1": "explode"}},
	} {
		err := standin.NewFaultSwitch(standin.FaultPlan{}).Replace(plan)
		var refused *standin.FaultPlanError
		if !errors.As(err, &refused) || refused.Path != name {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestTornLastLineIsIgnoredACorruptOneIsNot(t *testing.T) {
	whole := `{"phase":"started","server":"a"}` + "\n"
	entries, err := standin.ParseJournal([]byte(whole + `{"phase":"fin`))
	if err != nil || len(entries) != 1 {
		t.Fatalf("%d entries, %v", len(entries), err)
	}
	if _, err := standin.ParseJournal([]byte(`{"phase":"fin` + "\n" + whole)); err == nil {
		t.Fatal("a corrupt line in the middle went unseen")
	}
}
