package experiment_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/experiment"
)

func TestShippedExperimentsAreSound(t *testing.T) {
	files, err := filepath.Glob("../../../../experiments/*.json")
	if err != nil || len(files) < 2 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, path := range files {
		file, err := experiment.Load(path)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		if _, err := file.FleetSizes(); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestFaultsOfAFileAreNamed(t *testing.T) {
	for name, content := range map[string]string{
		"duration_seconds": `{"site":"both","seeds":[1],"arms":[{},{}]}`,
		"seeds":            `{"site":"both","duration_seconds":1,"arms":[{},{}]}`,
		"arms":             `{"site":"both","duration_seconds":1,"seeds":[1],"arms":[{}]}`,
		"site":             `{"site":"mars","duration_seconds":1,"seeds":[1],"arms":[{},{}]}`,
		"arms[1].bundle":   `{"site":"both","duration_seconds":1,"seeds":[1],"arms":[{},{"bundle":{"sheduling":{}}}]}`,
		"share":            `{"site":"both","mode":"live","duration_seconds":1,"seeds":[1],"arms":[{},{}]}`,
		"unknown field":    `{"cite":"both"}`,
	} {
		if _, err := experiment.Parse([]byte(content)); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestVariantChangesOnlyWhatItSets(t *testing.T) {
	base := &protocol.Bundle{
		Version: 4, Scheduling: &protocol.SchedulingPolicy{
			Algorithm:  protocol.SchedulingAlgorithm_PREFIX_AFFINITY,
			SubsetSize: 9,
		},
	}
	variant := experiment.Variant{Bundle: json.RawMessage(`{"version":"7","scheduling":{"algorithm":"ROUND_ROBIN"}}`)}
	changed, err := variant.Apply(base)
	if err != nil {
		t.Fatal(err)
	}
	got := changed.GetScheduling()
	if got.GetAlgorithm() != protocol.SchedulingAlgorithm_ROUND_ROBIN || got.GetSubsetSize() != 9 ||
		changed.GetVersion() != 4 {
		t.Fatalf("changed to %v", changed)
	}
	if base.GetScheduling().GetAlgorithm() != protocol.SchedulingAlgorithm_PREFIX_AFFINITY {
		t.Fatal("the base was changed")
	}
}

// turn is an answered turn with a first token after so many milliseconds.
func turn(program string, firstMillis int) *caller.Record {
	begin := time.Unix(100, 0)
	first := begin.Add(time.Duration(firstMillis) * time.Millisecond)
	return &caller.Record{
		Operation: caller.OperationTurn, Program: program, Outcome: caller.OutcomeAnswered, InputTokens: 100,
		CachedTokens: 50,
		OutputTokens: 2, AnsweredAt: first.Add(10 * time.Millisecond),
		Exchanges: []caller.Exchange{{SentAt: begin, Events: []caller.Event{
			{Type: caller.EventDelta, ArrivedAt: first}, {Type: caller.EventDelta, ArrivedAt: first.Add(10 * time.Millisecond)},
		}}},
	}
}

func TestEstimatesHoldTheFiguresAndNarrowWithMorePrograms(t *testing.T) {
	sampleOf := func(programs int) *experiment.Sample {
		var records []*caller.Record
		for i := range programs {
			records = append(records, turn(strings.Repeat("p", i+1), 10+i%100))
		}
		return experiment.NewSample([][]*caller.Record{records}, 10*time.Second)
	}
	few, many := sampleOf(20).Estimates(1), sampleOf(400).Estimates(1)
	for metric, want := range map[experiment.Metric]float64{
		experiment.FirstTokenMedian: 60, experiment.FirstToken95: 105, experiment.InterToken95: 10,
		experiment.PrefixHitRate: 50, experiment.Unanswered: 0, experiment.Throughput: 80,
	} {
		if many[metric].Value != want {
			t.Errorf("%s is %v, want %v", metric, many[metric].Value, want)
		}
	}
	median := many[experiment.FirstTokenMedian]
	if median.Low > median.Value || median.High < median.Value || median.Low == median.High {
		t.Errorf("interval %+v", median)
	}
	if wide := few[experiment.FirstTokenMedian]; (wide.High-wide.Low)/wide.Value <= (median.High-median.Low)/median.Value {
		t.Errorf("more programs do not narrow the interval: %+v, %+v", wide, median)
	}
}

func TestReportIsWritten(t *testing.T) {
	sample := experiment.NewSample([][]*caller.Record{{turn("p", 5), turn("q", 6)}}, time.Second)
	result := experiment.Result{File: &experiment.File{Name: "trial"}, Variants: []experiment.VariantResult{
		experiment.NewVariantResult("one", sample, true, 1), experiment.NewVariantResult("two", sample, true, 1),
	}}
	folder := t.TempDir()
	if err := result.Save(folder); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(folder, "report.html"))
	if err != nil || !strings.Contains(string(page), "trial") {
		t.Fatalf("report of %d bytes, %v", len(page), err)
	}
}
