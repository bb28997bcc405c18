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
	// loadReportTTL is how long a reported load is used.
	loadReportTTL = 2 * time.Second
	// freshReport is the age up to which a reported load is not polled again. For servers whose answers carry their
	// load, freshAnswerLoad limits the age of the load, and freshCacheReport the age of the cache state, which only a
	// polled report contains.
	freshReport      = 250 * time.Millisecond
	freshAnswerLoad  = time.Second
	freshCacheReport = 5 * time.Second
)

// Server is one back end with its load and health as this front node last observed them. It is kept across views as
// long as the server's incarnation does not change. Its fields are atomic or guarded by a mutex, so it is safe for
// concurrent use.
type Server struct {
	description atomic.Pointer[protocol.BackEnd]
	requests    requestCounts
	running     atomic.Uint32
	queued      atomic.Uint32
	capacity    atomic.Uint32
	cacheUsed   atomic.Uint64
	cacheTotal  atomic.Uint64
	draining    atomic.Bool
	// reportedAt is when the server last reported its load, in an answer or in a polled report, and polledAt when the
	// last polled report arrived, in Unix nanoseconds.
	reportedAt atomic.Int64
	polledAt   atomic.Int64
	// inFlightAtReport is the number of this front node's requests in flight when the load was last reported.
	inFlightAtReport atomic.Int32
	// answersCarryLoad is set once an answer carried the server's load.
	answersCarryLoad atomic.Bool

	// steps is the load caused by generations of training steps.
	steps stepLoad

	mutex   sync.Mutex
	outlier schedule.OutlierDetector
	// recentCalls counts the calls sent recently.
	recentCalls schedule.RecentRequests
	// rejectedVersion is the version of the weights that the server last stated it does not have; the statement holds
	// until rejectedUntil.
	rejectedVersion uint64
	rejectedUntil   time.Time

	// outcomes are the outcomes to share with other front nodes.
	outcomes serverOutcomes
}

// Description returns the server's latest description.
func (b *Server) Description() *protocol.BackEnd { return b.description.Load() }

// IsDraining reports whether the server is draining and gets no new requests.
func (b *Server) IsDraining() bool { return b.draining.Load() }

// BeginRequest counts a request as in flight to the server until EndRequest.
func (b *Server) BeginRequest() { b.requests.addRequests(1) }

// EndRequest ends a request that BeginRequest counted.
func (b *Server) EndRequest() { b.requests.addRequests(-1) }

// ExpectAnswer tracks a request whose answer should show a first sign within a duration. Zero means no bound; the
// result is then nil.
func (b *Server) ExpectAnswer(within time.Duration, now time.Time) *ExpectedAnswer {
	return b.outcomes.expectAnswer(within, now)
}

// Unreported returns the outcomes that were observed and not reported yet.
func (b *Server) Unreported(now time.Time) OutcomeCounts { return b.outcomes.snapshot(now) }

// MarkReported subtracts outcomes that the core has acknowledged.
func (b *Server) MarkReported(counts OutcomeCounts) { b.outcomes.markReported(counts) }

// MarkSuspect excludes the server from scheduling until the given time, unless no other server is usable. It reports
// whether the server was not suspect before.
func (b *Server) MarkSuspect(until, now time.Time) bool {
	suspectUntil := b.outcomes.suspectedUntil()
	b.outcomes.markSuspect(until)
	return !now.Before(suspectUntil)
}

// ApplyAnswerLoad applies the load that an answer carried; from then on the server is polled less often.
func (b *Server) ApplyAnswerLoad(load dialect.Load, now time.Time) {
	b.answersCarryLoad.Store(true)
	b.ApplyLoad(load, now)
}

// LastReport returns when the server last reported its load, in Unix nanoseconds; zero when it never did.
func (b *Server) LastReport() int64 { return b.reportedAt.Load() }

// ID returns the server's id, which does not change with its incarnation.
func (b *Server) ID() string { return b.description.Load().GetId() }

// URL returns the URL of a path on the server.
func (b *Server) URL(path string) string {
	return "http://" + b.description.Load().GetAddress() + path
}

// HealthOutcome returns the outcome that a fault of an attempt counts as for the server's health.
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

// RecordOutcome records the outcome of one attempt, for outlier ejection on this front node and for the report to the
// core.
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

// health is a snapshot of a server's ejection state and of the number of calls sent to it recently. weightShare is the
// factor of its weight, which rises to 1 after an ejection.
type health struct {
	recentCalls  float64
	ejected      bool
	weightShare  float64
	ejectedUntil time.Time
	unreachable  bool
}

func (b *Server) health(now time.Time) health {
	suspectUntil := b.outcomes.suspectedUntil()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	status := health{
		recentCalls: b.recentCalls.Count(now),
		ejected:     b.outlier.Ejected(now), weightShare: b.outlier.Share(now),
		ejectedUntil: b.outlier.EjectedUntil(), unreachable: b.outlier.Unreachable() && b.outlier.Ejected(now),
	}
	if now.Before(suspectUntil) {
		status.ejected = true
		status.ejectedUntil = later(status.ejectedUntil, suspectUntil)
	}
	return status
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ApplyLoad applies the load that the server reported now.
func (b *Server) ApplyLoad(load dialect.Load, now time.Time) {
	inFlight, steps := b.requests.load()
	b.steps.atReport.Store(steps)
	b.inFlightAtReport.Store(inFlight)
	b.running.Store(load.Running)
	b.queued.Store(load.Queued)
	if load.Capacity > 0 {
		b.capacity.Store(load.Capacity)
	}
	b.reportedAt.Store(now.UnixNano())
}

// ApplyReport applies a polled load report.
func (b *Server) ApplyReport(report dialect.Report, now time.Time) {
	b.cacheUsed.Store(report.CacheUsed)
	b.cacheTotal.Store(report.CacheTotal)
	b.polledAt.Store(now.UnixNano())
	b.ApplyLoad(report.Load, now)
}

// IsFresh reports whether the load is recent enough not to be polled. The load of a server whose answers carry it is
// used for longer; the state of its cache is still polled at intervals.
func (b *Server) IsFresh(now time.Time) bool {
	age, pollAge := now.UnixNano()-b.reportedAt.Load(), now.UnixNano()-b.polledAt.Load()
	if !b.answersCarryLoad.Load() {
		return age < int64(freshReport)
	}
	return age < int64(freshAnswerLoad) && pollAge < int64(freshCacheReport)
}

// reportedLoad returns the load that the server reported last. A load older than loadReportTTL counts as zero: a front
// node that sends the server nothing would otherwise never see the load fall.
func (b *Server) reportedLoad(now time.Time) (running, queued uint32) {
	if now.UnixNano()-b.reportedAt.Load() > int64(loadReportTTL) {
		return 0, 0
	}
	return b.running.Load(), b.queued.Load()
}
