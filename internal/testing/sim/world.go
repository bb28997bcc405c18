package sim

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

// Address names a machine on the network. A replaced machine has another one.
type Address string

// Origin is the true time at the start of each run.
var Origin = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

// Options are the settings of a world; zero values stand for the defaults.
type Options struct {
	Network NetworkOptions
	// MaximumClockOffset bounds how far the wall clocks of machines differ from true time; default 1 h, negative for none.
	MaximumClockOffset time.Duration
	// MaximumDriftPerMillion bounds the drift of clocks from true time; default 100, negative for none.
	MaximumDriftPerMillion int64
	// RestartDelay is the time between Environment.Exit and the next start; default 500 ms.
	RestartDelay time.Duration
	// MaximumSteps bounds the events of a run; default 5,000,000.
	MaximumSteps int
	// Trace, when set, receives a line for each call of Tracef.
	Trace io.Writer
	// MayApply, when set, decides on each fault; a rejected fault is attempted again every FaultRetryInterval
	// until FaultTimeout has passed. A suite uses it to bound what is lost at once.
	MayApply func(Fault) bool
	// Replace, when set, is called for a machine removed by FaultReplace and adds the one in its place.
	Replace func(*Machine)
}

// Retry of faults that Options.MayApply rejects.
const (
	FaultRetryInterval = 50 * time.Millisecond
	FaultTimeout       = 20 * time.Second
)

const (
	defaultClockOffset  = time.Hour
	defaultDrift        = 100
	defaultRestartDelay = 500 * time.Millisecond
	defaultMaximumSteps = 5_000_000
)

func (o Options) withDefaults() Options {
	o.Network = o.Network.withDefaults()
	if o.MaximumClockOffset == 0 {
		o.MaximumClockOffset = defaultClockOffset
	}
	if o.MaximumDriftPerMillion == 0 {
		o.MaximumDriftPerMillion = defaultDrift
	}
	if o.RestartDelay <= 0 {
		o.RestartDelay = defaultRestartDelay
	}
	if o.MaximumSteps <= 0 {
		o.MaximumSteps = defaultMaximumSteps
	}
	return o
}

// World is one simulated run. It is owned by one goroutine.
type World struct {
	seed     int64
	options  Options
	elapsed  time.Duration
	events   eventHeap
	sequence uint64
	steps    int
	// fingerprint hashes the times and order of all events, to show that runs are deterministic.
	fingerprint uint64

	machines []*Machine
	byName   map[Address]*Machine
	network  *network
	rules    []*Rule
	faults   []Fault
	applied  []Fault
	skipped  []Fault
}

// NewWorld makes a world without machines.
func NewWorld(seed int64, options Options) *World {
	world := &World{seed: seed, options: options.withDefaults(), byName: map[Address]*Machine{}}
	world.network = newNetwork(world, world.options.Network)
	return world
}

// Seed returns the seed of the run.
func (w *World) Seed() int64 { return w.seed }

// Random returns a random source for a named purpose, seeded with the seed of the run and the purpose, so that
// one purpose drawing more numbers does not change what another one draws.
func (w *World) Random(purpose string) *rand.Rand {
	return RandomFor(w.seed, purpose)
}

// RandomFor is World.Random for code that runs before there is a world.
func RandomFor(seed int64, purpose string) *rand.Rand {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, purpose)
	return rand.New(rand.NewPCG(uint64(seed), sum.Sum64()))
}

// Elapsed returns the true time since the start.
func (w *World) Elapsed() time.Duration { return w.elapsed }

// Now returns the true time, which no process sees.
func (w *World) Now() time.Time { return Origin.Add(w.elapsed) }

// Steps returns the number of events so far.
func (w *World) Steps() int { return w.steps }

// Fingerprint returns a hash of the times and order of all events so far.
func (w *World) Fingerprint() uint64 { return w.fingerprint }

// After runs a function of the suite after a delay, whatever happens to machines.
func (w *World) After(delay time.Duration, run func()) {
	w.sequence++
	w.events.push(event{at: w.elapsed + max(delay, 0), sequence: w.sequence, run: run})
}

// RunUntil runs the events up to a time since the start, or until a rule is violated. It returns false when a
// rule is violated or the bound on steps was reached.
func (w *World) RunUntil(end time.Duration) bool {
	for len(w.events) > 0 && w.events[0].at <= end {
		if w.Violated() || w.steps >= w.options.MaximumSteps {
			return false
		}
		w.step()
	}
	w.elapsed = max(w.elapsed, end)
	return !w.Violated()
}

func (w *World) step() {
	next := w.events.pop()
	w.elapsed = next.at
	w.steps++
	w.mixIntoFingerprint(uint64(next.at), next.sequence)
	next.run()
}

// mixIntoFingerprint hashes values into the fingerprint (FNV-1a over words).
func (w *World) mixIntoFingerprint(values ...uint64) {
	const prime = 1099511628211
	for _, value := range values {
		w.fingerprint = (w.fingerprint ^ value) * prime
	}
}

// Tracef adds a line to the trace, if there is one.
func (w *World) Tracef(format string, arguments ...any) {
	if w.options.Trace == nil {
		return
	}
	_, _ = fmt.Fprintf(w.options.Trace, "%12.6f  ", w.elapsed.Seconds())
	_, _ = fmt.Fprintf(w.options.Trace, format, arguments...)
	_, _ = fmt.Fprintln(w.options.Trace)
}

// Tracing reports whether there is a trace, for callers whose arguments are expensive.
func (w *World) Tracing() bool { return w.options.Trace != nil }
