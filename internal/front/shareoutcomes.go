package front

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// shareTick is how often a front node looks whether it has something to tell of servers.
	shareTick = 200 * time.Millisecond
	// shareInterval is the time between reports while nothing bad was seen.
	shareInterval = time.Second
	// suspectInterval is the time between reports while servers are suspect, so that the front node hears soon of others.
	suspectInterval = 400 * time.Millisecond
	shareTimeout    = time.Second
)

// outcomeSharing tells the core's leader what this front node sees of servers and avoids those that all front nodes
// together take for faulty. Only its own goroutine uses it.
type outcomeSharing struct {
	service    *Service
	sharedAt   time.Time
	suspecting bool
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
	counted := map[*backEnd]outcomeCounts{}
	bad := false
	for id, server := range servers.byID {
		counts := server.outcomes.look(now)
		if counts.isEmpty() {
			continue
		}
		bad = bad || counts.isBad()
		counted[server] = counts
		report.Outcomes = append(report.Outcomes, &protocol.BackEndOutcomes{
			Id: id, Incarnation: server.description.Load().GetIncarnation(),
			Answered: counts.answered, Faults: counts.faults, Overdue: counts.overdue,
		})
	}
	if !o.isDue(len(counted) > 0, bad, now) {
		return
	}
	o.sharedAt = now
	o.send(ctx, report, counted)
}

func (o *outcomeSharing) isDue(some, bad bool, now time.Time) bool {
	waited := now.Sub(o.sharedAt)
	return bad || o.suspecting && waited >= suspectInterval || some && waited >= shareInterval
}

// send reports and takes in which servers are suspect. Numbers that the leader may not have got are told again.
func (o *outcomeSharing) send(ctx context.Context, report *protocol.ShareOutcomesRequest, counted map[*backEnd]outcomeCounts) {
	ctx, cancel := o.service.clock.WithTimeout(ctx, shareTimeout)
	defer cancel()
	response, err := o.service.link.CallCore(ctx, &protocol.Request{Body: &protocol.Request_ShareOutcomes{ShareOutcomes: report}})
	if err != nil {
		o.suspecting = false
		return
	}
	for server, counts := range counted {
		server.outcomes.told(counts)
	}
	o.avoid(response.GetShareOutcomes().GetSuspects())
}

func (o *outcomeSharing) avoid(suspects []*protocol.SuspectBackEnd) {
	servers, now := o.service.backEnds.Load(), o.service.clock.Now()
	o.suspecting = len(suspects) > 0
	for _, suspect := range suspects {
		server := servers.byID[suspect.GetId()]
		if server == nil || server.description.Load().GetIncarnation() != suspect.GetIncarnation() {
			continue
		}
		if !now.Before(server.outcomes.suspected()) {
			o.service.metrics.sharedSuspects.Inc()
		}
		server.outcomes.suspect(now.Add(millis(suspect.GetLeftMillis())))
	}
}
