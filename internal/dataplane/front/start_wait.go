package front

import (
	"net/http"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/dataplane/front/callerapi"
)

const (
	// expectedStartup is how long a start takes when the core starts as well and has to find a leader.
	expectedStartup = 1100 * time.Millisecond
	// minStartRetry is answered by a front node whose start takes longer than that.
	minStartRetry = 300 * time.Millisecond
	// maxStartWait is how long a request waits for the start of its front node to end: about the time of a
	// start when a leader must be elected first, and less than callers wait for an attempt.
	maxStartWait = 500 * time.Millisecond
	// startWaitShare is the part of a caller's time that it waits at most.
	startWaitShare = 4
)

// remainingStartup estimates how long this front node's start will still take.
func (s *Service) remainingStartup() time.Duration {
	return max(expectedStartup-s.sinceStart(), minStartRetry)
}

func (s *Service) sinceStart() time.Duration { return s.clock.Now().Sub(s.startedAt) }

// markStarted records that a bundle is in force, and resumes the requests that wait for it.
func (s *Service) markStarted() { s.startOnce.Do(func() { close(s.hasBundle) }) }

// awaitBundle returns the index of the bundle in force and how long the request waited for it. While this front
// node starts, a request waits for the first bundle: it is served sooner than if its caller had to retry.
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
	return min(wait, time.Duration(min(requested, callerapi.MaxTimeoutMillis))*time.Millisecond/startWaitShare)
}
