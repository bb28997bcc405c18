package storebench

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const (
	defaultInFlight  = 128
	defaultTurnBytes = 2000
	defaultTurns     = 20
	// maxMicros is the largest latency that histograms resolve.
	maxMicros       = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 3
	// reservationLimit is what each turn reserves, in tokens.
	reservationLimit = 1000
)

// Options describe one measurement.
type Options struct {
	// Folder is the parent of the temporary data folder; the system's temporary folder when empty.
	Folder string
	// InFlight is the number of programs with an operation in flight at any time.
	InFlight int
	// Warmup precedes the measurement, which lasts for Duration.
	Warmup, Duration time.Duration
	// TurnBytes is the size of the text of each retained turn.
	TurnBytes int
	// Empty makes all shards of one store move to a fourth one during the measurement.
	Empty bool
	// Turns is the number of turns of each program.
	Turns int
}

func (o *Options) fill() {
	if o.InFlight <= 0 {
		o.InFlight = defaultInFlight
	}
	if o.Warmup <= 0 {
		o.Warmup = time.Second
	}
	if o.Duration <= 0 {
		o.Duration = 5 * time.Second
	}
	if o.TurnBytes <= 0 {
		o.TurnBytes = defaultTurnBytes
	}
	if o.Turns <= 0 {
		o.Turns = defaultTurns
	}
}

// Result is the result of a measurement. A reserve and a commit are one register change each.
type Result struct {
	Changes          int64
	ChangesPerSecond float64
	// Median, P99 and Max are latencies of one change as measured by its caller.
	Median, P99, Max time.Duration
	ReserveP99       time.Duration
	CommitP99        time.Duration
	// ProcessorTime is the processor time of the process, with three stores and the callers, per change.
	ProcessorTime time.Duration
	// RegisterBytes is the number of bytes that one replica wrote to its log of registers per change. It does not
	// include the retained turns, whose size is set in Options.
	RegisterBytes float64
	// Failed counts the operations that did not return LEDGER_OK.
	Failed int64
	// MovedShards is the number of shards that were moved during the measurement.
	MovedShards int
}

// String implements fmt.Stringer.
func (r *Result) String() string {
	return fmt.Sprintf("%.0f changes/s, p50 %v, p99 %v (reserve %v, commit %v), max %v, "+
		"%v of processor time and %.0f bytes in the register log a change, failed %d, moved shards %d",
		r.ChangesPerSecond, r.Median, r.P99, r.ReserveP99, r.CommitP99, r.Max,
		r.ProcessorTime.Round(time.Microsecond), r.RegisterBytes, r.Failed, r.MovedShards)
}

// Run measures changes of program registers on three stores.
func Run(ctx context.Context, options Options) (*Result, error) {
	options.fill()
	stores := replicaCount
	if options.Empty {
		stores++
	}
	var result *Result
	err := withFleet(options.Folder, stores, func(f *fleet, _ string) error { //nolint:contextcheck // stores outlive calls
		result = measure(ctx, f, options)
		return nil
	})
	return result, err
}

// recorder collects the measurements of one caller, to which it belongs.
type recorder struct {
	reserve, commit *hdrhistogram.Histogram
	failed          int64
}

func newRecorder() *recorder {
	return &recorder{
		reserve: hdrhistogram.New(1, maxMicros, histogramDigits),
		commit:  hdrhistogram.New(1, maxMicros, histogramDigits),
	}
}

func measure(ctx context.Context, f *fleet, options Options) *Result {
	begins := time.Now().Add(options.Warmup)
	ends := begins.Add(options.Duration)
	recorders := make([]*recorder, options.InFlight)
	var callers sync.WaitGroup
	for number := range options.InFlight {
		recorders[number] = newRecorder()
		caller := &caller{
			fleet: f, recorder: recorders[number], number: number, countFrom: begins,
			text: strings.Repeat("x", options.TurnBytes), turns: options.Turns,
		}
		callers.Go(func() { caller.run(ctx, ends) })
	}
	time.Sleep(time.Until(begins))
	before := f.usage()
	moved := 0
	if options.Empty {
		moved = f.emptyFirst(ctx, ends)
	}
	callers.Wait()
	used := f.usage().since(before)
	result := summarize(recorders, options.Duration, moved)
	if used.changes > 0 {
		result.ProcessorTime = used.processor / time.Duration(used.changes)
		result.RegisterBytes = used.registerBytes / used.changes / replicaCount
	}
	return result
}

// emptyFirst moves the shards of the first store to the last one, one at a time, and returns the
// number of shards moved before ends.
func (f *fleet) emptyFirst(ctx context.Context, ends time.Time) int {
	moved := 0
	for shard := range uint32(shardCount) {
		f.core.moveShard(shard, f.stores[0].self.GetName(), f.stores[len(f.stores)-1].self)
		for f.core.movingCount() > 0 {
			if ctx.Err() != nil || time.Now().After(ends) {
				return moved
			}
			time.Sleep(time.Millisecond)
		}
		moved++
	}
	return moved
}

func summarize(recorders []*recorder, duration time.Duration, moved int) *Result {
	total, reserve, commit := newRecorder().reserve, newRecorder().reserve, newRecorder().commit
	result := &Result{MovedShards: moved}
	for _, r := range recorders {
		reserve.Merge(r.reserve)
		commit.Merge(r.commit)
		result.Failed += r.failed
	}
	total.Merge(reserve)
	total.Merge(commit)
	micros := func(value int64) time.Duration { return time.Duration(value) * time.Microsecond }
	result.Changes = total.TotalCount()
	result.ChangesPerSecond = float64(result.Changes) / duration.Seconds()
	result.Median = micros(total.ValueAtQuantile(50))
	result.P99 = micros(total.ValueAtQuantile(99))
	result.Max = micros(total.Max())
	result.ReserveP99 = micros(reserve.ValueAtQuantile(99))
	result.CommitP99 = micros(commit.ValueAtQuantile(99))
	return result
}

// caller runs programs sequentially, with one operation in flight. It belongs to one goroutine.
type caller struct {
	fleet    *fleet
	recorder *recorder
	number   int
	// countFrom is the end of the warm-up; only operations that begin later are recorded.
	countFrom time.Time
	text      string
	programs  int
	turns     int
	// retention is how long turns are retained; zero means the default of the ledger.
	retention time.Duration
}

func (c *caller) run(ctx context.Context, ends time.Time) {
	for time.Now().Before(ends) && ctx.Err() == nil {
		c.programs++
		c.runProgram(ctx, fmt.Sprintf("program-%d-%d", c.number, c.programs), ends)
	}
}

func (c *caller) runProgram(ctx context.Context, program string, ends time.Time) {
	session := program + "-session"
	claimed := c.do(ctx, nil, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_ClaimSession{
		ClaimSession: &protocol.ClaimSession{
			Session: session, Owner: "front", OwnerIncarnation: 1, Tenant: "bench", Budget: reservationLimit * uint64(c.turns),
			KeepingMillis: c.retention.Milliseconds(),
		},
	}})
	previous := ""
	for turn := 0; turn < c.turns && time.Now().Before(ends); turn++ {
		request := fmt.Sprintf("%s-request-%d", program, turn)
		c.do(ctx, c.recorder.reserve, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_ReserveTurn{
			ReserveTurn: &protocol.ReserveTurn{
				RequestId: request, Session: session, Epoch: claimed.GetEpoch(), Ceiling: reservationLimit, PreviousTurn: previous,
			},
		}})
		committed := &protocol.Turn{
			Id: ledger.TurnID(program, request), Program: program, Session: session, PreviousTurn: previous, RequestId: request,
			Output:       []*protocol.Item{{Role: "assistant", Text: c.text}},
			KeptAtMillis: time.Now().UnixMilli(),
		}
		if c.retention > 0 {
			committed.KeepUntilMillis = time.Now().Add(c.retention).UnixMilli()
		}
		c.do(ctx, c.recorder.commit, &protocol.LedgerOperation{Program: program, Body: &protocol.LedgerOperation_SettleTurn{
			SettleTurn: &protocol.SettleTurn{
				RequestId: request, Session: session, Epoch: claimed.GetEpoch(), Tokens: reservationLimit / 2, Turn: committed,
			},
		}})
		previous = committed.GetId()
	}
}

// do makes one operation, counts it if it failed, and otherwise records its latency if it began
// after the warm-up.
func (c *caller) do(
	ctx context.Context, into *hdrhistogram.Histogram, operation *protocol.LedgerOperation,
) *protocol.LedgerResult {
	began := time.Now()
	result, err := c.fleet.client.Do(ctx, operation)
	if err != nil || result.GetStatus() != protocol.LedgerStatus_LEDGER_OK {
		c.recorder.failed++
	} else if into != nil && began.After(c.countFrom) {
		_ = into.RecordValue(min(max(time.Since(began).Microseconds(), 1), maxMicros))
	}
	return result
}
