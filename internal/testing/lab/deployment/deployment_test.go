package deployment_test

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/deployment"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

const soundSizes = `"sizes":{"voters":1,"stores":1,"fronts":2,"zones":2,"model_servers":1,"tool_servers":1}`

func TestShippedDeploymentsAreSound(t *testing.T) {
	files, err := filepath.Glob("../../../../lab/sites/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, path := range files {
		if _, err := deployment.Load(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestParseKeepsDefaultsWhereNothingIsSet(t *testing.T) {
	text := `{"name":"a","callers":"both","load":{"conversations_per_second":3},` + soundSizes + `}`
	parsed, err := deployment.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := caller.DefaultLoad()
	want.ConversationsPerSecond = 3
	if parsed.Load != want || parsed.Shape != caller.DefaultShape() {
		t.Errorf("load %+v, shape %+v", parsed.Load, parsed.Shape)
	}
}

func TestParseNamesEveryFault(t *testing.T) {
	for fault, content := range map[string]string{
		"name must":             `{"callers":"both",` + soundSizes + `}`,
		"unknown site":          `{"name":"a","callers":"mars",` + soundSizes + `}`,
		"conversations_per_sec": `{"name":"a","callers":"both","load":{"conversations_per_second":0},` + soundSizes + `}`,
		"fronts must": `{"name":"a","callers":"both",` +
			`"sizes":{"voters":1,"stores":1,"zones":1,"model_servers":1,"tool_servers":1}}`,
		"zone_weights must": `{"name":"a","callers":"both",` +
			`"sizes":{"voters":1,"stores":1,"fronts":1,"zones":2,"zone_weights":[1],"model_servers":1,"tool_servers":1}}`,
		"unknown field \"fronz\"": `{"name":"a","fronz":1}`,
	} {
		if _, err := deployment.Parse([]byte(content)); err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%s: %v", fault, err)
		}
	}
}

func TestFaultsHaveAType(t *testing.T) {
	_, err := deployment.Parse([]byte(`{"callers":"both",` + soundSizes + `}`))
	var field *deployment.FieldError
	if !errors.As(err, &field) || field.Field != "name" {
		t.Errorf("got %v", err)
	}
}

func TestProcessorsBoundOnlyTheKindsNamed(t *testing.T) {
	environment := deployment.Processors{Store: 1, Front: 2}.Environment()
	if len(environment) != 2 || !slices.Equal(environment[fleet.KindStore], []string{"GOMAXPROCS=1"}) ||
		!slices.Equal(environment[fleet.KindFront], []string{"GOMAXPROCS=2"}) {
		t.Errorf("environment %v", environment)
	}
}

func TestBuiltInSitesHaveTheDefaultLoad(t *testing.T) {
	built := deployment.Of(site.Both, site.Small())
	if built.Callers != site.Both || built.Load != caller.DefaultLoad() ||
		built.Fleet().Sizes.Fronts != site.Small().Fronts {
		t.Errorf("built %+v", built)
	}
}
