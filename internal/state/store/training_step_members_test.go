package store

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/register"
	"github.com/rosestand/rosestand/internal/state/store/hashtree"
	"github.com/rosestand/rosestand/internal/state/store/placement"
)

// memberGroup owns shard 0 with so many programs, each tenth of step 17, each eleventh of step 18.
func memberGroup(t testing.TB, programs int) (*group, *placement.Topology, []string) {
	table := newShardTable(0)
	table.view.Role, table.view.Epoch = register.RoleActive, 1
	var members []string
	for number := range programs {
		record := &protocol.ProgramRecord{
			Program: fmt.Sprintf("program-%d", number), Tenant: "tenant", FinishedPacked: make([]byte, 800),
			Sessions: []*protocol.SessionRecord{{Session: "session", Epoch: 1, Owner: "front-1"}},
		}
		switch {
		case number%10 == 0:
			record.TrainingStep = &protocol.TrainingStepMembership{Step: "17", WeightVersion: 4}
			members = append(members, record.GetProgram())
		case number%11 == 0:
			record.TrainingStep = &protocol.TrainingStepMembership{Step: "18", WeightVersion: 5}
		}
		value, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		table.entry(registerKey{program: record.GetProgram()}).state.Value = value
		// A call's register holds a record of another kind, whatever its bytes look like.
		table.entry(registerKey{program: record.GetProgram(), call: "call"}).state.Value = value
	}
	slices.Sort(members)
	g := &group{shards: map[uint32]*shardTable{0: table}}
	return g, &placement.Topology{Epoch: 1, Shards: []register.ShardView{table.view}}, members
}

// scanMembers gives all members and how many pages that took.
func scanMembers(g *group, current *placement.Topology, step string) (found []string, pages int) {
	for page := (membersPage{}); !page.last; pages++ {
		page = g.membersFrom(0, step, page.next, current)
		found = append(found, page.programs...)
	}
	return found, pages
}

func TestMembersAreFoundInPagesOfBoundedWork(t *testing.T) {
	const programs = 5 * membersPageRegisters
	g, current, members := memberGroup(t, programs)
	found, pages := scanMembers(g, current, "17")
	slices.Sort(found)
	if !slices.Equal(found, members) {
		t.Errorf("found %d of %d members", len(found), len(members))
	}
	if least := 2 * programs / (membersPageRegisters + hashtree.MaxLeafEntries); pages < least {
		t.Errorf("%d registers were looked at in %d pages", 2*programs, pages)
	}
	if found, _ := scanMembers(g, current, "19"); len(found) > 0 {
		t.Errorf("a step without programs has %v", found)
	}
}

func TestTheWordOfAReplicaUnderAnotherPlacementDoesNotCount(t *testing.T) {
	g, current, _ := memberGroup(t, 10)
	table := g.shards[0]
	if !g.membersFrom(0, "17", 0, current).counts {
		t.Error("the word of an active replica does not count")
	}
	table.view.Epoch = 2
	if g.membersFrom(0, "17", 0, current).counts {
		t.Error("the word of a replica under another epoch counts")
	}
	table.view.Epoch, table.view.Role = 1, register.RoleRebuilding
	if g.membersFrom(0, "17", 0, current).counts {
		t.Error("the word of a replica that is rebuilt counts")
	}
}

func TestOnlyWholeRecordsOfTheStepAreMembers(t *testing.T) {
	value, err := proto.Marshal(&protocol.ProgramRecord{
		Program: "p", Sessions: []*protocol.SessionRecord{{Session: "s"}}, KeepingMillis: 5,
		TrainingStep: &protocol.TrainingStepMembership{Step: "17", WeightVersion: 4},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !isMember(value, "17") || isMember(value, "1") || isMember(value, "") || isMember(nil, "17") {
		t.Error("the step of a record was misread")
	}
	for size := range value {
		if isMember(value[:size], "17") {
			t.Errorf("a record cut to %d of %d bytes is a member", size, len(value))
		}
	}
}

// BenchmarkListMembers reports how long one page of the scan holds a group up, and how long a register takes.
func BenchmarkListMembers(b *testing.B) {
	g, current, _ := memberGroup(b, 65_000)
	pages := 0
	for b.Loop() {
		_, read := scanMembers(g, current, "17")
		pages += read
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(pages), "ns/page")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/130_000, "ns/register")
}
