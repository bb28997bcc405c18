package replica

import (
	"context"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestTheFormerLeaderLeadsAgainSoonAfterARestartOfAll(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		for range 5 {
			former := f.waitForLeader()
			for _, m := range f.running() {
				m.crash()
			}
			for number := 1; number <= 3; number++ {
				f.machine(number).start()
			}
			began := time.Now()
			leader := f.waitForLeader()
			if leader != former {
				t.Errorf("%s leads after the restart, %s led before it", leader.name, former.name)
			}
			if waited := time.Since(began); waited >= consensus.DefaultElectionTimeout/2 {
				t.Errorf("no leader for %v, want less than %v", waited, consensus.DefaultElectionTimeout/2)
			}
		}
	})
}

func locate(m *machine, wait time.Duration) *protocol.LocateCoreResponse {
	answer, err := m.replica.ServeWire(context.Background(), &protocol.Request{Body: &protocol.Request_LocateCore{
		LocateCore: &protocol.LocateCoreRequest{WaitMillis: uint32(wait / time.Millisecond)},
	}})
	if err != nil {
		m.fleet.t.Errorf("a locate_core request to %s failed: %v", m.name, err)
	}
	return answer.GetLocateCore()
}

func TestLocateCoreAnswersOnceThereIsALeader(t *testing.T) {
	runScenario(t, func(f *fleet) {
		f.foundCluster(3)
		f.waitForLeader()
		for _, m := range f.running() {
			m.crash()
		}
		first := f.machine(1)
		first.start()
		if answer := locate(first, 0); answer.GetLeaderAddress() != "" {
			t.Errorf("a member whose peers are down reports the leader %q, want none", answer.GetLeaderAddress())
		}
		began := time.Now()
		const wait = 300 * time.Millisecond
		if answer := locate(first, wait); answer.GetLeaderAddress() != "" || time.Since(began) != wait {
			t.Errorf("a member whose peers are down reports the leader %q after %v, want none after %v",
				answer.GetLeaderAddress(), time.Since(began), wait)
		}
		answers := make(chan *protocol.LocateCoreResponse, 1)
		go func() { answers <- locate(first, maxLocateWait) }()
		f.machine(2).start()
		f.machine(3).start()
		leader := f.waitForLeader()
		if answer := <-answers; answer.GetLeaderAddress() != leader.address {
			t.Errorf("the reported leader is at %q, want %q", answer.GetLeaderAddress(), leader.address)
		}
	})
}
