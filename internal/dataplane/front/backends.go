package front

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/dataplane/dialect"
	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
)

// loadReportTTL is how long a reported load is believed.
const loadReportTTL = 2 * time.Second

// backEnd is one server with what this front node knows of its load. It
// outlives views as long as the server's incarnation does not change.
type backEnd struct {
	description atomic.Pointer[protocol.BackEnd]
	inFlight    atomic.Int32
	running     atomic.Uint32
	queued      atomic.Uint32
	capacity    atomic.Uint32
	cacheUsed   atomic.Uint64
	cacheTotal  atomic.Uint64
	draining    atomic.Bool
	// reportedAt is when the load was last reported, and sampledAt when it was last asked for, in Unix nanoseconds.
	reportedAt atomic.Int64
	sampledAt  atomic.Int64
	// ownAtReport is inFlight as it was when the load was last reported.
	ownAtReport atomic.Int32
	// answersCarryLoad is true once an answer told the server's load.
	answersCarryLoad atomic.Bool

	// steps is what generations of training steps are there.
	steps stepLoad

	mutex   sync.Mutex
	outlier schedule.Outlier
	// recentCalls are those sent of late.
	recentCalls schedule.RecentRequests
	// rejectedVersion is the version of the weights that the server last said it has not, believed until rejectedUntil.
	rejectedVersion uint64
	rejectedUntil   time.Time

	// outcomes is what is shared with other front nodes.
	outcomes serverOutcomes
}

func (b *backEnd) id() string { return b.description.Load().GetId() }

func (b *backEnd) url(path string) string {
	return "http://" + b.description.Load().GetAddress() + path
}

// healthOutcome says what a fault of an attempt tells of the server's health.
func healthOutcome(fault turn.BackEndFault) schedule.Outcome {
	switch fault {
	case turn.FaultNotSent:
		return schedule.OutcomeUnreachable
	case turn.FaultBroken, turn.FaultMismatch:
		return schedule.OutcomeFault
	case turn.FaultUnavailable, turn.FaultFenced, turn.FaultRejected, turn.FaultWrongVersion:
	}
	return schedule.OutcomeNotExecuted
}

// recordOutcome takes the outcome of one attempt for outlier ejection.
func (b *backEnd) recordOutcome(outcome schedule.Outcome, now time.Time) {
	b.mutex.Lock()
	b.outlier.Observe(outcome, now)
	b.mutex.Unlock()
	b.outcomes.record(outcome, now)
}

// recordCall counts a call that is sent.
func (b *backEnd) recordCall(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.recentCalls.Add(now)
}

// health is what is known of a server's faults, and of the calls that it got of late.
type health struct {
	recent      float64
	ejected     bool
	share       float64
	until       time.Time
	unreachable bool
}

func (b *backEnd) health(now time.Time) health {
	suspectUntil := b.outcomes.suspectedUntil()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := health{
		recent:  b.recentCalls.Count(now),
		ejected: b.outlier.Ejected(now), share: b.outlier.Share(now),
		until: b.outlier.Until(), unreachable: b.outlier.Unreachable() && b.outlier.Ejected(now),
	}
	if now.Before(suspectUntil) {
		known.ejected = true
		known.until = laterOf(known.until, suspectUntil)
	}
	return known
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyLoad takes in the load that rides on an answer.
func (b *backEnd) applyLoad(load dialect.Load, now time.Time) {
	b.steps.atReport.Store(b.steps.count.Load())
	b.ownAtReport.Store(b.inFlight.Load())
	b.running.Store(load.Running)
	b.queued.Store(load.Queued)
	if load.Capacity > 0 {
		b.capacity.Store(load.Capacity)
	}
	b.reportedAt.Store(now.UnixNano())
}

// applyReport takes in a load that was asked for.
func (b *backEnd) applyReport(report dialect.Report, now time.Time) {
	b.cacheUsed.Store(report.CacheUsed)
	b.cacheTotal.Store(report.CacheTotal)
	b.sampledAt.Store(now.UnixNano())
	b.applyLoad(report.Load, now)
}

// isFresh reports whether a sample of the server would tell little: it told its load a moment ago. One that tells it
// with its answers is believed for longer, and asked for the state of its memory now and then.
func (b *backEnd) isFresh(now time.Time) bool {
	age, sampleAge := now.UnixNano()-b.reportedAt.Load(), now.UnixNano()-b.sampledAt.Load()
	if !b.answersCarryLoad.Load() {
		return age < int64(freshReport)
	}
	return age < int64(freshAnswerLoad) && sampleAge < int64(freshCacheReport)
}

// reportedLoad is the load that the server last told. An old report counts for
// nothing: without traffic of its own a front node would never see it fall.
func (b *backEnd) reportedLoad(now time.Time) (running, queued uint32) {
	if now.UnixNano()-b.reportedAt.Load() > int64(loadReportTTL) {
		return 0, 0
	}
	return b.running.Load(), b.queued.Load()
}

// groupKey names what a back end can serve: a model or tool within a group.
type groupKey struct {
	group string
	tool  bool
	name  string
}

// backEnds are the servers of the view in force.
type backEnds struct {
	version uint64
	byID    map[string]*backEnd
	groups  map[groupKey][]*backEnd
	// byGroup holds each server of a group once, whatever it serves.
	byGroup map[string][]*backEnd
}

// next builds the servers of a newer view and keeps what is known of their load.
func (b *backEnds) next(view *protocol.BackEndView) *backEnds {
	updated := &backEnds{
		version: view.GetVersion(),
		byID:    make(map[string]*backEnd, len(view.GetBackEnds())),
		groups:  make(map[groupKey][]*backEnd),
		byGroup: make(map[string][]*backEnd),
	}
	for _, description := range view.GetBackEnds() {
		server := b.reuseOrCreate(description)
		updated.byID[description.GetId()] = server
		updated.byGroup[description.GetGroup()] = append(updated.byGroup[description.GetGroup()], server)
		for _, model := range description.GetModels() {
			key := groupKey{group: description.GetGroup(), name: model}
			updated.groups[key] = append(updated.groups[key], server)
		}
		for _, tool := range description.GetTools() {
			key := groupKey{group: description.GetGroup(), tool: true, name: tool}
			updated.groups[key] = append(updated.groups[key], server)
		}
	}
	for _, servers := range updated.groups {
		slices.SortFunc(servers, func(x, y *backEnd) int { return strings.Compare(x.id(), y.id()) })
	}
	return updated
}

func (b *backEnds) reuseOrCreate(description *protocol.BackEnd) *backEnd {
	server := b.byID[description.GetId()]
	if server == nil || server.description.Load().GetIncarnation() != description.GetIncarnation() {
		server = &backEnd{}
	}
	server.description.Store(description)
	server.draining.Store(description.GetState() == protocol.BackEndState_DRAINING)
	return server
}

// candidates is the snapshot that a policy decides on.
func candidates(servers []*backEnd, group *protocol.ServerGroup, now time.Time) []schedule.Candidate {
	snapshot := make([]schedule.Candidate, 0, len(servers))
	for _, server := range servers {
		description := server.description.Load()
		known := server.health(now)
		capacity := description.GetCapacity()
		if reported := server.capacity.Load(); reported > 0 {
			capacity = reported
		}
		running, queued := server.reportedLoad(now)
		age := time.Duration(0)
		if at := server.reportedAt.Load(); at > 0 {
			age = time.Duration(now.UnixNano() - at)
		}
		snapshot = append(snapshot, schedule.Candidate{
			ID: description.GetId(), Zone: description.GetZone(), Region: description.GetRegion(), Draining: server.draining.Load(), Ejected: known.ejected,
			EjectedUntil: known.until, Unreachable: known.unreachable, Recent: known.recent,
			ReportAge: age, UsedTokens: server.cacheUsed.Load(), CacheTokens: server.cacheTotal.Load(),
			Capacity: capacity, InFlight: uint32(max(server.inFlight.Load(), 0)),
			Running: running, Queued: queued, OwnAtReport: uint32(max(server.ownAtReport.Load(), 0)),
			Weight: zoneWeight(group, description.GetZone()) * known.share,
		})
	}
	return snapshot
}

func zoneWeight(group *protocol.ServerGroup, zone string) float64 {
	if weight, set := group.GetZoneWeights()[zone]; set {
		return float64(weight)
	}
	return 1
}

// placement is what a request needs to be placed.
type placement struct {
	key   groupKey
	index *bundle.Index
	// affinity is the prefix shared, last the server of the session's last turn.
	affinity string
	last     string
	avoid    []string
	zone     string
	region   string
	front    string
	// frontNodes is the number of front nodes of the fleet.
	frontNodes int
	sequence   uint64
	// prompt and output are those of a turn of an HTTP route.
	prompt promptcache.Prompt
	output uint64
	// step is set for a turn of a training step.
	step *stepPlacement
}

// serving finds the servers of a group that serve a model or tool, or all of them when none is named.
func (b *backEnds) serving(key groupKey) []*backEnd {
	if key.name == "" {
		return b.byGroup[key.group]
	}
	return b.groups[key]
}

// choose runs the scheduling policy of a bundle.
func (b *backEnds) choose(p placement, models *groupModels, now time.Time) schedule.Decision {
	group := p.index.Group(p.key.group)
	policy := p.index.Bundle().GetScheduling()
	request := schedule.Request{
		Algorithm: policy.GetAlgorithm(), LoadBound: policy.GetLoadBound(), SubsetSize: policy.GetSubsetSize(),
		Front: p.front, Zone: p.zone, Region: p.region, ZoneLocalFirst: group.GetZoneLocalFirst(),
		AffinityKey: p.affinity, Last: p.last, Avoid: p.avoid, Sequence: p.sequence,
	}
	servers := b.serving(p.key)
	var others []*backEnd
	if p.step != nil {
		servers, others = p.step.pin.split(servers, now)
	}
	snapshot := candidates(servers, group, now)
	models.annotate(&request, p.key.group, p.prompt, snapshot, now)
	request.OutputTokens = p.output
	request.FrontsAtServer = float64(frontNodesPerServer(p.frontNodes, min(schedule.SubsetSize(policy.GetSubsetSize()), len(snapshot)), len(snapshot)))
	if p.step != nil {
		request.Step = &p.step.work
		used := schedule.Subset(p.front, p.zone, policy.GetSubsetSize(), snapshot)
		b.addStepLoad(snapshot, frontNodesPerServer(p.step.frontNodes, len(used), len(snapshot)))
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	decision := schedule.Choose(request, snapshot, random)
	for _, server := range others {
		decision.Scores = append(decision.Scores, schedule.Score{ID: server.id(), Reason: schedule.ReasonOtherVersion})
	}
	return decision
}
