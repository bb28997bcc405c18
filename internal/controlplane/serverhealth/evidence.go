package serverhealth

import "time"

// observation contains the outcomes of one report on a server.
type observation struct {
	reportedAt time.Time
	// responded is set when the server responded; the newest response arrived at respondedAt.
	responded        bool
	respondedAt      time.Time
	node, zone       string
	answered, faults uint32
}

// overdueReport is the last report of a front node that had overdue requests.
type overdueReport struct {
	reportedAt time.Time
	zone       string
	count      uint32
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
	// observations are in order of time and no older than window.
	observations []observation
	// overdue maps a front node to its last report of overdue requests.
	overdue map[string]overdueReport
	// ejections maps a scope, the zone of the reporters or allZones, to its last ejection.
	ejections map[string]*ejection
}

func newServerState(incarnation uint64) *serverState {
	return &serverState{incarnation: incarnation, overdue: map[string]overdueReport{}, ejections: map[string]*ejection{}}
}

// merge merges the outcomes of one front node and reports whether they ejected the server.
func (s *serverState) merge(report Report, outcomes Outcomes, now time.Time) bool {
	s.reportedAt = now
	s.dropExpired(now)
	responded := outcomes.Responded || outcomes.Answered > 0
	if responded || outcomes.Faults > 0 {
		s.observations = append(s.observations, observation{
			reportedAt: now, responded: responded, respondedAt: now.Add(-outcomes.ResponseAge),
			node: report.Node, zone: report.Zone, answered: outcomes.Answered, faults: outcomes.Faults,
		})
	}
	delete(s.overdue, report.Node)
	if outcomes.Overdue > 0 {
		s.overdue[report.Node] = overdueReport{reportedAt: now, zone: report.Zone, count: outcomes.Overdue}
	}
	ejected := false
	for _, scope := range []string{allZones, report.Zone} {
		if s.collectEvidence(scope, now).isUnhealthy() && s.eject(scope, now) {
			ejected = true
		}
	}
	return ejected
}

// dropExpired drops observations and reports of overdue requests that are too old to count.
func (s *serverState) dropExpired(now time.Time) {
	firstValid := 0
	for firstValid < len(s.observations) && now.Sub(s.observations[firstValid].reportedAt) > window {
		firstValid++
	}
	s.observations = s.observations[firstValid:]
	for node, reported := range s.overdue {
		if now.Sub(reported.reportedAt) > overdueTTL {
			delete(s.overdue, node)
		}
	}
}

// eject ejects the server in a scope from now on. It returns false if the server is already ejected there.
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
		// Observations count only once: the next ejection requires new outcomes.
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

// scopeEvidence aggregates the observations of the front nodes of one scope.
type scopeEvidence struct {
	answered, faults, overdue        uint32
	respondedRecently                bool
	faultReporters, overdueReporters map[string]bool
}

func (s *serverState) collectEvidence(scope string, now time.Time) scopeEvidence {
	evidence := scopeEvidence{faultReporters: map[string]bool{}, overdueReporters: map[string]bool{}}
	for _, observed := range s.observations {
		if scope != allZones && observed.zone != scope {
			continue
		}
		evidence.answered += observed.answered
		evidence.respondedRecently = evidence.respondedRecently || observed.responded &&
			now.Sub(observed.respondedAt) < unresponsiveAfter
		evidence.faults += observed.faults
		if observed.faults > 0 {
			evidence.faultReporters[observed.node] = true
		}
	}
	for node, reported := range s.overdue {
		if scope == allZones || reported.zone == scope {
			evidence.overdue += reported.count
			evidence.overdueReporters[node] = true
		}
	}
	return evidence
}

// isUnhealthy reports whether the evidence justifies an ejection. Overdue requests count only while the server does
// not respond at all: under a burst all servers answer late, and ejecting some of them would make it worse.
func (e scopeEvidence) isUnhealthy() bool {
	if e.faults >= minFaults && len(e.faultReporters) >= minReporters {
		return float64(e.faults) >= faultShare*float64(e.faults+e.answered)
	}
	unresponsive := !e.respondedRecently && len(e.overdueReporters) >= minReporters
	return unresponsive && e.overdue+e.faults >= minFaults
}
