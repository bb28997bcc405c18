// Package report turns the request log of a run into figures and tables.
package report

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
)

const (
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Times is a distribution of times.
type Times struct{ histogram *hdrhistogram.Histogram }

// NewTimes begins an empty distribution.
func NewTimes() *Times {
	return &Times{hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

// Add takes one time in; it is bounded to a minute.
func (t *Times) Add(value time.Duration) {
	micros := min(max(value.Microseconds(), lowestMicros), highestMicros)
	_ = t.histogram.RecordValue(micros)
}

// Count is the number of times taken in.
func (t *Times) Count() int64 { return t.histogram.TotalCount() }

// At is the value at a percentile (0 to 100); zero without values.
func (t *Times) At(percentile float64) time.Duration {
	if t.Count() == 0 {
		return 0
	}
	return time.Duration(t.histogram.ValueAtPercentile(percentile)) * time.Microsecond
}

// Rejection is the code and outcome of requests without an answer.
type Rejection struct {
	Operation caller.Operation
	Code      string
	Outcome   string
	Count     int
}

// Summary is the figures of a run.
type Summary struct {
	Conversations int
	Unserved      int
	Turns         int
	TurnsAnswered int
	ToolCalls     int
	ToolsAnswered int
	Reads         int
	ReadsAnswered int
	InputTokens   uint64
	CachedTokens  uint64
	OutputTokens  uint64
	Resumed       int
	Repeated      int
	FirstToken    *Times
	InterEvent    *Times
	ToolTime      *Times
	RejectionTime *Times
	Rejections    []Rejection
}

// Summarize computes the figures of a request log.
func Summarize(requestLog *caller.RequestLog) *Summary {
	s := &Summary{
		Conversations: len(requestLog.Programs), Unserved: requestLog.Unserved,
		FirstToken: NewTimes(), InterEvent: NewTimes(), ToolTime: NewTimes(), RejectionTime: NewTimes(),
	}
	rejections := map[Rejection]int{}
	for _, record := range requestLog.Records {
		s.take(record)
		if record.Outcome != caller.OutcomeAnswered {
			rejections[Rejection{Operation: record.Operation, Code: record.Code, Outcome: record.Outcome}]++
		}
	}
	for rejection, count := range rejections {
		rejection.Count = count
		s.Rejections = append(s.Rejections, rejection)
	}
	slices.SortFunc(s.Rejections, func(a, b Rejection) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return compareNames(a, b)
	})
	return s
}

func compareNames(a, b Rejection) int {
	return slices.Compare(
		[]string{string(a.Operation), a.Code, a.Outcome}, []string{string(b.Operation), b.Code, b.Outcome})
}

func (s *Summary) take(record *caller.Record) {
	answered := 0
	if record.Outcome == caller.OutcomeAnswered {
		answered = 1
	}
	switch record.Operation {
	case caller.OperationTurn:
		s.Turns++
		s.TurnsAnswered += answered
		s.takeTurn(record)
	case caller.OperationTool:
		s.ToolCalls++
		s.ToolsAnswered += answered
		if answered == 1 {
			s.ToolTime.Add(record.AnsweredAt.Sub(record.SentAt()))
		}
	case caller.OperationRead:
		s.Reads++
		s.ReadsAnswered += answered
	}
	if record.Outcome == caller.OutcomeNotRun && len(record.Exchanges) == 1 {
		s.RejectionTime.Add(record.AnsweredAt.Sub(record.SentAt()))
	}
}

func (s *Summary) takeTurn(record *caller.Record) {
	s.InputTokens += record.InputTokens
	s.CachedTokens += record.CachedTokens
	s.OutputTokens += record.OutputTokens
	if first, present := record.FirstToken(); present {
		s.FirstToken.Add(first)
	}
	for i := range record.Exchanges {
		exchange := &record.Exchanges[i]
		if exchange.Resumed {
			s.Resumed++
		} else if exchange.Repeated {
			s.Repeated++
		}
		for _, gap := range InterEventTimes(exchange) {
			s.InterEvent.Add(gap)
		}
	}
}

// InterEventTimes are the times between the pieces of one stream.
func InterEventTimes(exchange *caller.Exchange) []time.Duration {
	var gaps []time.Duration
	var last time.Time
	for _, event := range exchange.Events {
		if event.Type != caller.EventDelta {
			continue
		}
		if !last.IsZero() {
			gaps = append(gaps, event.ArrivedAt.Sub(last))
		}
		last = event.ArrivedAt
	}
	return gaps
}

// PrefixHitRate is the share of input tokens that model servers had cached.
func (s *Summary) PrefixHitRate() float64 {
	if s.InputTokens == 0 {
		return 0
	}
	return float64(s.CachedTokens) / float64(s.InputTokens)
}

// SiteCounts counts answered turns and tool calls by site, sites in order.
func SiteCounts(requestLog *caller.RequestLog) (sites []string, turns, tools map[string]int) {
	turns = map[string]int{}
	tools = map[string]int{}
	seen := map[string]bool{}
	for _, record := range requestLog.Records {
		seen[record.Site] = true
		if record.Outcome != caller.OutcomeAnswered {
			continue
		}
		switch record.Operation {
		case caller.OperationTurn:
			turns[record.Site]++
		case caller.OperationTool:
			tools[record.Site]++
		}
	}
	return slices.Sorted(maps.Keys(seen)), turns, tools
}

// Merge takes all values of another distribution in.
func (t *Times) Merge(other *Times) { t.histogram.Merge(other.histogram) }
