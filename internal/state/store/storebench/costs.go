package storebench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// Cost contains the costs of one kind of operation when no other operation is in flight.
type Cost struct {
	Kind   string
	Median time.Duration
	// ProcessorTime is the processor time per operation, of three stores and the caller.
	ProcessorTime time.Duration
	// Messages counts the requests between stores per operation, Syncs the syncs of all logs of all stores.
	Messages, Syncs float64
	// Failed counts the operations that did not return LEDGER_OK.
	Failed int
}

// String implements fmt.Stringer.
func (c *Cost) String() string {
	return fmt.Sprintf("%-22s p50 %v, %v of processor time, %.1f messages between stores, %.1f syncs, failed %d",
		c.Kind, c.Median.Round(10*time.Microsecond), c.ProcessorTime.Round(time.Microsecond), c.Messages, c.Syncs, c.Failed)
}

const costsTurn = "turn"

// MeasureCosts makes count operations of each kind, one at a time, for programs with one turn each.
func MeasureCosts(ctx context.Context, folder string, count int) ([]*Cost, error) {
	var costs []*Cost
	err := withFleet(folder, replicaCount, func(f *fleet, _ string) error { //nolint:contextcheck // stores outlive calls
		for _, kind := range []struct {
			name      string
			operation func(program string) *protocol.LedgerOperation
		}{
			{"reserve with claim", reserveWithClaim},
			{"commit of 8 KB", commitTurn},
			{"begin call", beginCall},
			{"finish call", finishCall},
		} {
			costs = append(costs, f.measureCost(ctx, kind.name, count, kind.operation))
		}
		return nil
	})
	return costs, err
}

func (f *fleet) measureCost(
	ctx context.Context, kind string, count int, operation func(string) *protocol.LedgerOperation,
) *Cost {
	cost := &Cost{Kind: kind}
	var latencies []time.Duration
	messages, syncs, processor := f.messages(), f.syncs(), processorTime()
	for number := range count {
		began := time.Now()
		result, err := f.client.Do(ctx, operation(fmt.Sprintf("program-%d", number)))
		latencies = append(latencies, time.Since(began))
		if err != nil || result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			cost.Failed++
		}
	}
	slices.Sort(latencies)
	cost.Median = latencies[len(latencies)/2]
	cost.ProcessorTime = (processorTime() - processor) / time.Duration(count)
	cost.Messages = float64(f.messages()-messages) / float64(count)
	cost.Syncs = (f.syncs() - syncs) / float64(count)
	return cost
}

func (f *fleet) messages() uint64 {
	var sent uint64
	for _, started := range f.stores {
		sent += started.pool.Counters().SentFrames.Load()
	}
	return sent
}

func (f *fleet) syncs() float64 {
	return f.sumCounters("rosestand_store_syncs_total", "")
}

func reserveWithClaim(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: program,
		Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
			RequestId: costsTurn, Session: program, Ceiling: reservationLimit, Fork: true,
			Claim: &protocol.ClaimSession{
				Session: program, Owner: "front", OwnerIncarnation: 1, Tenant: "bench",
				Budget: 2 * reservationLimit,
			},
		}},
	}
}

func commitTurn(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: program,
		Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
			RequestId: costsTurn, Session: program, Epoch: 1, Tokens: reservationLimit / 2,
			Turn: &protocol.Turn{
				Id: ledger.TurnID(program, costsTurn), Program: program, Session: program, RequestId: costsTurn,
				Output: []*protocol.Item{{Data: []byte(strings.Repeat("x", 8000))}}, KeptAtMillis: time.Now().UnixMilli(),
			},
		}},
	}
}

func beginCall(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: program,
		Body: &protocol.LedgerOperation_BeginCall{BeginCall: &protocol.BeginCall{
			RequestId: "call", Session: program, Epoch: 1, Attempt: "attempt",
		}},
	}
}

func finishCall(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{
		Program: program,
		Body: &protocol.LedgerOperation_FinishCall{FinishCall: &protocol.FinishCall{
			RequestId: "call", Attempt: "attempt", Status: 200, Body: make([]byte, 800),
		}},
	}
}
