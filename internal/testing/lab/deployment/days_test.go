package deployment_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// benchDay is what a day for the bench must have so that its disruptions can be placed.
type benchDay struct {
	Name   string        `toml:"name"`
	Plan   []benchChange `toml:"plan"`
	Faults []benchChange `toml:"faults"`
}

type benchChange struct {
	At   float64 `toml:"at"`
	Kind string  `toml:"kind"`
}

type benchSite struct {
	Name string     `toml:"name"`
	Days []benchDay `toml:"day"`
}

func (d *benchDay) check(t *testing.T, path string) {
	t.Helper()
	if d.Name == "" || len(d.Plan)+len(d.Faults) == 0 {
		t.Errorf("%s: a day without a name or without disruptions", path)
	}
	for _, change := range append(append([]benchChange(nil), d.Plan...), d.Faults...) {
		if change.At <= 0 || change.Kind == "" {
			t.Errorf("%s: %s: %+v", path, d.Name, change)
		}
	}
}

func readTOML(t *testing.T, path string, into any) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(content, into); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
}

func filesOf(t *testing.T, pattern string) []string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("%d files match %s, %v", len(paths), pattern, err)
	}
	return paths
}

func TestShippedDaysAreWellFormed(t *testing.T) {
	for _, path := range filesOf(t, "../../../../lab/days/*.toml") {
		day := &benchDay{}
		readTOML(t, path, day)
		day.check(t, path)
	}
}

func TestShippedBenchSitesHaveDays(t *testing.T) {
	for _, path := range filesOf(t, "../../../../lab/sites/*.bench.toml") {
		described := &benchSite{}
		readTOML(t, path, described)
		if described.Name == "" || len(described.Days) == 0 {
			t.Errorf("%s: %q has %d days", path, described.Name, len(described.Days))
		}
		for i := range described.Days {
			described.Days[i].check(t, path)
		}
	}
}
