package command

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/simulatednode"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
	"github.com/rosestand/rosestand/internal/testing/subprocess"
)

// Limits of the control plane for one node, and for the spread of a change.
const (
	limitBytesPerSecond = 12 << 10
	limitProcessorShare = 0.019
	limitMemoryBytes    = 64 << 20
	limitInForce        = 6 * time.Second

	nodesReadyTimeout    = 4 * time.Minute
	ownTimeout           = 5 * time.Minute
	nodesStopTimeout     = 60 * time.Second
	quietBeforeMeasuring = 3 * time.Second
	maxNodes             = 2000
	maxServers           = 10000
	maxChanges           = 1000
)

type scaleOptions struct {
	nodes, servers, zones, sessions, changes, voters, standbys, wave int
	duration                                                         time.Duration
	seed                                                             uint64
}

func newScale(e *environment) *cobra.Command {
	var options scaleOptions
	command := &cobra.Command{
		Use: "scale",
		Short: "Run hollow front nodes and back ends in this process beside a real core and stores; " +
			"hold them against the limits",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return e.scale(command.Context(), options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.nodes, "nodes", 330, "hollow front nodes")
	flags.IntVar(&options.servers, "servers", 600, "hollow back ends")
	flags.IntVar(&options.zones, "zones", 6, "zones")
	flags.IntVar(&options.sessions, "sessions", 20000, "sessions registered in the directory, shared by the nodes")
	flags.IntVar(&options.changes, "changes", 10, "bundle changes while measuring")
	flags.IntVar(&options.wave, "wave", 30, "nodes that join at once; the next wave begins when the last one is ready")
	flags.IntVar(&options.voters, "voters", 5, "core voters")
	flags.IntVar(&options.standbys, "standbys", 2, "core standbys")
	flags.DurationVar(&options.duration, "duration", 30*time.Second, "length of the measurement")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the heartbeats")
	return command
}

func (o scaleOptions) validate() error {
	if o.nodes < 1 || o.nodes > maxNodes || o.servers < 0 || o.servers > maxServers || o.changes < 1 ||
		o.changes > maxChanges {
		return &FlagError{Flag: "nodes, --servers or --changes", Reason: "is out of its bounds"}
	}
	if o.duration <= 0 || o.duration > maxDuration || o.zones < 1 || o.wave < 1 || o.sessions < 0 {
		return &FlagError{Flag: "duration, --zones, --wave or --sessions", Reason: "is out of its bounds"}
	}
	return nil
}

// scaleResult is the result of a scale run.
type scaleResult struct {
	owned         int
	rejections    int
	ownedIn       time.Duration
	before, after simulatednode.Footprint
	idleBytes     uint64
	inForce       []time.Duration
	// missing counts nodes that did not have a change in force when the next one came.
	missing int
	cores   map[string]coreUse
}

type coreUse struct {
	share    float64
	resident uint64
}

func (e *environment) scale(ctx context.Context, options scaleOptions) error {
	if err := options.validate(); err != nil {
		return err
	}
	layout := fleet.Options{
		Sizes:    site.Sizes{Voters: options.voters, Standbys: options.standbys, Stores: 3, Zones: options.zones},
		LogLevel: "warn",
	}
	return e.withFleet(ctx, "scale", layout, func(f *fleet.Fleet) error { return e.scaleOn(ctx, f, options) })
}

func (e *environment) scaleOn(ctx context.Context, f *fleet.Fleet, options scaleOptions) (err error) {
	if err := f.Start(ctx, fleet.KindCore, fleet.KindStore); err != nil {
		return err
	}
	if _, err := f.DeliverBundle(ctx, f.Bundle(firstBundle)); err != nil {
		return err
	}
	idle, err := subprocess.UsageOf(os.Getpid())
	if err != nil {
		return err
	}
	nodes, err := e.startSimulatedNodes(ctx, f, options)
	if nodes != nil {
		defer func() {
			stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), nodesStopTimeout)
			defer cancel()
			err = errors.CombineErrors(err, nodes.Stop(stopping))
		}()
	}
	if err != nil {
		return err
	}
	result := &scaleResult{idleBytes: idle.ResidentBytes}
	if err := e.measureScale(ctx, f, nodes, options, result); err != nil {
		return err
	}
	return e.printScale(options, result)
}

func (e *environment) startSimulatedNodes(ctx context.Context, f *fleet.Fleet,
	options scaleOptions,
) (*simulatednode.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, nodesReadyTimeout)
	defer cancel()
	key, err := f.ClusterKey()
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	nodes, err := simulatednode.Start(ctx, simulatednode.Options{
		Nodes: options.nodes, Servers: options.servers, Zones: options.zones, Region: "lab",
		Versions: firstBundle + options.changes, ClusterKey: key, Seeds: f.Seeds(), Seed: options.seed, Wave: options.wave,
	})
	e.logger.Info("simulated nodes became ready", "nodes", options.nodes, "after",
		time.Since(begun).Round(time.Millisecond), "err",
		err)
	return nodes, err
}

func (e *environment) measureScale(ctx context.Context, f *fleet.Fleet, nodes *simulatednode.Fleet,
	options scaleOptions, result *scaleResult,
) (err error) {
	owning, cancel := context.WithTimeout(ctx, ownTimeout)
	defer cancel()
	begun := time.Now()
	if result.owned, result.rejections, err = nodes.OwnSessions(owning, options.sessions); err != nil {
		return err
	}
	result.ownedIn = time.Since(begun)
	e.logger.Info("sessions registered", "sessions", result.owned, "rejections", result.rejections, "after",
		result.ownedIn.Round(time.Millisecond))
	wait.For(ctx, quietBeforeMeasuring)
	coreBefore, err := coreUsage(f)
	if err != nil {
		return err
	}
	if result.before, err = nodes.Footprint(); err != nil {
		return err
	}
	if err := e.change(ctx, f, nodes, options, result); err != nil {
		return err
	}
	if result.after, err = nodes.Footprint(); err != nil {
		return err
	}
	coreAfter, err := coreUsage(f)
	if err != nil {
		return err
	}
	elapsed := result.after.At.Sub(result.before.At)
	result.cores = map[string]coreUse{}
	for name, usage := range coreAfter {
		share := float64(usage.Processor-coreBefore[name].Processor) / float64(elapsed)
		result.cores[name] = coreUse{share: share, resident: usage.ResidentBytes}
	}
	return nil
}

// change delivers bundles at even intervals over the measurement and records when each was in force at every node.
func (e *environment) change(ctx context.Context, f *fleet.Fleet, nodes *simulatednode.Fleet, options scaleOptions,
	result *scaleResult,
) error {
	every := options.duration / time.Duration(options.changes)
	for i := range options.changes {
		begun := time.Now()
		version := uint64(firstBundle + i + 1)
		limits := f.Bundle(version).GetLimits()
		limits.MaxQueued += uint32(i + 1)
		orders, err := f.DeliverBundle(ctx, &protocol.Bundle{
			Version: version, BaseVersion: version - 1, Partial: true,
			Limits: limits,
		})
		if err != nil {
			return err
		}
		if !wait.For(ctx, every-time.Since(begun)) {
			return ctx.Err()
		}
		arrived := nodes.Arrivals(int(version), orders[len(orders)-1].SentAt)
		result.missing += options.nodes - len(arrived)
		result.inForce = append(result.inForce, arrived...)
	}
	slices.Sort(result.inForce)
	return nil
}

func coreUsage(f *fleet.Fleet) (map[string]subprocess.Usage, error) {
	used := map[string]subprocess.Usage{}
	for _, member := range f.Members(fleet.KindCore, fleet.KindStore) {
		usage, err := f.Process(member).Usage()
		if err != nil {
			return nil, err
		}
		used[member.Name] = usage
	}
	return used, nil
}

func (e *environment) printScale(options scaleOptions, result *scaleResult) error {
	elapsed := result.after.At.Sub(result.before.At).Seconds()
	nodes := float64(options.nodes)
	coreBytes := float64(result.after.CoreBytes-result.before.CoreBytes) / elapsed / nodes
	peerBytes := float64(result.after.PeerBytes-result.before.PeerBytes) / elapsed / nodes
	processor := (result.after.Processor - result.before.Processor).Seconds() / elapsed / nodes
	memory := float64(result.after.ResidentBytes-result.idleBytes) / nodes
	title := fmt.Sprintf("Control plane of %d nodes before %d servers, %d sessions, %d changes in %.0f s",
		options.nodes, options.servers, result.owned, options.changes, elapsed)
	rows := report.NewTable(e.output, title, "figure", "a node", "limit", "within")
	var over []string
	row := func(name, value, limit string, within bool) {
		rows.AppendRow([]any{name, value, limit, within})
		if !within {
			over = append(over, name)
		}
	}
	row("bytes between node and core, per second", fmt.Sprintf("%.0f", coreBytes), strconv.Itoa(limitBytesPerSecond),
		coreBytes <= limitBytesPerSecond)
	row("with bytes between nodes' directories", fmt.Sprintf("%.0f", coreBytes+peerBytes),
		strconv.Itoa(limitBytesPerSecond), coreBytes+peerBytes <= limitBytesPerSecond)
	row("processor, share of a core", fmt.Sprintf("%.3f %%", 100*processor),
		fmt.Sprintf("%.1f %%", 100*limitProcessorShare), processor <= limitProcessorShare)
	row("memory of its part of the process, MB", fmt.Sprintf("%.2f", memory/(1<<20)), strconv.Itoa(limitMemoryBytes>>20),
		memory <= limitMemoryBytes)
	slowest := at(result.inForce, 1)
	row("change in force, p50 ms", report.Millis(at(result.inForce, 0.5)), "", true)
	row("change in force, p99 ms", report.Millis(at(result.inForce, 0.99)), "", true)
	row("change in force everywhere, longest ms", report.Millis(slowest), report.Millis(limitInForce),
		slowest <= limitInForce && result.missing == 0)
	row("changes not in force when the next one came", strconv.Itoa(result.missing), "0", result.missing == 0)
	rows.Render()
	e.printCores(result, elapsed)
	if len(over) > 0 {
		return &ViolationError{What: fmt.Sprintf("limits were not kept: %v", over)}
	}
	return nil
}

func (e *environment) printCores(result *scaleResult, took float64) {
	heartbeats := float64(result.after.Heartbeats-result.before.Heartbeats) / took
	title := fmt.Sprintf("Core and stores under %.0f heartbeats a second of back ends; %d sessions were registered in %s",
		heartbeats, result.owned, result.ownedIn.Round(time.Millisecond))
	rows := report.NewTable(e.output, title, "process", "share of a core", "memory MB")
	var names []string
	for name := range result.cores {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		use := result.cores[name]
		rows.AppendRow([]any{name, fmt.Sprintf("%.1f %%", 100*use.share), fmt.Sprintf("%.0f", float64(use.resident)/(1<<20))})
	}
	rows.Render()
}

// at reads sorted times; zero without any.
func at(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
