package bundle_test

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/protocol"
)

// httpRoutesField is the field number of http_routes in a Bundle.
const httpRoutesField = 14

// httpRoute returns a valid HTTP route to group g0.
func httpRoute(name, host, prefix string) *protocol.HttpRoute {
	return &protocol.HttpRoute{
		Name: name, Host: host, Prefix: prefix, Kind: protocol.HttpRouteKind_HTTP_REPEATABLE, TimeoutMillis: 1000,
		Targets: []*protocol.WeightedGroup{{Group: "g0", Weight: 1}},
	}
}

func withHTTPRoutes(version uint64, routes ...*protocol.HttpRoute) *protocol.Bundle {
	return &protocol.Bundle{
		Version: version, Groups: []*protocol.ServerGroup{{Name: "g0"}, {Name: "g1"}}, HttpRoutes: routes,
	}
}

func pathsOf(faults []*protocol.Fault) []string {
	paths := []string{}
	for _, fault := range faults {
		paths = append(paths, fault.GetPath())
	}
	return paths
}

func TestFaultsOfHTTPRoutes(t *testing.T) {
	tests := []struct {
		name   string
		change func(route *protocol.HttpRoute)
		path   string
	}{
		{"no name", func(route *protocol.HttpRoute) { route.Name = "" }, "name"},
		{"no host", func(route *protocol.HttpRoute) { route.Host = "" }, "host"},
		{"only a port", func(route *protocol.HttpRoute) { route.Host = ":80" }, "host"},
		{"host with a slash", func(route *protocol.HttpRoute) { route.Host = "a/b" }, "host"},
		{"no prefix", func(route *protocol.HttpRoute) { route.Prefix = "" }, "prefix"},
		{"prefix without a slash at its start", func(route *protocol.HttpRoute) { route.Prefix = "a/" }, "prefix"},
		{"prefix without a slash at its end", func(route *protocol.HttpRoute) { route.Prefix = "/a" }, "prefix"},
		{"no kind", func(route *protocol.HttpRoute) { route.Kind = 0 }, "kind"},
		{"unknown kind", func(route *protocol.HttpRoute) { route.Kind = 77 }, "kind"},
		{"no time-out", func(route *protocol.HttpRoute) { route.TimeoutMillis = 0 }, "timeout_millis"},
		{"too many attempts", func(route *protocol.HttpRoute) {
			route.MaxAttempts = bundle.MaxRouteAttempts + 1
		}, "max_attempts"},
		{"kept too long", func(route *protocol.HttpRoute) {
			route.KeepMillis = bundle.MaxRetentionMillis + 1
		}, "keep_millis"},
		{"no target", func(route *protocol.HttpRoute) { route.Targets = nil }, "targets"},
		{"no weight", func(route *protocol.HttpRoute) { route.Targets[0].Weight = 0 }, "targets"},
		{"unnamed group", func(route *protocol.HttpRoute) { route.Targets[0].Group = "" }, "targets[0].group"},
		{"unknown group", func(route *protocol.HttpRoute) { route.Targets[0].Group = "absent" }, "targets[0].group"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faulty := httpRoute("b", "h.example", "/b/")
			test.change(faulty)
			merged, faults := bundle.Check(nil, withHTTPRoutes(1, httpRoute("a", "h.example", "/a/"), faulty))
			if merged != nil || fmt.Sprint(pathsOf(faults)) != fmt.Sprint([]string{"http_routes[1]." + test.path}) {
				t.Fatalf("got faults %v, want one of field %s", faults, test.path)
			}
		})
	}
}

func TestNoTwoHTTPRoutesShareNameOrHostAndPrefix(t *testing.T) {
	_, faults := bundle.Check(nil, withHTTPRoutes(1,
		httpRoute("a", "h.example", "/x/"), httpRoute("a", "h.example", "/y/"), httpRoute("c", "H.Example:80", "/x/"),
	))
	if got := fmt.Sprint(pathsOf(faults)); got != "[http_routes[1].name http_routes[2]]" {
		t.Fatalf("got faults %v, want a duplicate name and a duplicate host and prefix", faults)
	}
	base, faults := bundle.Check(nil, withHTTPRoutes(1, httpRoute("a", "h.example", "/x/")))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	partial := &protocol.Bundle{
		Version: 2, BaseVersion: 1, Partial: true, HttpRoutes: []*protocol.HttpRoute{httpRoute("b", "h.example", "/x/")},
	}
	if _, faults = bundle.Check(base, partial); len(faults) != 1 {
		t.Fatalf("got faults %v, want one because a route of the base has the same host and prefix", faults)
	}
	partial.RemovedHttpRoutes = []string{"a"}
	if _, faults = bundle.Check(base, partial); len(faults) != 0 {
		t.Fatalf("got faults %v, want none because the route with the same host and prefix is removed", faults)
	}
}

func TestFaultsOfAPartialBundleNameHTTPRoutesOfTheBase(t *testing.T) {
	base, _ := bundle.Check(nil, withHTTPRoutes(1, httpRoute("a", "h.example", "/x/")))
	_, faults := bundle.Check(base, &protocol.Bundle{
		Version: 2, BaseVersion: 1, Partial: true, RemovedGroups: []string{"g0"}, RemovedHttpRoutes: []string{"absent"},
	})
	if got := fmt.Sprint(pathsOf(faults)); got != "[removed_http_routes[0] http_routes[name=a].targets[0].group]" {
		t.Fatalf("got faults %v, want one of the removed name and one of the route that uses the removed group", faults)
	}
}

func TestHTTPRouteHasTheLongestMatchingPrefix(t *testing.T) {
	merged, faults := bundle.Check(nil, withHTTPRoutes(1,
		httpRoute("root", "h.example", "/"), httpRoute("a", "h.example", "/a/"), httpRoute("ab", "h.example", "/a/b/"),
		httpRoute("other", "O.example", "/a/"), httpRoute("six", "[::1]", "/"),
	))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	index := bundle.NewIndex(merged)
	tests := []struct{ host, path, route string }{
		{"h.example", "/a/b/c", "ab"},
		{"h.example", "/a/b/", "ab"},
		{"h.example", "/a/b", "a"},
		{"h.example", "/a/bc/d", "a"},
		{"h.example", "/a", "root"},
		{"h.example", "/ab/", "root"},
		{"h.example", "/", "root"},
		{"h.example", "a/b/", ""},
		{"h.example", "", ""},
		{"H.EXAMPLE:8080", "/a/x", "a"},
		{"o.example", "/a/x", "other"},
		{"o.example", "/x", ""},
		{"[::1]:80", "/x", "six"},
		{"absent.example", "/a/", ""},
		{"", "/a/", ""},
	}
	for _, test := range tests {
		if got := index.HTTPRoute(test.host, test.path).GetName(); got != test.route {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.route)
		}
	}
	if bundle.NewIndex(nil).HTTPRoute("h.example", "/") != nil {
		t.Error("an empty index returned a route")
	}
}

// TestHTTPRouteAgreesWithALinearSearch compares the index with a search of all prefixes.
func TestHTTPRouteAgreesWithALinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawPath := func(label string) string { return rapid.StringMatching(`(/[ab]{0,2}){0,4}`).Draw(t, label) }
		routes := map[string]*protocol.HttpRoute{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			prefix := drawPath("prefix") + "/"
			routes[prefix] = httpRoute(strconv.Itoa(i), "h", prefix)
		}
		all := withHTTPRoutes(1)
		for _, route := range routes {
			all.HttpRoutes = append(all.HttpRoutes, route)
		}
		path, longest := drawPath("path"), ""
		for prefix := range routes {
			if len(prefix) > len(longest) && len(path) >= len(prefix) && path[:len(prefix)] == prefix {
				longest = prefix
			}
		}
		if got := bundle.NewIndex(all).HTTPRoute("h", path); got.GetPrefix() != longest {
			t.Fatalf("%q: got prefix %q, want %q", path, got.GetPrefix(), longest)
		}
	})
}

func TestPickTargetFollowsTheWeights(t *testing.T) {
	route := httpRoute("a", "h", "/")
	route.Targets = []*protocol.WeightedGroup{{Group: "old", Weight: 90}, {Group: "none"}, {Group: "new", Weight: 10}}
	picked := map[string]int{}
	const requests = 100_000
	for hash := range uint64(requests) {
		group := bundle.PickTarget(route, hash)
		picked[group]++
		if again := bundle.PickTarget(proto.CloneOf(route), hash); again != group {
			t.Fatalf("hash %d resulted in groups %q and %q", hash, group, again)
		}
	}
	if picked["none"] != 0 || picked["old"]+picked["new"] != requests {
		t.Fatalf("got requests by group %v, want %d in total and none in group none", picked, requests)
	}
	if share := float64(picked["new"]) / requests; math.Abs(share-0.1) > 0.005 {
		t.Fatalf("group of a tenth of the weight got a share of %v, want 0.1 within 0.005", share)
	}
	route.Targets[0].Weight, route.Targets[2].Weight = math.MaxUint32, math.MaxUint32
	if bundle.PickTarget(route, 1) == "" || bundle.PickTarget(&protocol.HttpRoute{}, 1) != "" {
		t.Fatal("got no group for large weights, or a group for a route without targets")
	}
}

func TestHTTPRoutesInDigestPartialBundleAndComparison(t *testing.T) {
	first, second := httpRoute("a", "h", "/a/"), httpRoute("b", "h", "/b/")
	from, _ := bundle.Check(nil, withHTTPRoutes(1, second, first))
	otherOrder, _ := bundle.Check(nil, withHTTPRoutes(1, first, second))
	if bundle.Digest(from) != bundle.Digest(otherOrder) {
		t.Fatal("the order of HTTP routes changed the digest")
	}
	changed := proto.CloneOf(first)
	changed.Targets[0].Group, changed.Annotations = "g1", map[string]string{"y": "2", "x": "1"}
	to, _ := bundle.Check(nil, withHTTPRoutes(2, changed, httpRoute("c", "h", "/c/")))
	if bundle.Digest(from) == bundle.Digest(to) {
		t.Fatal("content did not change the digest")
	}
	step, possible := bundle.MakePartial(from, to)
	if !possible || len(step.GetHttpRoutes()) != 2 || fmt.Sprint(step.GetRemovedHttpRoutes()) != "[b]" {
		t.Fatalf("got partial bundle %v, want two HTTP routes and b removed", step)
	}
	if merged := bundle.Merge(from, step); !proto.Equal(merged, to) {
		t.Fatalf("partial bundle results in %v, want %v", merged, to)
	}
	difference := bundle.Compare(from, to).HTTPRoutes
	if fmt.Sprint(difference) != fmt.Sprint(
		bundle.NamedChanges{Added: []string{"c"}, Removed: []string{"b"}, Changed: []string{"a"}},
	) {
		t.Fatalf("got difference %v, want c added, b removed and a changed", difference)
	}
}

// TestHTTPRouteEncodingMatchesReflection compares the encoding written field by field with the one by reflection.
func TestHTTPRouteEncodingMatchesReflection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 3, -1)
		number := rapid.SampledFrom([]uint32{0, 1, 200, math.MaxUint32})
		flag := rapid.Bool()
		route := &protocol.HttpRoute{
			Name: text.Draw(t, "name"), Host: text.Draw(t, "host"), Prefix: text.Draw(t, "prefix"),
			Kind: protocol.HttpRouteKind(rapid.IntRange(0, 3).Draw(t, "kind")), TimeoutMillis: number.Draw(t, "timeout"),
			LatencyObjectiveMillis: number.Draw(t, "latency"), PauseObjectiveMillis: number.Draw(t, "pause"),
			Rank: number.Draw(t, "rank"), MaxAttempts: number.Draw(t, "attempts"), Stateful: flag.Draw(t, "stateful"),
			KeepMillis: rapid.Uint64().Draw(t, "keep"), Sticky: flag.Draw(t, "sticky"), Resumable: flag.Draw(t, "resumable"),
			Annotations: rapid.MapOfN(text, text, 0, 3).Draw(t, "annotations"), SingleTarget: flag.Draw(t, "single"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "targets") {
			route.Targets = append(
				route.Targets, &protocol.WeightedGroup{Group: text.Draw(t, "group"), Weight: number.Draw(t, "weight")},
			)
		}
		byField := bundle.Encode(&protocol.Bundle{HttpRoutes: []*protocol.HttpRoute{route}})
		byReflection := protowire.AppendTag(nil, httpRoutesField, protowire.BytesType)
		byReflection = protowire.AppendBytes(byReflection, bundle.EncodeMessage(route))
		if !bytes.Equal(byField, byReflection) {
			t.Fatalf("%v: got %x, want %x as by reflection", route, byField, byReflection)
		}
	})
}

// TestShareUnchangedSharesUnchangedEntries checks that a complete bundle submitted again shares the entries that did
// not change.
func TestShareUnchangedSharesUnchangedEntries(t *testing.T) {
	previous, _ := bundle.Check(nil, manyHTTPRoutes(1, 100))
	next := manyHTTPRoutes(2, 101)
	next.HttpRoutes[7].TimeoutMillis++
	merged, _ := bundle.Check(nil, next)
	shared := bundle.ShareUnchanged(previous, merged)
	if !proto.Equal(shared, merged) {
		t.Fatalf("sharing changed the bundle: got %v, want %v", shared, merged)
	}
	same := 0
	for i, route := range previous.GetHttpRoutes() {
		if shared.GetHttpRoutes()[i] == route {
			same++
		}
	}
	if same != 99 || shared.GetGroups()[0] != previous.GetGroups()[0] || shared.GetLimits() != previous.GetLimits() {
		t.Fatalf("%d HTTP routes are shared, want 99, and the groups and limits, too", same)
	}
}

// manyHTTPRoutes returns a bundle with a number of HTTP routes on 7 hosts.
func manyHTTPRoutes(version uint64, count int) *protocol.Bundle {
	complete := withHTTPRoutes(version)
	for i := range count {
		route := httpRoute(
			fmt.Sprintf("route-%05d", i), fmt.Sprintf("host-%d.example", i%7), fmt.Sprintf("/service-%05d/", i),
		)
		route.Annotations = map[string]string{"origin": "operator"}
		complete.HttpRoutes = append(complete.HttpRoutes, route)
	}
	return complete
}

func BenchmarkFiveThousandHTTPRoutes(b *testing.B) {
	complete := manyHTTPRoutes(1, 5000)
	merged, faults := bundle.Check(nil, complete)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	sentAgain := proto.CloneOf(merged)
	sentAgain.Version = 2
	for name, run := range map[string]func(){
		"check":  func() { bundle.Check(nil, complete) },
		"digest": func() { bundle.Digest(merged) },
		"step":   func() { bundle.MakePartial(merged, sentAgain) },
		"index":  func() { bundle.NewIndex(merged) },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				run()
			}
		})
	}
	index := bundle.NewIndex(merged)
	b.Run("lookup", func(b *testing.B) {
		for b.Loop() {
			index.HTTPRoute("host-3.example:80", "/service-00003/a/b/c/d")
		}
	})
}
