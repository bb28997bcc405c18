package front

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// shareTick is the time between two looks for outcomes to report.
	shareTick = 200 * time.Millisecond
	// shareInterval is the least time between two reports without failures.
	shareInterval = time.Second
	shareTimeout  = time.Second
	// suspectsPollTimeout bounds a long poll for new suspects, suspectsPollSlack is what the front node waits
	// beyond that, and suspectsRetryInterval the time until the next request after a failure.
	suspectsPollTimeout   = 10 * time.Second
	suspectsPollSlack     = time.Second
	suspectsRetryInterval = 500 * time.Millisecond
)

// outcomeSharing reports to the core's leader the outcomes that this front node observed of servers, and avoids
// those that are suspect by the outcomes of all front nodes. Only its own goroutine uses it.
type outcomeSharing struct {
	service  *Service
	sharedAt time.Time
}

func (s *Service) shareOutcomes(ctx context.Context) {
	sharing := &outcomeSharing{service: s, sharedAt: s.clock.Now()}
	for {
		select {
		case <-s.clock.After(shareTick):
			sharing.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// tick sends a report when one is due. A front node that sends servers nothing reports nothing.
func (o *outcomeSharing) tick(ctx context.Context) {
	servers := o.service.backEnds.Load()
	now := o.service.clock.Now()
	report := &protocol.ShareOutcomesRequest{Node: o.service.name, Zone: o.service.zone}
	counted := map[*backends.Server]backends.OutcomeCounts{}
	bad := false
	for id, server := range servers.ByID {
		counts := server.Unreported(now)
		if counts.IsEmpty() {
			continue
		}
		bad = bad || counts.HasFailures()
		counted[server] = counts
		report.Outcomes = append(report.Outcomes, counts.Describe(id, server.Description().GetIncarnation(), now))
	}
	if !o.isDue(len(counted) > 0, bad, now) {
		return
	}
	o.sharedAt = now
	o.send(ctx, report, counted)
}

func (o *outcomeSharing) isDue(some, bad bool, now time.Time) bool {
	waited := now.Sub(o.sharedAt)
	return bad || some && waited >= shareInterval
}

// send reports, and applies the suspects that come back. Counts that the leader may not have received are
// reported again.
func (o *outcomeSharing) send(
	ctx context.Context, report *protocol.ShareOutcomesRequest, counted map[*backends.Server]backends.OutcomeCounts,
) {
	ctx, cancel := o.service.clock.WithTimeout(ctx, shareTimeout)
	defer cancel()
	response, err := o.service.link.CallCore(ctx,
		&protocol.Request{Body: &protocol.Request_ShareOutcomes{ShareOutcomes: report}})
	if err != nil {
		return
	}
	for server, counts := range counted {
		server.MarkReported(counts)
	}
	o.service.avoidSuspects(response.GetShareOutcomes().GetSuspects())
}

// watchSuspects polls the core's leader for the suspects, so that a front node which has observed no failure
// avoids them at once too.
func (s *Service) watchSuspects(ctx context.Context) {
	known := uint64(0)
	for ctx.Err() == nil {
		answer, err := s.requestSuspects(ctx, known)
		if err == nil {
			known = answer.GetVersion()
			s.avoidSuspects(answer.GetSuspects())
			continue
		}
		select {
		case <-s.clock.After(suspectsRetryInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Service) requestSuspects(ctx context.Context, known uint64) (*protocol.WatchSuspectsResponse, error) {
	ctx, cancel := s.clock.WithTimeout(ctx, suspectsPollTimeout+suspectsPollSlack)
	defer cancel()
	request := &protocol.WatchSuspectsRequest{
		Zone: s.zone, Known: known, WaitMillis: uint32(suspectsPollTimeout / time.Millisecond),
	}
	response, err := s.link.CallCore(ctx, &protocol.Request{
		Body: &protocol.Request_WatchSuspects{WatchSuspects: request},
	})
	return response.GetWatchSuspects(), err
}

// avoidSuspects has servers avoided for the time that each is suspect.
func (s *Service) avoidSuspects(suspects []*protocol.SuspectBackEnd) {
	servers, now := s.backEnds.Load(), s.clock.Now()
	for _, suspect := range suspects {
		server := servers.ByID[suspect.GetId()]
		if server == nil || server.Description().GetIncarnation() != suspect.GetIncarnation() {
			continue
		}
		if server.MarkSuspect(now.Add(millis(suspect.GetLeftMillis())), now) {
			s.metrics.sharedSuspects.Inc()
		}
	}
}
