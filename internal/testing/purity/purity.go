// Package purity checks the rule of the decision packages: they take an event
// and the time and return commands, and so contain no sockets, files, timers,
// goroutines or channels. The linter enforces the imports while one works; this
// check also sees the language's own concurrency.
package purity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
)

// Packages lists the decision packages, relative to the module's root.
var Packages = []string{
	"internal/controlplane/bundle",
	"internal/controlplane/consensus",
	"internal/controlplane/controlstate",
	"internal/controlplane/core/heartbeats",
	"internal/controlplane/core/leases",
	"internal/controlplane/core/reconcile",
	"internal/controlplane/core/rollout",
	"internal/controlplane/coremembership",
	"internal/controlplane/firsttoken",
	"internal/controlplane/lease",
	"internal/controlplane/placement",
	"internal/controlplane/serverhealth",
	"internal/controlplane/views",
	"internal/dataplane/directory",
	"internal/dataplane/limit",
	"internal/dataplane/promptcache",
	"internal/dataplane/ring",
	"internal/dataplane/schedule",
	"internal/dataplane/trainingstep",
	"internal/dataplane/turn",
	"internal/state/ledger",
	"internal/state/register",
	"internal/transport/strictjson",
}

var forbiddenImports = []string{"net", "os", "syscall", "context", "sync", "runtime", "unsafe"}

var clockFunctions = map[string]bool{
	"Now": true, "Sleep": true, "After": true, "AfterFunc": true, "NewTimer": true,
	"NewTicker": true, "Tick": true, "Since": true, "Until": true,
}

// Violation is one place where a decision package reaches outside.
type Violation struct {
	Position token.Position
	What     string
}

// String gives the place and what stands there.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Position, v.What) }

// CheckFile lists the violations in one source file. Source is nil to read the named file.
func CheckFile(name string, source any) ([]Violation, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var found []Violation
	report := func(at token.Pos, what string) {
		found = append(found, Violation{Position: files.Position(at), What: what})
	}
	for _, imported := range file.Imports {
		path, err := strconv.Unquote(imported.Path.Value)
		if err != nil {
			return nil, err
		}
		if forbidden(path) {
			report(imported.Pos(), "imports "+path)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.GoStmt:
			report(node.Pos(), "starts a goroutine")
		case *ast.ChanType:
			report(node.Pos(), "uses a channel")
		case *ast.SelectStmt:
			report(node.Pos(), "waits in a select")
		case *ast.SelectorExpr:
			if qualifier, ok := node.X.(*ast.Ident); ok && qualifier.Name == "time" && clockFunctions[node.Sel.Name] {
				report(node.Pos(), "reads the clock or sets a timer: time."+node.Sel.Name)
			}
		}
		return true
	})
	return found, nil
}

func forbidden(path string) bool {
	for _, each := range forbiddenImports {
		if path == each || strings.HasPrefix(path, each+"/") {
			return true
		}
	}
	return false
}
