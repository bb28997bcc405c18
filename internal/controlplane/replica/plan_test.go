package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// planned describes one member of a table: its name, zone, vote, silence in seconds and lag.
type plannedMember struct {
	name, zone          string
	voter               bool
	sinceContactSeconds int
	lag                 uint64
}

func TestPlanChange(t *testing.T) {
	const last = 1000
	a, b, c := plannedMember{name: "a", zone: "1", voter: true}, plannedMember{name: "b", zone: "2", voter: true}, plannedMember{name: "c", zone: "3", voter: true}
	deadC := plannedMember{name: "c", zone: "3", voter: true, sinceContactSeconds: 11}
	cases := []struct {
		name    string
		members []plannedMember
		want    string
	}{
		{"nothing to do", []plannedMember{a, b, c}, ""},
		{"a founder alone keeps itself", []plannedMember{a}, ""},
		{"too few voters", []plannedMember{a, {name: "d", zone: "1"}}, "promote d"},
		{"a learner that lags waits", []plannedMember{a, {name: "d", zone: "1", lag: 500}}, ""},
		{"a silent learner waits", []plannedMember{a, {name: "d", zone: "1", sinceContactSeconds: 3}}, ""},
		{"a learner that was not heard for a moment waits", []plannedMember{a, {name: "d", zone: "1", sinceContactSeconds: 1}}, ""},
		{"a zone without a voter goes first", []plannedMember{a, b, {name: "d", zone: "1"}, {name: "e", zone: "3"}}, "promote e"},
		{"standbys stay when there are voters enough", []plannedMember{a, b, c, {name: "d", zone: "3"}}, ""},
		{"a silent voter is waited for", []plannedMember{a, b, {name: "c", zone: "3", voter: true, sinceContactSeconds: 9}, {name: "d", zone: "3"}}, ""},
		{"a lost voter without standby stays", []plannedMember{a, b, deadC}, ""},
		{"the standby is added first", []plannedMember{a, b, deadC, {name: "d", zone: "3"}}, "promote d"},
		{"then the lost voter is removed", []plannedMember{a, b, deadC, {name: "d", zone: "3", voter: true}}, "remove lost voter c"},
		{"but not without a live majority of the rest", []plannedMember{a, {name: "b", voter: true, sinceContactSeconds: 5}, deadC, {name: "d", voter: true, sinceContactSeconds: 5}}, ""},
		{"a replaced machine need not be waited for", []plannedMember{a, b, {name: "c", zone: "3", voter: true, sinceContactSeconds: 3}, {name: "c", zone: "3"}}, "promote c"},
		{"a replaced voter goes when its successor votes", []plannedMember{a, b, {name: "c", zone: "3", voter: true, sinceContactSeconds: 3}, {name: "c", zone: "3", voter: true}}, "remove lost voter c"},
		{"a replaced learner goes", []plannedMember{a, b, c, {name: "d", sinceContactSeconds: 3}, {name: "d"}}, "remove former d"},
		{"a standby that was silent for very long goes", []plannedMember{a, b, c, {name: "d", sinceContactSeconds: 101}}, "remove gone standby d"},
		{"but stays for as long as it may come back", []plannedMember{a, b, c, {name: "d", sinceContactSeconds: 99}}, ""},
		{"a live member is never taken for replaced", []plannedMember{a, b, c, {name: "d"}, {name: "d"}}, ""},
		{"one too many is demoted, from a shared zone", []plannedMember{a, b, c, {name: "d", zone: "2", voter: true}}, "demote d"},
		{"nobody is demoted while one is silent", []plannedMember{a, b, {name: "c", zone: "3", voter: true, sinceContactSeconds: 3}, {name: "d", zone: "2", voter: true}}, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			view := &membershipView{
				configuration: &protocol.CoreConfiguration{}, self: 1, lastIndex: last, now: now,
				contacts: map[uint64]consensus.PeerStatus{}, targetVoters: 3, aliveWithin: 2 * time.Second, replaceAfter: 10 * time.Second,
				promotableWithin: time.Second,
			}
			for position, member := range tt.members {
				id := uint64(position + 1)
				view.configuration.Members = append(view.configuration.Members, &protocol.CoreMember{
					Id: id, Name: member.name, Zone: member.zone, Voter: member.voter,
				})
				if id != view.self {
					view.contacts[id] = consensus.PeerStatus{ID: id, Match: last - member.lag, LastContact: now.Add(-time.Duration(member.sinceContactSeconds) * time.Second)}
				}
			}
			reason := ""
			if next := planChange(view); next != nil {
				reason = next.reason
			}
			if reason != tt.want {
				t.Errorf("planned %q, want %q", reason, tt.want)
			}
		})
	}
}

func TestAStandbyTakesThePlaceOfAVoterBeforeItIsRemoved(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	viewOf := func(voters, learners int) *membershipView {
		view := &membershipView{
			configuration: &protocol.CoreConfiguration{}, self: 1, lastIndex: 10, now: now,
			contacts: map[uint64]consensus.PeerStatus{}, targetVoters: 3, aliveWithin: 2 * time.Second, replaceAfter: 10 * time.Second,
			promotableWithin: time.Second,
		}
		for id := uint64(1); id <= uint64(voters+learners); id++ {
			view.configuration.Members = append(view.configuration.Members, &protocol.CoreMember{
				Id: id, Name: fmt.Sprint("member-", id), Voter: id <= uint64(voters),
			})
			view.contacts[id] = consensus.PeerStatus{ID: id, Match: 10, LastContact: now}
		}
		return view
	}
	cases := []struct {
		name             string
		voters, learners int
		remove           int
		want             string
	}{
		{"a standby is at hand", 3, 1, 2, "promote member-4"},
		{"no standby is at hand", 3, 0, 2, ""},
		{"there are voters to spare", 4, 1, 2, ""},
		{"a learner is removed", 3, 2, 5, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			view := viewOf(tt.voters, tt.learners)
			reason := ""
			if first := promotionBeforeRemoval(view, view.configuration.GetMembers()[tt.remove-1]); first != nil {
				reason = first.reason
			}
			if reason != tt.want {
				t.Errorf("planned %q first, want %q", reason, tt.want)
			}
		})
	}
}

func TestRecoveredLog(t *testing.T) {
	entry := func(index, term uint64) *protocol.CoreRecord {
		return entryRecords([]*protocol.Entry{{Index: index, Term: term}})[0]
	}
	mark := func(index, term uint64) *protocol.CoreRecord {
		return compactedRecord(&protocol.SnapshotMetadata{Index: index, Term: term})
	}
	cases := map[string]struct {
		records []*protocol.CoreRecord
		want    string
	}{
		"plain":                                 {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1)}, "0: 1/1 2/1"},
		"a newer entry replaces and cuts":       {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 2)}, "0: 1/1 2/2"},
		"a copy replaces nothing":               {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 1)}, "0: 1/1 2/1 3/1"},
		"entries after a snapshot stay":         {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), mark(2, 1)}, "2: 3/1"},
		"entries of another history go":         {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), mark(2, 3)}, "2:"},
		"a snapshot beyond the log":             {[]*protocol.CoreRecord{entry(1, 1), mark(7, 3), entry(8, 3)}, "7: 8/3"},
		"copies in a segment begun but not cut": {[]*protocol.CoreRecord{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1), mark(2, 1), entry(3, 1)}, "2: 3/1 4/1"},
		"entries below the base are old":        {[]*protocol.CoreRecord{mark(5, 2), entry(4, 2), entry(6, 2)}, "5: 6/2"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			state := &recoveredState{}
			for _, record := range tt.records {
				if err := state.applyRecord(record); err != nil {
					t.Fatal(err)
				}
			}
			got := fmt.Sprintf("%d:", state.baseIndex)
			var gotSb149 strings.Builder
			for _, kept := range state.entries {
				gotSb149.WriteString(fmt.Sprintf(" %d/%d", kept.GetIndex(), kept.GetTerm()))
			}
			got += gotSb149.String()
			if got != tt.want {
				t.Errorf("recovered %q, want %q", got, tt.want)
			}
		})
	}
	state := &recoveredState{}
	if err := state.applyRecord(entry(2, 1)); err == nil {
		t.Error("a gap is taken for a log")
	}
}

// standing describes one member of a table that has regions: its region, zone and vote.
type regionalMember struct {
	region, zone string
	voter        bool
}

func regionalView(members []regionalMember, targetVoters int) *membershipView {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	view := &membershipView{
		configuration: &protocol.CoreConfiguration{}, self: 1, lastIndex: 10, now: now,
		contacts: map[uint64]consensus.PeerStatus{}, targetVoters: targetVoters, aliveWithin: 2 * time.Second, replaceAfter: 10 * time.Second,
		promotableWithin: time.Second,
	}
	for position, member := range members {
		id := uint64(position + 1)
		view.configuration.Members = append(view.configuration.Members, &protocol.CoreMember{
			Id: id, Name: fmt.Sprint("m", id), Region: member.region, Zone: member.zone, Voter: member.voter,
		})
		view.contacts[id] = consensus.PeerStatus{ID: id, Match: 10, LastContact: now}
	}
	return view
}

func TestPlanChangeOverRegions(t *testing.T) {
	cases := []struct {
		name    string
		target  int
		members []regionalMember
		want    string
	}{
		{"a region without a voter goes before a zone without one", 3, []regionalMember{{"r1", "a", true}, {"r2", "c", true}, {"r1", "b", false}, {"r3", "e", false}}, "promote m4"},
		{"also when its zone has the name of a taken one", 3, []regionalMember{{"r1", "a", true}, {"r2", "c", true}, {"r1", "b", false}, {"r3", "a", false}}, "promote m4"},
		{"then the region with fewest voters", 5, []regionalMember{{"r1", "a", true}, {"r1", "b", true}, {"r2", "c", true}, {"r1", "g", false}, {"r2", "c", false}}, "promote m5"},
		{"then a zone without one", 4, []regionalMember{{"r1", "a", true}, {"r2", "c", true}, {"r1", "a", false}, {"r1", "b", false}}, "promote m4"},
		{"empty regions leave it to the zones", 3, []regionalMember{{"", "a", true}, {"", "b", true}, {"", "a", false}, {"", "c", false}}, "promote m4"},
		{"one too many goes from the region with most", 3, []regionalMember{{"r1", "a", true}, {"r2", "c", true}, {"r2", "d", true}, {"r3", "c", true}}, "demote m3"},
		{"of that region from the zone with most", 4, []regionalMember{{"r2", "d", true}, {"r1", "a", true}, {"r1", "a", true}, {"r1", "b", true}, {"r3", "e", true}}, "demote m3"},
		{"never the leader", 2, []regionalMember{{"r1", "a", true}, {"r1", "b", true}, {"r2", "c", true}}, "demote m2"},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			reason := ""
			if next := planChange(regionalView(tt.members, tt.target)); next != nil {
				reason = next.reason
			}
			if reason != tt.want {
				t.Errorf("planned %q, want %q", reason, tt.want)
			}
		})
	}
}

func TestFiveVotersOverThreeRegionsLeaveAMajorityWithoutAnyRegion(t *testing.T) {
	members := []regionalMember{
		{"r1", "a", true}, {"r1", "b", false}, {"r1", "a", false}, {"r2", "c", false}, {"r2", "d", false}, {"r3", "e", false}, {"r3", "f", false},
	}
	view := regionalView(members, 5)
	for next := planChange(view); next != nil; next = planChange(view) {
		view.configuration = next.configuration
	}
	regions, zones := map[string]int{}, map[string]int{}
	for _, voter := range view.voters() {
		regions[voter.GetRegion()]++
		zones[voter.GetZone()]++
	}
	if len(view.voters()) != 5 || len(regions) != 3 || len(zones) != 5 || max(regions["r1"], regions["r2"], regions["r3"]) != 2 {
		t.Fatalf("voters by region %v, by zone %v", regions, zones)
	}
}
