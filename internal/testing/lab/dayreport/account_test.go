package dayreport_test

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/dayreport"
)

func TestAccountAddsUpToTheDistanceFromTheCeiling(t *testing.T) {
	day := readDay(t)
	account := day.Account()
	if math.Abs(account.MaxScore-0.972) > 1e-9 {
		t.Errorf("ceiling %g: 1 less the machines", account.MaxScore)
	}
	want := []dayreport.Loss{{Name: "worst windows", Lost: 0.09}, {Name: "whole day", Lost: 0.07}}
	if len(account.Losses) != len(want) {
		t.Fatalf("losses %v", account.Losses)
	}
	for at, loss := range account.Losses {
		if loss.Name != want[at].Name || math.Abs(loss.Lost-want[at].Lost) > 1e-9 {
			t.Errorf("loss %d is %v, want %v", at, loss, want[at])
		}
	}
	if distance := account.MaxScore - day.Score; math.Abs(distance-account.Lost()) > 1e-9 {
		t.Errorf("%g are reported of a distance of %g", account.Lost(), distance)
	}
}

func TestAccountNamesDisruptionsInProgress(t *testing.T) {
	day := readDay(t)
	for _, window := range day.Account().Windows {
		if window.Late+window.Rejected+window.Failed == 0 {
			t.Errorf("nothing was lost at %g", window.Start)
		}
		for place := range day.Disruptions {
			disruption := &day.Disruptions[place]
			isUnderWay := disruption.Start < window.Start+2 && disruption.Until() >= window.Start
			if isUnderWay && !slices.Contains(window.Disruptions, dayreport.Label(place)) {
				t.Errorf("%s is under way at %g and not named", disruption.Kind, window.Start)
			}
		}
	}
}

func TestComparisonHasARowForEachDay(t *testing.T) {
	var output bytes.Buffer
	dayreport.PrintComparison(&output, []dayreport.Named{
		{Name: "one", Report: readDay(t)},
		{Name: "other", Report: readDay(t)},
	})
	for _, want := range []string{"one", "other", "0.812", "0.972", "worst windows 0.0900"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("%q is missing in\n%s", want, output.String())
		}
	}
}
