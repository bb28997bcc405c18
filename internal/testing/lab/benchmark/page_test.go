package benchmark_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/benchmark"
)

func TestOnlyTheGeneratedSectionChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	read := func() string {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(content)
	}
	if err := benchmark.WriteSection(path, "old figures"); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte("own words\n"+read()+"more words\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := benchmark.WriteSection(path, "new figures"); err != nil {
		t.Fatal(err)
	}
	page := read()
	for _, text := range []string{"own words\n", "new figures", "more words\n"} {
		if !strings.Contains(page, text) {
			t.Errorf("%q is missing", text)
		}
	}
	if strings.Contains(page, "old figures") {
		t.Error("the old section is still there")
	}
}

func TestPageWithoutSectionIsLeftAlone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(path, []byte("own words"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := benchmark.WriteSection(path, "figures"); err == nil {
		t.Fatal("written without a section")
	}
	if content, _ := os.ReadFile(path); string(content) != "own words" {
		t.Fatalf("changed to %q", content)
	}
}
