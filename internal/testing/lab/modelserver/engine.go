package modelserver

import (
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/modeltoken"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// engine owns all state of one server: the batch, the fences and the counts of
// runs. It works through a queue of commands and steps the batch on the clock.
type engine struct {
	batch    *batcher
	commands chan any
	stop     chan struct{}
	stopped  chan struct{}
	journal  *standin.Journal
	faults   *standin.FaultSwitch
	load     atomic.Pointer[standin.Load]

	epochs  map[string]uint64
	runs    map[string]int
	serial  uint64
	members map[*sequence]*generation
}

// generation is one request under way, shared by the engine (which sends) and
// the handler (which receives).
type generation struct {
	call    standin.Call
	arrived time.Time
	serial  uint64
	run     int
	fault   standin.Fault
	seq     *sequence
	// tokens is as long as the answer may get, so the engine never waits.
	tokens chan string
	hashes []uint64
	// cached is set before the first token is sent.
	cached int
}

// admission is the engine's answer to a request.
type admission struct {
	generation *generation
	rejection  rejection
}

type rejection string

const (
	notRejected        rejection = ""
	rejectedFenced     rejection = "fenced"
	rejectedByFault    rejection = "refused_by_fault"
	rejectedDiedBefore rejection = "died_before"
	rejectedQueueFull  rejection = "queue_full"
	rejectedTooLong    rejection = "too_long"
)

type admitCommand struct {
	call      standin.Call
	tokens    []uint64
	maxTokens int
	reply     chan admission
}

// leaveCommand ends a generation; the reply says whether any of it was run.
type leaveCommand struct {
	generation *generation
	reply      chan bool
}

func newEngine(rates Rates, journal *standin.Journal, faults *standin.FaultSwitch) *engine {
	e := &engine{
		batch:    newBatcher(rates),
		commands: make(chan any),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
		journal:  journal,
		faults:   faults,
		epochs:   map[string]uint64{},
		runs:     map[string]int{},
		members:  map[*sequence]*generation{},
	}
	e.publish()
	return e
}

func (e *engine) loop() {
	defer close(e.stopped)
	for {
		if e.batch.idle() {
			select {
			case <-e.stop:
				return
			case command := <-e.commands:
				e.handle(command)
			}
			continue
		}
		planned := e.batch.next()
		e.begin(planned.started)
		if !e.waitFor(planned.took) {
			return
		}
		e.emit(planned.decoded)
	}
}

// waitFor handles commands while the step runs; false means stop.
func (e *engine) waitFor(took time.Duration) bool {
	timer := time.NewTimer(took)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			return false
		case command := <-e.commands:
			e.handle(command)
		case <-timer.C:
			return true
		}
	}
}

func (e *engine) handle(command any) {
	switch command := command.(type) {
	case admitCommand:
		command.reply <- e.admit(command)
	case leaveCommand:
		command.reply <- e.leave(command.generation)
	}
	e.publish()
}

func (e *engine) admit(command admitCommand) admission {
	call := command.call
	e.serial++
	e.runs[call.RequestID]++
	g := &generation{
		call: call, arrived: time.Now(), serial: e.serial, run: e.runs[call.RequestID],
		tokens: make(chan string, command.maxTokens),
	}
	if call.Epoch < e.epochs[call.Session] {
		return e.reject(g, rejectedFenced)
	}
	e.epochs[call.Session] = call.Epoch
	g.fault = e.faults.Plan().Pick(call.RequestID, g.run)
	switch {
	case g.fault == standin.FaultReject:
		return e.reject(g, rejectedByFault)
	case g.fault == standin.FaultDieBefore:
		return e.reject(g, rejectedDiedBefore)
	case !e.batch.fits(len(command.tokens), command.maxTokens):
		return e.reject(g, rejectedTooLong)
	}
	g.seq = &sequence{id: e.serial, tokens: command.tokens, maxTokens: command.maxTokens}
	if !e.batch.submit(g.seq) {
		return e.reject(g, rejectedQueueFull)
	}
	e.members[g.seq] = g
	return admission{generation: g}
}

func (e *engine) reject(g *generation, reason rejection) admission {
	e.record(g, standin.PhaseRejected, string(reason))
	return admission{generation: g, rejection: reason}
}

func (e *engine) record(g *generation, phase standin.Phase, reason string) {
	_ = e.journal.Append(g.entry(phase, reason))
}

func (g *generation) entry(phase standin.Phase, reason string) standin.Entry {
	return standin.Entry{
		Phase: phase, Serial: g.serial, RequestID: g.call.RequestID, Session: g.call.Session,
		Epoch: g.call.Epoch, Nonce: g.call.Nonce, ArrivedMicros: g.arrived.UnixMicro(), Run: g.run, Reason: reason,
		Fault: g.fault,
	}
}

// begin writes the start of runs to the journal before anything of them is run.
func (e *engine) begin(started []*sequence) {
	for _, s := range started {
		g := e.members[s]
		g.cached = s.cached
		e.record(g, standin.PhaseStarted, "")
	}
	e.publish()
}

func (e *engine) emit(decoded []*sequence) {
	now := time.Now()
	var ended []*generation
	for _, s := range decoded {
		g, present := e.members[s]
		if !present {
			continue
		}
		text := modeltoken.Token{Index: s.produced, At: now, Nonce: g.call.Nonce}.String()
		s.produced++
		g.hashes = append(g.hashes, tokenHash(text))
		g.tokens <- text
		if s.produced >= s.maxTokens {
			e.remove(g)
			ended = append(ended, g)
		}
	}
	// The load is published before the answers end, so that whoever saw an end sees the slot free.
	e.publish()
	for _, g := range ended {
		close(g.tokens)
	}
}

// remove frees the place of a generation; it reports whether its run had begun.
func (e *engine) remove(g *generation) bool {
	delete(e.members, g.seq)
	return e.batch.remove(g.seq, g.hashes)
}

// leave frees the place of a generation whose handler is done with it.
func (e *engine) leave(g *generation) bool {
	if _, present := e.members[g.seq]; !present {
		return true
	}
	started := e.remove(g)
	close(g.tokens)
	if !started {
		e.record(g, standin.PhaseRejected, "cancelled_in_queue")
	}
	return started
}

func (e *engine) publish() {
	e.load.Store(&standin.Load{
		Running: len(e.batch.running), Queued: len(e.batch.queue), Capacity: e.batch.rates.MaxBatch,
		KVBlocksUsed: e.batch.cache.used(), KVBlocksTotal: e.batch.cache.total,
	})
}
