// Package serverhealth puts together what many front nodes see of the same servers. One front node alone sends a server
// too little to tell a faulty one from bad luck; what all of them saw within a few seconds tells it after a handful of
// requests. It is a pure state machine: reports and the time go in, the servers to be avoided come out.
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
	// overdueLife is how long a word on overdue requests counts; the reporter repeats it while they last.
	overdueLife = 1500 * time.Millisecond
	// leastFaults and leastReporters are how many faults of how many front nodes make a server suspect, so that neither bad
	// luck nor one front node with a bad link does.
	leastFaults    = 4
	leastReporters = 2
	// faultShare is the share of faults among all outcomes from which a server is suspect. It lies far above what a service
	// loses by chance on all its servers at once, where avoiding some would help nobody.
	faultShare = 0.3
	// firstHold is how long a suspect is avoided; it doubles up to longestHold when it comes again within forgiveAfter.
	firstHold    = 3 * time.Second
	longestHold  = 12 * time.Second
	forgiveAfter = 10 * time.Second
	// silence is how long a server must not have answered anybody until requests that wait for too long make it suspect.
	silence = 500 * time.Millisecond
	// idleLife is how long a server is remembered that nobody reports.
	idleLife = time.Minute
	// everywhere is the scope of reporters of all zones.
	everywhere = ""
)

// Outcomes is what one front node saw of one server since its last report.
type Outcomes struct {
	Server string
	// Incarnation of the server; outcomes of an older one are dropped.
	Incarnation uint64
	// Answered counts whole answers, Faults broken, garbled and missing ones and connections that could not be made.
	Answered uint32
	Faults   uint32
	// Heard is set when there was a sign of an answer, such as the first event of a stream; it came SignAge before the report.
	// Whole answers are such signs too.
	Heard   bool
	SignAge time.Duration
	// Overdue is how many requests wait for their answer right now for longer than they should.
	Overdue uint32
}

// Report is the word of one front node.
type Report struct {
	Node     string
	Zone     string
	Outcomes []Outcomes
}

// Suspect is a server that is to be avoided for a while.
type Suspect struct {
	Server      string
	Incarnation uint64
	Left        time.Duration
}

// Board collects reports. Its zero value is empty and ready.
type Board struct {
	servers map[string]*server
	version uint64
}

// Take adds a report. Reports must come in the order of their times.
func (b *Board) Take(report Report, now time.Time) {
	if b.servers == nil {
		b.servers = map[string]*server{}
	}
	for _, outcomes := range report.Outcomes {
		held := b.servers[outcomes.Server]
		if held == nil || outcomes.Incarnation > held.incarnation {
			held = newServer(outcomes.Incarnation)
			b.servers[outcomes.Server] = held
		}
		if outcomes.Incarnation == held.incarnation && held.take(report, outcomes, now) {
			b.raiseVersion(now)
		}
	}
	b.sweep(now)
}

// Version grows with each server that becomes suspect; zero means that none ever was.
func (b *Board) Version() uint64 { return b.version }

// raiseVersion begins at the time, so that boards of two processes hardly ever have a version in common.
func (b *Board) raiseVersion(now time.Time) {
	b.version = max(b.version+1, uint64(now.UnixMicro()))
}

// Suspects lists the servers that front nodes of a zone should avoid, by name.
func (b *Board) Suspects(zone string, now time.Time) []Suspect {
	var suspects []Suspect
	for name, held := range b.servers {
		if until := held.suspectUntil(zone); now.Before(until) {
			suspects = append(suspects, Suspect{Server: name, Incarnation: held.incarnation, Left: until.Sub(now)})
		}
	}
	slices.SortFunc(suspects, func(x, y Suspect) int { return cmp.Compare(x.Server, y.Server) })
	return suspects
}

// sweep forgets servers that nobody has reported for long.
func (b *Board) sweep(now time.Time) {
	for name, held := range b.servers {
		if now.Sub(held.reportedAt) > idleLife {
			delete(b.servers, name)
		}
	}
}
