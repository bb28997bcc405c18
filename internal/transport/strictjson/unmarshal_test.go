package strictjson_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

func TestUnmarshalNamesThePathOfEveryFault(t *testing.T) {
	tests := []struct {
		name, document string
		unknown        bool
		paths          []string
	}{
		{
			"unknown fields", `{"version":1,"routes":[{"name":"a"},{"flavor":"m"}],"shade":2}`, true,
			[]string{"routes[1].flavor", "shade"},
		},
		{"unknown in a policy", `{"limits":{"max_qeued":1}}`, true, []string{"limits.max_qeued"}},
		{
			"wrong type", "{\n \"version\": 1,\n \"scheduling\": {\"subset_size\": \"many\"}}", false,
			[]string{"scheduling.subset_size"},
		},
		{"wrong enum", `{"scheduling":{"algorithm":"BEST"}}`, false, []string{"scheduling.algorithm"}},
		{"field twice", `{"routes":[{"name":"a","name":"b"}]}`, false, []string{"routes[0].name"}},
		{"field twice under both names", `{"base_version":1,"baseVersion":2}`, false, []string{"baseVersion"}},
		{"map value", `{"groups":[{"name":"g","zone_weights":{"z1":"x"}}]}`, false, []string{"groups[0].zone_weights[z1]"}},
		{"truncated", `{"routes":[{"name":`, false, []string{"routes[0].name"}},
		{"two values", `{} {}`, false, []string{""}},
		{"empty", ``, false, []string{""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := strictjson.Unmarshal([]byte(test.document), &protocol.Bundle{})
			var invalid *strictjson.Error
			if !errors.As(err, &invalid) {
				t.Fatalf("Unmarshal of %q: got error %v, want a *strictjson.Error", test.document, err)
			}
			var paths []string
			for _, fault := range invalid.Faults {
				paths = append(paths, fault.GetPath())
			}
			if fmt.Sprint(paths) != fmt.Sprint(test.paths) || invalid.Unknown != test.unknown {
				t.Fatalf(
					"Unmarshal of %q: got paths %q, unknown=%v (%v), want %q, unknown=%v",
					test.document, paths, invalid.Unknown, err, test.paths, test.unknown,
				)
			}
		})
	}
}

func TestUnmarshalRejectsDeepNesting(t *testing.T) {
	for _, document := range []string{
		strings.Repeat("[", 1<<20),
		`{"routes":` + strings.Repeat(`{"a":`, 1<<20),
		`{"routes":` + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + "}",
	} {
		err := strictjson.Unmarshal([]byte(document), &protocol.Bundle{})
		var invalid *strictjson.Error
		if !errors.As(err, &invalid) {
			t.Fatalf("Unmarshal of %.40q...: got error %v, want a *strictjson.Error", document, err)
		}
		if last := invalid.Faults[len(invalid.Faults)-1]; !strings.Contains(last.GetMessage(), "nested too deeply") {
			t.Fatalf("Unmarshal of %.40q...: got faults %v, want nested too deeply as the last", document, invalid.Faults)
		}
	}
}
