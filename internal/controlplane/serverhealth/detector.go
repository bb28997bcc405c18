// Package serverhealth detects unhealthy servers from the outcomes that many front nodes observe (outlier ejection).
// A single front node sends a server too few requests to distinguish a fault from chance; the combined outcomes of all
// front nodes identify a faulty server within a few seconds, after a handful of requests. A Detector is a pure state
// machine: its inputs are reports and the time, its output is the list of ejected servers.
//
// The states of a server, for each zone of reporters and for all zones together:
//
//	healthy   not ejected, and the last ejection, if any, ended more than forgiveAfter ago
//	ejected   until the ejection ends; outcomes observed before it no longer count
//	retried   the last ejection ended less than forgiveAfter ago: the next one is twice as long, up to maxEjection
//
// The detector was introduced for servers that fail only a part of their requests.
package serverhealth

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is how long outcomes count.
	window = 3 * time.Second
	// overdueTTL is how long a report of overdue requests counts; the reporter repeats it while requests are overdue.
	overdueTTL = 1500 * time.Millisecond
	// minFaults and minReporters are the minimum number of faults, and of front nodes that observed them, for an ejection.
	// They keep chance, and a single front node with a bad link, from causing one.
	minFaults    = 4
	minReporters = 2
	// faultShare is the share of faults among all outcomes at which a server is unhealthy. It is far above the rate of
	// faults that a service has on all its servers at once, where ejecting some would not help.
	faultShare = 0.3
	// initialEjection is the duration of an ejection; it doubles up to maxEjection when the next one follows within
	// forgiveAfter.
	initialEjection = 3 * time.Second
	maxEjection     = 12 * time.Second
	forgiveAfter    = 10 * time.Second
	// unresponsiveAfter is how long a server must not have responded to any front node before overdue requests count.
	unresponsiveAfter = 500 * time.Millisecond
	// idleTTL is how long the state of a server is kept after its last report.
	idleTTL = time.Minute
	// allZones is the scope of the reporters of all zones.
	allZones = ""
)

// Outcomes are the outcomes of requests to one server that one front node observed since its last report.
type Outcomes struct {
	Server string
	// Incarnation is that of the server; outcomes of an older incarnation are dropped.
	Incarnation uint64
	// Answered counts complete answers. Faults counts broken, malformed and missing answers and failed connections.
	Answered uint32
	Faults   uint32
	// Responded is set when the server responded at all, such as by the first event of a stream; the newest response
	// arrived ResponseAge before the report. Complete answers are responses, too.
	Responded   bool
	ResponseAge time.Duration
	// Overdue is the number of requests whose answer is overdue at the time of the report.
	Overdue uint32
}

// Report contains the outcomes that one front node observed.
type Report struct {
	Node     string
	Zone     string
	Outcomes []Outcomes
}

// EjectedServer is a server that front nodes should avoid for the Remaining time.
type EjectedServer struct {
	Server      string
	Incarnation uint64
	Remaining   time.Duration
}

// Detector merges reports and ejects unhealthy servers. Its zero value is ready to use. It is not safe for concurrent
// use.
type Detector struct {
	servers map[string]*serverState
	version uint64
}

// Merge merges a report. Reports must be merged in order of time.
func (d *Detector) Merge(report Report, now time.Time) {
	if d.servers == nil {
		d.servers = map[string]*serverState{}
	}
	for _, outcomes := range report.Outcomes {
		state := d.servers[outcomes.Server]
		if state == nil || outcomes.Incarnation > state.incarnation {
			state = newServerState(outcomes.Incarnation)
			d.servers[outcomes.Server] = state
		}
		if outcomes.Incarnation == state.incarnation && state.merge(report, outcomes, now) {
			d.raiseVersion(now)
		}
	}
	d.removeIdle(now)
}

// Version returns a number that grows with each ejection; 0 means that there was none.
func (d *Detector) Version() uint64 { return d.version }

// raiseVersion raises the version to at least the time in microseconds, so that the detectors of two processes hardly
// ever have a version in common.
func (d *Detector) raiseVersion(now time.Time) {
	d.version = max(d.version+1, uint64(now.UnixMicro()))
}

// Ejected returns the servers that front nodes of a zone should avoid, sorted by name.
func (d *Detector) Ejected(zone string, now time.Time) []EjectedServer {
	var ejected []EjectedServer
	for name, state := range d.servers {
		if until := state.ejectedUntil(zone); now.Before(until) {
			ejected = append(ejected, EjectedServer{Server: name, Incarnation: state.incarnation, Remaining: until.Sub(now)})
		}
	}
	slices.SortFunc(ejected, func(x, y EjectedServer) int { return cmp.Compare(x.Server, y.Server) })
	return ejected
}

// removeIdle removes servers without a report for idleTTL.
func (d *Detector) removeIdle(now time.Time) {
	for name, state := range d.servers {
		if now.Sub(state.reportedAt) > idleTTL {
			delete(d.servers, name)
		}
	}
}
