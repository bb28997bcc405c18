package surface_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/purity"
)

// Code spans of the pages that name something which a rename or a move would leave behind.
var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	sourcePath = regexp.MustCompile(`^(?:internal|platform|cmd|scripts|deploy|proto)/[\w./-]*$`)
	testName   = regexp.MustCompile(`^Test[A-Z]\w*$`)
	testFunc   = regexp.MustCompile(`(?m)^func (Test[A-Z]\w*)\(`)
)

// TestPagesNameWhatExists looks for folders, files and tests that a page names and the repository does not have.
func TestPagesNameWhatExists(t *testing.T) {
	root := moduleRoot(t)
	tests := declaredTests(t, root)
	for _, page := range pages(t, root) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, span := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			name := span[1]
			switch {
			case testName.MatchString(name) && !tests[name]:
				t.Errorf("%s names the test %s, which does not exist", filepath.Base(page), name)
			case sourcePath.MatchString(name) && !exists(filepath.Join(root, name)):
				t.Errorf("%s names the path %s, which does not exist", filepath.Base(page), name)
			}
		}
	}
}

// pages lists the pages of the project; the journal is a record and not one of them.
func pages(t *testing.T, root string) []string {
	t.Helper()
	var all []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/incidents/*.md"} {
		matches, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, matches...)
	}
	if len(all) == 0 {
		t.Fatal("no page found")
	}
	return all
}

// declaredTests gives the names of the test functions of the whole tree.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	for _, folder := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, match := range testFunc.FindAllStringSubmatch(string(source), -1) {
				tests[match[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return tests
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// TestLinterAndTestAgreeOnDecisionPackages compares the packages under the linter's import rule with those that package
// purity checks: one that is split or moved must stay under both.
func TestLinterAndTestAgreeOnDecisionPackages(t *testing.T) {
	root := moduleRoot(t)
	text, err := os.ReadFile(filepath.Join(root, ".golangci.yml"))
	if err != nil {
		t.Fatal(err)
	}
	var linted []string
	for _, match := range regexp.MustCompile(`"\*\*/(internal/[\w/]+)/\*\.go"`).FindAllStringSubmatch(string(text), -1) {
		linted = append(linted, match[1])
	}
	slices.Sort(linted)
	checked := slices.Sorted(slices.Values(purity.Packages))
	if !slices.Equal(linted, checked) {
		t.Errorf(
			"the linter's rule names\n%s\nand package purity\n%s", strings.Join(linted, "\n"), strings.Join(checked, "\n"),
		)
	}
}
