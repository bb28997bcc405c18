package backends

import (
	"sync"
	"testing"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// TestStepsThatComeAndGoLeaveTheLiveRequestsAsTheyAre reads the load of a server with one live request while
// generations of steps begin and end there: the live requests are all requests less the steps, so both must be of one
// moment.
func TestStepsThatComeAndGoLeaveTheLiveRequestsAsTheyAre(t *testing.T) {
	const readings = 20_000
	server := &Server{}
	server.description.Store(&protocol.BackEnd{Id: "m1", Capacity: 64})
	set := &Set{ByID: map[string]*Server{"m1": server}}
	server.BeginRequest()
	stop := make(chan struct{})
	var steps sync.WaitGroup
	for range 2 {
		steps.Go(func() {
			for {
				select {
				case <-stop:
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
			t.Errorf("%d live requests, want 1", live)
			break
		}
	}
	close(stop)
	steps.Wait()
}
