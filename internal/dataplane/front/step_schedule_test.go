package front_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	scheduleFronts  = 3
	scheduleServers = 4
	scheduleRounds  = 60
	// schedulePrograms is the number of programs of each step; a program's front node is always the same.
	schedulePrograms = 12
	// maxUnavailable is how often in a row the version of a step may be unavailable before the next step begins.
	maxUnavailable = 3
)

// scheduledServer is a model server whose weights change between streams and within them.
type scheduledServer struct {
	*weightsServer
	// midway is the version that the server loads after the first event of the next stream; zero for none.
	midway atomic.Uint64

	mutex sync.Mutex
	// ran has the versions of each request that the server ran.
	ran map[string][]uint64
	// blocked, when set, blocks the next stream after its first event.
	blocked *blockedStream
}

// blockedStream is a stream that is blocked between two events.
type blockedStream struct {
	reached, resume chan struct{}
}

func (s *scheduledServer) takeHold() *blockedStream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stream := s.blocked
	s.blocked = nil
	return stream
}

func (s *scheduledServer) block() *blockedStream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.blocked = &blockedStream{reached: make(chan struct{}), resume: make(chan struct{})}
	return s.blocked
}

func (s *scheduledServer) record(id string, version uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ran[id] = append(s.ran[id], version)
}

func (s *scheduledServer) versionsOf(id string) []uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran[id]
}

// stream sends two events, and the second one names the version when that has changed.
func (s *scheduledServer) stream(writer http.ResponseWriter, request *http.Request) {
	id, version := request.Header.Get(testDialect.RequestID), s.weights.Load()
	s.record(id, version)
	streamNaming(writer, request, strconv.FormatUint(version, 10), event(1, "a-"+id))
	if blocked := s.takeHold(); blocked != nil {
		close(blocked.reached)
		<-blocked.resume
	}
	if next := s.midway.Swap(0); next != 0 {
		s.weights.Store(next)
	}
	line := ""
	if current := s.weights.Load(); current != version {
		s.record(id, current)
		line = strings.ToLower(testDialect.WeightVersions) + ": " + strconv.FormatUint(current, 10) + "\n"
	}
	_, _ = io.WriteString(writer, line+event(2, "b-"+id))
	writer.(http.Flusher).Flush()
}

// stepSchedule runs training steps while weights are rolled out, front nodes crash and all stores are down. What it
// does follows from a seed; how requests of one batch interleave does not.
type stepSchedule struct {
	rig      *rig
	random   *rand.Rand
	nodes    []*node
	ledgers  []*crashableLedger
	servers  []*scheduledServer
	weights  uint64
	requests int
	step     int
	// consecutiveUnavailable counts the generations in a row for which the step's version was unavailable.
	consecutiveUnavailable int
	complete               []completeGeneration
	counts                 scheduleCounts
}

// completeGeneration is one that its caller has completely, with the versions that its answer named.
type completeGeneration struct {
	step, program, id string
	versions          []uint64
}

// scheduleCounts counts how often a schedule caused what could break a step.
type scheduleCounts struct {
	complete, unavailable, broken, mismatched, crashes, outages, steps int
}

func (c *scheduleCounts) add(other scheduleCounts) {
	c.complete += other.complete
	c.unavailable += other.unavailable
	c.broken += other.broken
	c.mismatched += other.mismatched
	c.crashes += other.crashes
	c.outages += other.outages
	c.steps += other.steps
}

func newStepSchedule(seed uint64) *stepSchedule {
	s := &stepSchedule{rig: newRouteRig(), random: rand.New(rand.NewPCG(seed, 0)), weights: 1, step: 1}
	s.rig.changeBundle(func(active *protocol.Bundle) {
		for _, route := range active.HttpRoutes {
			route.TimeoutMillis = longTimeoutMillis
		}
	})
	for number := range scheduleFronts {
		s.nodes, s.ledgers = append(s.nodes, nil), append(s.ledgers, nil)
		s.startFront(number, 1)
	}
	for number := range scheduleServers {
		server := &scheduledServer{ran: map[string][]uint64{}}
		server.weightsServer = s.rig.weightsServerWith(fmt.Sprint("s", number), s.weights,
			func(_ *weightsServer, writer http.ResponseWriter, request *http.Request) {
				server.stream(writer, request)
			})
		s.servers = append(s.servers, server)
	}
	return s
}

func (s *stepSchedule) startFront(number int, incarnation uint64) {
	s.ledgers[number] = &crashableLedger{memoryLedger: s.rig.ledger}
	started := s.rig.frontWith(fmt.Sprint("f", number), s.ledgers[number])
	started.ownership.incarnation = incarnation
	started.routeServer()
	s.nodes[number] = started
}

// play runs all rounds.
func (s *stepSchedule) play() {
	for range scheduleRounds {
		s.rig.clock.advance(time.Second)
		switch draw := s.random.IntN(100); {
		case draw < 50:
			s.batch()
		case draw < 65:
			s.takeWeights()
		case draw < 75:
			s.announce()
		case draw < 85:
			s.weights++
			s.servers[s.random.IntN(scheduleServers)].midway.Store(s.weights)
		case draw < 93:
			s.whileBlocked(s.crash)
		default:
			s.whileBlocked(s.outage)
		}
	}
	s.counts.steps = s.step
}

// takeWeights loads the newest weights, or newer ones, into a server; it announces them later.
func (s *stepSchedule) takeWeights() {
	server := s.servers[s.random.IntN(scheduleServers)]
	if server.weights.Load() == s.weights {
		s.weights++
	}
	server.weights.Store(s.weights)
}

func (s *stepSchedule) announce() {
	for _, server := range s.servers {
		s.rig.announceWeights(server.id, server.weights.Load())
	}
}

// scheduled is one generation in flight.
type scheduled struct {
	completeGeneration
	answered <-chan routedAnswer
}

// send sends a generation of the step by one of the front nodes.
func (s *stepSchedule) send(number int) scheduled {
	s.requests++
	program := number + scheduleFronts*s.random.IntN(schedulePrograms/scheduleFronts)
	sent := scheduled{completeGeneration: completeGeneration{
		step: fmt.Sprint("run-1/step-", s.step), program: fmt.Sprintf("step%d-p%d", s.step, program),
		id: fmt.Sprint("r", s.requests),
	}}
	request := stepTurnOf(sent.step, sent.id)
	request.headers.Set(testDialect.Program, sent.program)
	request.headers.Set(testDialect.Session, sent.program)
	if s.random.IntN(2) == 0 {
		request = onStream(request)
	}
	sent.answered = s.nodes[number].routeAside(request)
	return sent
}

// batch sends a generation by each front node at once.
func (s *stepSchedule) batch() {
	var all []scheduled
	for number := range scheduleFronts {
		all = append(all, s.send(number))
	}
	for _, sent := range all {
		s.take(sent)
	}
	if s.consecutiveUnavailable >= maxUnavailable {
		s.step++
		s.consecutiveUnavailable = 0
	}
}

// take records the result of a generation.
func (s *stepSchedule) take(sent scheduled) {
	var got routedAnswer
	s.await(func() bool {
		select {
		case got = <-sent.answered:
			return true
		default:
			return false
		}
	})
	switch {
	case got.status == http.StatusOK && got.broken == nil:
		sent.versions = trainingstep.ParseVersions(got.header.Values(testDialect.WeightVersions))
		for block := range strings.SplitSeq(got.body, "\n\n") {
			if version, named := trainingstep.ParseEventVersion([]byte(block), testDialect.WeightVersions); named {
				sent.versions = append(sent.versions, version)
			}
		}
		s.complete = append(s.complete, sent.completeGeneration)
		s.counts.complete++
		s.consecutiveUnavailable = 0
	case strings.HasPrefix(got.body, "step_version_unavailable: "):
		s.counts.unavailable++
		s.consecutiveUnavailable++
	case strings.HasPrefix(got.body, "step_mismatch: "):
		s.counts.mismatched++
	case got.status == http.StatusOK:
		s.counts.broken++
	}
}

// whileBlocked runs an action while a generation is blocked in mid-stream, if one gets that far.
func (s *stepSchedule) whileBlocked(happen func(number int)) {
	number := s.random.IntN(scheduleFronts)
	streams := make([]*blockedStream, scheduleServers)
	for at, server := range s.servers {
		streams[at] = server.block()
	}
	sent := s.send(number)
	s.await(func() bool { return len(sent.answered) > 0 || isAnyReached(streams) })
	for _, server := range s.servers {
		server.takeHold()
	}
	happen(number)
	for _, each := range streams {
		close(each.resume)
	}
	s.take(sent)
}

// await waits for a condition, and advances the clock by the time that turns wait before they query the ledger again.
func (s *stepSchedule) await(come func() bool) {
	Eventually(func() bool {
		if come() {
			return true
		}
		s.rig.clock.passBackoffs()
		return false
	}).WithPolling(time.Millisecond).Should(BeTrue())
}

func isAnyReached(streams []*blockedStream) bool {
	return slices.ContainsFunc(streams, func(each *blockedStream) bool {
		select {
		case <-each.reached:
			return true
		default:
			return false
		}
	})
}

// crash removes a front node's authority and its connections to the ledger, while a stream is in progress there,
// and starts another one as its replacement.
func (s *stepSchedule) crash(number int) {
	s.counts.crashes++
	s.ledgers[number].dead.Store(true)
	s.nodes[number].ownership.revoked.Store(true)
	s.startFront(number, s.nodes[number].ownership.incarnation+1)
}

// outage stops all stores while generations are sent, and restarts them with what they acknowledged.
func (s *stepSchedule) outage(int) {
	s.counts.outages++
	s.rig.ledger.setDown(true)
	s.batch()
	s.rig.ledger.setDown(false)
}
