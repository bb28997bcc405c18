package front

import (
	"net/http"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
)

const (
	// usualStart is how long a start takes when the core starts as well and has to find a leader.
	usualStart = 1100 * time.Millisecond
	// leastStartRetry is told by a front node whose start takes longer than that.
	leastStartRetry = 300 * time.Millisecond
	// mostStartWait is how long a request waits for the start of its front node to end: about as long as a start takes when a
	// leader must be elected first, and less than callers wait for an attempt.
	mostStartWait = 500 * time.Millisecond
	// startWaitShare is the part of a caller's time that it waits at most.
	startWaitShare = 4
)

// startLeft is how long this front node's start will take yet, as far as can be told.
func (s *Service) startLeft() time.Duration {
	return max(usualStart-s.sinceStart(), leastStartRetry)
}

func (s *Service) sinceStart() time.Duration { return s.clock.Now().Sub(s.startedAt) }

// startEnded notes that a bundle is in force, and lets those go on who waited for it.
func (s *Service) startEnded() { s.startOnce.Do(func() { close(s.hasBundle) }) }

// bundleInForce returns the index of the bundle in force and how long it took to come. While this front node starts,
// a request waits a little for the first bundle: it is served sooner so than when its caller has to come back. A request
// that is given up afterwards is answered at once.
func (a *routeAPI) bundleInForce(request *http.Request) (*bundle.Index, time.Duration) {
	index := a.service.policies.Load().active
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
	return a.service.policies.Load().active, a.service.clock.Now().Sub(began)
}

// startWait is how long a request may wait for the start to end.
func (a *routeAPI) startWait(header http.Header) time.Duration {
	wait := min(mostStartWait, usualStart-a.service.sinceStart())
	asked, told := wholeNumber(header.Get(a.dialect.TimeLeft))
	if !told {
		return wait
	}
	return min(wait, time.Duration(min(asked, mostTimeoutMillis))*time.Millisecond/startWaitShare)
}
