package front

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// shareTick is how often a front node looks whether it has something to tell of servers.
	shareTick = 200 * time.Millisecond
	// shareInterval is the time between reports while nothing bad was seen.
	shareInterval = time.Second
	shareTimeout  = time.Second
	// suspectsPollTimeout is how long the leader may hold the question for new suspects back, suspectsPollSlack what the front node
	// waits beyond that, and suspectsRetryInterval the time until it asks again after a failure.
	suspectsPollTimeout   = 10 * time.Second
	suspectsPollSlack     = time.Second
	suspectsRetryInterval = 500 * time.Millisecond
)

// outcomeSharing tells the core's leader what this front node sees of servers and avoids those that all front nodes
// together take for faulty. Only its own goroutine uses it.
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

// tick sends a report when one is due. A front node that sends servers nothing tells and asks nothing.
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

// send reports and takes in which servers are suspect. Numbers that the leader may not have got are told again.
func (o *outcomeSharing) send(ctx context.Context, report *protocol.ShareOutcomesRequest, counted map[*backends.Server]backends.OutcomeCounts) {
	ctx, cancel := o.service.clock.WithTimeout(ctx, shareTimeout)
	defer cancel()
	response, err := o.service.link.CallCore(ctx, &protocol.Request{Body: &protocol.Request_ShareOutcomes{ShareOutcomes: report}})
	if err != nil {
		return
	}
	for server, counts := range counted {
		server.MarkReported(counts)
	}
	o.service.avoidSuspects(response.GetShareOutcomes().GetSuspects())
}

// watchSuspects has the core's leader tell at once which servers all front nodes together take for faulty, so that one
// which has seen nothing itself avoids them too.
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
	response, err := s.link.CallCore(ctx, &protocol.Request{Body: &protocol.Request_WatchSuspects{WatchSuspects: &protocol.WatchSuspectsRequest{
		Zone: s.zone, Known: known, WaitMillis: uint32(suspectsPollTimeout / time.Millisecond),
	}}})
	return response.GetWatchSuspects(), err
}

// avoidSuspects has the servers named avoided for the time that each is held suspect.
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
