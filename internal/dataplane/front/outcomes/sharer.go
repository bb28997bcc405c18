package outcomes

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// Tick is the time between two looks for outcomes to report.
	Tick = 200 * time.Millisecond
	// Interval is the least time between two reports without failures.
	Interval = time.Second

	reportTimeout = time.Second
	// pollTimeout bounds a long poll for new suspects, pollSlack is what the front node waits beyond that, and
	// pollRetryInterval the time until the next poll after a failure.
	pollTimeout       = 10 * time.Second
	pollSlack         = time.Second
	pollRetryInterval = 500 * time.Millisecond
)

// Core takes requests to the leader of the core.
type Core interface {
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
}

// Clock tells the time, waits and bounds contexts.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
	WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc)
}

// Options configure a Sharer; all are required.
type Options struct {
	// Node and Zone are those of the front node.
	Node  string
	Zone  string
	Core  Core
	Clock Clock
	// Servers are the back ends of the view in force.
	Servers func() *backends.Set
	// Suspected counts the servers that became suspect here.
	Suspected prometheus.Counter
}

// Sharer exchanges outcomes with the core's leader. Report and Watch run on a goroutine each and share
// nothing but the servers, which guard themselves.
type Sharer struct{ options Options }

// NewSharer makes a sharer; Report and Watch do its work.
func NewSharer(options Options) *Sharer { return &Sharer{options: options} }

// Report reports what was observed of servers until the context ends.
func (s *Sharer) Report(ctx context.Context) {
	reportedAt := s.options.Clock.Now()
	for {
		select {
		case <-s.options.Clock.After(Tick):
			reportedAt = s.reportIfDue(ctx, reportedAt)
		case <-ctx.Done():
			return
		}
	}
}

// reportIfDue reports when there is a failure, or when outcomes are due, and returns when it reported last.
// A front node that sends servers nothing reports nothing.
func (s *Sharer) reportIfDue(ctx context.Context, reportedAt time.Time) time.Time {
	now := s.options.Clock.Now()
	report := &protocol.ShareOutcomesRequest{Node: s.options.Node, Zone: s.options.Zone}
	counted := map[*backends.Server]backends.OutcomeCounts{}
	failures := false
	for id, server := range s.options.Servers().ByID {
		counts := server.Unreported(now)
		if counts.IsEmpty() {
			continue
		}
		failures = failures || counts.HasFailures()
		counted[server] = counts
		report.Outcomes = append(report.Outcomes, counts.ToProto(id, server.Description().GetIncarnation(), now))
	}
	isDue := len(counted) > 0 && now.Sub(reportedAt) >= Interval
	if !failures && !isDue {
		return reportedAt
	}
	s.send(ctx, report, counted)
	return now
}

// send reports, and applies the suspects that come back. Counts that the leader may not have received are
// reported again.
func (s *Sharer) send(
	ctx context.Context, report *protocol.ShareOutcomesRequest, counted map[*backends.Server]backends.OutcomeCounts,
) {
	ctx, cancel := s.options.Clock.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := s.options.Core.CallCore(ctx, &protocol.Request{
		Body: &protocol.Request_ShareOutcomes{ShareOutcomes: report},
	})
	if err != nil {
		return
	}
	for server, counts := range counted {
		server.MarkReported(counts)
	}
	s.avoid(response.GetShareOutcomes().GetSuspects())
}

// Watch polls the core's leader for the suspects until the context ends, so that a front node which has
// observed no failure avoids them at once too.
func (s *Sharer) Watch(ctx context.Context) {
	known := uint64(0)
	for ctx.Err() == nil {
		answer, err := s.poll(ctx, known)
		if err == nil {
			known = answer.GetVersion()
			s.avoid(answer.GetSuspects())
			continue
		}
		select {
		case <-s.options.Clock.After(pollRetryInterval):
		case <-ctx.Done():
		}
	}
}

// poll returns the suspects once they are newer than the version known, or after pollTimeout.
func (s *Sharer) poll(ctx context.Context, known uint64) (*protocol.WatchSuspectsResponse, error) {
	ctx, cancel := s.options.Clock.WithTimeout(ctx, pollTimeout+pollSlack)
	defer cancel()
	request := &protocol.WatchSuspectsRequest{
		Zone: s.options.Zone, Known: known, WaitMillis: uint32(pollTimeout / time.Millisecond),
	}
	response, err := s.options.Core.CallCore(ctx, &protocol.Request{
		Body: &protocol.Request_WatchSuspects{WatchSuspects: request},
	})
	return response.GetWatchSuspects(), err
}

// avoid has servers avoided for the time that each is suspect.
func (s *Sharer) avoid(suspects []*protocol.SuspectBackEnd) {
	servers, now := s.options.Servers(), s.options.Clock.Now()
	for _, suspect := range suspects {
		server := servers.ByID[suspect.GetId()]
		if server == nil || server.Description().GetIncarnation() != suspect.GetIncarnation() {
			continue
		}
		left := time.Duration(suspect.GetLeftMillis()) * time.Millisecond
		if server.MarkSuspect(now.Add(left), now) {
			s.options.Suspected.Inc()
		}
	}
}
