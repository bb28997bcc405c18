// Package dayreport reads the report that a bench writes about one played day and draws it: as tables and charts of
// text for a terminal, and as an SVG file.
package dayreport

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Report is what the file of a played day holds, as far as it is drawn.
type Report struct {
	// Score is the worth of the day, less its prices.
	Score      float64     `json:"G"`
	Components []Component `json:"parts"`
	Prices     []Price     `json:"prices"`
	All        Counts      `json:"all"`
	Kinds      []Counts    `json:"classes"`
	Zones      []Counts    `json:"zones"`
	// Windows are the counts by the time at which the requests were sent, in the order of time.
	Windows []Window `json:"windows"`
	// Disruptions are the faults and the planned work of the day, in the order of time.
	Disruptions []Disruption `json:"events"`
	Roles       []Role       `json:"nodes"`
	// Broken counts the violations of each rule.
	Broken map[string]int `json:"breaks"`
}

// Component is one component of the score before prices: its weight and its value.
type Component struct {
	Name          string
	Weight, Value float64
}

// UnmarshalJSON reads a part from an array of its three fields.
func (p *Component) UnmarshalJSON(content []byte) error {
	return decodeArray(content, &p.Name, &p.Weight, &p.Value)
}

// Price is what one resource took from the score: the amount used and the cost.
type Price struct {
	Name         string
	Amount, Cost float64
}

// UnmarshalJSON reads a price from an array of its three fields.
func (p *Price) UnmarshalJSON(content []byte) error {
	return decodeArray(content, &p.Name, &p.Amount, &p.Cost)
}

// Counts are the outcomes of requests, and the times until their answers had ended.
type Counts struct {
	Name         string `json:"name"`
	Requests     int    `json:"n"`
	WithinTarget int    `json:"in_aim"`
	Late         int    `json:"late"`
	Rejected     int    `json:"refused"`
	Failed       int    `json:"failed"`
	// Excluded are requests that the deployment had no duty to serve.
	Excluded int     `json:"not_owed"`
	Value    float64 `json:"worth"`
	// MedianMillis and P99Millis are nil where nothing was answered.
	MedianMillis *float64 `json:"p50_ms"`
	P99Millis    *float64 `json:"p99_ms"`
}

// Window holds the counts of the requests that were sent in one span of time.
type Window struct {
	Counts
	// Start is in seconds since traffic began.
	Start float64
}

// Disruption is a fault or a piece of planned work, in seconds since traffic began.
type Disruption struct {
	Start float64 `json:"at_s"`
	// End is nil where the report names none.
	End     *float64 `json:"to_s"`
	Kind    string   `json:"kind"`
	Subject string   `json:"what"`
	Planned bool     `json:"planned"`
}

// Until gives the end of a disruption, its start where the report names none.
func (d *Disruption) Until() float64 {
	if d.End == nil {
		return d.Start
	}
	return max(d.Start, *d.End)
}

// Role is the load of the machines of one role.
type Role struct {
	Name          string  `json:"role"`
	Machines      int     `json:"n"`
	MeanCores     float64 `json:"cpu_mean"`
	PeakCores     float64 `json:"cpu_peak"`
	PeakMegabytes float64 `json:"mem_peak_mb"`
	PeakFiles     int     `json:"fds_peak"`
	Starts        int     `json:"starts"`
}

// FormatError says that a file is not the report of a played day.
type FormatError struct{ Path, Reason string }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s is no report of a day: %s", e.Path, e.Reason)
}

// Read reads a report.
func Read(path string) (*Report, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	report := &Report{}
	if err := json.Unmarshal(content, report); err != nil {
		return nil, &FormatError{Path: path, Reason: err.Error()}
	}
	if len(report.Windows) == 0 {
		return nil, &FormatError{Path: path, Reason: "it has no windows of time"}
	}
	if err := report.order(); err != nil {
		return nil, &FormatError{Path: path, Reason: err.Error()}
	}
	return report, nil
}

// order takes the start of each window out of its name and puts windows and disruptions in the order of time.
func (r *Report) order() error {
	for i := range r.Windows {
		start, err := strconv.ParseFloat(r.Windows[i].Name, 64)
		if err != nil {
			return errors.Wrap(err, "start of a window")
		}
		r.Windows[i].Start = start
	}
	slices.SortStableFunc(r.Windows, func(a, b Window) int { return cmp.Compare(a.Start, b.Start) })
	slices.SortStableFunc(r.Disruptions, func(a, b Disruption) int { return cmp.Compare(a.Start, b.Start) })
	return nil
}

// Length is the time from the start of traffic to the end of the last window, in seconds.
func (r *Report) Length() float64 {
	last := len(r.Windows) - 1
	width := 1.0
	if last > 0 {
		width = r.Windows[last].Start - r.Windows[last-1].Start
	}
	return r.Windows[last].Start + width
}

// WidthError says that an array of the report has another number of fields than expected.
type WidthError struct{ Want, Got int }

// Error implements error.
func (e *WidthError) Error() string {
	return fmt.Sprintf("an array of %d fields in place of %d", e.Got, e.Want)
}

func decodeArray(content []byte, fields ...any) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(content, &raw); err != nil {
		return err
	}
	if len(raw) != len(fields) {
		return &WidthError{Want: len(fields), Got: len(raw)}
	}
	for i, field := range fields {
		if err := json.Unmarshal(raw[i], field); err != nil {
			return err
		}
	}
	return nil
}
