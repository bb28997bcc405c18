package ownershipsuite

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

// SizeOptions say how large the fleet of a measurement is; zero values stand for the size that capacity is planned for.
type SizeOptions struct {
	Seed int64
	// Fronts in Zones zones; default 330 in 6.
	Fronts, Zones int
	// Sessions under way; default 130,000.
	Sessions int
	// Losses are how many neighbouring front nodes are lost at once; default 1, a rack of 20 and a zone.
	Losses []int
}

func (o SizeOptions) withDefaults() SizeOptions {
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Fronts == 0 {
		o.Fronts = 330
	}
	if o.Zones == 0 {
		o.Zones = 6
	}
	if o.Sessions == 0 {
		o.Sessions = 130_000
	}
	if len(o.Losses) == 0 {
		o.Losses = []int{1, 20, o.Fronts / o.Zones}
	}
	return o
}

// SalvageRow is what one loss took under one policy.
type SalvageRow struct {
	Policy string
	Lost   int
	// OwnedByLost sessions have to be rebuilt under any policy when their next turn comes.
	OwnedByLost int
	// RegisteredAtLost sessions are owned by survivors and lost their partition holder.
	RegisteredAtLost int
	// Rebuilt is how many of RegisteredAtLost were ended, so that their next turn rebuilds them.
	Rebuilt int
	// Unregistered and Duplicated must be zero at the end.
	Unregistered, Duplicated int
	// Detected is from the loss to the last view that shows it, Done to the last
	// registration, Complete to when the last range gained was complete.
	Detected, Done, Complete time.Duration
	// WaitMedian, WaitP99 and WaitMax are times that sessions spent on the salvage list.
	WaitMedian, WaitP99, WaitMax time.Duration
	// Views is the number of views that the loss made.
	Views int
	// Messages and bytes of the directory a surviving node, sent and received, and bytes of views read.
	MessagesMean, MessagesMax, BytesMean, BytesMax, ViewBytesMean float64
}

// Spans of a measurement.
const (
	sizeWarmUp     = 20 * time.Second
	sizeLoading    = 20 * time.Second
	sizeSettling   = 10 * time.Second
	sizeAfterwards = 25 * time.Second
)

// MeasureSalvage loses front nodes of a large fleet at once, without a warning,
// under both recovery policies, and says what it took.
func MeasureSalvage(options SizeOptions) []SalvageRow {
	options = options.withDefaults()
	var rows []SalvageRow
	for _, lost := range options.Losses {
		for _, ends := range []bool{false, true} {
			rows = append(rows, measureLoss(options, lost, ends))
		}
	}
	return rows
}

func measureLoss(options SizeOptions, lost int, ends bool) SalvageRow {
	s := newSizeRun(options, ends)
	begin := sizeWarmUp + sizeLoading + sizeSettling
	s.world.RunUntil(begin)
	row := SalvageRow{Policy: "salvage", Lost: lost}
	if ends {
		row.Policy = "end-sessions"
	}
	gone := make(map[string]bool)
	for _, address := range s.fronts[:lost] {
		gone[string(address)] = true
	}
	row.OwnedByLost, row.RegisteredAtLost = s.countAffected(gone)
	before := s.report.Yields[directory.YieldEnded]
	s.meter = newMeter()
	for _, address := range s.fronts[:lost] {
		s.world.Machine(address).LosePower()
	}
	s.world.RunUntil(begin + sizeAfterwards)
	row.Rebuilt = s.report.Yields[directory.YieldEnded] - before
	s.fill(&row, begin)
	return row
}

// newSizeRun builds the fleet and plans the loading of its sessions.
func newSizeRun(options SizeOptions, ends bool) *suite {
	policy := directory.NewPolicy(nil)
	policy.EndSessions = ends
	world := sim.NewWorld(options.Seed, sim.Options{
		MaximumSteps: 1 << 40,
		Network:      sim.NetworkOptions{LostOneIn: -1, RepeatedOneIn: -1},
	})
	s := &suite{
		world: world, core: newCoreState(), ledger: newLedgerState(), views: make(map[uint64]directory.View),
		options: Options{Fronts: options.Fronts, Policy: policy},
	}
	s.report.Yields = make(map[directory.YieldReason]int)
	s.rules = newRules(s)
	s.addMachines()
	random := world.Random("loading")
	for i := range options.Sessions {
		name := fmt.Sprintf("session-%d", i)
		address := s.fronts[i%len(s.fronts)]
		at := sizeWarmUp + time.Duration(random.Int64N(int64(sizeLoading)))
		world.After(at, func() { s.load(address, name) })
	}
	return s
}

// load takes one session in at a front node, as its first turn does.
func (s *suite) load(address sim.Address, name string) {
	f := s.world.Machine(address).Process().(*front)
	f.lastTicket++
	f.handle(directory.ResolveRequested{
		Ticket: f.lastTicket, Session: name, Program: "program-" + name, Deadline: f.now().Add(resolveWait),
	})
}

// countAffected counts the sessions that lost nodes own, and those of others that are registered with them.
func (s *suite) countAffected(gone map[string]bool) (owned, registered int) {
	view := s.viewOf(s.core.version)
	for _, f := range s.liveFronts() {
		sessions := f.directory.OwnedSessions()
		if gone[string(f.environment.Address())] {
			owned += len(sessions)
			continue
		}
		for _, session := range sessions {
			if holder, _ := view.Ring().Holder(ring.Key(session)); gone[holder.Name] {
				registered++
			}
		}
	}
	return owned, registered
}

func (s *suite) fill(row *SalvageRow, begin time.Duration) {
	row.Unregistered = len(s.unregistered(s.viewOf(s.core.version)))
	row.Duplicated = len(s.manyOwners())
	row.Detected, row.Done = s.meter.lastView-begin, max(s.meter.lastDone-begin, 0)
	row.Complete = max(s.meter.lastSettled-begin, 0)
	row.WaitMedian, row.WaitP99, row.WaitMax = s.meter.quantile(0.5), s.meter.quantile(0.99), s.meter.quantile(1)
	row.Views = len(s.meter.views)
	survivors := s.liveFronts()
	for _, f := range survivors {
		carried := s.meter.node(f.environment.Address())
		row.MessagesMean += float64(carried.messages) / float64(len(survivors))
		row.BytesMean += float64(carried.bytes) / float64(len(survivors))
		row.ViewBytesMean += float64(carried.viewBytes) / float64(len(survivors))
		row.MessagesMax = max(row.MessagesMax, float64(carried.messages))
		row.BytesMax = max(row.BytesMax, float64(carried.bytes))
	}
}

// WriteSalvage prints the rows as a table.
func WriteSalvage(writer io.Writer, rows []SalvageRow) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "lost\tpolicy\towned by lost\tregistered at lost\trebuilt\tunregistered\tduplicated\tviews\t"+
		"detected\tlast registered\tranges complete\tlist p50\tlist p99\tlist max\tmessages mean\tmessages max\tKB mean\tKB max\tview KB mean\t")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2fs\t%.2fs\t%.2fs\t%.3fs\t%.3fs\t%.3fs\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t\n",
			row.Lost, row.Policy, row.OwnedByLost, row.RegisteredAtLost, row.Rebuilt, row.Unregistered, row.Duplicated, row.Views,
			row.Detected.Seconds(), row.Done.Seconds(), row.Complete.Seconds(), row.WaitMedian.Seconds(), row.WaitP99.Seconds(), row.WaitMax.Seconds(),
			row.MessagesMean, row.MessagesMax, row.BytesMean/1024, row.BytesMax/1024, row.ViewBytesMean/1024)
	}
	return table.Flush()
}
