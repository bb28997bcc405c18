package ledgerclient_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledgerclient"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	// detectedWithin is how soon a front node must detect a partition, and its end.
	detectedWithin = 1500 * time.Millisecond
	// immediately is what an answer may take that waits for no timeout.
	immediately = 20 * time.Millisecond
	// callTimeout is how long the front plane waits for one operation.
	callTimeout = 3 * time.Second
)

// frontFleet is three front nodes and three stores in memory. Messages over a partitioned link are lost.
type frontFleet struct {
	mutex sync.Mutex
	// partitioned are the links that lose messages, as "from>to".
	partitioned map[string]bool
	// sent counts the messages over each link.
	sent    map[string]int
	clients map[string]*ledgerclient.Client
}

// frontLink is the network as one front node sees it.
type frontLink struct {
	fleet *frontFleet
	from  string
}

func newFrontFleet(ctx context.Context) *frontFleet {
	fleet := &frontFleet{
		partitioned: map[string]bool{}, sent: map[string]int{},
		clients: map[string]*ledgerclient.Client{},
	}
	view := viewOf(7, "a", "b", "c")
	for _, name := range []string{"f1", "f2", "f3"} {
		view.Membership.Nodes = append(view.Membership.Nodes,
			&protocol.Node{Name: name, Kind: protocol.NodeKind_FRONT, Address: name})
	}
	for _, name := range []string{"f1", "f2", "f3"} {
		fleet.clients[name] = ledgerclient.New(&frontLink{fleet: fleet, from: name}, func() *corelink.View { return view },
			ledgerclient.Options{Self: &protocol.Node{Name: name}})
		go fleet.clients[name].Run(ctx)
	}
	return fleet
}

// change partitions links or heals them.
func (f *frontFleet) change(isPartitioned bool, from string, to ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, receiver := range to {
		f.partitioned[from+">"+receiver] = isPartitioned
	}
}

// sentByF1 counts the messages that front node f1 has sent.
func (f *frontFleet) sentByF1(to ...string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	total := 0
	for _, receiver := range to {
		total += f.sent["f1>"+receiver]
	}
	return total
}

func (l *frontLink) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	link := l.from + ">" + address
	l.fleet.mutex.Lock()
	l.fleet.sent[link]++
	isPartitioned := l.fleet.partitioned[link]
	l.fleet.mutex.Unlock()
	if isPartitioned {
		<-ctx.Done()
		return nil, &wire.BrokenError{Address: address, Cause: ctx.Err()}
	}
	result := &protocol.LedgerResult{Status: ok}
	if peer := l.fleet.clients[address]; peer != nil {
		var err error
		if result, err = peer.DoDirectly(ctx, request.GetLedger()); err != nil {
			return nil, err
		}
	}
	return &protocol.Response{Body: &protocol.Response_Ledger{Ledger: result}}, nil
}

func (l *frontLink) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errors.New("not streamed")
}

// do carries out an operation as the front plane does and measures it.
func (f *frontFleet) do(
	t *testing.T, name string, operation *protocol.LedgerOperation,
) (protocol.LedgerStatus, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	began := time.Now()
	result, err := f.clients[name].Do(ctx, operation)
	if err != nil {
		t.Fatal(err)
	}
	return result.GetStatus(), time.Since(began)
}

func (f *frontFleet) expect(t *testing.T, name string, status protocol.LedgerStatus, within time.Duration) {
	t.Helper()
	if got, took := f.do(t, name, reserve); got != status || took > within {
		t.Errorf("%s: got %v after %v, wanted %v within %v", name, got, took, status, within)
	}
}

func (f *frontFleet) expectState(t *testing.T, name string, unreachable, isolated bool) {
	t.Helper()
	client := f.clients[name]
	if client.Unreachable("p") != unreachable || client.Isolated() != isolated {
		t.Errorf("%s: unreachable %t, isolated %t, wanted %t and %t", name, client.Unreachable("p"), client.Isolated(),
			unreachable, isolated)
	}
}

// inFleet runs a story in virtual time.
func inFleet(t *testing.T, story func(t *testing.T, fleet *frontFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			// Attempts outlive their operations; the attempt timeout ends them.
			pass(callTimeout)
		}()
		story(t, newFrontFleet(ctx))
	})
}

var (
	stores = []string{"at-a", "at-b", "at-c"}
	settle = &protocol.LedgerOperation{
		Program: "p",
		Body:    &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{RequestId: "r"}},
	}
)

func TestAFrontNodeThatIsPartitionedFromTheStoresUsesARelay(t *testing.T) {
	inFleet(t, func(t *testing.T, fleet *frontFleet) {
		fleet.expect(t, "f1", ok, immediately)
		fleet.change(true, "f1", stores...)
		fleet.expect(t, "f1", ok, detectedWithin)
		before := fleet.sentByF1(stores...)
		for range 5 {
			fleet.expect(t, "f1", ok, immediately)
			fleet.expectState(t, "f1", false, false)
		}
		if more := fleet.sentByF1(stores...) - before; more > 0 {
			t.Errorf("%d more operations were sent over the partition", more)
		}
		pass(10 * time.Second)
		fleet.expect(t, "f1", ok, immediately)

		fleet.change(false, "f1", stores...)
		pass(detectedWithin)
		before = fleet.sentByF1("f2", "f3")
		fleet.expect(t, "f1", ok, immediately)
		if more := fleet.sentByF1("f2", "f3") - before; more > 0 {
			t.Error("relays after the partition was healed")
		}
	})
}

func TestAFrontNodeThatReachesNeitherStoresNorRelaysIsIsolated(t *testing.T) {
	inFleet(t, func(t *testing.T, fleet *frontFleet) {
		fleet.expect(t, "f1", ok, immediately)
		everybody := append([]string{"f2", "f3"}, stores...)
		fleet.change(true, "f1", everybody...)
		fleet.expect(t, "f1", unavailable, detectedWithin)
		fleet.expectState(t, "f1", true, true)
		fleet.expect(t, "f1", unavailable, 0)
		if status, took := fleet.do(t, "f1", settle); status != unavailable || took < callTimeout {
			t.Errorf("a turn that ran is abandoned with %v after %v", status, took)
		}
		pass(20 * time.Second)
		fleet.expectState(t, "f1", true, true)
		fleet.expectState(t, "f2", false, false)

		fleet.change(false, "f1", everybody...)
		pass(detectedWithin)
		fleet.expectState(t, "f1", false, false)
		fleet.expect(t, "f1", ok, immediately)
	})
}

func TestFrontNodesAreNotIsolatedWhenTheStoresAreDown(t *testing.T) {
	inFleet(t, func(t *testing.T, fleet *frontFleet) {
		names := []string{"f1", "f2", "f3"}
		for _, name := range names {
			fleet.change(true, name, stores...)
		}
		fleet.expect(t, "f1", unavailable, detectedWithin)
		for range 40 {
			for _, name := range names {
				if fleet.clients[name].Isolated() {
					t.Fatalf("%s counts as isolated", name)
				}
			}
			pass(100 * time.Millisecond)
		}
		for _, name := range names {
			fleet.expectState(t, name, true, false)
			fleet.expect(t, name, unavailable, 0)
		}
		for _, name := range names {
			fleet.change(false, name, stores...)
		}
		pass(detectedWithin)
		for _, name := range names {
			fleet.expectState(t, name, false, false)
			fleet.expect(t, name, ok, immediately)
		}
	})
}

func TestAFrontNodeWithoutTrafficDetectsIsolationByFewHealthChecks(t *testing.T) {
	inFleet(t, func(t *testing.T, fleet *frontFleet) {
		everybody := append([]string{"f2", "f3"}, stores...)
		pass(10 * time.Second)
		if checks := fleet.sentByF1(everybody...); checks < 5 || checks > 10 {
			t.Errorf("%d health checks in 10 s without traffic", checks)
		}
		fleet.change(true, "f1", everybody...)
		pass(idleDetectedWithin)
		fleet.expectState(t, "f1", true, true)
		before := fleet.sentByF1(everybody...)
		pass(10 * time.Second)
		if checks := fleet.sentByF1(everybody...) - before; checks > maxHealthChecks {
			t.Errorf("%d health checks in 10 s without traffic while isolated", checks)
		}
	})
}

const (
	// idleDetectedWithin is how soon a front node without traffic must detect a partition.
	idleDetectedWithin = 4 * time.Second
	// maxHealthChecks bounds what a front node without traffic sends in 10 s while it is isolated.
	maxHealthChecks = 200
)

func TestTrafficReplacesHealthChecks(t *testing.T) {
	inFleet(t, func(t *testing.T, fleet *frontFleet) {
		for range 20 {
			fleet.expect(t, "f1", ok, immediately)
			pass(500 * time.Millisecond)
		}
		if sent := fleet.sentByF1(stores...); sent != 20 {
			t.Errorf("%d messages for 20 operations: %v", sent, fleet.sent)
		}
	})
}

func TestOneUnresponsiveReplicaCausesNoRelays(t *testing.T) {
	inFleet(t, func(t *testing.T, fleet *frontFleet) {
		fleet.change(true, "f1", "at-a")
		for range 100 {
			fleet.expect(t, "f1", ok, detectedWithin)
			fleet.expectState(t, "f1", false, false)
			pass(50 * time.Millisecond)
		}
		if relayed := fleet.sentByF1("f2", "f3"); relayed > 0 {
			t.Errorf("%d operations were relayed while replicas answered", relayed)
		}
	})
}

func TestAShardWithOneReachableReplicaIsServed(t *testing.T) {
	inFleet(t, func(t *testing.T, fleet *frontFleet) {
		fleet.change(true, "f1", "at-a", "at-b")
		for range 100 {
			fleet.expect(t, "f1", ok, detectedWithin)
			fleet.expectState(t, "f1", false, false)
			pass(50 * time.Millisecond)
		}
	})
}

// pass lets virtual time go on.
func pass(duration time.Duration) { <-time.NewTimer(duration).C }
