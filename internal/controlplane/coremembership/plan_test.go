package coremembership

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// testMember describes one member of a View.
type testMember struct {
	name, region, zone string
	voter              bool
	sinceContact       time.Duration
	// lag is the number of entries that the member lacks.
	lag uint64
}

// newView gives the members the ids from 1 on; the first one is the leader.
func newView(targetVoters int, members []testMember) *View {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	view := &View{
		Configuration: &protocol.CoreConfiguration{}, Self: 1, LastIndex: 1000, Now: now,
		Peers: map[uint64]consensus.PeerStatus{}, TargetVoters: targetVoters,
		AliveWithin: 2 * time.Second, ReplaceAfter: 10 * time.Second, PromotableWithin: time.Second,
	}
	for position, member := range members {
		id := uint64(position + 1)
		view.Configuration.Members = append(view.Configuration.Members, &protocol.CoreMember{
			Id: id, Name: member.name, Address: member.name + ":7001",
			Region: member.region, Zone: member.zone, Voter: member.voter,
		})
		if id != view.Self {
			view.Peers[id] = consensus.PeerStatus{
				ID: id, Match: view.LastIndex - member.lag, Voter: member.voter, LastContact: now.Add(-member.sinceContact),
			}
		}
	}
	return view
}

// checkReason compares the reason of a change; that of no change is empty.
func checkReason(t *testing.T, change *Change, want string) {
	t.Helper()
	got := ""
	if change != nil {
		got = change.Reason
	}
	if got != want {
		t.Errorf("planned %q, want %q", got, want)
	}
}

func TestPlan(t *testing.T) {
	voterIn := func(name, zone string, sinceContact time.Duration) testMember {
		return testMember{name: name, zone: zone, voter: true, sinceContact: sinceContact}
	}
	a, b, c := voterIn("a", "1", 0), voterIn("b", "2", 0), voterIn("c", "3", 0)
	replacedC, lostC := voterIn("c", "3", 3*time.Second), voterIn("c", "3", 11*time.Second)
	cases := []struct {
		name    string
		members []testMember
		want    string
	}{
		{"nothing to do", []testMember{a, b, c}, ""},
		{"a founder alone stays", []testMember{a}, ""},
		{"too few voters", []testMember{a, {name: "d", zone: "1"}}, "promote d"},
		{"a standby that lags is not promoted", []testMember{a, {name: "d", zone: "1", lag: 500}}, ""},
		{"nor is an unresponsive one", []testMember{a, {name: "d", zone: "1", sinceContact: 3 * time.Second}}, ""},
		{"nor one without contact for a moment", []testMember{a, {name: "d", zone: "1", sinceContact: time.Second}}, ""},
		{
			"a zone without a voter goes first",
			[]testMember{a, b, {name: "d", zone: "1"}, {name: "e", zone: "3"}},
			"promote e",
		},
		{"standbys stay while there are enough voters", []testMember{a, b, c, {name: "d", zone: "3"}}, ""},
		{
			"an unresponsive voter is not replaced yet",
			[]testMember{a, b, voterIn("c", "3", 9*time.Second), {name: "d", zone: "3"}},
			"",
		},
		{"a lost voter stays without a standby", []testMember{a, b, lostC}, ""},
		{"the standby is promoted first", []testMember{a, b, lostC, {name: "d", zone: "3"}}, "promote d"},
		{"then the lost voter is removed", []testMember{a, b, lostC, voterIn("d", "3", 0)}, "remove lost voter c"},
		{
			"but not without a live majority of the rest",
			[]testMember{a, voterIn("b", "", 5*time.Second), lostC, voterIn("d", "", 5*time.Second)},
			"",
		},
		{"a superseded voter is replaced at once", []testMember{a, b, replacedC, {name: "c", zone: "3"}}, "promote c"},
		{
			"a superseded voter is removed when its successor votes",
			[]testMember{a, b, replacedC, voterIn("c", "3", 0)},
			"remove lost voter c",
		},
		{
			"a superseded standby is removed",
			[]testMember{a, b, c, {name: "d", sinceContact: 3 * time.Second}, {name: "d"}},
			"remove superseded standby d",
		},
		{
			"a standby that is unresponsive for very long is removed",
			[]testMember{a, b, c, {name: "d", sinceContact: 101 * time.Second}},
			"remove unresponsive standby d",
		},
		{"but stays until then", []testMember{a, b, c, {name: "d", sinceContact: 99 * time.Second}}, ""},
		{"a live member is never superseded", []testMember{a, b, c, {name: "d"}, {name: "d"}}, ""},
		{"a surplus voter is demoted, from a shared zone", []testMember{a, b, c, voterIn("d", "2", 0)}, "demote d"},
		{"nobody is demoted while one is unresponsive", []testMember{a, b, replacedC, voterIn("d", "2", 0)}, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			checkReason(t, Plan(newView(3, tt.members)), tt.want)
		})
	}
}

func TestPlanOverRegions(t *testing.T) {
	voter := func(name, region, zone string) testMember {
		return testMember{name: name, region: region, zone: zone, voter: true}
	}
	standby := func(name, region, zone string) testMember {
		return testMember{name: name, region: region, zone: zone}
	}
	cases := []struct {
		name    string
		target  int
		members []testMember
		want    string
	}{
		{
			"a region without a voter goes before a zone without one", 3,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r2", "c"), standby("m3", "r1", "b"), standby("m4", "r3", "e")},
			"promote m4",
		},
		{
			"also when its zone has the name of one with a voter", 3,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r2", "c"), standby("m3", "r1", "b"), standby("m4", "r3", "a")},
			"promote m4",
		},
		{
			"then the region with the fewest voters", 5,
			[]testMember{
				voter("m1", "r1", "a"), voter("m2", "r1", "b"), voter("m3", "r2", "c"),
				standby("m4", "r1", "g"), standby("m5", "r2", "c"),
			},
			"promote m5",
		},
		{
			"then a zone without one", 4,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r2", "c"), standby("m3", "r1", "a"), standby("m4", "r1", "b")},
			"promote m4",
		},
		{
			"empty regions leave it to the zones", 3,
			[]testMember{voter("m1", "", "a"), voter("m2", "", "b"), standby("m3", "", "a"), standby("m4", "", "c")},
			"promote m4",
		},
		{
			"a surplus voter is of the region with the most", 3,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r2", "c"), voter("m3", "r2", "d"), voter("m4", "r3", "c")},
			"demote m3",
		},
		{
			"and there of the zone with the most", 4,
			[]testMember{
				voter("m1", "r2", "d"), voter("m2", "r1", "a"), voter("m3", "r1", "a"),
				voter("m4", "r1", "b"), voter("m5", "r3", "e"),
			},
			"demote m3",
		},
		{
			"but never the leader", 2,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r1", "b"), voter("m3", "r2", "c")},
			"demote m2",
		},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			checkReason(t, Plan(newView(tt.target, tt.members)), tt.want)
		})
	}
}

func TestFiveVotersOverThreeRegionsLeaveAMajorityWithoutAnyRegion(t *testing.T) {
	view := newView(5, []testMember{
		{name: "m1", region: "r1", zone: "a", voter: true},
		{name: "m2", region: "r1", zone: "b"},
		{name: "m3", region: "r1", zone: "a"},
		{name: "m4", region: "r2", zone: "c"},
		{name: "m5", region: "r2", zone: "d"},
		{name: "m6", region: "r3", zone: "e"},
		{name: "m7", region: "r3", zone: "f"},
	})
	for next := Plan(view); next != nil; next = Plan(view) {
		view.Configuration = next.Configuration
	}
	regions, zones := map[string]int{}, map[string]int{}
	for _, voter := range view.voters() {
		regions[voter.GetRegion()]++
		zones[voter.GetZone()]++
	}
	mostInRegion := max(regions["r1"], regions["r2"], regions["r3"])
	if len(view.voters()) != 5 || len(regions) != 3 || len(zones) != 5 || mostInRegion != 2 {
		t.Fatalf("voters by region %v, by zone %v", regions, zones)
	}
}
