package schedulesim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// ToolOptions configure a simulation of tool servers.
type ToolOptions struct {
	Seed      uint64
	Algorithm protocol.SchedulingAlgorithm
	Fronts    int
	// Speeds is the factor of each server's service time; Slots and Queue are those of each server.
	Speeds []float64
	Slots  int
	Queue  int
	// PerSecond is the rate at which programs call, Concurrent how many calls arrive together.
	PerSecond  float64
	Concurrent int
	// Work is the mean work of a call on an ordinary server.
	Work   time.Duration
	Length time.Duration
}

// ToolResult is the result of a simulation.
type ToolResult struct {
	Calls int
	// Failed counts calls that three servers rejected, Rejected the single rejections.
	Failed   int
	Rejected int
	// Latencies are the times of calls, sorted.
	Latencies []time.Duration
}

// Quantile is the time that the share of calls, from 0 to 1, did not exceed.
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

// toolFront is one front node with its state of each server.
type toolFront struct {
	random   *rand.Rand
	inFlight map[string]uint32
	slowness map[string]*schedule.Slowness
	profile  schedule.ProfileEstimator
	sequence uint64
}

type toolFleet struct {
	options  ToolOptions
	timeline *timeline
	servers  []*toolServer
	fronts   []*toolFront
	random   *rand.Rand
	result   *ToolResult
}

// SimulateTools simulates calls of tools.
func SimulateTools(options ToolOptions) *ToolResult {
	f := &toolFleet{
		options: options, timeline: &timeline{}, random: rand.New(rand.NewPCG(options.Seed, 2)), result: &ToolResult{},
	}
	for at, speed := range options.Speeds {
		f.servers = append(f.servers, &toolServer{id: fmt.Sprintf("tool-%02d", at), speed: speed})
	}
	for at := range options.Fronts {
		front := &toolFront{
			random:   rand.New(rand.NewPCG(options.Seed, uint64(200+at))),
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
		took := f.timeline.now - sent
		front.slowness[chosen.id].Observe(front.profile.Profile().ServiceTime, took, f.timeline.clock())
		front.profile.ObserveService(took)
		f.result.Latencies = append(f.result.Latencies, f.timeline.now-issued)
	}
	if f.submit(chosen, work, finish) {
		return
	}
	f.result.Rejected++
	front.inFlight[chosen.id]--
	f.call(front, key, work, issued, append(avoid, chosen.id))
}

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
	at := slices.IndexFunc(f.servers, func(s *toolServer) bool { return s.id == decision.Chosen })
	if at < 0 {
		return nil
	}
	return f.servers[at]
}

// submit begins or queues a call; false when the server is full.
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

func (f *toolFleet) release(server *toolServer) {
	if len(server.waiting) == 0 {
		server.running--
		return
	}
	next := server.waiting[0]
	server.waiting = server.waiting[1:]
	next()
}
