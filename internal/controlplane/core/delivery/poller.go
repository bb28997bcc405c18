package delivery

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/core/controllog"
	"github.com/rosestand/rosestand/internal/controlplane/core/leases"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/protocol"
)

// MaxPollWait is the longest time that a poll may wait, even if the node requests more.
const MaxPollWait = 30 * time.Second

// ControlPlane is the part of this process's control plane that polls use.
type ControlPlane interface {
	// Barrier returns once every entry that was committed when it was called is applied here.
	Barrier(ctx context.Context) error
	// Leadership reports whether this process is the leader; lost is closed at the end of that leadership.
	Leadership() (lost <-chan struct{}, isLeader bool)
	// AcknowledgeVersions records which versions are active on a node. It does not block.
	AcknowledgeVersions(holder leases.Holder, active *protocol.ControlVersions)
}

// Options of a Poller.
type Options struct {
	ControlPlane ControlPlane
	Publisher    *Publisher
	Clock        replica.Clock
	// CoalesceInterval is the shortest time between two answers with an update to the same node; a negative value
	// disables coalescing.
	CoalesceInterval time.Duration
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// Poller answers the polls of nodes, each on the goroutine of its caller.
type Poller struct {
	control   ControlPlane
	publisher *Publisher
	clock     replica.Clock
	pacing    *pacing
	metrics   *metrics
}

// NewPoller returns a poller.
func NewPoller(options Options) *Poller {
	return &Poller{
		control:   options.ControlPlane,
		publisher: options.Publisher,
		clock:     options.Clock,
		pacing:    newPacing(options.CoalesceInterval),
		metrics:   newMetrics(options.Registerer),
	}
}

// Poll returns the sections that are newer than those that the node has. If none is, it waits for a change, the
// requested time or the end of this leadership. An update is delayed until the coalescing interval has passed since the
// previous update to the same node. A fresh poll is answered at once, from a linearizable read. Errors are failures.
func (p *Poller) Poll(
	ctx context.Context, request *protocol.PollControlRequest,
) (*protocol.PollControlResponse, error) {
	if request.GetFresh() {
		if err := p.control.Barrier(ctx); err != nil {
			return nil, controllog.Failure(err)
		}
		p.metrics.polls.WithLabelValues("fresh").Inc()
		return p.answer(p.publisher.current.Load(), request), nil
	}
	leadershipLost, isLeader := p.control.Leadership()
	if !isLeader {
		return nil, controllog.NotLeader()
	}
	p.acknowledge(request)
	timer := p.clock.NewTimer(min(time.Duration(request.GetWaitMillis())*time.Millisecond, MaxPollWait))
	defer timer.Stop()
	for {
		current := p.publisher.current.Load()
		signals := pollSignals{expired: timer.C(), leadershipLost: leadershipLost}
		var paceTimer replica.Timer
		if current.newerThan(request.GetKnown()) {
			wait := p.pacing.remainingWait(request.GetNode(), current.view.Versions(), p.clock.Now())
			if wait <= 0 {
				p.metrics.polls.WithLabelValues("changed").Inc()
				return p.answer(current, request), nil
			}
			p.metrics.coalesced.Inc()
			paceTimer = p.clock.NewTimer(wait)
			signals.paceElapsed = paceTimer.C()
		} else {
			signals.changed = current.changed
		}
		response, err := p.await(ctx, signals)
		if paceTimer != nil {
			paceTimer.Stop()
		}
		if response != nil || err != nil {
			return response, err
		}
	}
}

// pollSignals are the events that a poll waits for; a nil channel never fires.
type pollSignals struct {
	// changed and paceElapsed make the poll check for newer sections again.
	changed     <-chan struct{}
	paceElapsed <-chan time.Time
	// expired and leadershipLost end the poll.
	expired        <-chan time.Time
	leadershipLost <-chan struct{}
}

// await waits for the first signal. It returns a response or an error if that signal ends the poll, else neither.
func (p *Poller) await(ctx context.Context, signals pollSignals) (*protocol.PollControlResponse, error) {
	select {
	case <-signals.changed:
		return nil, nil
	case <-signals.paceElapsed:
		return nil, nil
	case <-signals.expired:
		p.metrics.polls.WithLabelValues("unchanged").Inc()
		return &protocol.PollControlResponse{}, nil
	case <-signals.leadershipLost:
		p.metrics.polls.WithLabelValues("not_leader").Inc()
		return nil, controllog.NotLeader()
	case <-ctx.Done():
		p.metrics.polls.WithLabelValues("cancelled").Inc()
		return nil, controllog.Interrupted(ctx)
	}
}

// acknowledge records the versions that a poll reports as active on its node, if the poll names an incarnation.
func (p *Poller) acknowledge(request *protocol.PollControlRequest) {
	if request.GetNode() == "" || request.GetIncarnation() == 0 {
		return
	}
	holder := leases.Holder{Name: request.GetNode(), Incarnation: request.GetIncarnation()}
	p.control.AcknowledgeVersions(holder, request.GetKnown())
}

// answer builds the response with the sections that are newer than those that the node has.
func (p *Poller) answer(current *publication, request *protocol.PollControlRequest) *protocol.PollControlResponse {
	response := &protocol.PollControlResponse{}
	for _, answer := range current.answers(request) {
		answer.set(response)
		p.metrics.sections.WithLabelValues(answer.kind).Inc()
		p.metrics.bytes.WithLabelValues(answer.kind).Add(float64(answer.bytes))
	}
	p.pacing.recordAnswer(request.GetNode(), current.view.Versions(), p.clock.Now())
	return response
}
