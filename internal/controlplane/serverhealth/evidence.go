package serverhealth

import "time"

// observation is the outcomes that one front node reported of a server at one time.
type observation struct {
	at time.Time
	// responded is set when there was a sign of an answer, the newest one at respondedAt.
	responded        bool
	respondedAt      time.Time
	node, zone       string
	answered, faults uint32
}

// overdueReport is the last report of a front node on overdue requests.
type overdueReport struct {
	at    time.Time
	zone  string
	count uint32
}

// ejection is the last ejection of a server in one scope.
type ejection struct {
	until    time.Time
	duration time.Duration
}

// serverState is the detector's state of one server.
type serverState struct {
	incarnation uint64
	reportedAt  time.Time
	// observations are in the order of time and no older than the window.
	observations []observation
	// overdue are the last reports of overdue requests, by front node.
	overdue map[string]overdueReport
	// ejections are by the zone of the reporters, or allZones.
	ejections map[string]*ejection
}

func newServer(incarnation uint64) *serverState {
	return &serverState{incarnation: incarnation, overdue: map[string]overdueReport{}, ejections: map[string]*ejection{}}
}

// merge merges the outcomes of one front node and reports whether they ejected the server.
func (s *serverState) merge(report Report, outcomes Outcomes, now time.Time) bool {
	s.reportedAt = now
	s.dropExpired(now)
	responded := outcomes.Responded || outcomes.Answered > 0
	if responded || outcomes.Faults > 0 {
		s.observations = append(s.observations, observation{
			at: now, responded: responded, respondedAt: now.Add(-outcomes.ResponseAge), node: report.Node, zone: report.Zone,
			answered: outcomes.Answered, faults: outcomes.Faults,
		})
	}
	delete(s.overdue, report.Node)
	if outcomes.Overdue > 0 {
		s.overdue[report.Node] = overdueReport{at: now, zone: report.Zone, count: outcomes.Overdue}
	}
	ejected := false
	for _, scope := range []string{allZones, report.Zone} {
		if s.evidence(scope, now).isUnhealthy() && s.eject(scope, now) {
			ejected = true
		}
	}
	return ejected
}

// dropExpired drops what is too old to count.
func (s *serverState) dropExpired(now time.Time) {
	first := 0
	for first < len(s.observations) && now.Sub(s.observations[first].at) > window {
		first++
	}
	s.observations = s.observations[first:]
	for node, reported := range s.overdue {
		if now.Sub(reported.at) > overdueTTL {
			delete(s.overdue, node)
		}
	}
}

// eject ejects the server from now on; it reports false when it is already ejected.
func (s *serverState) eject(scope string, now time.Time) bool {
	current := s.ejections[scope]
	switch {
	case current == nil:
		current = &ejection{duration: initialEjection}
		s.ejections[scope] = current
	case now.Before(current.until):
		return false
	case now.Sub(current.until) > forgiveAfter:
		current.duration = initialEjection
	default:
		current.duration = min(2*current.duration, maxEjection)
	}
	current.until = now.Add(current.duration)
	if scope == allZones {
		// Observations count once: after the ejection, new outcomes decide.
		s.observations, s.overdue = nil, map[string]overdueReport{}
	}
	return true
}

func (s *serverState) ejectedUntil(zone string) time.Time {
	var until time.Time
	for _, scope := range []string{allZones, zone} {
		if current := s.ejections[scope]; current != nil && current.until.After(until) {
			until = current.until
		}
	}
	return until
}

// scopeEvidence is the observations of the front nodes of one scope together.
type scopeEvidence struct {
	answered, faults, overdue        uint32
	respondedRecently                bool
	faultReporters, overdueReporters map[string]bool
}

func (s *serverState) evidence(scope string, now time.Time) scopeEvidence {
	total := scopeEvidence{faultReporters: map[string]bool{}, overdueReporters: map[string]bool{}}
	for _, observed := range s.observations {
		if scope != allZones && observed.zone != scope {
			continue
		}
		total.answered += observed.answered
		total.respondedRecently = total.respondedRecently || observed.responded &&
			now.Sub(observed.respondedAt) < unresponsiveAfter
		total.faults += observed.faults
		if observed.faults > 0 {
			total.faultReporters[observed.node] = true
		}
	}
	for node, reported := range s.overdue {
		if scope == allZones || reported.zone == scope {
			total.overdue += reported.count
			total.overdueReporters[node] = true
		}
	}
	return total
}

// isUnhealthy decides. Overdue requests count only where the server does not respond at all: under a burst all
// servers answer late, and ejecting some of them would make it worse.
func (e scopeEvidence) isUnhealthy() bool {
	if e.faults >= minFaults && len(e.faultReporters) >= minReporters {
		return float64(e.faults) >= faultShare*float64(e.faults+e.answered)
	}
	unresponsive := !e.respondedRecently && len(e.overdueReporters) >= minReporters
	return unresponsive && e.overdue+e.faults >= minFaults
}
