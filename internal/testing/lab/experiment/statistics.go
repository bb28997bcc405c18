package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
)

// Estimate is a figure with the interval that holds it with 95% confidence.
type Estimate struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// Metric is one figure of an variant.
type Metric string

// Metrics compared between variants. Times are in milliseconds.
const (
	FirstTokenMedian Metric = "first token p50 (ms)"
	FirstToken95     Metric = "first token p95 (ms)"
	InterToken95     Metric = "between tokens p95 (ms)"
	InterToken99     Metric = "between tokens p99 (ms)"
	PrefixHitRate    Metric = "prefix hit rate (%)"
	Unanswered       Metric = "requests not answered (%)"
	Throughput       Metric = "output tokens per second"
)

// Metrics lists the metrics in the order of reports.
func Metrics() []Metric {
	return []Metric{FirstTokenMedian, FirstToken95, InterToken95, InterToken99, PrefixHitRate, Unanswered, Throughput}
}

// cluster is what one program contributed; programs are independent, requests of one program are not.
type cluster struct {
	firstTokens []float64
	interTokens []float64
	input       float64
	cached      float64
	output      float64
	requests    float64
	unanswered  float64
}

// Sample is what was measured of one variant.
type Sample struct {
	clusters []cluster
	seconds  float64
	// FirstTokens are all times to the first token in milliseconds, sorted.
	FirstTokens []float64
	// PerSecond are the output tokens of each second of the runs, by second from the start.
	PerSecond []float64
}

// NewSample gathers the records of an variant over runs of the duration; each request log is one run.
func NewSample(logs [][]*caller.Record, duration time.Duration) *Sample {
	s := &Sample{seconds: duration.Seconds() * float64(len(logs)), PerSecond: make([]float64, int(duration.Seconds())+1)}
	for _, records := range logs {
		programs := map[string]*cluster{}
		var order []string
		begin := begins(records)
		for _, record := range records {
			if record.Operation == caller.OperationRead {
				continue
			}
			of := programs[record.Program]
			if of == nil {
				of = &cluster{}
				programs[record.Program] = of
				order = append(order, record.Program)
			}
			of.take(record)
			if second := int(record.AnsweredAt.Sub(begin).Seconds()); second >= 0 && second < len(s.PerSecond) {
				s.PerSecond[second] += float64(record.OutputTokens) / float64(len(logs))
			}
		}
		for _, program := range order {
			s.clusters = append(s.clusters, *programs[program])
			s.FirstTokens = append(s.FirstTokens, programs[program].firstTokens...)
		}
	}
	slices.Sort(s.FirstTokens)
	return s
}

func begins(records []*caller.Record) time.Time {
	var begin time.Time
	for _, record := range records {
		if sent := record.SentAt(); begin.IsZero() || sent.Before(begin) {
			begin = sent
		}
	}
	return begin
}

func (c *cluster) take(record *caller.Record) {
	c.requests++
	if record.Outcome != caller.OutcomeAnswered && record.Code != "budget_spent" {
		c.unanswered++
	}
	if record.Operation != caller.OperationTurn {
		return
	}
	c.input += float64(record.InputTokens)
	c.cached += float64(record.CachedTokens)
	c.output += float64(record.OutputTokens)
	if first, present := record.FirstToken(); present {
		c.firstTokens = append(c.firstTokens, millis(first))
	}
	for i := range record.Exchanges {
		for _, between := range report.InterEventTimes(&record.Exchanges[i]) {
			c.interTokens = append(c.interTokens, millis(between))
		}
	}
}

func millis(value time.Duration) float64 { return float64(value) / float64(time.Millisecond) }

const (
	resamples   = 400
	lowPercent  = 2.5
	highPercent = 97.5
)

// Estimates computes each metric and its interval by drawing programs anew, with replacement.
func (s *Sample) Estimates(seed uint64) map[Metric]Estimate {
	const stream = 4
	random := rand.New(rand.NewPCG(seed, stream))
	point := s.measure(s.clusters)
	drawn := map[Metric][]float64{}
	picked := make([]cluster, len(s.clusters))
	for range resamples {
		for i := range picked {
			picked[i] = s.clusters[random.IntN(len(s.clusters))]
		}
		for metric, value := range s.measure(picked) {
			drawn[metric] = append(drawn[metric], value)
		}
	}
	estimates := map[Metric]Estimate{}
	for _, metric := range Metrics() {
		slices.Sort(drawn[metric])
		estimates[metric] = Estimate{
			Value: point[metric], Low: percentile(drawn[metric], lowPercent), High: percentile(drawn[metric], highPercent),
		}
	}
	return estimates
}

func (s *Sample) measure(clusters []cluster) map[Metric]float64 {
	var first, inter []float64
	var total cluster
	for i := range clusters {
		c := &clusters[i]
		first = append(first, c.firstTokens...)
		inter = append(inter, c.interTokens...)
		total.input += c.input
		total.cached += c.cached
		total.output += c.output
		total.requests += c.requests
		total.unanswered += c.unanswered
	}
	slices.Sort(first)
	slices.Sort(inter)
	return map[Metric]float64{
		FirstTokenMedian: percentile(first, 50),
		FirstToken95:     percentile(first, 95),
		InterToken95:     percentile(inter, 95),
		InterToken99:     percentile(inter, 99),
		PrefixHitRate:    100 * ratio(total.cached, total.input),
		Unanswered:       100 * ratio(total.unanswered, total.requests),
		Throughput:       ratio(total.output, s.seconds),
	}
}

func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}

// percentile reads sorted values; zero without any.
func percentile(sorted []float64, percent float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(percent/100*float64(len(sorted))), len(sorted)-1)]
}

// Programs counts the programs measured.
func (s *Sample) Programs() int { return len(s.clusters) }
