package ownershipsuite

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/testing/sim"
	"github.com/rosestand/rosestand/internal/testing/sim/ledgermodel"
)

// SalvageOptions set the size of the fleet; zero values stand for the size that capacity is planned for.
type SalvageOptions struct {
	Seed int64
	// Fronts in Zones zones; default 330 in 6.
	Fronts, Zones int
	// Sessions in progress; default 130,000.
	Sessions int
	// Losses are the numbers of neighbouring front nodes to lose at once; default 1, a rack of 20 and a zone.
	Losses []int
}

func (o SalvageOptions) withDefaults() SalvageOptions {
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

// SalvageRow is the measurement of one loss under one policy.
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
	// Detected is the time from the loss to the last view that shows it, LastRegistration to the last registration,
	// RangesComplete to when the last range that was gained was complete.
	Detected, LastRegistration, RangesComplete time.Duration
	// WaitMedian, WaitP99 and WaitMax are quantiles of the times that sessions spent on the salvage list.
	WaitMedian, WaitP99, WaitMax time.Duration
	// Views is the number of membership views that the loss caused.
	Views int
	// Messages and bytes of the directory for each surviving node, sent and received, and bytes of views read.
	MessagesMean, MessagesMax, BytesMean, BytesMax, ViewBytesMean float64
}

// Times of a measurement.
const (
	warmUpTime          = 20 * time.Second
	loadingTime         = 20 * time.Second
	quietTimeBeforeLoss = 10 * time.Second
	measuringTime       = 25 * time.Second
)

// MeasureSalvage cuts the power of front nodes of a large fleet at once, under both recovery policies, and measures
// detection, salvage and traffic.
func MeasureSalvage(options SalvageOptions) []SalvageRow {
	options = options.withDefaults()
	var rows []SalvageRow
	for _, lost := range options.Losses {
		for _, endSessions := range []bool{false, true} {
			rows = append(rows, measureLoss(options, lost, endSessions))
		}
	}
	return rows
}

func measureLoss(options SalvageOptions, lost int, endSessions bool) SalvageRow {
	s := newSalvageRun(options, endSessions)
	begin := warmUpTime + loadingTime + quietTimeBeforeLoss
	s.world.RunUntil(begin)
	row := SalvageRow{Policy: "salvage", Lost: lost}
	if endSessions {
		row.Policy = "end-sessions"
	}
	removed := make(map[string]bool)
	for _, address := range s.fronts[:lost] {
		removed[string(address)] = true
	}
	row.OwnedByLost, row.RegisteredAtLost = s.countAffected(removed)
	before := s.report.Yields[directory.YieldEnded]
	s.meter = newTrafficMeter()
	for _, address := range s.fronts[:lost] {
		s.world.Machine(address).LosePower()
	}
	s.world.RunUntil(begin + measuringTime)
	row.Rebuilt = s.report.Yields[directory.YieldEnded] - before
	s.measure(&row, begin)
	return row
}

// newSalvageRun builds the fleet and plans the loading of its sessions.
func newSalvageRun(options SalvageOptions, endSessions bool) *suite {
	policy := directory.NewPolicy(nil)
	policy.EndSessions = endSessions
	world := sim.NewWorld(options.Seed, sim.Options{
		MaximumSteps: 1 << 40,
		Network:      sim.NetworkOptions{LostOneIn: -1, RepeatedOneIn: -1},
	})
	s := &suite{
		world: world, core: newCoreState(), ledger: ledgermodel.New(), views: make(map[uint64]directory.View),
		options: Options{Fronts: options.Fronts, Policy: policy},
	}
	s.report.Yields = make(map[directory.YieldReason]int)
	s.rules = newRules(s)
	s.addMachines()
	random := world.Random("loading")
	for i := range options.Sessions {
		name := fmt.Sprintf("session-%d", i)
		address := s.fronts[i%len(s.fronts)]
		at := warmUpTime + time.Duration(random.Int64N(int64(loadingTime)))
		world.After(at, func() { s.startSession(address, name) })
	}
	return s
}

// startSession resolves one session at a front node, as its first turn does.
func (s *suite) startSession(address sim.Address, name string) {
	f := s.world.Machine(address).Process().(*front)
	f.lastTicket++
	f.handle(directory.ResolveRequested{
		Ticket: f.lastTicket, Session: name, Program: "program-" + name, Deadline: f.now().Add(resolveWait),
	})
}

// countAffected counts the sessions that removed nodes own, and those of others that are registered with them.
func (s *suite) countAffected(removed map[string]bool) (owned, registered int) {
	view := s.viewOf(s.core.version)
	for _, f := range s.liveFronts() {
		sessions := f.directory.OwnedSessions()
		if removed[string(f.environment.Address())] {
			owned += len(sessions)
			continue
		}
		for _, session := range sessions {
			if holder, _ := view.Ring().Holder(ring.Key(session)); removed[holder.Name] {
				registered++
			}
		}
	}
	return owned, registered
}

func (s *suite) measure(row *SalvageRow, begin time.Duration) {
	row.Unregistered = len(s.unregistered(s.viewOf(s.core.version)))
	row.Duplicated = len(s.multiplyOwned())
	row.Detected, row.LastRegistration = s.meter.lastView-begin, max(s.meter.lastRegistration-begin, 0)
	row.RangesComplete = max(s.meter.rangesComplete-begin, 0)
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
	_, _ = fmt.Fprintln(table,
		"lost\tpolicy\towned by lost\tregistered at lost\trebuilt\tunregistered\tduplicated\tviews\t"+
			"detected\tlast registered\tranges complete\tlist p50\tlist p99\tlist max\t"+
			"messages mean\tmessages max\tKB mean\tKB max\tview KB mean\t")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table,
			"%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2fs\t%.2fs\t%.2fs\t%.3fs\t%.3fs\t%.3fs\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t\n",
			row.Lost, row.Policy, row.OwnedByLost, row.RegisteredAtLost, row.Rebuilt, row.Unregistered, row.Duplicated,
			row.Views,
			row.Detected.Seconds(), row.LastRegistration.Seconds(), row.RangesComplete.Seconds(), row.WaitMedian.Seconds(),
			row.WaitP99.Seconds(), row.WaitMax.Seconds(),
			row.MessagesMean, row.MessagesMax, row.BytesMean/1024, row.BytesMax/1024, row.ViewBytesMean/1024)
	}
	return table.Flush()
}
