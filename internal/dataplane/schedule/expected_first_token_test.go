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

// idleServers returns idle servers of 24 slots in one zone.
func idleServers(count int) []schedule.Candidate {
	candidates := make([]schedule.Candidate, count)
	for i := range candidates {
		candidates[i] = schedule.Candidate{ID: fmt.Sprintf("s%02d", i), Zone: "z0", Capacity: 24, Weight: 1}
	}
	return candidates
}

// turn returns a request with a prompt of 3,000 tokens from zone z0.
func turn(program string) schedule.Request {
	return schedule.Request{
		Algorithm: protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, Zone: "z0", AffinityKey: program,
		PromptTokens: 3000, OutputTokens: 34, Profile: schedule.Profile{PromptRate: 30},
	}
}

// call returns a request without a prompt from zone z0.
func call(program string) schedule.Request {
	return schedule.Request{Algorithm: protocol.SchedulingAlgorithm_EXPECTED_FIRST_TOKEN, Zone: "z0", AffinityKey: program}
}

// chosenIndex returns the index of the server that is chosen for a request: a program's home if all servers are alike.
func chosenIndex(t *testing.T, request schedule.Request, candidates []schedule.Candidate) int {
	t.Helper()
	chosen := schedule.Choose(request, candidates, nil).Chosen
	for i := range candidates {
		if candidates[i].ID == chosen {
			return i
		}
	}
	t.Fatalf("chose %q, which is not a candidate", chosen)
	return 0
}

func expectChosen(t *testing.T, request schedule.Request, candidates []schedule.Candidate, want int) {
	t.Helper()
	if got := schedule.Choose(request, candidates, nil).Chosen; got != candidates[want].ID {
		t.Fatalf("chose %s, want %s", got, candidates[want].ID)
	}
}

func TestTurnGoesWhereMostOfItsPromptIsCached(t *testing.T) {
	candidates := idleServers(4)
	home := chosenIndex(t, turn("p"), candidates)
	other := (home + 1) % 4
	candidates[other].CachedTokens = 2900
	expectChosen(t, turn("p"), candidates, other)
}

func TestTurnsOfAProgramGoToOneServerFromAnyFrontNode(t *testing.T) {
	seen := map[int]int{}
	for program := range 100 {
		request := turn(fmt.Sprint("program", program))
		home := chosenIndex(t, request, idleServers(4))
		request.Front, request.Sequence = "another", 7
		expectChosen(t, request, idleServers(4), home)
		seen[home]++
	}
	for server, programs := range seen {
		if programs < 12 {
			t.Fatalf("server %d is home of %d of 100 programs, want at least 12", server, programs)
		}
	}
}

func TestTurnLeavesItsHomeWhenPromptsWaitThere(t *testing.T) {
	candidates := idleServers(4)
	home := chosenIndex(t, turn("p"), candidates)
	candidates[home].PendingTokens = 500
	expectChosen(t, turn("p"), candidates, home)
	candidates[home].PendingTokens = 5000
	if chosen := chosenIndex(t, turn("p"), candidates); chosen == home {
		t.Fatal("chose the home with 5,000 pending tokens although other servers are idle")
	}
}

func TestRepeatedPrefillCostsMoreThanAWaitOfTheSameLength(t *testing.T) {
	candidates := idleServers(2)
	for i := range candidates {
		candidates[i].CachedTokens = 3000
		other := 1 - i
		candidates[i].PendingTokens = 3000
		candidates[other].CachedTokens = 0
		expectChosen(t, turn("p"), candidates, i)
		candidates[i].PendingTokens = 12_000
		expectChosen(t, turn("p"), candidates, other)
		candidates = idleServers(2)
	}
}

func TestSessionStaysWithItsLastServerAmongEquals(t *testing.T) {
	for last := range 4 {
		candidates := idleServers(4)
		request := turn("p")
		home := chosenIndex(t, request, candidates)
		// No server has any of the prompt cached, and the home is busy.
		candidates[home].PendingTokens = 3000
		request.LastServer = candidates[last].ID
		if last != home {
			expectChosen(t, request, candidates, last)
		}
	}
}

func TestEmptyServerIsNotAvoidedForSharedPrefixes(t *testing.T) {
	candidates := idleServers(4)
	request := turn("p")
	home := chosenIndex(t, request, candidates)
	for i := range candidates {
		candidates[i].PendingTokens, candidates[i].CachedTokens = 1000, 2000
	}
	candidates[home].PendingTokens, candidates[home].CachedTokens = 0, 0
	if chosen := chosenIndex(t, request, candidates); chosen == home {
		t.Fatal("chose the home, which would prefill 2,000 tokens again that only this program uses")
	}
	request.SharedTokens = 2000
	expectChosen(t, request, candidates, home)
}

func TestProgramMovesToAnotherHomeWhileItsOwnIsSlow(t *testing.T) {
	for program := range 20 {
		request := turn(fmt.Sprint("program", program))
		candidates := idleServers(4)
		home := chosenIndex(t, request, candidates)
		candidates[home].Slowness = 2.5
		next := chosenIndex(t, request, candidates)
		request.AffinityKey = fmt.Sprint("program", program)
		// The new home is preferred like the old one: the program stays there despite a short queue.
		candidates[next].PendingTokens = 600
		expectChosen(t, request, candidates, next)
	}
}

func TestSlowServerIsAvoided(t *testing.T) {
	candidates := idleServers(4)
	home := chosenIndex(t, turn("p"), candidates)
	candidates[home].Slowness = 6
	if chosen := chosenIndex(t, turn("p"), candidates); chosen == home {
		t.Fatal("chose the slow server")
	}
	candidates[home].CachedTokens = 3000
	expectChosen(t, turn("p"), candidates, home)
	candidates[home].Slowness = 16
	candidates[home].PendingTokens = 1000
	if chosen := chosenIndex(t, turn("p"), candidates); chosen == home {
		t.Fatal("chose the slow server with a queue although another prefills the prompt in less time")
	}
}

func TestServerWithoutAFreeSlotComesLast(t *testing.T) {
	candidates := idleServers(3)
	for i := range candidates {
		candidates[i].InFlight = 23
	}
	home := chosenIndex(t, turn("p"), candidates)
	candidates[home].InFlight = 24
	candidates[home].CachedTokens = 3000
	decision := schedule.Choose(turn("p"), candidates, nil)
	if decision.Chosen == candidates[home].ID || reason(decision, candidates[home].ID) != schedule.ReasonFull {
		t.Fatalf("%s has no free slot, but the decision is %+v", candidates[home].ID, decision)
	}
	for i := range candidates {
		candidates[i].InFlight = 30
	}
	expectChosen(t, turn("p"), candidates, home)
}

func TestTurnDoesNotGoWhereItWouldPreemptOthers(t *testing.T) {
	candidates := idleServers(3)
	for i := range candidates {
		candidates[i].CacheTokens = 220_000
	}
	home := chosenIndex(t, turn("p"), candidates)
	candidates[home].CachedTokens = 2500
	candidates[home].UsedTokens = 218_000
	if chosen := chosenIndex(t, turn("p"), candidates); chosen == home {
		t.Fatal("chose a server without free memory for the request")
	}
}

func TestOwnZoneDecidesOnlyBetweenServersOfNearlyEqualCost(t *testing.T) {
	elsewhere := 0
	for program := range 50 {
		candidates := idleServers(4)
		candidates[0].Zone, candidates[1].Zone = "z1", "z1"
		request := call(fmt.Sprint("program", program))
		chosen := chosenIndex(t, request, candidates)
		if chosen < 2 {
			elsewhere++
		}
		// An idle server in another zone is better than a busy one in the own zone.
		candidates[2].InFlight, candidates[3].InFlight = 20, 20
		if chosen := chosenIndex(t, request, candidates); chosen > 1 {
			t.Fatalf("chose the busy server %d", chosen)
		}
	}
	if elsewhere == 0 {
		t.Fatal("no call of 50 programs left its zone although all servers are alike")
	}
	candidates := idleServers(2)
	home := chosenIndex(t, turn("p"), candidates)
	candidates[home].Zone = "z1"
	candidates[1-home].PendingTokens = 100
	candidates[home].CachedTokens = 200
	// A program's home is in the own zone while that costs a turn only little more than another zone.
	expectChosen(t, turn("p"), candidates, 1-home)
	candidates[1-home].PendingTokens = 3000
	expectChosen(t, turn("p"), candidates, home)
	// With the home busy, a server in the own zone is preferred to the next in the order in another zone.
	candidates = idleServers(3)
	candidates[chosenIndex(t, turn("p"), candidates)].PendingTokens = 50_000
	next := chosenIndex(t, turn("p"), candidates)
	candidates[next].Zone = "z1"
	if chosen := chosenIndex(t, turn("p"), candidates); chosen == next {
		t.Fatal("left the own zone although an equal server is in it")
	}
}

func TestCallAvoidsReportedRequestsOfOthersUntilTheyDecay(t *testing.T) {
	avoided, returned := 0, 0
	for program := range 50 {
		candidates := idleServers(3)
		request := call(fmt.Sprint("program", program))
		first := chosenIndex(t, request, candidates)
		busy := &candidates[first]
		busy.Running, busy.InFlightAtReport, busy.ReportAge = 6, 1, time.Millisecond
		if chosenIndex(t, request, candidates) != first {
			avoided++
		}
		busy.ReportAge = 1900 * time.Millisecond
		if chosenIndex(t, request, candidates) == first {
			returned++
		}
		// The front node's own requests at the time of the report do not count as those of others.
		busy.Running, busy.InFlightAtReport, busy.ReportAge = 6, 6, time.Millisecond
		expectChosen(t, request, candidates, first)
	}
	if avoided < 40 || returned < 40 {
		t.Fatalf("of 50 programs %d avoided the busy server and %d returned when the report was old; want at least 40 each",
			avoided, returned)
	}
}

func TestSubsetTakesUpToThreeQuartersFromTheOwnZone(t *testing.T) {
	for _, tt := range []struct {
		ownZone, otherZones int
		zone                string
		wantOwnZone         int
	}{
		{ownZone: 30, otherZones: 30, zone: "z0", wantOwnZone: 12},
		{ownZone: 5, otherZones: 30, zone: "z0", wantOwnZone: 5},
		{ownZone: 30, otherZones: 2, zone: "z0", wantOwnZone: 14},
		{ownZone: 0, otherZones: 30, zone: "z0", wantOwnZone: 0},
	} {
		group := idleServers(tt.ownZone + tt.otherZones)
		for i := tt.ownZone; i < len(group); i++ {
			group[i].Zone = fmt.Sprint("z", i%3+1)
		}
		inOwnZone := 0
		subset := schedule.Subset("front", tt.zone, 16, group)
		for _, candidate := range subset {
			if candidate.Zone == tt.zone {
				inOwnZone++
			}
		}
		if len(subset) != 16 || inOwnZone != tt.wantOwnZone {
			t.Errorf(
				"%d servers in the own zone and %d in others: subset of %d with %d in the own zone, want 16 with %d",
				tt.ownZone, tt.otherZones, len(subset), inOwnZone, tt.wantOwnZone,
			)
		}
		other := schedule.Subset("other", tt.zone, 16, group)
		if slices.EqualFunc(subset, other, func(a, b schedule.Candidate) bool { return a.ID == b.ID }) {
			t.Errorf("two front nodes have the same subset of %d servers in the own zone and %d in others",
				tt.ownZone, tt.otherZones)
		}
	}
}

func TestAmongFullServersTheShortestQueueIsChosen(t *testing.T) {
	candidates := idleServers(3)
	for i := range candidates {
		candidates[i].InFlight, candidates[i].CachedTokens = 100, 3000
	}
	home := chosenIndex(t, turn("p"), candidates)
	other := (home + 1) % 3
	candidates[other].InFlight = 25
	expectChosen(t, turn("p"), candidates, other)
}

func TestWaitingRequestsOfOthersCountWhileTheReportIsFresh(t *testing.T) {
	candidates := idleServers(3)
	home := chosenIndex(t, turn("p"), candidates)
	candidates[home].Queued = 8
	candidates[home].ReportAge = 50 * time.Millisecond
	if chosen := chosenIndex(t, turn("p"), candidates); chosen == home {
		t.Fatal("chose a server with eight prompts to prefill")
	}
	candidates[home].ReportAge = 1900 * time.Millisecond
	expectChosen(t, turn("p"), candidates, home)
	candidates[home].ReportAge, candidates[home].WaitingAtReport = 50*time.Millisecond, 8
	expectChosen(t, turn("p"), candidates, home)
}

func TestCallsSpreadByTheSpeedOfServers(t *testing.T) {
	candidates := idleServers(4)
	candidates[0].Slowness = 4
	seen := map[int]int{}
	for program := range 2000 {
		seen[chosenIndex(t, call(fmt.Sprint("program", program)), candidates)]++
	}
	if seen[0] > 60 || seen[0] == 0 {
		t.Fatalf("the slow server got %d of 2,000 calls, want 1 to 60", seen[0])
	}
	for i := 1; i < 4; i++ {
		if seen[i] < 550 {
			t.Fatalf("server %d got %d of 2,000 calls, want at least 550", i, seen[i])
		}
	}
}

func TestConcurrentCallsAreSpread(t *testing.T) {
	candidates := idleServers(4)
	used := map[int]bool{}
	for range 3 {
		chosen := chosenIndex(t, call("p"), candidates)
		candidates[chosen].InFlight++
		used[chosen] = true
	}
	if len(used) != 3 {
		t.Fatalf("three concurrent calls went to %d servers, want 3", len(used))
	}
}

func TestNoRequestGoesToAFullServerWhileAnotherHasAFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := idleServers(rapid.IntRange(1, 8).Draw(t, "count"))
		free := map[string]bool{}
		for i := range candidates {
			candidate := &candidates[i]
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

// BenchmarkChoose chooses one of 72 servers for a turn.
func BenchmarkChoose(b *testing.B) {
	candidates := idleServers(72)
	request := turn("p")
	request.SubsetSize = 72
	for b.Loop() {
		schedule.Choose(request, candidates, nil)
	}
}
