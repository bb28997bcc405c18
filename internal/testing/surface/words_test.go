package surface_test

import (
	"go/ast"
	"go/token"
	"regexp"
	"strings"
	"testing"
)

// platformFolder holds the adapter of the users' platform; its test stand-ins are in folders below it.
const platformFolder = "platform"

// literalsIn returns each distinct string literal of the folders that the filter selects, without import paths and
// struct tags.
func (t *tree) literalsIn(selected func(folder string) bool) map[string]bool {
	part := &tree{}
	for _, source := range t.sources {
		if selected(source.folder) {
			part.sources = append(part.sources, source)
		}
	}
	return part.literals()
}

// TestPlatformNames records the fields, values and headers that the platform's adapter exchanges.
func TestPlatformNames(t *testing.T) {
	literals := parseTree(t).literalsIn(func(folder string) bool { return folder == platformFolder })
	compare(t, "platform", sorted(matching(literals, `^[A-Za-z][A-Za-z_-]*$`)))
}

// TestSnakeCaseWords records the literals in snake_case: keys of documents and values of enumerations.
func TestSnakeCaseWords(t *testing.T) {
	compare(t, "words", sorted(matching(parseTree(t).literals(), `^[a-z][a-z0-9]*(_[a-z0-9]+)+$`)))
}

// TestStringConstants records the package-level string constants of one word: names of kinds, states and files.
func TestStringConstants(t *testing.T) {
	word, set := regexp.MustCompile(`^[A-Za-z0-9_.:/%-]+$`), map[string]bool{}
	for _, constants := range parseTree(t).constants {
		for _, value := range constants {
			if word.MatchString(value) {
				set[value] = true
			}
		}
	}
	compare(t, "constants", sorted(set))
}

// logMethods are the methods of a logger, with the position of their first key.
var logMethods = map[string]int{"Debug": 1, "Info": 1, "Warn": 1, "Error": 1, "Fatal": 1, "With": 0}

// TestLogKeys records the keys of log fields, which operators' tools match. The literals at the positions of keys in
// calls of other types' methods of these names count as well.
func TestLogKeys(t *testing.T) {
	parsed, set := parseTree(t), map[string]bool{}
	for _, source := range parsed.sources {
		ast.Inspect(source.file, func(node ast.Node) bool {
			call, is := node.(*ast.CallExpr)
			if !is {
				return true
			}
			called, is := call.Fun.(*ast.SelectorExpr)
			if !is {
				return true
			}
			first, known := logMethods[called.Sel.Name]
			if !known {
				return true
			}
			for position := first; position < len(call.Args); position += 2 {
				if literal, is := call.Args[position].(*ast.BasicLit); is && literal.Kind == token.STRING {
					set[strings.TrimSpace(text(literal))] = true
				}
			}
			return true
		})
	}
	compare(t, "logkeys", sorted(set))
}
