package ablation_test

import (
	"bytes"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/dataplane/schedule/schedulesim"
	"github.com/rosestand/rosestand/internal/testing/lab/ablation"
)

const small = `{"name":"small","seeds":[1,2],"servers":6,"fronts":4,"zones":2,"load_on_answers":true,"length_seconds":4,
	"engine":{"slots":8,"queue":24,"cache_tokens":60000,"step_micros":6000,"per_request_micros":20,
		"per_thousand_micros":10,"prompt_tokens_per_milli":30,"chunk":2048},
	"programs":[{"name":"short","per_second":8,"rank":1,"turns":3,"most_turns":6,"shared_tokens":2560,"input_tokens":1000,
		"output_tokens":30,"pause_millis":150}],
	"days":[{"name":"calm"},{"name":"slow","load":1.5,"slow_servers":1,"slow_factor":6}]}`

func parsed(t *testing.T, content string) *ablation.File {
	t.Helper()
	file, err := ablation.Parse([]byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func TestEachMechanismHasARow(t *testing.T) {
	results := parsed(t, small).Run()
	if len(results) != 2 {
		t.Fatalf("%d days", len(results))
	}
	for _, result := range results {
		if len(result.Rows) != len(schedulesim.Mechanisms())+1 || result.Rows[0].Without != "all mechanisms" {
			t.Errorf("%s has %d rows, the first is %q", result.Day, len(result.Rows), result.Rows[0].Without)
		}
		for _, row := range result.Rows {
			if row.InTime.Mean <= 0 || row.InTime.Min > row.InTime.Mean || row.InTime.Max < row.InTime.Mean {
				t.Errorf("%s without %q: %+v", result.Day, row.Without, row.InTime)
			}
		}
	}
}

func TestDisabledMechanismChangesTheResult(t *testing.T) {
	result := parsed(t, small).Run()[0]
	twice := map[string]float64{}
	for _, row := range result.Rows {
		twice[row.Without] = row.ReadTwice.Mean
	}
	for _, mechanism := range []schedulesim.Mechanism{schedulesim.HomeServer, schedulesim.CachedParts} {
		if twice[string(mechanism)] <= twice["all mechanisms"] {
			t.Errorf("without %q %g tokens a turn are read twice, with it %g", mechanism, twice[string(mechanism)],
				twice["all mechanisms"])
		}
	}
}

func TestRunIsDeterminedByItsFile(t *testing.T) {
	printed := func() string {
		var output bytes.Buffer
		file := parsed(t, small)
		ablation.Print(&output, file, file.Run())
		return output.String()
	}
	first := printed()
	if second := printed(); first != second {
		t.Errorf("%s\n%s", first, second)
	}
	if !strings.Contains(first, "small, slow: mean and spread of 2 seeds") {
		t.Error(first)
	}
}

func TestInvalidFilesAreRejected(t *testing.T) {
	for _, content := range []string{
		`{}`, strings.Replace(small, `"seeds":[1,2]`, `"seeds":[]`, 1),
		strings.Replace(small, `"slots":8`, `"slots":0`, 1),
	} {
		var field *ablation.FieldError
		if _, err := ablation.Parse([]byte(content)); !errors.As(err, &field) {
			t.Errorf("%.60s: %v", content, err)
		}
	}
	for _, content := range []string{``, `[]`, `{"colour":1}`} {
		if _, err := ablation.Parse([]byte(content)); err == nil {
			t.Errorf("%q was accepted", content)
		}
	}
}

func TestShippedFilesAreSound(t *testing.T) {
	paths, err := filepath.Glob("../../../../experiments/ablation/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("files %v, %v", paths, err)
	}
	for _, path := range paths {
		if _, err := ablation.Load(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}
