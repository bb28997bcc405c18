package transport

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	peer    = 2
	address = "127.0.0.1:7002"
)

// testCounter is a counter whose value a test can read; it is used by one goroutine at a time.
type testCounter struct {
	prometheus.Counter
	count int
}

func (c *testCounter) Inc() { c.count++ }

// recordingCaller records the log indexes of the messages that it receives. Its calls block until blocked is closed.
type recordingCaller struct {
	blocked chan struct{}
	mutex   sync.Mutex
	indexes []uint64
}

func (c *recordingCaller) Call(ctx context.Context, _ string, request *protocol.Request) (*protocol.Response, error) {
	select {
	case <-c.blocked:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.indexes = append(c.indexes, request.GetConsensus().GetLogIndex())
	return &protocol.Response{}, nil
}

func (c *recordingCaller) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errors.New("not used")
}

// runTransport runs a test in virtual time with a transport to one peer. Calls block until the test closes blocked.
func runTransport(t *testing.T, run func(*Transport, *recordingCaller)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		caller := &recordingCaller{blocked: make(chan struct{})}
		transport := New(Options{
			Caller: caller, Now: time.Now, CallTimeout: time.Minute, MaxQueueTime: time.Second,
			Metrics: Metrics{Sent: &testCounter{}, SendFailures: &testCounter{}, Dropped: &testCounter{}},
		})
		defer transport.Close()
		transport.SetMembers(&protocol.CoreConfiguration{Members: []*protocol.CoreMember{{Id: peer, Address: address}}})
		run(transport, caller)
	})
}

// send queues messages with the log indexes from 1 to last; the first one is taken by the sender.
func send(transport *Transport, last uint64) {
	for index := uint64(1); index <= last; index++ {
		transport.Send(&protocol.ConsensusMessage{To: peer, LogIndex: index})
		if index == 1 {
			synctest.Wait()
		}
	}
}

func TestAFullQueueDropsItsOldestMessage(t *testing.T) {
	runTransport(t, func(transport *Transport, caller *recordingCaller) {
		send(transport, queueCapacity+3)
		close(caller.blocked)
		synctest.Wait()
		hasOldest := slices.Contains(caller.indexes, 2) || slices.Contains(caller.indexes, 3)
		if len(caller.indexes) != queueCapacity+1 || hasOldest {
			t.Errorf("sent the indexes %v, want %d without 2 and 3", caller.indexes, queueCapacity+1)
		}
		if dropped := transport.options.Metrics.Dropped.(*testCounter).count; dropped != 2 {
			t.Errorf("%d messages were dropped, want 2", dropped)
		}
	})
}

func TestAMessageThatWasQueuedForTooLongIsNotSent(t *testing.T) {
	runTransport(t, func(transport *Transport, caller *recordingCaller) {
		send(transport, 2)
		<-time.NewTimer(transport.options.MaxQueueTime + time.Millisecond).C
		transport.Send(&protocol.ConsensusMessage{To: peer, LogIndex: 3})
		close(caller.blocked)
		synctest.Wait()
		if !slices.Equal(caller.indexes, []uint64{1, 3}) {
			t.Errorf("sent the indexes %v, want 1 and 3", caller.indexes)
		}
	})
}

func TestPurgedMessagesAreNotSent(t *testing.T) {
	runTransport(t, func(transport *Transport, caller *recordingCaller) {
		send(transport, 5)
		transport.Purge()
		close(caller.blocked)
		synctest.Wait()
		if !slices.Equal(caller.indexes, []uint64{1}) {
			t.Errorf("sent the indexes %v, want only 1", caller.indexes)
		}
	})
}

func TestAnObservedAddressIsUsedUntilTheConfigurationChanges(t *testing.T) {
	runTransport(t, func(transport *Transport, _ *recordingCaller) {
		configuration := func(address string) *protocol.CoreConfiguration {
			return &protocol.CoreConfiguration{Members: []*protocol.CoreMember{{Id: peer, Address: address}}}
		}
		transport.ObserveAddress(peer, "127.0.0.1:8002")
		transport.SetMembers(configuration(address))
		if got := transport.Address(peer); got != "127.0.0.1:8002" {
			t.Errorf("the address after ObserveAddress is %q, want the observed 127.0.0.1:8002", got)
		}
		transport.SetMembers(configuration("127.0.0.1:9002"))
		if got := transport.Address(peer); got != "127.0.0.1:9002" {
			t.Errorf("the address after a new configuration is %q, want 127.0.0.1:9002", got)
		}
		transport.SetMembers(&protocol.CoreConfiguration{})
		if got := transport.Address(peer); got != "" {
			t.Errorf("the address of a removed member is %q, want none", got)
		}
	})
}
