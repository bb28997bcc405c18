package modelserver

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func smallRates() Rates {
	return Rates{
		PrefillTokensPerSecond: 1000, StepMicros: 1000, SequenceMicros: 100, PrefillChunk: 8,
		MaxBatch: 2, MaxQueue: 2, BlockTokens: 4, Blocks: 16,
	}
}

func words(count int, first uint64) []uint64 {
	tokens := make([]uint64, count)
	for i := range tokens {
		tokens[i] = first + uint64(i)
	}
	return tokens
}

// finish steps a batch until the sequence has produced all its tokens.
func finish(t *testing.T, b *batcher, s *sequence) (steps int, took time.Duration) {
	t.Helper()
	for ; s.produced < s.maxTokens; steps++ {
		if steps > 1000 {
			t.Fatal("the batch makes no progress")
		}
		planned := b.next()
		took += planned.took
		for _, decoded := range planned.decoded {
			decoded.produced++
		}
	}
	b.remove(s, words(s.maxTokens, 900))
	return steps, took
}

func TestPrefillIsChunkedAndTimed(t *testing.T) {
	b := newBatcher(smallRates())
	s := &sequence{tokens: words(12, 1), maxTokens: 3}
	if !b.submit(s) {
		t.Fatal("rejected")
	}
	steps, took := finish(t, b, s)
	// 8 tokens of the prompt in the first step, 4 and a token in the second, one token in each of the last two.
	if want := 12*time.Millisecond + 4*time.Millisecond + 3*100*time.Microsecond; steps != 4 || took != want {
		t.Fatalf("%d steps in %s, want 4 in %s", steps, took, want)
	}
}

func TestPrefixIsReusedAfterItsSequenceEnded(t *testing.T) {
	b := newBatcher(smallRates())
	first := &sequence{tokens: words(8, 1), maxTokens: 4}
	b.submit(first)
	finish(t, b, first)
	// The next turn sends the complete text so far (8 + 4 tokens) and something new.
	next := &sequence{tokens: append(append(words(8, 1), words(4, 900)...), words(4, 50)...), maxTokens: 1}
	other := &sequence{tokens: words(8, 500), maxTokens: 1}
	b.submit(next)
	b.submit(other)
	b.next()
	if next.cached != 12 || other.cached != 0 {
		t.Fatalf("cached %d and %d, want 12 and 0", next.cached, other.cached)
	}
}

func TestQueueIsBounded(t *testing.T) {
	b := newBatcher(smallRates())
	for i := range 2 {
		if !b.submit(&sequence{tokens: words(4, uint64(i)), maxTokens: 1}) {
			t.Fatal("rejected with capacity in the queue")
		}
	}
	if b.submit(&sequence{tokens: words(4, 9), maxTokens: 1}) {
		t.Fatal("accepted into a full queue")
	}
}

func TestLeastRecentlyUsedBlocksAreEvicted(t *testing.T) {
	c := newBlockCache(4)
	use := func(hashes ...uint64) int {
		cached, acquired := c.acquire(hashes, 0)
		if !acquired {
			t.Fatal("no capacity")
		}
		c.release(hashes, 0, hashes)
		return cached
	}
	use(1, 2)
	use(3, 4)
	use(1, 2)
	use(5, 6)
	if use(1, 2) != 2 {
		t.Fatal("the blocks used last were evicted")
	}
	if use(3, 4) != 0 {
		t.Fatal("the blocks used first were not evicted")
	}
}

// TestCacheStaysWithinItsBounds compares the counts of the cache with a plain model under any order of use.
func TestCacheStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newBlockCache(rapid.IntRange(1, 12).Draw(t, "total"))
		type held struct {
			hashes  []uint64
			private int
		}
		var holders []held
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(holders) > 0 && rapid.Bool().Draw(t, "release") {
				i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
				c.release(holders[i].hashes, holders[i].private, append(slices.Clip(holders[i].hashes), 100+uint64(i)))
				holders = append(holders[:i], holders[i+1:]...)
			} else {
				length := rapid.IntRange(0, 5).Draw(t, "length")
				branch := rapid.Uint64Range(0, 3).Draw(t, "branch")
				next := held{private: rapid.IntRange(0, 3).Draw(t, "private")}
				for i := range length {
					next.hashes = append(next.hashes, branch*10+uint64(i))
				}
				if _, ok := c.acquire(next.hashes, next.private); ok {
					holders = append(holders, next)
				}
			}
			distinct := map[uint64]bool{}
			private := 0
			for _, holder := range holders {
				private += holder.private
				for _, hash := range holder.hashes {
					distinct[hash] = true
				}
			}
			if c.used() != len(distinct)+private {
				t.Fatalf("%d blocks used, want %d", c.used(), len(distinct)+private)
			}
			if c.private+len(c.blocks) > c.total {
				t.Fatalf("%d blocks of %d", c.private+len(c.blocks), c.total)
			}
		}
	})
}
