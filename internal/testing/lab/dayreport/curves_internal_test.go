package dayreport

import (
	"slices"
	"testing"
)

func TestCurvesRepeatTheLastValueWhereNothingWasSent(t *testing.T) {
	day, err := Read("testdata/day.json")
	if err != nil {
		t.Fatal(err)
	}
	if got := day.served().curves[0].values; !slices.Equal(got, []float64{100, 100, 100, 50, 25, 50, 50}) {
		t.Errorf("served in aim: %v", got)
	}
	if got := day.times().curves[0].values; !slices.Equal(got, []float64{300, 300, 310, 500, 600, 800, 800}) {
		t.Errorf("median times: %v", got)
	}
	if got := day.edges(); !slices.Equal(got, []float64{0, 2, 4, 6, 8, 10, 12}) {
		t.Errorf("edges: %v", got)
	}
}

func TestOutcomesThatNeverOccurredHaveNoCurve(t *testing.T) {
	day, err := Read("testdata/day.json")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, curve := range day.unserved().curves {
		names = append(names, curve.name)
	}
	if !slices.Equal(names, []string{"served late", "refused", "failed"}) {
		t.Errorf("curves: %v", names)
	}
}
