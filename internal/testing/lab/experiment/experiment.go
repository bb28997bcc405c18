// Package experiment compares policies under the same load, variant by variant, with
// confidence intervals and a report with plots.
package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/modelserver"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// Mode says how the variants are served.
type Mode string

// Modes of an experiment.
const (
	// Separate gives each variant a fleet of its own, one after another, under the same load.
	Separate Mode = "separate"
	// Live serves both variants on one fleet at the same time: the second variant is a
	// candidate that takes a share of the programs.
	Live Mode = "live"
)

// File is an experiment as it is written down.
type File struct {
	Name string    `json:"name"`
	Site site.Name `json:"site"`
	Mode Mode      `json:"mode"`
	// Sizes replace those of the site where set.
	Sizes           *site.Sizes       `json:"sizes,omitempty"`
	DurationSeconds int               `json:"duration_seconds"`
	Seeds           []uint64          `json:"seeds"`
	Load            caller.Load       `json:"load"`
	Shape           caller.Shape      `json:"shape"`
	Rates           modelserver.Rates `json:"rates"`
	Faults          standin.FaultPlan `json:"faults"`
	// ShareBasisPoints is the candidate's share of programs in live mode.
	ShareBasisPoints uint32    `json:"share_basis_points,omitempty"`
	Variants         []Variant `json:"arms"`
}

// Variant is one policy under comparison.
type Variant struct {
	Name string `json:"name"`
	// Bundle is a partial bundle in the protobuf JSON mapping; what it sets
	// replaces the same part of the laboratory's bundle.
	Bundle json.RawMessage `json:"bundle"`
}

const (
	maxSeconds = 3600
	maxRuns    = 64
)

// FileError names what is wrong with an experiment.
type FileError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Reason) }

// Load reads and checks an experiment. Fields of load and shape that are absent keep their defaults.
func Load(path string) (*File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read experiment")
	}
	return Parse(content)
}

// Parse reads and checks an experiment.
func Parse(content []byte) (*File, error) {
	file := &File{Mode: Separate, Load: caller.DefaultLoad(), Shape: caller.DefaultShape()}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(file); err != nil {
		return nil, errors.Wrap(err, "decode experiment")
	}
	return file, file.validate()
}

func (f *File) validate() error {
	var failed error
	fault := func(path, reason string) {
		failed = errors.CombineErrors(failed, &FileError{Path: path, Reason: reason})
	}
	if _, err := site.SizesOf(f.Site); err != nil {
		fault("site", err.Error())
	}
	if f.Mode != Separate && f.Mode != Live {
		fault("mode", "must be separate or live")
	}
	if f.DurationSeconds < 1 || f.DurationSeconds > maxSeconds {
		fault("duration_seconds", fmt.Sprintf("must be between 1 and %d", maxSeconds))
	}
	if len(f.Seeds) == 0 || len(f.Seeds)*len(f.Variants) > maxRuns {
		fault("seeds", fmt.Sprintf("must name at least one seed and at most %d runs over all arms", maxRuns))
	}
	if len(f.Variants) < 2 || (f.Mode == Live && len(f.Variants) != 2) {
		fault("arms", "must be two or more, and two in live mode")
	}
	if f.Mode == Live && (f.ShareBasisPoints < 1 || f.ShareBasisPoints > 9999) {
		fault("share_basis_points", "must be between 1 and 9999 in live mode")
	}
	if err := f.Faults.Validate(); err != nil {
		fault("faults", err.Error())
	}
	for i, variant := range f.Variants {
		if _, err := variant.Apply(&protocol.Bundle{}); err != nil {
			fault(fmt.Sprintf("arms[%d].bundle", i), err.Error())
		}
	}
	return failed
}

// Duration is how long conversations open in one run.
func (f *File) Duration() time.Duration { return time.Duration(f.DurationSeconds) * time.Second }

// FleetSizes are the sizes of the experiment's fleet.
func (f *File) FleetSizes() (site.Sizes, error) {
	if f.Sizes != nil {
		return *f.Sizes, nil
	}
	return site.SizesOf(f.Site)
}

// Apply puts the variant's policy into a copy of a bundle.
func (a *Variant) Apply(base *protocol.Bundle) (*protocol.Bundle, error) {
	patch := &protocol.Bundle{}
	if len(a.Bundle) > 0 {
		if err := protojson.Unmarshal(a.Bundle, patch); err != nil {
			return nil, errors.Wrapf(err, "bundle of arm %s", a.Name)
		}
	}
	changed := proto.Clone(base).(*protocol.Bundle)
	version := changed.GetVersion()
	proto.Merge(changed, patch)
	changed.Version = version
	return changed, nil
}
