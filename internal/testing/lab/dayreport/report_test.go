package dayreport_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/dayreport"
)

const (
	dayFile   = "testdata/day.json"
	testWidth = 61
)

func readDay(t *testing.T) *dayreport.Report {
	t.Helper()
	day, err := dayreport.Read(dayFile)
	if err != nil {
		t.Fatal(err)
	}
	return day
}

func printed(t *testing.T, terminal dayreport.Terminal) string {
	t.Helper()
	var output bytes.Buffer
	readDay(t).Print(&output, terminal)
	return output.String()
}

func TestReadPutsWindowsAndDisruptionsInTheOrderOfTime(t *testing.T) {
	day := readDay(t)
	for i, start := range []float64{0, 2, 4, 6, 8, 10} {
		if day.Windows[i].Start != start {
			t.Errorf("window %d starts at %g, want %g", i, day.Windows[i].Start, start)
		}
	}
	if day.Length() != 12 {
		t.Errorf("length %g, want 12", day.Length())
	}
	if first := day.Disruptions[0]; first.Kind != "release" || !first.Planned {
		t.Errorf("first disruption %+v", first)
	}
	if last := day.Disruptions[2]; last.Until() != last.Start {
		t.Errorf("a disruption without an end ends at %g", last.Until())
	}
	if part := day.Components[1]; part.Name != "worst windows" || part.Weight != 0.3 || part.Value != 0.7 {
		t.Errorf("part %+v", part)
	}
}

func TestReadRejectsOtherFiles(t *testing.T) {
	contents := map[string]string{
		"no JSON":            "score 0.9",
		"no windows":         `{"G": 0.9}`,
		"a window of a name": `{"windows": [{"name": "noon"}]}`,
		"a part too short":   `{"windows": [{"name": "0"}], "parts": [["whole day", 1]]}`,
	}
	for name, content := range contents {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "day.json")
			if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := dayreport.Read(path)
			var format *dayreport.FormatError
			if !errors.As(err, &format) || format.Path != path {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestReadReportsAMissingFile(t *testing.T) {
	if _, err := dayreport.Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}

func TestPrintShowsScoreKindsRulesAndRoles(t *testing.T) {
	text := printed(t, dayreport.Terminal{Width: testWidth})
	for _, want := range []string{
		"Score 0.812 after prices", "+0.6300", "-0.0280", "RULE BROKEN 2 times: a turn was lost",
		"│ answer │   30 │            24 │    3 │       1 │      2 │        0 │ 0.910 │ 300    │ 1200   │",
		"│ probe  │   10 │             7 │    1 │       1 │      1 │        0 │ 0.870 │ 900    │ 2200   │",
		"│ B    │ 6.00   │ 9.00  │ node_kill │ north-1 │ false   │", "│ core │        3 │",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if strings.Contains(text, "cloud calls") {
		t.Error("a price of nothing was printed")
	}
}

func TestPrintMarksDisruptionsBelowTheirTime(t *testing.T) {
	text := printed(t, dayreport.Terminal{Width: testWidth})
	// 61 columns for 12 seconds: second 3 is column 15, 6 is 30, 7 is 35, 9 is 45, 11 is 55.
	release := strings.Repeat(" ", 15) + "A" + strings.Repeat("-", 20)
	kill := strings.Repeat(" ", 30) + "B" + strings.Repeat("-", 15) + strings.Repeat(" ", 9) + "C"
	if strings.Count(text, release+strings.Repeat(" ", 19)+"C\n") != 3 {
		t.Errorf("%q is not below each chart of\n%s", release, text)
	}
	if strings.Count(text, strings.TrimSuffix(kill, strings.Repeat(" ", 9)+"C")+"\n") != 3 {
		t.Errorf("%q is not below each chart of\n%s", kill, text)
	}
}

func TestPrintDistinguishesCurvesWithAndWithoutColor(t *testing.T) {
	plain := printed(t, dayreport.Terminal{Width: testWidth})
	if strings.Contains(plain, "\x1b") {
		t.Error("plain text contains escape sequences")
	}
	if !strings.Contains(plain, "~ served late   o refused   x failed\n") {
		t.Errorf("no legend in\n%s", plain)
	}
	if colored := printed(t, dayreport.Terminal{Width: testWidth, Color: true}); !strings.Contains(colored, "\x1b") {
		t.Error("no colors")
	}
}

func TestLabelNamesMoreDisruptionsThanLetters(t *testing.T) {
	for index, want := range map[int]string{0: "A", 25: "Z", 26: "A1", 53: "B2"} {
		if got := dayreport.Label(index); got != want {
			t.Errorf("mark %d is %s, want %s", index, got, want)
		}
	}
}

func TestSaveFigureWritesPanelsWithEveryLabel(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.svg")
	if err := readDay(t).SaveFigure(path); err != nil {
		t.Fatal(err)
	}
	texts := textsOf(t, path)
	for text, least := range map[string]int{
		"Served in aim, percent": 1, "Late, refused or failed, requests": 1, "Outcomes by kind of request": 1,
		"answer": 1, "probe": 1, "served late": 2, "failed": 2, "p99": 1, "B node_kill": 1, "A": 3, "B": 3, "C": 3,
	} {
		if texts[text] < least {
			t.Errorf("%q occurs %d times in the figure, want %d at least", text, texts[text], least)
		}
	}
}

// textsOf counts the texts of an SVG file.
func textsOf(t *testing.T, path string) map[string]int {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	texts := make(map[string]int)
	decoder := xml.NewDecoder(file)
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return texts
		}
		if err != nil {
			t.Fatal(err)
		}
		if content, isText := token.(xml.CharData); isText {
			texts[strings.TrimSpace(string(content))]++
		}
	}
}
