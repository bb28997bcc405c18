package promptcache_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
)

var start = time.Unix(1000, 0)

// prompt returns a prompt with segments of a hundred tokens each.
func prompt(ids ...string) promptcache.Prompt {
	chain := promptcache.NewPromptBuilder("model", len(ids))
	for _, id := range ids {
		chain.Add(id, 100)
	}
	return chain.Prompt()
}

func expectCached(t *testing.T, model *promptcache.Model, server string, prompt promptcache.Prompt, want uint64) {
	t.Helper()
	if got := model.Cached(server, prompt); got != want {
		t.Fatalf("%s has cached %d tokens of the prompt, want %d", server, got, want)
	}
}

func TestSegmentsMatchOnlyWithTheirCompletePrefix(t *testing.T) {
	model := promptcache.New()
	model.RecordSent("s1", prompt("shared", "question", "more"), start)
	expectCached(t, model, "s1", prompt("shared", "question", "more", "next"), 300)
	expectCached(t, model, "s1", prompt("shared", "other", "more"), 100)
	expectCached(t, model, "s1", prompt("question", "shared"), 0)
	expectCached(t, model, "s2", prompt("shared"), 0)
	other := promptcache.NewPromptBuilder("other model", 1)
	other.Add("shared", 100)
	expectCached(t, model, "s1", other.Prompt(), 0)
}

func TestLeastRecentlyUsedSegmentsAreEvicted(t *testing.T) {
	model := promptcache.New()
	model.SetCapacity("s1", 400)
	model.RecordSent("s1", prompt("a", "a1"), start)
	model.RecordSent("s1", prompt("b", "b1"), start)
	model.RecordSent("s1", prompt("a"), start)
	model.RecordSent("s1", prompt("c"), start)
	expectCached(t, model, "s1", prompt("a"), 100)
	expectCached(t, model, "s1", prompt("a", "a1"), 100)
	expectCached(t, model, "s1", prompt("b", "b1"), 200)
	model.SetCapacity("s1", 200)
	expectCached(t, model, "s1", prompt("b", "b1"), 0)
	expectCached(t, model, "s1", prompt("a"), 100)
	expectCached(t, model, "s1", prompt("c"), 100)
}

func TestLaterSegmentsOfAPromptAreEvictedFirst(t *testing.T) {
	model := promptcache.New()
	model.SetCapacity("s1", 300)
	model.RecordSent("s1", prompt("a", "a1", "a2", "a3"), start)
	expectCached(t, model, "s1", prompt("a", "a1", "a2", "a3"), 300)
}

func TestUnsharedSegmentsCountOnceForEachFrontNode(t *testing.T) {
	model := promptcache.New()
	model.SetFronts(10)
	model.SetCapacity("s1", 2500)
	model.RecordSent("s1", prompt("shared", "a"), start)
	model.RecordSent("s1", prompt("shared", "b"), start)
	// Two prompts have shared the first segment, so it counts only once now.
	model.RecordSent("s1", prompt("shared", "c"), start)
	expectCached(t, model, "s1", prompt("shared", "c"), 200)
	expectCached(t, model, "s1", prompt("shared", "b"), 200)
	expectCached(t, model, "s1", prompt("shared", "a"), 100)
}

func TestSegmentsAreSharedOnceTwoPromptsExtendThemDifferently(t *testing.T) {
	model := promptcache.New()
	model.RecordSent("s1", prompt("shared", "a"), start)
	model.RecordSent("s1", prompt("shared", "a", "a2"), start)
	if shared := model.Shared(prompt("shared", "a", "a2")); shared != 0 {
		t.Fatalf("%d tokens of one session's prompts count as shared, want 0", shared)
	}
	model.RecordSent("s2", prompt("shared", "b"), start)
	if shared := model.Shared(prompt("shared", "c")); shared != 100 {
		t.Fatalf("%d tokens count as shared, want 100", shared)
	}
}

func TestRemovedServerHasNoSegments(t *testing.T) {
	model := promptcache.New()
	model.RecordSent("s1", prompt("a"), start)
	model.RecordSent("s2", prompt("a"), start)
	model.Remove("s1")
	model.Remove("never known")
	expectCached(t, model, "s1", prompt("a"), 0)
	if servers := model.ServersWith(prompt("a").First()); servers != 1 {
		t.Fatalf("%d servers have the segment cached, want 1", servers)
	}
	model.Retain(func(server string) bool { return server == "s1" })
	expectCached(t, model, "s2", prompt("a"), 0)
	if servers := model.ServersWith(prompt("a").First()); servers != 0 {
		t.Fatalf("%d servers have the segment cached, want none", servers)
	}
}

func TestDigestsReportWhereSharedSegmentsAreCached(t *testing.T) {
	here, there := promptcache.New(), promptcache.New()
	there.SetCapacity("s1", 1000)
	here.RecordSent("s1", prompt("shared", "a"), start)
	here.RecordSent("s1", prompt("shared", "b"), start)
	here.RecordSent("s2", prompt("shared", "c"), start)
	digest := here.Digest(start)
	if len(digest.Prefixes) != 1 || len(digest.Servers) != 2 {
		t.Fatalf("digest %+v, want only the prefix that several prompts share, at two servers", digest)
	}
	there.Merge(digest)
	expectCached(t, there, "s1", prompt("shared", "d"), 100)
	// The digest does not add servers that the merging model does not have.
	expectCached(t, there, "s2", prompt("shared", "d"), 0)
}

func TestMergedEntriesAreNotInOwnDigests(t *testing.T) {
	first, second := promptcache.New(), promptcache.New()
	second.SetCapacity("s1", 1000)
	first.RecordSent("s1", prompt("shared", "a"), start)
	first.RecordSent("s1", prompt("shared", "b"), start)
	second.Merge(first.Digest(start))
	if digest := second.Digest(start); len(digest.Prefixes) != 0 {
		t.Fatalf("digest %+v contains prefixes that were only merged", digest)
	}
	second.RecordSent("s2", prompt("shared", "c"), start)
	if digest := second.Digest(start); len(digest.Prefixes) != 1 || len(digest.Servers) != 1 || digest.Servers[0] != "s2" {
		t.Fatalf("digest %+v, want only the prefix that the model itself sent to s2", digest)
	}
}

func TestDigestIsBoundedAndListsTheMostRecentPrefixes(t *testing.T) {
	model := promptcache.New()
	for i := range 50 {
		now := start.Add(time.Duration(i) * time.Second)
		model.RecordSent("s1", prompt(strconv.Itoa(i), "a"), now)
		model.RecordSent("s1", prompt(strconv.Itoa(i), "b"), now)
	}
	digest := model.Digest(start)
	if len(digest.Prefixes) != promptcache.MaxDigestPrefixes || digest.Prefixes[0].Prefix != prompt("49").First() {
		t.Fatalf("%d prefixes, the first %x; want %d, the first %x", len(digest.Prefixes), digest.Prefixes[0].Prefix,
			promptcache.MaxDigestPrefixes, prompt("49").First())
	}
	if late := model.Digest(start.Add(45 * time.Second)); len(late.Prefixes) != 5 {
		t.Fatalf("%d prefixes of the last five seconds, want 5", len(late.Prefixes))
	}
}

func TestMalformedDigestIsIgnored(t *testing.T) {
	model := promptcache.New()
	model.SetCapacity("s1", 1000)
	model.Merge(promptcache.Digest{
		Servers: []string{"s1"},
		Prefixes: []promptcache.DigestPrefix{
			{Prefix: 1, Parent: 2, Tokens: 10, Servers: []uint32{0, 7}},
			{Prefix: 2, Parent: 1, Tokens: 10, Servers: []uint32{0}},
		},
	})
	cyclic := promptcache.Prompt{{Prefix: 1, Tokens: 10}, {Prefix: 2, Tokens: 10}, {Prefix: 1, Tokens: 10}}
	model.RecordSent("s1", cyclic, start)
	model.Digest(start)
}

func TestOverlongDigestIsTruncated(t *testing.T) {
	model := promptcache.New()
	model.SetCapacity("s1", 100_000)
	long := promptcache.Digest{Servers: []string{"s1"}}
	for i := range uint64(2 * promptcache.MaxDigestPrefixes) {
		long.Prefixes = append(long.Prefixes, promptcache.DigestPrefix{Prefix: i + 1, Tokens: 1, Servers: []uint32{0}})
	}
	model.Merge(long)
	last := promptcache.Prompt{{Prefix: promptcache.MaxDigestPrefixes, Tokens: 1}}
	beyond := promptcache.Prompt{{Prefix: promptcache.MaxDigestPrefixes + 1, Tokens: 1}}
	expectCached(t, model, "s1", last, 1)
	expectCached(t, model, "s1", beyond, 0)
}

func TestCachedDoesNotAllocate(t *testing.T) {
	model := promptcache.New()
	known := prompt("shared", "a", "b", "c")
	model.RecordSent("s1", known, start)
	if allocations := testing.AllocsPerRun(100, func() { model.Cached("s1", known) }); allocations != 0 {
		t.Fatalf("Cached made %v allocations, want none", allocations)
	}
}

// TestModelMatchesAReferenceList compares the model with a list of prefixes, most recently used first.
func TestModelMatchesAReferenceList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := promptcache.New()
		const capacity = 10
		model.SetCapacity("s1", capacity*100)
		var list []uint64
		for range rapid.IntRange(1, 60).Draw(t, "sends") {
			ids := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 5).Draw(t, "parts")
			sent := prompt(ids...)
			if got, want := model.Cached("s1", sent), cachedIn(list, sent); got != want {
				t.Fatalf("%v: %d tokens cached, want %d", ids, got, want)
			}
			model.RecordSent("s1", sent, start)
			list = useIn(list, sent)
			list = list[:min(len(list), capacity)]
		}
	})
}

// cachedIn returns the number of tokens of the prompt's longest prefix that the list has.
func cachedIn(list []uint64, prompt promptcache.Prompt) uint64 {
	cached := uint64(0)
	for _, segment := range prompt {
		isCached := false
		for _, cachedPrefix := range list {
			isCached = isCached || cachedPrefix == segment.Prefix
		}
		if !isCached {
			break
		}
		cached += uint64(segment.Tokens)
	}
	return cached
}

// useIn returns the list with the prefixes of the prompt moved to its front.
func useIn(list []uint64, prompt promptcache.Prompt) []uint64 {
	var used []uint64
	for _, segment := range prompt {
		used = append(used, segment.Prefix)
	}
	for _, cachedPrefix := range list {
		again := false
		for _, segment := range prompt {
			again = again || segment.Prefix == cachedPrefix
		}
		if !again {
			used = append(used, cachedPrefix)
		}
	}
	return used
}
