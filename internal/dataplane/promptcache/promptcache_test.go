package promptcache_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
)

var start = time.Unix(1000, 0)

// prompt makes a prompt of parts of a hundred tokens each.
func prompt(ids ...string) promptcache.Prompt {
	chain := promptcache.NewChain("model", len(ids))
	for _, id := range ids {
		chain.Add(id, 100)
	}
	return chain.Prompt()
}

func expectCached(t *testing.T, model *promptcache.Model, server string, prompt promptcache.Prompt, want uint64) {
	t.Helper()
	if got := model.Cached(server, prompt); got != want {
		t.Fatalf("%s keeps %d tokens of the prompt, want %d", server, got, want)
	}
}

func TestPartsAreKnownByAllThatStandsBeforeThem(t *testing.T) {
	model := promptcache.New()
	model.Sent("s1", prompt("shared", "question", "more"), start)
	expectCached(t, model, "s1", prompt("shared", "question", "more", "next"), 300)
	expectCached(t, model, "s1", prompt("shared", "other", "more"), 100)
	expectCached(t, model, "s1", prompt("question", "shared"), 0)
	expectCached(t, model, "s2", prompt("shared"), 0)
	other := promptcache.NewChain("other model", 1)
	other.Add("shared", 100)
	expectCached(t, model, "s1", other.Prompt(), 0)
}

func TestTheLongestUnusedPartsGiveWay(t *testing.T) {
	model := promptcache.New()
	model.Resize("s1", 400)
	model.Sent("s1", prompt("a", "a1"), start)
	model.Sent("s1", prompt("b", "b1"), start)
	model.Sent("s1", prompt("a"), start)
	model.Sent("s1", prompt("c"), start)
	expectCached(t, model, "s1", prompt("a"), 100)
	expectCached(t, model, "s1", prompt("a", "a1"), 100)
	expectCached(t, model, "s1", prompt("b", "b1"), 200)
	model.Resize("s1", 200)
	expectCached(t, model, "s1", prompt("b", "b1"), 0)
	expectCached(t, model, "s1", prompt("a"), 100)
	expectCached(t, model, "s1", prompt("c"), 100)
}

func TestAPartNeverOutlivesOneBeforeIt(t *testing.T) {
	model := promptcache.New()
	model.Resize("s1", 300)
	model.Sent("s1", prompt("a", "a1", "a2", "a3"), start)
	expectCached(t, model, "s1", prompt("a", "a1", "a2", "a3"), 300)
}

func TestPartsThatAreNotSharedStandForThoseOfTheOtherFrontNodes(t *testing.T) {
	model := promptcache.New()
	model.SetFronts(10)
	model.Resize("s1", 2500)
	model.Sent("s1", prompt("shared", "a"), start)
	model.Sent("s1", prompt("shared", "b"), start)
	// Now the first part is known to be shared and counts once.
	model.Sent("s1", prompt("shared", "c"), start)
	expectCached(t, model, "s1", prompt("shared", "c"), 200)
	expectCached(t, model, "s1", prompt("shared", "b"), 200)
	expectCached(t, model, "s1", prompt("shared", "a"), 100)
}

func TestPartsAreSharedOnceTwoPromptsGoOnDifferently(t *testing.T) {
	model := promptcache.New()
	model.Sent("s1", prompt("shared", "a"), start)
	model.Sent("s1", prompt("shared", "a", "a2"), start)
	if shared := model.Shared(prompt("shared", "a", "a2")); shared != 0 {
		t.Fatalf("%d tokens of one session's prompt count as shared", shared)
	}
	model.Sent("s2", prompt("shared", "b"), start)
	if shared := model.Shared(prompt("shared", "c")); shared != 100 {
		t.Fatalf("%d tokens shared", shared)
	}
}

func TestAServerThatEndedIsForgotten(t *testing.T) {
	model := promptcache.New()
	model.Sent("s1", prompt("a"), start)
	model.Sent("s2", prompt("a"), start)
	model.Forget("s1")
	model.Forget("never known")
	expectCached(t, model, "s1", prompt("a"), 0)
	if holders := model.Holders(prompt("a").First()); holders != 1 {
		t.Fatalf("%d servers keep the part", holders)
	}
	model.Retain(func(server string) bool { return server == "s1" })
	expectCached(t, model, "s2", prompt("a"), 0)
	if holders := model.Holders(prompt("a").First()); holders != 0 {
		t.Fatalf("%d servers keep the part", holders)
	}
}

func TestDigestsTellPeersWhereSharedPartsAreKept(t *testing.T) {
	here, there := promptcache.New(), promptcache.New()
	there.Resize("s1", 1000)
	here.Sent("s1", prompt("shared", "a"), start)
	here.Sent("s1", prompt("shared", "b"), start)
	here.Sent("s2", prompt("shared", "c"), start)
	digest := here.Digest(start)
	if len(digest.Prefixes) != 1 || len(digest.Servers) != 2 {
		t.Fatalf("a digest names only what several prompts share: %+v", digest)
	}
	there.Merge(digest)
	expectCached(t, there, "s1", prompt("shared", "d"), 100)
	// A server that the peer's view does not have stays unknown.
	expectCached(t, there, "s2", prompt("shared", "d"), 0)
}

func TestWhatWasLearnedFromAPeerIsNotToldOn(t *testing.T) {
	first, second := promptcache.New(), promptcache.New()
	second.Resize("s1", 1000)
	first.Sent("s1", prompt("shared", "a"), start)
	first.Sent("s1", prompt("shared", "b"), start)
	second.Merge(first.Digest(start))
	if digest := second.Digest(start); len(digest.Prefixes) != 0 {
		t.Fatalf("told on: %+v", digest)
	}
	second.Sent("s2", prompt("shared", "c"), start)
	if digest := second.Digest(start); len(digest.Prefixes) != 1 || len(digest.Servers) != 1 || digest.Servers[0] != "s2" {
		t.Fatalf("not just the own sends are told: %+v", digest)
	}
}

func TestADigestIsBoundedAndNamesTheMostRecent(t *testing.T) {
	model := promptcache.New()
	for at := range 50 {
		now := start.Add(time.Duration(at) * time.Second)
		model.Sent("s1", prompt(strconv.Itoa(at), "a"), now)
		model.Sent("s1", prompt(strconv.Itoa(at), "b"), now)
	}
	digest := model.Digest(start)
	if len(digest.Prefixes) != promptcache.DigestSize || digest.Prefixes[0].Prefix != prompt("49").First() {
		t.Fatalf("%d prefixes, first %x", len(digest.Prefixes), digest.Prefixes[0].Prefix)
	}
	if late := model.Digest(start.Add(45 * time.Second)); len(late.Prefixes) != 5 {
		t.Fatalf("%d prefixes of the last five seconds", len(late.Prefixes))
	}
}

func TestABrokenDigestDoesNoHarm(t *testing.T) {
	model := promptcache.New()
	model.Resize("s1", 1000)
	model.Merge(promptcache.Digest{
		Servers: []string{"s1"},
		Prefixes: []promptcache.DigestPrefix{
			{Prefix: 1, Parent: 2, Tokens: 10, Servers: []uint32{0, 7}},
			{Prefix: 2, Parent: 1, Tokens: 10, Servers: []uint32{0}},
		},
	})
	circle := promptcache.Prompt{{Prefix: 1, Tokens: 10}, {Prefix: 2, Tokens: 10}, {Prefix: 1, Tokens: 10}}
	model.Sent("s1", circle, start)
	model.Digest(start)
}

func TestADigestThatIsTooLongIsCut(t *testing.T) {
	model := promptcache.New()
	model.Resize("s1", 100_000)
	long := promptcache.Digest{Servers: []string{"s1"}}
	for at := range uint64(2 * promptcache.DigestSize) {
		long.Prefixes = append(long.Prefixes, promptcache.DigestPrefix{Prefix: at + 1, Tokens: 1, Servers: []uint32{0}})
	}
	model.Merge(long)
	last := promptcache.Prompt{{Prefix: promptcache.DigestSize, Tokens: 1}}
	beyond := promptcache.Prompt{{Prefix: promptcache.DigestSize + 1, Tokens: 1}}
	expectCached(t, model, "s1", last, 1)
	expectCached(t, model, "s1", beyond, 0)
}

func TestLookingAPromptUpAllocatesNothing(t *testing.T) {
	model := promptcache.New()
	known := prompt("shared", "a", "b", "c")
	model.Sent("s1", known, start)
	if allocations := testing.AllocsPerRun(100, func() { model.Cached("s1", known) }); allocations != 0 {
		t.Fatalf("%v allocations", allocations)
	}
}

// TestTheModelAgreesWithAPlainList compares with a list of prefixes, most recently used first.
func TestTheModelAgreesWithAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := promptcache.New()
		const room = 10
		model.Resize("s1", room*100)
		var list []uint64
		for range rapid.IntRange(1, 60).Draw(t, "sends") {
			ids := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 5).Draw(t, "parts")
			sent := prompt(ids...)
			if got, want := model.Cached("s1", sent), cachedIn(list, sent); got != want {
				t.Fatalf("%v: %d tokens cached, want %d", ids, got, want)
			}
			model.Sent("s1", sent, start)
			list = useIn(list, sent)
			list = list[:min(len(list), room)]
		}
	})
}

func cachedIn(list []uint64, prompt promptcache.Prompt) uint64 {
	cached := uint64(0)
	for _, part := range prompt {
		found := false
		for _, kept := range list {
			found = found || kept == part.Prefix
		}
		if !found {
			break
		}
		cached += uint64(part.Tokens)
	}
	return cached
}

func useIn(list []uint64, prompt promptcache.Prompt) []uint64 {
	var used []uint64
	for _, part := range prompt {
		used = append(used, part.Prefix)
	}
	for _, kept := range list {
		again := false
		for _, part := range prompt {
			again = again || part.Prefix == kept
		}
		if !again {
			used = append(used, kept)
		}
	}
	return used
}
