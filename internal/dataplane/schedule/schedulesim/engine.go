package schedulesim

import (
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
)

// EngineSpec has the properties that all model servers of a fleet have in common.
type EngineSpec struct {
	// Slots is the maximum number of requests in a batch, Queue how many more may wait.
	Slots int
	Queue int
	// CacheTokens is the memory that running requests and the prefix cache share.
	CacheTokens uint64
	// StepTime is the fixed time of a step, to which each running request adds PerRequest and each thousand tokens of
	// context adds PerThousand.
	StepTime    time.Duration
	PerRequest  time.Duration
	PerThousand time.Duration
	// PromptRate is the number of prompt tokens prefilled in a millisecond, Chunk the maximum number in one step.
	PromptRate float64
	Chunk      uint64
}

// generation is one request at an engine.
type generation struct {
	prompt promptcache.Prompt
	output uint64
	rank   uint32
	// pendingPrompt is the number of prompt tokens yet to be prefilled, generated that of the output tokens so far.
	pendingPrompt uint64
	generated     uint64

	onFirst func()
	onDone  func()
}

// contextTokens returns the number of tokens of the prompt and of the output so far.
func (g *generation) contextTokens() uint64 { return g.prompt.Tokens() + g.generated }

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

	// prefilled counts all prompt tokens that were prefilled, preemptions the requests that were preempted.
	prefilled   uint64
	preemptions int
	onPrefill   func(promptcache.Segment)
}

// cacheKey is the name of the only server in an engine's own cache model.
const cacheKey = ""

func newEngine(spec EngineSpec, timeline *timeline, id, zone string) *engine {
	return &engine{spec: spec, timeline: timeline, id: id, zone: zone, slowness: 1, cache: promptcache.New()}
}

// submit queues a request; it returns false if the server is full.
func (e *engine) submit(request *generation) bool {
	if len(e.waiting)+len(e.batch) >= e.spec.Slots+e.spec.Queue {
		return false
	}
	e.waiting = append(e.waiting, request)
	e.startStep()
	return true
}

// startStep starts a step unless one is in progress or there are no requests.
func (e *engine) startStep() {
	if !e.stepping && len(e.waiting)+len(e.batch) > 0 {
		e.stepping = true
		e.step()
	}
}

// requestCounts returns the numbers of requests with and without a first token, as in a load report.
func (e *engine) requestCounts() (running, queued int) {
	for _, request := range e.batch {
		if request.generated > 0 {
			running++
		}
	}
	return running, len(e.waiting) + len(e.batch) - running
}

// usedTokens returns the memory, in tokens, of the running requests.
func (e *engine) usedTokens() uint64 {
	used := uint64(0)
	for _, request := range e.batch {
		used += request.contextTokens()
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
	prefilled := e.prefillChunk()
	duration := e.stepTime(decoding, prefilled)
	e.timeline.after(duration, e.finishStep)
}

// stepTime returns the time of a step that generates and prefills that many tokens.
func (e *engine) stepTime(decoding int, prefilled uint64) time.Duration {
	duration := e.spec.StepTime + time.Duration(decoding)*e.spec.PerRequest
	duration += time.Duration(float64(e.spec.PerThousand) * float64(e.usedTokens()) / 1000)
	duration += time.Duration(float64(prefilled) / e.spec.PromptRate * float64(time.Millisecond))
	return time.Duration(float64(duration) * e.slowness)
}

// admit fills the batch with waiting requests, in the order of their ranks.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return int(a.rank) - int(b.rank) })
	for len(e.waiting) > 0 && len(e.batch) < e.spec.Slots {
		next := e.waiting[0]
		if e.usedTokens()+next.contextTokens() > e.spec.CacheTokens && len(e.batch) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.startRequest(next)
	}
}

// startRequest adds a request to the batch. The cached part of its prompt is not prefilled.
func (e *engine) startRequest(request *generation) {
	request.pendingPrompt = request.contextTokens() - e.cache.Cached(cacheKey, request.prompt)
	// At least the last token is always prefilled.
	request.pendingPrompt = max(request.pendingPrompt, 1)
	e.batch = append(e.batch, request)
	e.resizeCache()
}

// resizeCache sets the capacity of the prefix cache to the memory that running requests do not occupy.
func (e *engine) resizeCache() {
	e.cache.SetCapacity(cacheKey, e.spec.CacheTokens-min(e.spec.CacheTokens, e.usedTokens()))
}

// preempt moves the newest of the requests with the lowest priority back to the queue while memory is short.
func (e *engine) preempt() {
	for len(e.batch) > 1 && e.usedTokens() > e.spec.CacheTokens {
		victim := len(e.batch) - 1
		for i, request := range slices.Backward(e.batch) {
			if request.rank > e.batch[victim].rank {
				victim = i
			}
		}
		e.waiting = append(e.waiting, e.batch[victim])
		e.batch = slices.Delete(e.batch, victim, victim+1)
		e.preemptions++
	}
}

// prefillChunk prefills the next chunk of prompts, in the order of the batch, and returns its number of tokens.
func (e *engine) prefillChunk() uint64 {
	prefilled := uint64(0)
	for _, request := range e.batch {
		chunk := min(request.pendingPrompt, e.spec.Chunk-prefilled)
		request.pendingPrompt -= chunk
		prefilled += chunk
		if chunk > 0 && request.pendingPrompt == 0 {
			e.cachePrompt(request)
		}
	}
	e.prefilled += prefilled
	return prefilled
}

// cachePrompt adds a prefilled prompt to the cache and reports the segments that the cache did not have.
func (e *engine) cachePrompt(request *generation) {
	if e.onPrefill != nil {
		cached := e.cache.Cached(cacheKey, request.prompt)
		end := uint64(0)
		for _, segment := range request.prompt {
			if end += uint64(segment.Tokens); end > cached {
				e.onPrefill(segment)
			}
		}
	}
	e.cache.RecordSent(cacheKey, request.prompt, e.timeline.clock())
}

// finishStep generates one token for each request whose prompt is prefilled and starts the next step.
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
	e.removeCompleted()
	e.resizeCache()
	e.stepping = false
	e.startStep()
}

// removeCompleted removes the requests whose output is complete and reports them as done.
func (e *engine) removeCompleted() {
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
