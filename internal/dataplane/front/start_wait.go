package front

import (
	"net/http"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
)

const (
	// expectedStartup is how long a start takes when the core starts as well and has to find a leader.
	expectedStartup = 1100 * time.Millisecond
	// minStartRetry is told by a front node whose start takes longer than that.
	minStartRetry = 300 * time.Millisecond
	// maxStartWait is how long a request waits for the start of its front node to end: about as long as a start takes when a
	// leader must be elected first, and less than callers wait for an attempt.
	maxStartWait = 500 * time.Millisecond
	// startWaitShare is the part of a caller's time that it waits at most.
	startWaitShare = 4
)

// remainingStartup is how long this front node's start will take yet, as far as can be told.
func (s *Service) remainingStartup() time.Duration {
	return max(expectedStartup-s.sinceStart(), minStartRetry)
}

func (s *Service) sinceStart() time.Duration { return s.clock.Now().Sub(s.startedAt) }

// markStarted notes that a bundle is in force, and lets those go on who waited for it.
func (s *Service) markStarted() { s.startOnce.Do(func() { close(s.hasBundle) }) }

// awaitBundle returns the index of the bundle in force and how long it took to come. While this front node starts,
// a request waits a little for the first bundle: it is served sooner so than when its caller has to come back. A request
// that is given up afterwards is answered at once.
func (a *routeAPI) awaitBundle(request *http.Request) (*bundle.Index, time.Duration) {
	index := a.service.rollout.Policies().Active
	wait := a.startWait(request.Header)
	if index.Bundle() != nil || wait <= 0 {
		return index, 0
	}
	began, alarm := a.service.clock.Now(), a.service.clock.After(wait)
	a.service.startWaiters.Add(1)
	defer a.service.startWaiters.Add(-1)
	select {
	case <-a.service.hasBundle:
	case <-alarm:
	case <-request.Context().Done():
	}
	return a.service.rollout.Policies().Active, a.service.clock.Now().Sub(began)
}

// startWait is how long a request may wait for the start to end.
func (a *routeAPI) startWait(header http.Header) time.Duration {
	wait := min(maxStartWait, expectedStartup-a.service.sinceStart())
	requested, given := parseInteger(header.Get(a.dialect.TimeLeft))
	if !given {
		return wait
	}
	return min(wait, time.Duration(min(requested, maxTimeoutMillis))*time.Millisecond/startWaitShare)
}
