package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// engines are idle servers of 24 slots in one zone.
func engines(count int) []schedule.Candidate {
	candidates := make([]schedule.Candidate, count)
	for at := range candidates {
		candidates[at] = schedule.Candidate{ID: fmt.Sprintf("s%02d", at), Zone: "z0", Capacity: 24, Weight: 1}
	}
	return candidates
}

// turn is a request with a prompt of 3,000 tokens in zone z0.
func turn(program string) schedule.Request {
	return schedule.Request{
		Algorithm: protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, Zone: "z0", AffinityKey: program,
		PromptTokens: 3000, OutputTokens: 34, Profile: schedule.Profile{PromptRate: 30},
	}
}

// call is a request without a prompt.
func call(program string) schedule.Request {
	return schedule.Request{Algorithm: protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, Zone: "z0", AffinityKey: program}
}

// homeOf is the index of the server that takes a program when all are alike.
func homeOf(t *testing.T, request schedule.Request, candidates []schedule.Candidate) int {
	t.Helper()
	chosen := schedule.Choose(request, candidates, nil).Chosen
	for at := range candidates {
		if candidates[at].ID == chosen {
			return at
		}
	}
	t.Fatalf("chose %q", chosen)
	return 0
}

func expectChosen(t *testing.T, request schedule.Request, candidates []schedule.Candidate, want int) {
	t.Helper()
	if got := schedule.Choose(request, candidates, nil).Chosen; got != candidates[want].ID {
		t.Fatalf("chose %s, want %s", got, candidates[want].ID)
	}
}

func TestTurnGoesWhereMostOfItsPromptIsCached(t *testing.T) {
	candidates := engines(4)
	home := homeOf(t, turn("p"), candidates)
	other := (home + 1) % 4
	candidates[other].CachedTokens = 2900
	expectChosen(t, turn("p"), candidates, other)
}

func TestTurnsOfAProgramMeetAtOneServerFromAnyFrontNode(t *testing.T) {
	seen := map[int]int{}
	for program := range 100 {
		request := turn(fmt.Sprint("program", program))
		home := homeOf(t, request, engines(4))
		request.Front, request.Sequence = "another", 7
		expectChosen(t, request, engines(4), home)
		seen[home]++
	}
	for server, programs := range seen {
		if programs < 12 {
			t.Fatalf("server %d is home of %d of 100 programs", server, programs)
		}
	}
}

func TestTurnLeavesItsHomeWhenPromptsWaitThere(t *testing.T) {
	candidates := engines(4)
	home := homeOf(t, turn("p"), candidates)
	candidates[home].PendingTokens = 500
	expectChosen(t, turn("p"), candidates, home)
	candidates[home].PendingTokens = 5000
	if chosen := homeOf(t, turn("p"), candidates); chosen == home {
		t.Fatal("waits behind 5,000 tokens although other servers are idle")
	}
}

func TestRepeatedPrefillCostsMoreThanAWaitOfTheSameLength(t *testing.T) {
	candidates := engines(2)
	for at := range candidates {
		candidates[at].CachedTokens = 3000
		other := 1 - at
		candidates[at].PendingTokens = 3000
		candidates[other].CachedTokens = 0
		expectChosen(t, turn("p"), candidates, at)
		candidates[at].PendingTokens = 12_000
		expectChosen(t, turn("p"), candidates, other)
		candidates = engines(2)
	}
}

func TestSessionStaysWithItsLastServerAmongEquals(t *testing.T) {
	for last := range 4 {
		candidates := engines(4)
		request := turn("p")
		home := homeOf(t, request, candidates)
		// Nothing is known to be cached anywhere, and the home is busy.
		candidates[home].PendingTokens = 3000
		request.LastServer = candidates[last].ID
		if last != home {
			expectChosen(t, request, candidates, last)
		}
	}
}

func TestEmptyServerIsNotAvoidedForSharedPrefixes(t *testing.T) {
	candidates := engines(4)
	request := turn("p")
	home := homeOf(t, request, candidates)
	for at := range candidates {
		candidates[at].PendingTokens, candidates[at].CachedTokens = 1000, 2000
	}
	candidates[home].PendingTokens, candidates[home].CachedTokens = 0, 0
	if chosen := homeOf(t, request, candidates); chosen == home {
		t.Fatal("reads 2,000 tokens anew that are the program's own")
	}
	request.SharedTokens = 2000
	expectChosen(t, request, candidates, home)
}

func TestProgramMovesToAnotherHomeWhileItsOwnIsSlow(t *testing.T) {
	for program := range 20 {
		request := turn(fmt.Sprint("program", program))
		candidates := engines(4)
		home := homeOf(t, request, candidates)
		candidates[home].Slowness = 2.5
		next := homeOf(t, request, candidates)
		request.AffinityKey = fmt.Sprint("program", program)
		// The next home holds what a home holds: a little waiting does not drive the program on.
		candidates[next].PendingTokens = 600
		expectChosen(t, request, candidates, next)
	}
}

func TestSlowServerIsAvoided(t *testing.T) {
	candidates := engines(4)
	home := homeOf(t, turn("p"), candidates)
	candidates[home].Slowness = 6
	if chosen := homeOf(t, turn("p"), candidates); chosen == home {
		t.Fatal("went to the slow server")
	}
	candidates[home].CachedTokens = 3000
	expectChosen(t, turn("p"), candidates, home)
	candidates[home].Slowness = 16
	candidates[home].PendingTokens = 1000
	if chosen := homeOf(t, turn("p"), candidates); chosen == home {
		t.Fatal("waits for a slow server's queue although the prompt is prefilled elsewhere in less time")
	}
}

func TestServerWithoutAFreeSlotComesLast(t *testing.T) {
	candidates := engines(3)
	for at := range candidates {
		candidates[at].InFlight = 23
	}
	home := homeOf(t, turn("p"), candidates)
	candidates[home].InFlight = 24
	candidates[home].CachedTokens = 3000
	decision := schedule.Choose(turn("p"), candidates, nil)
	if decision.Chosen == candidates[home].ID || reason(decision, candidates[home].ID) != schedule.ReasonFull {
		t.Fatalf("%+v", decision)
	}
	for at := range candidates {
		candidates[at].InFlight = 30
	}
	expectChosen(t, turn("p"), candidates, home)
}

func TestTurnDoesNotGoWhereItWouldPreemptOthers(t *testing.T) {
	candidates := engines(3)
	for at := range candidates {
		candidates[at].CacheTokens = 220_000
	}
	home := homeOf(t, turn("p"), candidates)
	candidates[home].CachedTokens = 2500
	candidates[home].UsedTokens = 218_000
	if chosen := homeOf(t, turn("p"), candidates); chosen == home {
		t.Fatal("went to a server whose memory is taken")
	}
}

func TestOwnZoneOnlyDecidesBetweenNearEquals(t *testing.T) {
	elsewhere := 0
	for program := range 50 {
		candidates := engines(4)
		candidates[0].Zone, candidates[1].Zone = "z1", "z1"
		request := call(fmt.Sprint("program", program))
		chosen := homeOf(t, request, candidates)
		if chosen < 2 {
			elsewhere++
		}
		// A free server elsewhere is better than a busy one here.
		candidates[2].InFlight, candidates[3].InFlight = 20, 20
		if chosen := homeOf(t, request, candidates); chosen > 1 {
			t.Fatalf("%d is busy", chosen)
		}
	}
	if elsewhere == 0 {
		t.Fatal("no call left its zone although all servers are alike")
	}
	candidates := engines(2)
	home := homeOf(t, turn("p"), candidates)
	candidates[home].Zone = "z1"
	candidates[1-home].PendingTokens = 100
	candidates[home].CachedTokens = 200
	// A program's home is in the own zone while that costs a turn little more than another zone does.
	expectChosen(t, turn("p"), candidates, 1-home)
	candidates[1-home].PendingTokens = 3000
	expectChosen(t, turn("p"), candidates, home)
	// With the home busy, the next in the order gives way to one of the own zone.
	candidates = engines(3)
	candidates[homeOf(t, turn("p"), candidates)].PendingTokens = 50_000
	next := homeOf(t, turn("p"), candidates)
	candidates[next].Zone = "z1"
	if chosen := homeOf(t, turn("p"), candidates); chosen == next {
		t.Fatal("left the zone although a server like it is in it")
	}
}

func TestCallAvoidsReportedRequestsOfOthersUntilTheyDecay(t *testing.T) {
	avoided, returned := 0, 0
	for program := range 50 {
		candidates := engines(3)
		request := call(fmt.Sprint("program", program))
		first := homeOf(t, request, candidates)
		busy := &candidates[first]
		busy.Running, busy.InFlightAtReport, busy.ReportAge = 6, 1, time.Millisecond
		if homeOf(t, request, candidates) != first {
			avoided++
		}
		busy.ReportAge = 1900 * time.Millisecond
		if homeOf(t, request, candidates) == first {
			returned++
		}
		// What this front node had there at the time of the report says nothing of others.
		busy.Running, busy.InFlightAtReport, busy.ReportAge = 6, 6, time.Millisecond
		expectChosen(t, request, candidates, first)
	}
	if avoided < 40 || returned < 40 {
		t.Fatalf("of 50 programs %d went elsewhere at once, and %d came back when the report was old", avoided, returned)
	}
}

func TestSubsetIsThreeQuartersOfTheOwnZone(t *testing.T) {
	for _, one := range []struct {
		here, elsewhere int
		zone            string
		wantHere        int
	}{
		{here: 30, elsewhere: 30, zone: "z0", wantHere: 12},
		{here: 5, elsewhere: 30, zone: "z0", wantHere: 5},
		{here: 30, elsewhere: 2, zone: "z0", wantHere: 14},
		{here: 0, elsewhere: 30, zone: "z0", wantHere: 0},
	} {
		group := engines(one.here + one.elsewhere)
		for at := one.here; at < len(group); at++ {
			group[at].Zone = fmt.Sprint("z", at%3+1)
		}
		here := 0
		subset := schedule.Subset("front", one.zone, 16, group)
		for _, candidate := range subset {
			if candidate.Zone == one.zone {
				here++
			}
		}
		if len(subset) != 16 || here != one.wantHere {
			t.Errorf(
				"of %d here and %d elsewhere: %d, of them %d here, want 16 and %d", one.here, one.elsewhere, len(subset), here,
				one.wantHere,
			)
		}
		other := schedule.Subset("other", one.zone, 16, group)
		if slices.EqualFunc(subset, other, func(a, b schedule.Candidate) bool { return a.ID == b.ID }) {
			t.Error("two front nodes use the same servers")
		}
	}
}

func TestAmongFullServersTheShortestQueueIsChosen(t *testing.T) {
	candidates := engines(3)
	for at := range candidates {
		candidates[at].InFlight, candidates[at].CachedTokens = 100, 3000
	}
	home := homeOf(t, turn("p"), candidates)
	other := (home + 1) % 3
	candidates[other].InFlight = 25
	expectChosen(t, turn("p"), candidates, other)
}

func TestWaitingRequestsOfOthersCountWhileTheReportIsFresh(t *testing.T) {
	candidates := engines(3)
	home := homeOf(t, turn("p"), candidates)
	candidates[home].Queued = 8
	candidates[home].ReportAge = 50 * time.Millisecond
	if chosen := homeOf(t, turn("p"), candidates); chosen == home {
		t.Fatal("went to a server that has eight prompts to prefill")
	}
	candidates[home].ReportAge = 1900 * time.Millisecond
	expectChosen(t, turn("p"), candidates, home)
	candidates[home].ReportAge, candidates[home].WaitingAtReport = 50*time.Millisecond, 8
	expectChosen(t, turn("p"), candidates, home)
}

func TestCallsSpreadByTheSpeedOfServers(t *testing.T) {
	candidates := engines(4)
	candidates[0].Slowness = 4
	seen := map[int]int{}
	for program := range 2000 {
		seen[homeOf(t, call(fmt.Sprint("program", program)), candidates)]++
	}
	if seen[0] > 60 || seen[0] == 0 {
		t.Fatalf("the slow server took %d of 2,000 calls", seen[0])
	}
	for at := 1; at < 4; at++ {
		if seen[at] < 550 {
			t.Fatalf("server %d took %d of 2,000 calls", at, seen[at])
		}
	}
}

func TestConcurrentCallsAreSpread(t *testing.T) {
	candidates := engines(4)
	used := map[int]bool{}
	for range 3 {
		chosen := homeOf(t, call("p"), candidates)
		candidates[chosen].InFlight++
		used[chosen] = true
	}
	if len(used) != 3 {
		t.Fatalf("three calls at %d servers", len(used))
	}
}

func TestNoRequestGoesToAFullServerWhileAnotherHasAFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := engines(rapid.IntRange(1, 8).Draw(t, "count"))
		free := map[string]bool{}
		for at := range candidates {
			candidate := &candidates[at]
			candidate.Capacity = uint32(rapid.IntRange(1, 6).Draw(t, "capacity"))
			candidate.InFlight = uint32(rapid.IntRange(0, 8).Draw(t, "in flight"))
			candidate.Running = uint32(rapid.IntRange(0, 8).Draw(t, "running"))
			candidate.PendingTokens = uint64(rapid.IntRange(0, 50_000).Draw(t, "pending"))
			candidate.CachedTokens = uint64(rapid.IntRange(0, 5000).Draw(t, "cached"))
			candidate.Slowness = rapid.Float64Range(0, 16).Draw(t, "slowness")
			free[candidate.ID] = max(candidate.InFlight, candidate.Running) < candidate.Capacity
		}
		request := turn(rapid.String().Draw(t, "program"))
		request.PromptTokens = uint64(rapid.IntRange(0, 4000).Draw(t, "prompt"))
		chosen := schedule.Choose(request, candidates, nil).Chosen
		for id, isFree := range free {
			if isFree && !free[chosen] {
				t.Fatalf("chose the full %s although %s is free", chosen, id)
			}
		}
	})
}

// BenchmarkChoose places a turn among 72 servers.
func BenchmarkChoose(b *testing.B) {
	candidates := engines(72)
	request := turn("p")
	request.SubsetSize = 72
	for b.Loop() {
		schedule.Choose(request, candidates, nil)
	}
}
