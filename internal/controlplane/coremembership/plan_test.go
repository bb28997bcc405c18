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
	// lag is the number of log entries by which the member is behind the leader.
	lag uint64
}

// newView returns a view of a group with these members. Ids are assigned in order, starting at 1; member 1 is the
// leader.
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

// checkReason checks the reason of a change; want is empty if there must be no change.
func checkReason(t *testing.T, change *Change, want string) {
	t.Helper()
	got := ""
	if change != nil {
		got = change.Reason
	}
	if got != want {
		t.Errorf("change %q, want %q", got, want)
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
		{"enough live voters", []testMember{a, b, c}, ""},
		{"single voter without standbys", []testMember{a}, ""},
		{"too few voters, standby available", []testMember{a, {name: "d", zone: "1"}}, "promote d"},
		{"lagging standby is not promoted", []testMember{a, {name: "d", zone: "1", lag: 500}}, ""},
		{"unresponsive standby is not promoted", []testMember{a, {name: "d", zone: "1", sinceContact: 3 * time.Second}}, ""},
		{
			"standby without contact for 1 s is not promoted",
			[]testMember{a, {name: "d", zone: "1", sinceContact: time.Second}},
			"",
		},
		{
			"standby in a zone without a voter is promoted first",
			[]testMember{a, b, {name: "d", zone: "1"}, {name: "e", zone: "3"}},
			"promote e",
		},
		{"standby stays a standby while there are enough voters", []testMember{a, b, c, {name: "d", zone: "3"}}, ""},
		{
			"voter unresponsive for less than ReplaceAfter is not replaced",
			[]testMember{a, b, voterIn("c", "3", 9*time.Second), {name: "d", zone: "3"}},
			"",
		},
		{"lost voter is not removed without a standby", []testMember{a, b, lostC}, ""},
		{
			"standby is promoted before the lost voter is removed",
			[]testMember{a, b, lostC, {name: "d", zone: "3"}},
			"promote d",
		},
		{"lost voter is removed after the promotion", []testMember{a, b, lostC, voterIn("d", "3", 0)}, "remove lost voter c"},
		{
			"lost voter is not removed without a live majority of the others",
			[]testMember{a, voterIn("b", "", 5*time.Second), lostC, voterIn("d", "", 5*time.Second)},
			"",
		},
		{"superseded voter is replaced at once", []testMember{a, b, replacedC, {name: "c", zone: "3"}}, "promote c"},
		{
			"superseded voter is removed once its successor is a voter",
			[]testMember{a, b, replacedC, voterIn("c", "3", 0)},
			"remove lost voter c",
		},
		{
			"superseded standby is removed",
			[]testMember{a, b, c, {name: "d", sinceContact: 3 * time.Second}, {name: "d"}},
			"remove superseded standby d",
		},
		{
			"standby unresponsive for more than ten times ReplaceAfter is removed",
			[]testMember{a, b, c, {name: "d", sinceContact: 101 * time.Second}},
			"remove unresponsive standby d",
		},
		{
			"standby unresponsive for less than ten times ReplaceAfter stays",
			[]testMember{a, b, c, {name: "d", sinceContact: 99 * time.Second}},
			"",
		},
		{"live standby with the name of a later one stays", []testMember{a, b, c, {name: "d"}, {name: "d"}}, ""},
		{"surplus voter is demoted in the zone with the most", []testMember{a, b, c, voterIn("d", "2", 0)}, "demote d"},
		{"no voter is demoted while another is unresponsive", []testMember{a, b, replacedC, voterIn("d", "2", 0)}, ""},
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
			"region without a voter precedes zone without a voter", 3,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r2", "c"), standby("m3", "r1", "b"), standby("m4", "r3", "e")},
			"promote m4",
		},
		{
			"region without a voter, zone named like one with a voter in another region", 3,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r2", "c"), standby("m3", "r1", "b"), standby("m4", "r3", "a")},
			"promote m4",
		},
		{
			"region with the fewest voters", 5,
			[]testMember{
				voter("m1", "r1", "a"), voter("m2", "r1", "b"), voter("m3", "r2", "c"),
				standby("m4", "r1", "g"), standby("m5", "r2", "c"),
			},
			"promote m5",
		},
		{
			"zone without a voter within the region", 4,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r2", "c"), standby("m3", "r1", "a"), standby("m4", "r1", "b")},
			"promote m4",
		},
		{
			"without regions the zone decides", 3,
			[]testMember{voter("m1", "", "a"), voter("m2", "", "b"), standby("m3", "", "a"), standby("m4", "", "c")},
			"promote m4",
		},
		{
			"surplus voter is demoted in the region with the most voters", 3,
			[]testMember{voter("m1", "r1", "a"), voter("m2", "r2", "c"), voter("m3", "r2", "d"), voter("m4", "r3", "c")},
			"demote m3",
		},
		{
			"surplus voter is demoted in the zone with the most voters of that region", 4,
			[]testMember{
				voter("m1", "r2", "d"), voter("m2", "r1", "a"), voter("m3", "r1", "a"),
				voter("m4", "r1", "b"), voter("m5", "r3", "e"),
			},
			"demote m3",
		},
		{
			"leader is never demoted", 2,
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

func TestFiveVotersOverThreeRegionsKeepAMajorityAfterTheLossOfAnyRegion(t *testing.T) {
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
		t.Fatalf("voters by region %v and by zone %v; want 5 voters in 3 regions, at most 2 a region, each in its own zone",
			regions, zones)
	}
}
