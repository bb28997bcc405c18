package surface_test

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// update writes the goldens anew: go test ./internal/testing/surface -update.
var update = flag.Bool("update", false, "write the golden files anew")

// compare holds lines against a golden file and names each line that is gone or new.
func compare(t *testing.T, name string, lines []string) {
	t.Helper()
	if len(lines) == 0 {
		t.Fatalf("%s: nothing was found", name)
	}
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	if slices.Equal(golden, lines) {
		return
	}
	for _, line := range golden {
		if !slices.Contains(lines, line) {
			t.Errorf("%s: gone: %s", name, line)
		}
	}
	for _, line := range lines {
		if !slices.Contains(golden, line) {
			t.Errorf("%s: new: %s", name, line)
		}
	}
	if !t.Failed() {
		t.Errorf("%s: same lines in another order or number", name)
	}
}

// sorted gives the members of a set in order.
func sorted(set map[string]bool) []string {
	lines := make([]string, 0, len(set))
	for line := range set {
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return lines
}
