package storebench

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

// Cost is what one operation of a kind takes when nothing else is under way.
type Cost struct {
	Kind   string
	Median time.Duration
	// ProcessorTime is that of three stores and the caller.
	ProcessorTime time.Duration
	// Messages are requests between stores, Syncs those of all logs of all stores.
	Messages, Syncs float64
	Failed          int
}

func (c *Cost) String() string {
	return fmt.Sprintf("%-22s p50 %v, %v of processor time, %.1f messages between stores, %.1f syncs, failed %d",
		c.Kind, c.Median.Round(10*time.Microsecond), c.ProcessorTime.Round(time.Microsecond), c.Messages, c.Syncs, c.Failed)
}

const turnOfCosts = "turn"

// MeasureCosts makes each kind of operation so many times, one at a time, for programs with one turn each.
func MeasureCosts(ctx context.Context, folder string, count int) ([]*Cost, error) {
	data, err := os.MkdirTemp(folder, "storebench-")
	if err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	defer func() { _ = os.RemoveAll(data) }()
	f, err := startFleet(data, replicaCount)
	if err != nil {
		return nil, err
	}
	var costs []*Cost
	for _, kind := range []struct {
		name      string
		operation func(program string) *protocol.LedgerOperation
	}{
		{"reserve with claim", claimingReserve},
		{"settle of 8 KB", settleOfCosts},
		{"begin call", beginOfCosts},
		{"finish call", finishOfCosts},
	} {
		costs = append(costs, f.costOf(ctx, kind.name, count, kind.operation))
	}
	return costs, f.stop()
}

func (f *fleet) costOf(ctx context.Context, kind string, count int, operation func(string) *protocol.LedgerOperation) *Cost {
	cost := &Cost{Kind: kind}
	var took []time.Duration
	messages, syncs, processor := f.messages(), f.syncs(), processorTime()
	for number := range count {
		began := time.Now()
		result, err := f.client.Do(ctx, operation(fmt.Sprintf("program-%d", number)))
		took = append(took, time.Since(began))
		if err != nil || result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
			cost.Failed++
		}
	}
	slices.Sort(took)
	cost.Median = took[len(took)/2]
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
	var total float64
	for _, started := range f.stores {
		families, _ := started.registry.Gather()
		for _, family := range families {
			if family.GetName() != "rosestand_store_syncs_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				total += metric.GetCounter().GetValue()
			}
		}
	}
	return total
}

func processorTime() time.Duration {
	var spent syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &spent)
	return time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
}

func claimingReserve(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_ReserveTurn{ReserveTurn: &protocol.ReserveTurn{
		RequestId: turnOfCosts, Session: program, Ceiling: turnCeiling, Fork: true,
		Claim: &protocol.ClaimSession{Session: program, Owner: "front", OwnerIncarnation: 1, Tenant: "bench", Budget: 2 * turnCeiling},
	}}}
}

func settleOfCosts(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_SettleTurn{SettleTurn: &protocol.SettleTurn{
		RequestId: turnOfCosts, Session: program, Epoch: 1, Tokens: turnCeiling / 2,
		Turn: &protocol.Turn{
			Id: ledger.TurnID(program, turnOfCosts), Program: program, Session: program, RequestId: turnOfCosts,
			Output: []*protocol.Item{{Data: []byte(strings.Repeat("x", 8000))}}, KeptAtMillis: time.Now().UnixMilli(),
		},
	}}}
}

func beginOfCosts(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_BeginCall{BeginCall: &protocol.BeginCall{
		RequestId: "call", Session: program, Epoch: 1, Attempt: "attempt",
	}}}
}

func finishOfCosts(program string) *protocol.LedgerOperation {
	return &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_FinishCall{FinishCall: &protocol.FinishCall{
		RequestId: "call", Attempt: "attempt", Status: 200, Body: make([]byte, 800),
	}}}
}
