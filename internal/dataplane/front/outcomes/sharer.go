package outcomes

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// Tick is the interval between checks for outcomes to report.
	Tick = 200 * time.Millisecond
	// Interval is the minimum interval between reports without failures.
	Interval = time.Second

	reportTimeout = time.Second
	// pollTimeout is how long the leader holds a long poll for new suspects, pollSlack how much longer the front node
	// waits for the response, and pollRetryInterval the delay before the next poll after a failure.
	pollTimeout       = 10 * time.Second
	pollSlack         = time.Second
	pollRetryInterval = 500 * time.Millisecond
)

// Core sends requests to the leader of the core.
type Core interface {
	CallCore(ctx context.Context, request *protocol.Request) (*protocol.Response, error)
}

// Clock returns the time and provides timers and contexts with time-outs.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
	WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc)
}

// Options configure a Sharer; all are required.
type Options struct {
	// Node and Zone are the name and zone of the front node.
	Node  string
	Zone  string
	Core  Core
	Clock Clock
	// Servers returns the back ends of the current view.
	Servers func() *backends.Set
	// Suspected counts the servers that became suspect here.
	Suspected prometheus.Counter
}

// Sharer exchanges outcomes with the core's leader. Report and Watch each run on a goroutine of their own; the only
// mutable state that they share is the servers, which are safe for concurrent use.
type Sharer struct{ options Options }

// NewSharer returns a sharer; the caller runs Report and Watch.
func NewSharer(options Options) *Sharer { return &Sharer{options: options} }

// Report reports the outcomes observed at servers until the context ends.
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

// reportIfDue sends a report when there are failures, or when there are outcomes and Interval has passed since the last
// report. It returns the time of the last report. A front node that sends no requests to servers sends no reports.
func (s *Sharer) reportIfDue(ctx context.Context, reportedAt time.Time) time.Time {
	now := s.options.Clock.Now()
	report := &protocol.ShareOutcomesRequest{Node: s.options.Node, Zone: s.options.Zone}
	unreported := map[*backends.Server]backends.OutcomeCounts{}
	failures := false
	for id, server := range s.options.Servers().ByID {
		counts := server.Unreported(now)
		if counts.IsEmpty() {
			continue
		}
		failures = failures || counts.HasFailures()
		unreported[server] = counts
		report.Outcomes = append(report.Outcomes, counts.ToProto(id, server.Description().GetIncarnation(), now))
	}
	isDue := len(unreported) > 0 && now.Sub(reportedAt) >= Interval
	if !failures && !isDue {
		return reportedAt
	}
	s.send(ctx, report, unreported)
	return now
}

// send sends a report and applies the suspects in the response. Counts that the leader may not have received are
// reported again.
func (s *Sharer) send(
	ctx context.Context, report *protocol.ShareOutcomesRequest, reported map[*backends.Server]backends.OutcomeCounts,
) {
	ctx, cancel := s.options.Clock.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := s.options.Core.CallCore(ctx, &protocol.Request{
		Body: &protocol.Request_ShareOutcomes{ShareOutcomes: report},
	})
	if err != nil {
		return
	}
	for server, counts := range reported {
		server.MarkReported(counts)
	}
	s.applySuspects(response.GetShareOutcomes().GetSuspects())
}

// Watch polls the core's leader for suspects until the context ends, so that front nodes that have observed no failure
// also avoid them at once.
func (s *Sharer) Watch(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		response, err := s.poll(ctx, version)
		if err == nil {
			version = response.GetVersion()
			s.applySuspects(response.GetSuspects())
			continue
		}
		select {
		case <-s.options.Clock.After(pollRetryInterval):
		case <-ctx.Done():
		}
	}
}

// poll returns the suspects once their version is newer than the given one, or after pollTimeout.
func (s *Sharer) poll(ctx context.Context, version uint64) (*protocol.WatchSuspectsResponse, error) {
	ctx, cancel := s.options.Clock.WithTimeout(ctx, pollTimeout+pollSlack)
	defer cancel()
	request := &protocol.WatchSuspectsRequest{
		Zone: s.options.Zone, Known: version, WaitMillis: uint32(pollTimeout / time.Millisecond),
	}
	response, err := s.options.Core.CallCore(ctx, &protocol.Request{
		Body: &protocol.Request_WatchSuspects{WatchSuspects: request},
	})
	return response.GetWatchSuspects(), err
}

// applySuspects marks the suspects' servers for the time that each remains suspect.
func (s *Sharer) applySuspects(suspects []*protocol.SuspectBackEnd) {
	servers, now := s.options.Servers(), s.options.Clock.Now()
	for _, suspect := range suspects {
		server := servers.ByID[suspect.GetId()]
		if server == nil || server.Description().GetIncarnation() != suspect.GetIncarnation() {
			continue
		}
		remaining := time.Duration(suspect.GetLeftMillis()) * time.Millisecond
		if server.MarkSuspect(now.Add(remaining), now) {
			s.options.Suspected.Inc()
		}
	}
}
