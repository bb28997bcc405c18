package surface_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/failure"
)

const modulePath = "github.com/rosestand/rosestand"

// source is one parsed file with the folders that its imports name.
type source struct {
	folder  string
	file    *ast.File
	imports map[string]string
}

// tree is all non-test, hand-written Go code of the module.
type tree struct {
	sources []source
	// constants are the package-level strings by folder and name.
	constants map[string]map[string]string
	// helpers are the functions, by folder and name, that make metrics from names they are given.
	helpers map[string]map[string]bool
}

// moduleRoot walks up to the folder of go.mod.
func moduleRoot(t *testing.T) string {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder
		}
		if filepath.Dir(folder) == folder {
			t.Fatal("no go.mod above the test")
		}
		folder = filepath.Dir(folder)
	}
}

func parseTree(t *testing.T) *tree {
	t.Helper()
	parsed := &tree{constants: map[string]map[string]string{}, helpers: map[string]map[string]bool{}}
	root, files := moduleRoot(t), token.NewFileSet()
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name == root {
				return nil
			}
			_, noModule := os.Stat(filepath.Join(name, "go.mod"))
			if entry.Name() == "testdata" || strings.HasPrefix(entry.Name(), ".") || noModule == nil {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || strings.HasSuffix(name, ".pb.go") {
			return nil
		}
		file, err := parser.ParseFile(files, name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(name))
		if err != nil {
			return err
		}
		parsed.add(filepath.ToSlash(folder), file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, source := range parsed.sources {
		parsed.findHelpers(source)
	}
	return parsed
}

func (t *tree) add(folder string, file *ast.File) {
	added := source{folder: folder, file: file, imports: map[string]string{}}
	for _, spec := range file.Imports {
		imported := text(spec.Path)
		name := path.Base(imported)
		if spec.Name != nil {
			name = spec.Name.Name
		}
		added.imports[name] = strings.TrimPrefix(imported, modulePath+"/")
	}
	if t.constants[folder] == nil {
		t.constants[folder], t.helpers[folder] = map[string]string{}, map[string]bool{}
	}
	for _, declared := range file.Decls {
		general, is := declared.(*ast.GenDecl)
		if !is || general.Tok != token.CONST {
			continue
		}
		for _, spec := range general.Specs {
			values := spec.(*ast.ValueSpec)
			for place, value := range values.Values {
				if literal, is := value.(*ast.BasicLit); is && literal.Kind == token.STRING {
					t.constants[folder][values.Names[place].Name] = text(literal)
				}
			}
		}
	}
	t.sources = append(t.sources, added)
}

// text is the value of a string literal.
func text(literal *ast.BasicLit) string {
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		panic(err)
	}
	return value
}

// value is the string that an expression stands for when it is a literal or a constant of the module.
func (t *tree) value(in source, expression ast.Expr) (string, bool) {
	switch expression := expression.(type) {
	case *ast.BasicLit:
		if expression.Kind == token.STRING {
			return text(expression), true
		}
	case *ast.Ident:
		value, found := t.constants[in.folder][expression.Name]
		return value, found
	case *ast.SelectorExpr:
		if qualifier, is := expression.X.(*ast.Ident); is {
			value, found := t.constants[in.imports[qualifier.Name]][expression.Sel.Name]
			return value, found
		}
	}
	return "", false
}

// literals gives each distinct string literal, without import paths and struct tags.
func (t *tree) literals() map[string]bool {
	found := map[string]bool{}
	for _, source := range t.sources {
		ast.Inspect(source.file, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.ImportSpec:
				return false
			case *ast.Field:
				return node.Tag == nil
			case *ast.BasicLit:
				if node.Kind == token.STRING {
					found[text(node)] = true
				}
			}
			return true
		})
	}
	return found
}

func matching(literals map[string]bool, pattern string) map[string]bool {
	expression, found := regexp.MustCompile(pattern), map[string]bool{}
	for literal := range literals {
		if expression.MatchString(literal) {
			found[literal] = true
		}
	}
	return found
}

func TestEnvironmentVariables(t *testing.T) {
	compare(t, "environment", sorted(matching(parseTree(t).literals(), `^ROSESTAND_[A-Z_]+$`)))
}

func TestHeaders(t *testing.T) {
	compare(
		t, "headers",
		sorted(matching(parseTree(t).literals(), `^([Rr]osestand-[A-Za-z-]+|[A-Z][A-Za-z0-9]*(-[A-Z][A-Za-z0-9]*)+)$`)),
	)
}

func TestPaths(t *testing.T) {
	compare(t, "paths", sorted(matching(parseTree(t).literals(), `^/[A-Za-z0-9_{}:/.*-]*$`)))
}

// TestFailureCodes takes as codes the literals that have an HTTP status of their own, and the one that has the status
// of the unknown.
func TestFailureCodes(t *testing.T) {
	literals, set := parseTree(t).literals(), map[string]bool{}
	for literal := range matching(literals, `^[a-z_]+$`) {
		status := failure.Code(literal).Status()
		if status != http.StatusInternalServerError || literal == "internal_error" {
			set[fmt.Sprintf("%s %d", literal, status)] = true
		}
	}
	compare(t, "failures", sorted(set))
}

func TestFieldTags(t *testing.T) {
	set := map[string]bool{}
	for _, source := range parseTree(t).sources {
		ast.Inspect(source.file, func(node ast.Node) bool {
			if field, is := node.(*ast.Field); is && field.Tag != nil {
				for _, key := range []string{"json", "yaml", "form", "uri", "header", "mapstructure"} {
					if value, found := reflect.StructTag(text(field.Tag)).Lookup(key); found {
						set[key+" "+value] = true
					}
				}
			}
			return true
		})
	}
	compare(t, "tags", sorted(set))
}

// TestFiles holds literals that look like names of files, and all constant parts of paths that are joined.
func TestFiles(t *testing.T) {
	parsed := parseTree(t)
	set := matching(
		parsed.literals(),
		`^[A-Za-z0-9_%.-]*\.(log|json|jsonl|yaml|tmp|snapshot|lock|key|pem|crt|csv|md|txt`+
			`|bin|dat|db|segment|partial|new|old|pprof)$`,
	)
	for _, source := range parsed.sources {
		ast.Inspect(source.file, func(node ast.Node) bool {
			call, is := node.(*ast.CallExpr)
			if !is {
				return true
			}
			if called, is := call.Fun.(*ast.SelectorExpr); is && called.Sel.Name == "Join" {
				if qualifier, is := called.X.(*ast.Ident); is && source.imports[qualifier.Name] == "path/filepath" {
					for _, argument := range call.Args {
						if value, found := parsed.value(source, argument); found {
							set[value] = true
						}
					}
				}
			}
			return true
		})
	}
	compare(t, "files", sorted(set))
}
