package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/process/version"
	"github.com/rosestand/rosestand/internal/state/store/storebench"
	"github.com/rosestand/rosestand/internal/testing/lab/benchmark"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/deployment"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/modelserver"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

const (
	syncCount       = 200
	syncRecordBytes = 1024
	frontCores      = 4
)

type benchOptions struct {
	duration time.Duration
	rounds   int
	workers  int
	page     string
	command  string
}

func newBench(e *environment) *cobra.Command {
	var options benchOptions
	command := &cobra.Command{
		Use:   "bench",
		Short: "Measure added latency, turns a second, processor time a turn and the stores; write the table into a page",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.command = "rosestand-lab " + strings.Join(os.Args[1:], " ")
			return e.bench(command.Context(), options)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&options.duration, "duration", 10*time.Second, "length of each closed loop")
	flags.IntVar(&options.rounds, "rounds", 300, "calls of each kind for latencies")
	flags.IntVar(&options.workers, "workers", 64, "workers of a closed loop")
	flags.StringVar(&options.page, "page", "docs/BENCHMARKS.md",
		"page whose generated section takes the tables; empty for none")
	return command
}

// fastRates keep the stand-ins out of the way of what is measured.
func fastRates() modelserver.Rates {
	return modelserver.Rates{
		PrefillTokensPerSecond: 1e7, StepMicros: 500, SequenceMicros: 1, PrefillChunk: 1 << 20,
		MaxBatch: 512, MaxQueue: 4096, BlockTokens: 16, Blocks: 1 << 17,
	}
}

func (e *environment) bench(ctx context.Context, options benchOptions) error {
	if options.rounds < 1 || options.workers < 1 || options.duration <= 0 || options.duration > maxDuration {
		return &FlagError{Flag: "rounds, --workers and --duration", Reason: "must be above 0"}
	}
	tables := &benchTables{}
	if err := tables.disk(ctx, e.folder); err != nil {
		return err
	}
	single, err := e.benchFleet(ctx, options, 1, tables)
	if err != nil {
		return err
	}
	four, err := e.benchFleet(ctx, options, frontCores, tables)
	if err != nil {
		return err
	}
	tables.throughput(append(single, four...))
	if err := tables.stores(ctx, e.folder, options); err != nil {
		return err
	}
	tables.render(e.output, false)
	if options.page == "" {
		return nil
	}
	return benchmark.WriteSection(options.page, tables.section(options))
}

// benchTables gathers the tables in their order.
type benchTables struct{ tables []table.Writer }

func (t *benchTables) add(title string, header ...any) table.Writer {
	writer := report.NewTable(io.Discard, title, header...)
	t.tables = append(t.tables, writer)
	return writer
}

func (t *benchTables) render(output io.Writer, markdown bool) {
	for _, writer := range t.tables {
		if markdown {
			_, _ = fmt.Fprintf(output, "%s\n\n", writer.RenderMarkdown())
			continue
		}
		_, _ = fmt.Fprintln(output, writer.Render())
	}
}

func (t *benchTables) section(options benchOptions) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Command: `%s`, %s, %s, %d processors, load average before the tables were written: %s.\n\n",
		options.command, version.String(), time.Now().UTC().Format(time.DateOnly), runtime.NumCPU(), loadAverage())
	t.render(&text, true)
	return text.String()
}

func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(content))
	return strings.Join(fields[:min(3, len(fields))], " ")
}

func (t *benchTables) disk(ctx context.Context, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "make folder")
	}
	times, err := benchmark.SyncTimes(ctx, folder, syncCount, syncRecordBytes)
	if err != nil {
		return err
	}
	rows := t.add("Disk: one record of 1 KiB written and synced, milliseconds", "count", "p50", "p99", "max")
	rows.AppendRow(table.Row{
		times.Count(), report.Millis(times.At(50)), report.Millis(times.At(99)),
		report.Millis(times.At(100)),
	})
	return nil
}

// measured is one closed loop.
type measured struct {
	name   string
	result *benchmark.Throughput
}

// benchFleet measures closed loops, and latencies too on a fleet of more than one front node.
func (e *environment) benchFleet(ctx context.Context, options benchOptions, fronts int,
	tables *benchTables,
) (loops []measured, err error) {
	sizes := site.Small()
	sizes.Fronts = fronts
	layout := fleet.Options{
		Sizes: sizes, LogLevel: "warn", Rates: fastRates(),
		Environment: deployment.Processors{Front: frontCores}.Environment(),
	}
	err = e.withFleet(ctx, "bench", layout, func(f *fleet.Fleet) error {
		loops, err = e.benchOn(ctx, f, options, tables)
		return err
	})
	return loops, err
}

func (e *environment) benchOn(ctx context.Context, f *fleet.Fleet, options benchOptions,
	tables *benchTables,
) ([]measured, error) {
	if _, err := e.start(ctx, f); err != nil {
		return nil, err
	}
	b := &bencher{environment: e, options: options, fleet: f, client: &caller.Client{
		HTTP: caller.NewHTTPClient(), Credentials: f.Credentials(), Now: time.Now,
	}}
	defer b.client.HTTP.CloseIdleConnections()
	fronts := len(f.Members(fleet.KindFront))
	if fronts == 1 {
		return b.loops(ctx, "one front node")
	}
	loops, err := b.loops(ctx, fmt.Sprintf("%d front nodes", fronts))
	if err != nil {
		return nil, err
	}
	return loops, b.latencies(ctx, tables, loops[0].result.PerSecond)
}

type bencher struct {
	*environment
	options benchOptions
	fleet   *fleet.Fleet
	client  *caller.Client
	loop    int
}

func (b *bencher) load() benchmark.Load {
	b.loop++
	return benchmark.Load{
		Client: b.client, Fronts: b.fleet.FrontAddresses(), Workers: b.options.workers,
		Run: fmt.Sprintf("%s-%d", filepath.Base(b.fleet.Folder()), b.loop), Duration: b.options.duration,
	}
}

func (b *bencher) watch() benchmark.Watch {
	watch := benchmark.Watch{}
	for group, kind := range map[string]fleet.Kind{
		"front": fleet.KindFront, "store": fleet.KindStore,
		"core": fleet.KindCore,
	} {
		for _, member := range b.fleet.Members(kind) {
			watch[group] = append(watch[group], b.fleet.Process(member).ID())
		}
	}
	return watch
}

func (b *bencher) loops(ctx context.Context, name string) ([]measured, error) {
	var loops []measured
	for _, spread := range []bool{false, true} {
		if spread && len(b.fleet.FrontAddresses()) == 1 {
			break
		}
		load := b.load()
		load.Spread = spread
		label := name + ", sessions stay with their front node"
		if spread {
			label = name + ", each turn at the next front node"
		}
		b.logger.Info("closed loop started", "load", label)
		result, err := load.Measure(ctx, b.watch())
		if err != nil {
			return nil, err
		}
		loops = append(loops, measured{label, result})
	}
	return loops, nil
}

func (t *benchTables) throughput(loops []measured) {
	rows := t.add(fmt.Sprintf("Closed loops, GOMAXPROCS=%d a front node", frontCores), "load", "turns", "failed",
		"turns/s",
		"first token p50 ms", "p99 ms", "processor time a turn, fronts", "stores", "core")
	for _, loop := range loops {
		result := loop.result
		rows.AppendRow(table.Row{
			loop.name, result.Turns, result.Failed, fmt.Sprintf("%.0f", result.PerSecond),
			report.Millis(result.FirstToken.At(50)), report.Millis(result.FirstToken.At(99)),
			result.Processor["front"].Round(time.Microsecond), result.Processor["store"].Round(time.Microsecond),
			result.Processor["core"].Round(time.Microsecond),
		})
	}
}

// latencies measures the added time to the first event at rest and beside half of the load that the loops reached.
func (b *bencher) latencies(ctx context.Context, tables *benchTables, capacity float64) error {
	rows := tables.add("Time to the first token, milliseconds; direct calls and turns alternate", "load", "what", "count",
		"p50", "p99",
		"added p50", "added p99", "failed")
	for _, share := range []float64{0, 0.5} {
		latency, err := b.beside(ctx, capacity*share)
		if err != nil {
			return err
		}
		name := "at rest"
		if share > 0 {
			name = fmt.Sprintf("beside %.0f turns/s", capacity*share)
		}
		appendLatency(rows, name, latency)
	}
	return nil
}

func appendLatency(rows table.Writer, name string, latency *benchmark.Latency) {
	kinds := []struct {
		name  string
		times *report.Times
	}{
		{"stand-in called directly", latency.Direct},
		{"first turn of a session", latency.First},
		{"next turn", latency.Next},
	}
	for _, kind := range kinds {
		median, high := kind.times.At(50), kind.times.At(99)
		rows.AppendRow(table.Row{
			name, kind.name, kind.times.Count(), report.Millis(median), report.Millis(high),
			report.Millis(median - latency.Direct.At(50)), report.Millis(high - latency.Direct.At(99)), latency.Failed,
		})
	}
}

// beside measures latencies while a paced load runs.
func (b *bencher) beside(ctx context.Context, perSecond float64) (*benchmark.Latency, error) {
	background, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	if perSecond > 0 {
		load := b.load()
		load.PerSecond, load.Duration = perSecond, maxDuration
		running.Go(func() { _, _ = load.Measure(background, benchmark.Watch{}) })
	}
	b.loop++
	server := b.fleet.Members(fleet.KindBackEnd)[0].HTTP
	run := fmt.Sprintf("%s-latency-%d", filepath.Base(b.fleet.Folder()), b.loop)
	latency, err := benchmark.MeasureLatency(ctx, b.client, b.fleet.FrontAddresses()[0], server, run, b.options.rounds)
	stop()
	running.Wait()
	return latency, err
}

func (t *benchTables) stores(ctx context.Context, folder string, options benchOptions) error {
	rows := t.add("Three stores in one process, changes of program registers", "in flight", "changes/s", "p50 ms",
		"p99 ms", "failed", "shards moved meanwhile")
	for _, moving := range []bool{false, true} {
		result, err := storebench.Run(ctx, storebench.Options{
			Folder: folder, InFlight: options.workers,
			Duration: options.duration, Empty: moving,
		})
		if err != nil {
			return err
		}
		rows.AppendRow(table.Row{
			options.workers, fmt.Sprintf("%.0f", result.ChangesPerSecond), report.Millis(result.Median),
			report.Millis(result.P99),
			result.Failed, result.MovedShards,
		})
	}
	return nil
}
