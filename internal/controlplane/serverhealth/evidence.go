package serverhealth

import "time"

// observation is what one front node reported of a server at one time.
type observation struct {
	at time.Time
	// heard is set when there was a sign of an answer, the newest one at heardAt.
	heard            bool
	heardAt          time.Time
	node, zone       string
	answered, faults uint32
}

// overdue is the last word of a front node on requests that wait for too long.
type overdue struct {
	at    time.Time
	zone  string
	count uint32
}

// verdict is how long a server is avoided in one scope.
type verdict struct {
	until time.Time
	hold  time.Duration
}

// server is what the board holds of one server.
type server struct {
	incarnation uint64
	reportedAt  time.Time
	// observations are in the order of time and no older than the window.
	observations []observation
	// waiting is by front node.
	waiting map[string]overdue
	// verdicts are by zone of the reporters, and everywhere.
	verdicts map[string]*verdict
}

func newServer(incarnation uint64) *server {
	return &server{incarnation: incarnation, waiting: map[string]overdue{}, verdicts: map[string]*verdict{}}
}

// take adds what one front node saw and reports whether the server became suspect by it.
func (s *server) take(report Report, outcomes Outcomes, now time.Time) bool {
	s.reportedAt = now
	s.forget(now)
	heard := outcomes.Heard || outcomes.Answered > 0
	if heard || outcomes.Faults > 0 {
		s.observations = append(s.observations, observation{
			at: now, heard: heard, heardAt: now.Add(-outcomes.SignAge), node: report.Node, zone: report.Zone,
			answered: outcomes.Answered, faults: outcomes.Faults,
		})
	}
	delete(s.waiting, report.Node)
	if outcomes.Overdue > 0 {
		s.waiting[report.Node] = overdue{at: now, zone: report.Zone, count: outcomes.Overdue}
	}
	became := false
	for _, scope := range []string{everywhere, report.Zone} {
		if s.sum(scope, now).isFaulty() && s.suspect(scope, now) {
			became = true
		}
	}
	return became
}

// forget drops what is too old to count.
func (s *server) forget(now time.Time) {
	first := 0
	for first < len(s.observations) && now.Sub(s.observations[first].at) > window {
		first++
	}
	s.observations = s.observations[first:]
	for node, held := range s.waiting {
		if now.Sub(held.at) > overdueLife {
			delete(s.waiting, node)
		}
	}
}

// suspect has the server avoided from now on; it reports false when it is avoided already.
func (s *server) suspect(scope string, now time.Time) bool {
	held := s.verdicts[scope]
	switch {
	case held == nil:
		held = &verdict{hold: firstHold}
		s.verdicts[scope] = held
	case now.Before(held.until):
		return false
	case now.Sub(held.until) > forgiveAfter:
		held.hold = firstHold
	default:
		held.hold = min(2*held.hold, longestHold)
	}
	held.until = now.Add(held.hold)
	if scope == everywhere {
		// What was seen counts once: when the server is tried again, it is judged by new outcomes.
		s.observations, s.waiting = nil, map[string]overdue{}
	}
	return true
}

func (s *server) suspectUntil(zone string) time.Time {
	var until time.Time
	for _, scope := range []string{everywhere, zone} {
		if held := s.verdicts[scope]; held != nil && held.until.After(until) {
			until = held.until
		}
	}
	return until
}

// evidence is what the front nodes of one scope saw together.
type evidence struct {
	answered, faults, overdue        uint32
	heardLately                      bool
	faultReporters, overdueReporters map[string]bool
}

func (s *server) sum(scope string, now time.Time) evidence {
	total := evidence{faultReporters: map[string]bool{}, overdueReporters: map[string]bool{}}
	for _, seen := range s.observations {
		if scope != everywhere && seen.zone != scope {
			continue
		}
		total.answered += seen.answered
		total.heardLately = total.heardLately || seen.heard && now.Sub(seen.heardAt) < silence
		total.faults += seen.faults
		if seen.faults > 0 {
			total.faultReporters[seen.node] = true
		}
	}
	for node, held := range s.waiting {
		if scope == everywhere || held.zone == scope {
			total.overdue += held.count
			total.overdueReporters[node] = true
		}
	}
	return total
}

// isFaulty decides. Requests that wait for too long count only where the server answers nothing at all: under a burst all
// servers answer late, and avoiding some of them would make it worse.
func (e evidence) isFaulty() bool {
	if e.faults >= leastFaults && len(e.faultReporters) >= leastReporters {
		return float64(e.faults) >= faultShare*float64(e.faults+e.answered)
	}
	silent := !e.heardLately && len(e.overdueReporters) >= leastReporters
	return silent && e.overdue+e.faults >= leastFaults
}
