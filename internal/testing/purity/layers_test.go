package purity_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/rosestand/rosestand/"

// layers are the parts of the tree from the lowest to the highest; those of one row do not import each other.
// docs/ARCHITECTURE.md draws them.
var layers = [][]string{
	{"internal/protocol"},
	{"internal/failure"},
	{"internal/transport", "internal/storage"},
	{"internal/process"},
	{"internal/controlplane"},
	{"internal/state"},
	{"internal/dataplane"},
	{"internal/operator"},
	{"platform"},
	{"internal/testing"},
	{"cmd"},
}

// upward are the imports that may run back up, each for its reason.
var upward = map[string]string{
	"platform/standin -> internal/testing/subprocess": "the rig is a test program beside the adapter",
}

// TestImportsRunDownwards holds the layout: a package imports its own part of the tree and those below it.
func TestImportsRunDownwards(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	used := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() &&
			(entry.Name() == "testdata" || path != root && strings.HasPrefix(entry.Name(), ".") && entry.Name() != "..") {
			return fs.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			checkDirection(t, root, path, used)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for exception := range upward {
		if !used[exception] {
			t.Errorf("%s is excepted and does not exist", exception)
		}
	}
}

func checkDirection(t *testing.T, root, path string, used map[string]bool) {
	t.Helper()
	relative, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	from := filepath.ToSlash(relative)
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, source, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, imported := range file.Imports {
		name, err := strconv.Unquote(imported.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		to, own := strings.CutPrefix(name, module)
		if !own || partOf(from) == partOf(to) {
			continue
		}
		edge := from + " -> " + to
		if _, excepted := upward[edge]; excepted {
			used[edge] = true
			continue
		}
		if layerOf(t, to) >= layerOf(t, from) {
			t.Errorf("%s runs back up", edge)
		}
	}
}

// partOf gives the entry of the layers that a package is in; it is empty for a package in none.
func partOf(folder string) string {
	for _, layer := range layers {
		for _, part := range layer {
			if folder == part || strings.HasPrefix(folder, part+"/") {
				return part
			}
		}
	}
	return ""
}

func layerOf(t *testing.T, folder string) int {
	t.Helper()
	part := partOf(folder)
	at := slices.IndexFunc(layers, func(layer []string) bool { return slices.Contains(layer, part) })
	if at < 0 {
		t.Errorf("%s is in no layer", folder)
	}
	return at
}
