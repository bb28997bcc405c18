package modelserver

import (
	"slices"
	"time"
)

// Rates describe the speed and the size of an emulated model server.
type Rates struct {
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// StepMicros is the time of one decode step with an empty batch.
	StepMicros int `json:"step_micros"`
	// SequenceMicros is added to a step for each sequence that decodes in it.
	SequenceMicros int `json:"sequence_micros"`
	// PrefillChunk bounds the prompt tokens taken into one step.
	PrefillChunk int `json:"prefill_chunk"`
	MaxBatch     int `json:"max_batch"`
	MaxQueue     int `json:"max_queue"`
	BlockTokens  int `json:"block_tokens"`
	Blocks       int `json:"blocks"`
}

// WithDefaults fills the fields left zero.
func (r Rates) WithDefaults() Rates {
	setDefault(&r.PrefillTokensPerSecond, 20000)
	setDefault(&r.StepMicros, 4000)
	setDefault(&r.SequenceMicros, 100)
	setDefault(&r.PrefillChunk, 512)
	setDefault(&r.MaxBatch, 16)
	setDefault(&r.MaxQueue, 64)
	setDefault(&r.BlockTokens, 16)
	setDefault(&r.Blocks, 8192)
	return r
}

func setDefault[T int | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// sequence is one request in the queue or in the batch.
type sequence struct {
	id        uint64
	tokens    []uint64
	maxTokens int
	produced  int
	hashes    []uint64
	private   int
	cached    int
	prefill   int
}

// batcher forms batches continuously: each step takes in waiting sequences,
// works through a chunk of prompts and gives each sequence whose prompt is done
// one token. It does no I/O and reads no clock.
type batcher struct {
	rates   Rates
	cache   *blockCache
	queue   []*sequence
	running []*sequence
}

// step is what one decode step did and how long it takes.
type step struct {
	took    time.Duration
	started []*sequence
	decoded []*sequence
}

func newBatcher(rates Rates) *batcher {
	return &batcher{rates: rates, cache: newBlockCache(rates.Blocks)}
}

// submit queues a sequence unless the queue is full.
func (b *batcher) submit(s *sequence) bool {
	if len(b.queue) >= b.rates.MaxQueue {
		return false
	}
	s.hashes = chain(nil, s.tokens, b.rates.BlockTokens)
	rest := len(s.tokens) - len(s.hashes)*b.rates.BlockTokens + s.maxTokens
	s.private = (rest + b.rates.BlockTokens - 1) / b.rates.BlockTokens
	b.queue = append(b.queue, s)
	return true
}

// fits reports whether the sequence can ever fit into the cache.
func (b *batcher) fits(tokens, maxTokens int) bool {
	return (tokens+maxTokens)/b.rates.BlockTokens+1 <= b.rates.Blocks
}

func (b *batcher) idle() bool { return len(b.queue) == 0 && len(b.running) == 0 }

// next plans one step; its tokens are due when its time has passed.
func (b *batcher) next() step {
	var result step
	result.started = b.admit()
	prefilled := b.prefill()
	for _, s := range b.running {
		if s.prefill == 0 {
			result.decoded = append(result.decoded, s)
		}
	}
	micros := float64(b.rates.StepMicros + b.rates.SequenceMicros*len(result.decoded))
	micros += float64(prefilled) / b.rates.PrefillTokensPerSecond * 1e6
	result.took = time.Duration(micros * float64(time.Microsecond))
	return result
}

func (b *batcher) admit() []*sequence {
	var started []*sequence
	for len(b.queue) > 0 && len(b.running) < b.rates.MaxBatch {
		s := b.queue[0]
		cached, acquired := b.cache.acquire(s.hashes, s.private)
		if !acquired {
			break
		}
		s.cached = min(cached*b.rates.BlockTokens, len(s.tokens)-1)
		s.prefill = len(s.tokens) - s.cached
		b.queue = b.queue[1:]
		b.running = append(b.running, s)
		started = append(started, s)
	}
	return started
}

func (b *batcher) prefill() int {
	left := b.rates.PrefillChunk
	for _, s := range b.running {
		taken := min(left, s.prefill)
		s.prefill -= taken
		left -= taken
	}
	return b.rates.PrefillChunk - left
}

// remove takes a sequence out, whether it ended or its caller went away, and
// reports whether it had been started.
func (b *batcher) remove(s *sequence, output []uint64) (started bool) {
	for i, queued := range b.queue {
		if queued == s {
			b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
			return false
		}
	}
	for i, running := range b.running {
		if running == s {
			b.running = append(b.running[:i:i], b.running[i+1:]...)
			tokenHashes := chain(nil, append(slices.Clip(s.tokens), output...), b.rates.BlockTokens)
			b.cache.release(s.hashes, s.private, tokenHashes)
			return true
		}
	}
	return false
}
