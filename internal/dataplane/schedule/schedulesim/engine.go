package schedulesim

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
)

// EngineSpec is what all model servers of a fleet have in common.
type EngineSpec struct {
	// Slots is the number of requests in a batch, Queue how many more wait.
	Slots int
	Queue int
	// CacheTokens is the memory that running requests and the prefix cache share.
	CacheTokens uint64
	// StepTime is the time of a step; each running request and each thousand tokens of context add to it.
	StepTime    time.Duration
	PerRequest  time.Duration
	PerThousand time.Duration
	// PromptRate is the number of prompt tokens prefilled in a millisecond, Chunk their maximum in one step.
	PromptRate float64
	Chunk      uint64
}

// generation is one request at an engine.
type generation struct {
	prompt promptcache.Prompt
	output uint64
	rank   uint32
	// pendingPrompt are the prompt tokens still to prefill, generated the output tokens so far.
	pendingPrompt uint64
	generated     uint64

	onFirst func()
	onDone  func()
}

func (g *generation) context() uint64 { return g.prompt.Tokens() + g.generated }

// engine is one model server: it runs steps while it has requests.
type engine struct {
	spec     EngineSpec
	timeline *timeline
	id       string
	zone     string
	// slowness scales the time of each step.
	slowness float64
	draining bool

	waiting  []*generation
	batch    []*generation
	cache    *promptcache.Model
	stepping bool

	// prefilled counts all prompt tokens that were prefilled.
	prefilled uint64
	preempted int
	onPrefill func(promptcache.Segment)
}

const cacheKey = ""

func newEngine(spec EngineSpec, timeline *timeline, id, zone string) *engine {
	return &engine{spec: spec, timeline: timeline, id: id, zone: zone, slowness: 1, cache: promptcache.New()}
}

// submit queues a request; false when the server is full.
func (e *engine) submit(request *generation) bool {
	if len(e.waiting)+len(e.batch) >= e.spec.Slots+e.spec.Queue {
		return false
	}
	e.waiting = append(e.waiting, request)
	e.begin()
	return true
}

func (e *engine) begin() {
	if !e.stepping && len(e.waiting)+len(e.batch) > 0 {
		e.stepping = true
		e.step()
	}
}

// requestCounts counts the requests with and without a first token, as a load report does.
func (e *engine) requestCounts() (running, queued int) {
	for _, request := range e.batch {
		if request.generated > 0 {
			running++
		}
	}
	return running, len(e.waiting) + len(e.batch) - running
}

// usedTokens is the memory, in tokens, of the running requests.
func (e *engine) usedTokens() uint64 {
	used := uint64(0)
	for _, request := range e.batch {
		used += request.context()
	}
	return used
}

// step prefills a chunk of prompts and generates one token for each request whose prompt is prefilled.
func (e *engine) step() {
	e.admit()
	e.preempt()
	decoding := 0
	for _, request := range e.batch {
		if request.pendingPrompt == 0 {
			decoding++
		}
	}
	read := e.prefillChunk()
	took := e.stepTime(decoding, read)
	e.timeline.after(took, e.finishStep)
}

func (e *engine) stepTime(decoding int, read uint64) time.Duration {
	took := e.spec.StepTime + time.Duration(decoding)*e.spec.PerRequest
	took += time.Duration(float64(e.spec.PerThousand) * float64(e.usedTokens()) / 1000)
	took += time.Duration(float64(read) / e.spec.PromptRate * float64(time.Millisecond))
	return time.Duration(float64(took) * e.slowness)
}

// admit fills the batch in the order of ranks.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return int(a.rank) - int(b.rank) })
	for len(e.waiting) > 0 && len(e.batch) < e.spec.Slots {
		next := e.waiting[0]
		if e.usedTokens()+next.context() > e.spec.CacheTokens && len(e.batch) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.startRequest(next)
	}
}

func (e *engine) startRequest(request *generation) {
	request.pendingPrompt = request.context() - e.cache.Cached(cacheKey, request.prompt)
	// The last token is never cached.
	request.pendingPrompt = max(request.pendingPrompt, 1)
	e.batch = append(e.batch, request)
	e.resizeCache()
}

// resizeCache gives the prefix cache the memory that running requests do not occupy.
func (e *engine) resizeCache() {
	e.cache.SetCapacity(cacheKey, e.spec.CacheTokens-min(e.spec.CacheTokens, e.usedTokens()))
}

// preempt queues the newest of the lowest-priority requests again while memory is short.
func (e *engine) preempt() {
	for len(e.batch) > 1 && e.usedTokens() > e.spec.CacheTokens {
		victim := len(e.batch) - 1
		for at, v := range slices.Backward(e.batch) {
			if v.rank > e.batch[victim].rank {
				victim = at
			}
		}
		e.waiting = append(e.waiting, e.batch[victim])
		e.batch = slices.Delete(e.batch, victim, victim+1)
		e.preempted++
	}
}

// prefillChunk prefills the next chunk of prompts in the order of the batch.
func (e *engine) prefillChunk() uint64 {
	read := uint64(0)
	for _, request := range e.batch {
		chunk := min(request.pendingPrompt, e.spec.Chunk-read)
		request.pendingPrompt -= chunk
		read += chunk
		if chunk > 0 && request.pendingPrompt == 0 {
			e.cachePrompt(request)
		}
	}
	e.prefilled += read
	return read
}

func (e *engine) cachePrompt(request *generation) {
	if e.onPrefill != nil {
		cached := e.cache.Cached(cacheKey, request.prompt)
		passed := uint64(0)
		for _, segment := range request.prompt {
			if passed += uint64(segment.Tokens); passed > cached {
				e.onPrefill(segment)
			}
		}
	}
	e.cache.RecordSent(cacheKey, request.prompt, e.timeline.clock())
}

func (e *engine) finishStep() {
	for _, request := range e.batch {
		if request.pendingPrompt > 0 {
			continue
		}
		request.generated++
		if request.generated == 1 {
			request.onFirst()
		}
	}
	e.retire()
	e.resizeCache()
	e.stepping = false
	e.begin()
}

// retire removes the requests whose output is complete.
func (e *engine) retire() {
	var done []*generation
	e.batch = slices.DeleteFunc(e.batch, func(request *generation) bool {
		finished := request.generated >= request.output
		if finished {
			done = append(done, request)
		}
		return finished
	})
	for _, request := range done {
		request.onDone()
	}
}
