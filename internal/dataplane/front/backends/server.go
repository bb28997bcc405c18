package backends

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/dialect"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/dataplane/turn"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// loadReportTTL is how long a reported load is believed.
	loadReportTTL = 2 * time.Second
	// freshReport is the age up to which a reported load needs no new request. For servers whose answers
	// carry their load, freshAnswerLoad bounds the age of the load and freshCacheReport that of the state of
	// the cache, which only a report has.
	freshReport      = 250 * time.Millisecond
	freshAnswerLoad  = time.Second
	freshCacheReport = 5 * time.Second
)

// Server is one back end with what this front node knows of its load and health. It outlives views as
// long as the server's incarnation does not change. Its fields are atomic or guarded by the mutex, so that
// any goroutine may use it.
type Server struct {
	description atomic.Pointer[protocol.BackEnd]
	requests    requestCounts
	running     atomic.Uint32
	queued      atomic.Uint32
	capacity    atomic.Uint32
	cacheUsed   atomic.Uint64
	cacheTotal  atomic.Uint64
	draining    atomic.Bool
	// reportedAt is when the load was last reported, and sampledAt when it was last requested, in Unix
	// nanoseconds.
	reportedAt atomic.Int64
	sampledAt  atomic.Int64
	// ownAtReport is the requests in flight as they were when the load was last reported.
	ownAtReport atomic.Int32
	// answersCarryLoad is true once an answer carried the server's load.
	answersCarryLoad atomic.Bool

	// steps is the load by generations of training steps.
	steps stepLoad

	mutex   sync.Mutex
	outlier schedule.OutlierDetector
	// recentCalls counts the calls sent recently.
	recentCalls schedule.RecentRequests
	// rejectedVersion is the version of the weights that the server last stated to lack, believed until
	// rejectedUntil.
	rejectedVersion uint64
	rejectedUntil   time.Time

	// outcomes are those shared with other front nodes.
	outcomes serverOutcomes
}

// Description is the server as it was announced last.
func (b *Server) Description() *protocol.BackEnd { return b.description.Load() }

// IsDraining reports whether the server gets no new requests.
func (b *Server) IsDraining() bool { return b.draining.Load() }

// BeginRequest counts a request as in flight to the server until EndRequest.
func (b *Server) BeginRequest() { b.requests.addRequests(1) }

// EndRequest ends what BeginRequest began.
func (b *Server) EndRequest() { b.requests.addRequests(-1) }

// ExpectAnswer tracks a request that should show a sign of its answer within some time; zero is no bound.
// The result is nil then.
func (b *Server) ExpectAnswer(within time.Duration, now time.Time) *ExpectedAnswer {
	return b.outcomes.expectAnswer(within, now)
}

// Unreported are the outcomes that were observed and not reported yet.
func (b *Server) Unreported(now time.Time) OutcomeCounts { return b.outcomes.snapshot(now) }

// MarkReported subtracts outcomes that the core has acknowledged.
func (b *Server) MarkReported(counts OutcomeCounts) { b.outcomes.markReported(counts) }

// MarkSuspect excludes the server from scheduling until the given time, unless no other server is usable. It reports
// whether the server was not suspect before.
func (b *Server) MarkSuspect(until, now time.Time) bool {
	former := b.outcomes.suspectedUntil()
	b.outcomes.markSuspect(until)
	return !now.Before(former)
}

// ApplyAnswerLoad applies the load that an answer carried; from then on the server needs fewer samples.
func (b *Server) ApplyAnswerLoad(load dialect.Load, now time.Time) {
	b.answersCarryLoad.Store(true)
	b.ApplyLoad(load, now)
}

// LastReport is when the server last reported its load, in Unix nanoseconds; zero when it never did.
func (b *Server) LastReport() int64 { return b.reportedAt.Load() }

// ID is the server's id, which a new incarnation keeps.
func (b *Server) ID() string { return b.description.Load().GetId() }

// URL is that of a path at the server.
func (b *Server) URL(path string) string {
	return "http://" + b.description.Load().GetAddress() + path
}

// HealthOutcome is what a fault of an attempt shows of the server's health.
func HealthOutcome(fault turn.BackEndFault) schedule.Outcome {
	switch fault {
	case turn.FaultNotSent:
		return schedule.OutcomeUnreachable
	case turn.FaultBroken, turn.FaultMismatch:
		return schedule.OutcomeFault
	case turn.FaultUnavailable, turn.FaultFenced, turn.FaultRejected, turn.FaultWrongVersion:
	}
	return schedule.OutcomeNotExecuted
}

// RecordOutcome records the outcome of one attempt for outlier ejection, here and in the fleet.
func (b *Server) RecordOutcome(outcome schedule.Outcome, now time.Time) {
	b.mutex.Lock()
	b.outlier.Observe(outcome, now)
	b.mutex.Unlock()
	b.outcomes.record(outcome, now)
}

// RecordCall counts a call that is sent.
func (b *Server) RecordCall(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.recentCalls.Add(now)
}

// health is what is known of a server's faults and of the calls sent to it recently.
type health struct {
	recent      float64
	ejected     bool
	share       float64
	until       time.Time
	unreachable bool
}

func (b *Server) health(now time.Time) health {
	suspectUntil := b.outcomes.suspectedUntil()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := health{
		recent:  b.recentCalls.Count(now),
		ejected: b.outlier.Ejected(now), share: b.outlier.Share(now),
		until: b.outlier.EjectedUntil(), unreachable: b.outlier.Unreachable() && b.outlier.Ejected(now),
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

// ApplyLoad applies the load that the server reported at a time.
func (b *Server) ApplyLoad(load dialect.Load, now time.Time) {
	inFlight, steps := b.requests.load()
	b.steps.atReport.Store(steps)
	b.ownAtReport.Store(inFlight)
	b.running.Store(load.Running)
	b.queued.Store(load.Queued)
	if load.Capacity > 0 {
		b.capacity.Store(load.Capacity)
	}
	b.reportedAt.Store(now.UnixNano())
}

// ApplyReport applies a load report that was requested.
func (b *Server) ApplyReport(report dialect.Report, now time.Time) {
	b.cacheUsed.Store(report.CacheUsed)
	b.cacheTotal.Store(report.CacheTotal)
	b.sampledAt.Store(now.UnixNano())
	b.ApplyLoad(report.Load, now)
}

// IsFresh reports whether what is known of the load is recent enough. The load of a server whose answers
// carry it is believed for longer; the state of its cache is still requested at intervals.
func (b *Server) IsFresh(now time.Time) bool {
	age, sampleAge := now.UnixNano()-b.reportedAt.Load(), now.UnixNano()-b.sampledAt.Load()
	if !b.answersCarryLoad.Load() {
		return age < int64(freshReport)
	}
	return age < int64(freshAnswerLoad) && sampleAge < int64(freshCacheReport)
}

// reportedLoad is the load that the server reported last. One older than loadReportTTL counts as zero: a
// front node that sends the server nothing would never see the load fall.
func (b *Server) reportedLoad(now time.Time) (running, queued uint32) {
	if now.UnixNano()-b.reportedAt.Load() > int64(loadReportTTL) {
		return 0, 0
	}
	return b.running.Load(), b.queued.Load()
}
