package purity_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/purity"
)

func TestDecisionPackagesReachNothingOutside(t *testing.T) {
	for _, folder := range purity.Packages {
		files, err := filepath.Glob(filepath.Join("..", "..", "..", folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		if len(files) == 0 {
			t.Errorf("%s holds no source: is the list out of date?", folder)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			violations, err := purity.CheckFile(file, source)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range violations {
				t.Error(violation)
			}
		}
	}
}

func TestTheCheckBites(t *testing.T) {
	for name, source := range map[string]string{
		"socket":    "package p\nimport _ \"net/http\"",
		"file":      "package p\nimport _ \"os\"",
		"lock":      "package p\nimport _ \"sync/atomic\"",
		"goroutine": "package p\nfunc f() { go f() }",
		"channel":   "package p\nvar c chan int",
		"select":    "package p\nfunc f() { select {} }",
		"clock":     "package p\nimport \"time\"\nvar now = time.Now()",
	} {
		violations, err := purity.CheckFile(name+".go", source)
		if err != nil {
			t.Fatal(err)
		}
		if len(violations) == 0 {
			t.Errorf("a %s passed", name)
		}
	}
	violations, err := purity.CheckFile("clean.go", "package p\nimport \"time\"\nvar d = time.Second")
	if err != nil || len(violations) != 0 {
		t.Errorf("clean source was refused: %v %v", violations, err)
	}
}
