// Package serverhealth detects unhealthy servers from the outcomes that many front nodes observe (outlier ejection).
// One front node alone sends a server too few requests to tell a faulty one from chance; the outcomes of all of them
// within a few seconds show it after a handful of requests. A Detector is a pure state machine with one owner
// goroutine: reports and the time go in, the servers to eject come out.
//
// The states of a server, for each zone of reporters and for all zones together:
//
//	healthy   no ejection, or the last one ended more than forgiveAfter ago
//	ejected   until its ejection ends; what was observed before no longer counts
//	retried   the ejection ended less than forgiveAfter ago: the next one is twice as long, up to maxEjection
//
// Source: issue of half-failing servers; the thresholds are this project's own.
package serverhealth

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is how long outcomes count.
	window = 3 * time.Second
	// overdueTTL is how long a report of overdue requests counts; the reporter repeats it while they last.
	overdueTTL = 1500 * time.Millisecond
	// minFaults and minReporters are the minimum number of faults, and of front nodes that observed them, for an ejection,
	// so that neither chance nor one front node with a bad link causes one.
	minFaults    = 4
	minReporters = 2
	// faultShare is the share of faults among all outcomes from which a server is unhealthy. It is far above the rate of
	// faults that a service has on all its servers at once, where ejecting some would not help.
	faultShare = 0.3
	// initialEjection is the duration of an ejection; it doubles up to maxEjection when the next one follows within
	// forgiveAfter.
	initialEjection = 3 * time.Second
	maxEjection     = 12 * time.Second
	forgiveAfter    = 10 * time.Second
	// unresponsiveAfter is how long a server must not have responded to any front node before overdue requests count.
	unresponsiveAfter = 500 * time.Millisecond
	// idleTTL is how long the state of a server without reports is kept.
	idleTTL = time.Minute
	// allZones is the scope of the reporters of all zones.
	allZones = ""
)

// Outcomes are what one front node observed of one server since its last report.
type Outcomes struct {
	Server string
	// Incarnation is the server's; outcomes of an older one are dropped.
	Incarnation uint64
	// Answered counts complete answers, Faults broken, malformed and missing ones and connections that could not be made.
	Answered uint32
	Faults   uint32
	// Responded is set when there was a sign of an answer, such as the first event of a stream; the newest arrived
	// ResponseAge before the report. Complete answers are such signs, too.
	Responded   bool
	ResponseAge time.Duration
	// Overdue is the number of requests whose answer is overdue at the time of the report.
	Overdue uint32
}

// Report is the observations of one front node.
type Report struct {
	Node     string
	Zone     string
	Outcomes []Outcomes
}

// EjectedServer is a server that front nodes should avoid for the remaining time.
type EjectedServer struct {
	Server      string
	Incarnation uint64
	Remaining   time.Duration
}

// Detector merges reports and ejects servers. Its zero value is ready to use. It is not safe for concurrent use.
type Detector struct {
	servers map[string]*serverState
	version uint64
}

// Merge merges a report. Reports must be merged in the order of their times.
func (d *Detector) Merge(report Report, now time.Time) {
	if d.servers == nil {
		d.servers = map[string]*serverState{}
	}
	for _, outcomes := range report.Outcomes {
		current := d.servers[outcomes.Server]
		if current == nil || outcomes.Incarnation > current.incarnation {
			current = newServer(outcomes.Incarnation)
			d.servers[outcomes.Server] = current
		}
		if outcomes.Incarnation == current.incarnation && current.merge(report, outcomes, now) {
			d.raiseVersion(now)
		}
	}
	d.removeIdle(now)
}

// Version grows with each ejection; 0 means that there was none.
func (d *Detector) Version() uint64 { return d.version }

// raiseVersion begins at the time, so that the detectors of two processes hardly ever have a version in common.
func (d *Detector) raiseVersion(now time.Time) {
	d.version = max(d.version+1, uint64(now.UnixMicro()))
}

// Ejected lists the servers that front nodes of a zone should avoid, by name.
func (d *Detector) Ejected(zone string, now time.Time) []EjectedServer {
	var ejected []EjectedServer
	for name, current := range d.servers {
		if until := current.ejectedUntil(zone); now.Before(until) {
			ejected = append(ejected, EjectedServer{Server: name, Incarnation: current.incarnation, Remaining: until.Sub(now)})
		}
	}
	slices.SortFunc(ejected, func(x, y EjectedServer) int { return cmp.Compare(x.Server, y.Server) })
	return ejected
}

// removeIdle removes servers that were not reported for idleTTL.
func (d *Detector) removeIdle(now time.Time) {
	for name, current := range d.servers {
		if now.Sub(current.reportedAt) > idleTTL {
			delete(d.servers, name)
		}
	}
}
