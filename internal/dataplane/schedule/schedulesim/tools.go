package schedulesim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ToolOptions configures a simulation of tool servers.
type ToolOptions struct {
	Seed      uint64
	Algorithm protocol.SchedulingAlgorithm
	Fronts    int
	// Speeds has the factor of each server's service time; Slots and Queue are the same for all servers.
	Speeds []float64
	Slots  int
	Queue  int
	// PerSecond is the rate at which programs make calls, Concurrent the number of calls that arrive together.
	PerSecond  float64
	Concurrent int
	// Work is the mean work of a call on an ordinary server.
	Work   time.Duration
	Length time.Duration
}

// ToolResult is the result of a simulation of tool calls.
type ToolResult struct {
	Calls int
	// Failed counts calls that three servers rejected, Rejected the single rejections.
	Failed   int
	Rejected int
	// Latencies has the durations of the calls that ended, sorted.
	Latencies []time.Duration
}

// Quantile returns the duration that a share of the calls, from 0 to 1, did not exceed.
func (r *ToolResult) Quantile(share float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(int(share*float64(len(r.Latencies))), len(r.Latencies)-1)]
}

// toolServer runs as many calls as it has slots and rejects those beyond its queue.
type toolServer struct {
	id      string
	speed   float64
	running int
	waiting []func()
}

// toolFront is one front node with what it records of each server.
type toolFront struct {
	random   *rand.Rand
	inFlight map[string]uint32
	slowness map[string]*schedule.Slowness
	profile  schedule.ProfileEstimator
	sequence uint64
}

// toolFleet is the state of a simulation of tool calls.
type toolFleet struct {
	options  ToolOptions
	timeline *timeline
	servers  []*toolServer
	fronts   []*toolFront
	random   *rand.Rand
	result   *ToolResult
}

// SimulateTools simulates tool calls.
func SimulateTools(options ToolOptions) *ToolResult {
	f := &toolFleet{
		options: options, timeline: &timeline{}, random: rand.New(rand.NewPCG(options.Seed, 2)), result: &ToolResult{},
	}
	for i, speed := range options.Speeds {
		f.servers = append(f.servers, &toolServer{id: fmt.Sprintf("tool-%02d", i), speed: speed})
	}
	for i := range options.Fronts {
		front := &toolFront{
			random:   rand.New(rand.NewPCG(options.Seed, uint64(200+i))),
			inFlight: make(map[string]uint32), slowness: make(map[string]*schedule.Slowness),
		}
		for _, server := range f.servers {
			front.slowness[server.id] = &schedule.Slowness{}
		}
		f.fronts = append(f.fronts, front)
	}
	f.scheduleCalls()
	f.timeline.runUntil(options.Length + 10*time.Second)
	slices.Sort(f.result.Latencies)
	return f.result
}

// scheduleCalls schedules the next concurrent calls of a program and, after them, the following ones.
func (f *toolFleet) scheduleCalls() {
	wait := time.Duration(f.random.ExpFloat64() / f.options.PerSecond * float64(time.Second))
	if f.timeline.now+wait > f.options.Length {
		return
	}
	f.timeline.after(wait, func() {
		front := f.fronts[f.random.IntN(len(f.fronts))]
		key := fmt.Sprint("program-", f.random.IntN(1000))
		for range f.options.Concurrent {
			f.result.Calls++
			work := time.Duration(lognormal(f.random, float64(f.options.Work), 0.8, 5*float64(f.options.Work)))
			f.call(front, key, work, f.timeline.now, nil)
		}
		f.scheduleCalls()
	})
}

// call sends a call to the server that the policy chooses, and to another if that one is full.
func (f *toolFleet) call(front *toolFront, key string, work, issued time.Duration, avoid []string) {
	chosen := f.choose(front, key, avoid)
	if chosen == nil || len(avoid) >= 3 {
		f.result.Failed++
		return
	}
	front.inFlight[chosen.id]++
	sent := f.timeline.now
	finish := func() {
		front.inFlight[chosen.id]--
		duration := f.timeline.now - sent
		front.slowness[chosen.id].Observe(front.profile.Profile().ServiceTime, duration, f.timeline.clock())
		front.profile.ObserveService(duration)
		f.result.Latencies = append(f.result.Latencies, f.timeline.now-issued)
	}
	if f.submit(chosen, work, finish) {
		return
	}
	f.result.Rejected++
	front.inFlight[chosen.id]--
	f.call(front, key, work, issued, append(avoid, chosen.id))
}

// choose returns the server that the policy chooses; nil if there is none.
func (f *toolFleet) choose(front *toolFront, key string, avoid []string) *toolServer {
	front.sequence++
	var candidates []schedule.Candidate
	for _, server := range f.servers {
		candidates = append(candidates, schedule.Candidate{
			ID: server.id, Capacity: uint32(f.options.Slots), Weight: 1, InFlight: front.inFlight[server.id],
			Slowness: front.slowness[server.id].Factor(f.timeline.clock()),
		})
	}
	request := schedule.Request{
		Algorithm: f.options.Algorithm, AffinityKey: key, Avoid: avoid, Sequence: front.sequence,
		Profile: front.profile.Profile(),
	}
	decision := schedule.Choose(request, candidates, front.random)
	index := slices.IndexFunc(f.servers, func(s *toolServer) bool { return s.id == decision.Chosen })
	if index < 0 {
		return nil
	}
	return f.servers[index]
}

// submit starts or queues a call; it returns false if the server is full.
func (f *toolFleet) submit(server *toolServer, work time.Duration, finish func()) bool {
	begin := func() {
		f.timeline.after(time.Duration(float64(work)*server.speed), func() {
			finish()
			f.release(server)
		})
	}
	switch {
	case server.running < f.options.Slots:
		server.running++
		begin()
	case len(server.waiting) < f.options.Queue:
		server.waiting = append(server.waiting, begin)
	default:
		return false
	}
	return true
}

// release starts the next waiting call in a slot or frees the slot.
func (f *toolFleet) release(server *toolServer) {
	if len(server.waiting) == 0 {
		server.running--
		return
	}
	next := server.waiting[0]
	server.waiting = server.waiting[1:]
	next()
}
