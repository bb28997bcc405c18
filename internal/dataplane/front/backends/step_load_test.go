package backends

import (
	"sync"
	"testing"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// TestConcurrentStepsDoNotChangeLiveRequestCount reads the load of a server with one live request while generations of
// steps begin and end there. Live requests are computed as all requests minus the steps, so reading the two counts at
// different moments would give a wrong number.
func TestConcurrentStepsDoNotChangeLiveRequestCount(t *testing.T) {
	const readings = 20_000
	server := &Server{}
	server.description.Store(&protocol.BackEnd{Id: "m1", Capacity: 64})
	set := &Set{ByID: map[string]*Server{"m1": server}}
	server.BeginRequest()
	done := make(chan struct{})
	var steps sync.WaitGroup
	for range 2 {
		steps.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					server.BeginStep(1, 1).End()
				}
			}
		})
	}
	for range readings {
		candidates := []schedule.Candidate{{ID: "m1", Capacity: 64}}
		inFlight, _ := server.requests.load()
		candidates[0].InFlight = uint32(inFlight)
		set.addStepLoad(candidates, 1)
		if live := candidateSlots(&candidates[0]).Live; live != 1 {
			t.Errorf("server m1 has %d live requests while steps begin and end, want 1", live)
			break
		}
	}
	close(done)
	steps.Wait()
}
