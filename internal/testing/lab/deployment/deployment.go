// Package deployment describes the fleets that the laboratory can bring up: its built-in sites, and deployments of a
// file.
package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/modelserver"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

// Deployment is a fleet with its callers.
type Deployment struct {
	// Name is part of the run folder's name.
	Name string `json:"name"`
	// Callers names the site whose kinds of programs and tools are called, or both.
	Callers site.Name  `json:"callers"`
	Sizes   site.Sizes `json:"sizes"`
	// Load and Shape keep the laboratory's defaults where a file sets nothing.
	Load  caller.Load  `json:"load"`
	Shape caller.Shape `json:"shape"`
	// Rates are those of the model servers.
	Rates      modelserver.Rates `json:"rates"`
	Processors Processors        `json:"processors"`
}

// Processors bound how many processors the Go runtime of a daemon uses at once; 0 is no bound.
type Processors struct {
	Core  int `json:"core"`
	Store int `json:"store"`
	Front int `json:"front"`
}

// Environment gives the variables that set the bounds, by kind of daemon.
func (p Processors) Environment() map[fleet.Kind][]string {
	environment := make(map[fleet.Kind][]string)
	bounds := map[fleet.Kind]int{fleet.KindCore: p.Core, fleet.KindStore: p.Store, fleet.KindFront: p.Front}
	for kind, bound := range bounds {
		if bound > 0 {
			environment[kind] = []string{fmt.Sprintf("GOMAXPROCS=%d", bound)}
		}
	}
	return environment
}

// Fleet gives the options of the deployment's fleet.
func (d *Deployment) Fleet() fleet.Options {
	return fleet.Options{Sizes: d.Sizes, Rates: d.Rates, Environment: d.Processors.Environment(), LogLevel: "info"}
}

// Of gives a built-in site at the sizes given.
func Of(name site.Name, sizes site.Sizes) *Deployment {
	return &Deployment{
		Name: string(name), Callers: name, Sizes: sizes, Load: caller.DefaultLoad(),
		Shape: caller.DefaultShape(),
	}
}

// FieldError names a field of a deployment with an unusable value.
type FieldError struct{ Field, Reason string }

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Reason) }

// Load reads and checks a deployment from a JSON file.
func Load(path string) (*Deployment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read deployment")
	}
	return Parse(content)
}

// Parse reads and checks a deployment from JSON.
func Parse(content []byte) (*Deployment, error) {
	deployment := &Deployment{Load: caller.DefaultLoad(), Shape: caller.DefaultShape()}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(deployment); err != nil {
		return nil, errors.Wrap(err, "decode deployment")
	}
	return deployment, deployment.validate()
}

func (d *Deployment) validate() error {
	var failed error
	fault := func(field, reason string) {
		failed = errors.CombineErrors(failed, &FieldError{Field: field, Reason: reason})
	}
	if d.Name == "" {
		fault("name", "must not be empty")
	}
	if _, err := site.Parts(d.Callers); err != nil {
		fault("callers", err.Error())
	}
	if d.Load.ConversationsPerSecond <= 0 {
		fault("load.conversations_per_second", "must be above 0")
	}
	for _, reason := range d.Sizes.Faults() {
		fault("sizes", reason)
	}
	return failed
}
