// Package scrape reads metrics of daemons in the usual exposition format.
package scrape

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const maxLineBytes = 1 << 20

// Sample is one value with its labels as they were written, without the braces.
type Sample struct {
	Name   string
	Labels string
	Value  float64
}

// Metrics are the samples of one process at one time.
type Metrics []Sample

// StatusError is an answer other than 200.
type StatusError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s answered %d", e.Address, e.Status) }

// Fetch reads the metrics of the process at an HTTP address (ip:port).
func Fetch(ctx context.Context, client *http.Client, address string) (Metrics, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "fetch metrics")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Address: address, Status: response.StatusCode}
	}
	return Parse(response.Body)
}

// Parse reads the exposition format; comments and lines without a value are passed over.
func Parse(reader io.Reader) (Metrics, error) {
	var metrics Metrics
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Text()
		at := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || at < 0 {
			continue
		}
		value, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			continue
		}
		name, labels, _ := strings.Cut(line[:at], "{")
		metrics = append(metrics, Sample{Name: name, Labels: strings.TrimSuffix(labels, "}"), Value: value})
	}
	return metrics, errors.Wrap(scanner.Err(), "read metrics")
}

// Sum adds up the samples of a name whose labels hold all the given texts.
func (m Metrics) Sum(name string, labels ...string) float64 {
	sum := 0.0
	for _, sample := range m {
		if sample.Name == name &&
			!slices.ContainsFunc(labels, func(label string) bool { return !strings.Contains(sample.Labels, label) }) {
			sum += sample.Value
		}
	}
	return sum
}

// Buckets are the cumulative counts of a histogram by upper bound.
type Buckets map[float64]float64

// Buckets adds up the buckets of a histogram over all its labels.
func (m Metrics) Buckets(name string) Buckets {
	buckets := Buckets{}
	for _, sample := range m {
		if sample.Name != name+"_bucket" {
			continue
		}
		for label := range strings.SplitSeq(sample.Labels, ",") {
			text, isBound := strings.CutPrefix(label, `le="`)
			if !isBound {
				continue
			}
			if bound, err := strconv.ParseFloat(strings.TrimSuffix(text, `"`), 64); err == nil {
				buckets[bound] += sample.Value
			}
		}
	}
	return buckets
}

// Add adds other counts, times the factor, to these.
func (b Buckets) Add(other Buckets, factor float64) {
	for bound, count := range other {
		b[bound] += factor * count
	}
}

// Quantile is the upper bound of the bucket in which a share of the values
// lies; false without values.
func (b Buckets) Quantile(share float64) (float64, bool) {
	bounds := make([]float64, 0, len(b))
	for bound := range b {
		bounds = append(bounds, bound)
	}
	slices.Sort(bounds)
	total := b[math.Inf(1)]
	if total <= 0 {
		return 0, false
	}
	for _, bound := range bounds {
		if b[bound] >= share*total {
			return bound, true
		}
	}
	return math.Inf(1), true
}
