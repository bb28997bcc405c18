package surface_test

import (
	"go/ast"
	"regexp"
	"strings"
	"testing"
)

const (
	metricsLibrary = "github.com/prometheus/client_golang/prometheus"
	labelMethod    = "WithLabelValues"
)

var (
	metricMaker  = regexp.MustCompile(`^New(Counter|Gauge|Histogram|Summary|Untyped|Desc)`)
	metricName   = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	metricPrefix = regexp.MustCompile(`^rosestand_[a-z_]*$`)
)

// makesMetric says whether a node is a call or a composite of the metrics library that names a metric.
func makesMetric(in source, node ast.Node) bool {
	var named ast.Expr
	switch node := node.(type) {
	case *ast.CallExpr:
		named = node.Fun
	case *ast.CompositeLit:
		named = node.Type
	}
	selector, is := named.(*ast.SelectorExpr)
	if !is {
		return false
	}
	qualifier, is := selector.X.(*ast.Ident)
	if !is || in.imports[qualifier.Name] != metricsLibrary {
		return false
	}
	if _, call := node.(*ast.CallExpr); call {
		return metricMaker.MatchString(selector.Sel.Name)
	}
	return strings.HasSuffix(selector.Sel.Name, "Opts") || selector.Sel.Name == "Labels"
}

// findHelpers notes the functions of a file that pass a parameter of their own on to the metrics library.
func (t *tree) findHelpers(in source) {
	note := func(name string, kind *ast.FuncType, body *ast.BlockStmt) {
		parameters := map[string]bool{}
		for _, parameter := range kind.Params.List {
			if isString(parameter.Type) {
				for _, given := range parameter.Names {
					parameters[given.Name] = true
				}
			}
		}
		if body != nil && passesOn(in, body, parameters) {
			t.helpers[in.folder][name] = true
		}
	}
	ast.Inspect(in.file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			note(node.Name.Name, node.Type, node.Body)
		case *ast.AssignStmt:
			for place, value := range node.Rhs {
				function, is := value.(*ast.FuncLit)
				if !is || place >= len(node.Lhs) {
					continue
				}
				if name, is := node.Lhs[place].(*ast.Ident); is {
					note(name.Name, function.Type, function.Body)
				}
			}
		}
		return true
	})
}

func isString(kind ast.Expr) bool {
	if variadic, is := kind.(*ast.Ellipsis); is {
		kind = variadic.Elt
	}
	name, is := kind.(*ast.Ident)
	return is && name.Name == "string"
}

func passesOn(in source, body ast.Node, parameters map[string]bool) bool {
	passed := false
	ast.Inspect(body, func(node ast.Node) bool {
		if node == nil || passed || !makesMetric(in, node) {
			return !passed
		}
		ast.Inspect(node, func(inner ast.Node) bool {
			if name, is := inner.(*ast.Ident); is && parameters[name.Name] {
				passed = true
			}
			return !passed
		})
		return !passed
	})
	return passed
}

// names lists the names, prefixes and labels below a node, in the order of the source, without help texts and function
// bodies.
func (t *tree) names(in source, node ast.Node) []string {
	var found []string
	ast.Inspect(node, func(inner ast.Node) bool {
		switch inner := inner.(type) {
		case *ast.FuncLit:
			return false
		case *ast.KeyValueExpr:
			if key, is := inner.Key.(*ast.Ident); is {
				if key.Name != "Help" {
					found = append(found, t.names(in, inner.Value)...)
				}
				return false
			}
		case ast.Expr:
			if value, is := t.value(in, inner); is && metricName.MatchString(value) {
				found = append(found, value)
			}
		}
		return true
	})
	return found
}

// TestMetrics holds one line for each place that names a metric: its prefixes, name and labels, as far as they stand
// there.
func TestMetrics(t *testing.T) {
	parsed, set := parseTree(t), matching(parseTree(t).literals(), metricPrefix.String())
	for _, source := range parsed.sources {
		ast.Inspect(source.file, func(node ast.Node) bool {
			if node == nil {
				return true
			}
			if call, is := node.(*ast.CallExpr); is {
				if selector, is := call.Fun.(*ast.SelectorExpr); is && selector.Sel.Name == labelMethod {
					for _, argument := range call.Args {
						if value, found := parsed.value(source, argument); found {
							set["label value "+value] = true
						}
					}
				}
			}
			if !makesMetric(source, node) && !parsed.callsHelper(source, node) {
				return true
			}
			if names := parsed.names(source, node); len(names) > 0 {
				set["metric "+strings.Join(names, " ")] = true
			}
			return false
		})
	}
	compare(t, "metrics", sorted(set))
}

func (t *tree) callsHelper(in source, node ast.Node) bool {
	call, is := node.(*ast.CallExpr)
	if !is {
		return false
	}
	name, is := call.Fun.(*ast.Ident)
	return is && t.helpers[in.folder][name.Name]
}
