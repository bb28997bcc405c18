package shardtable

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/hashtree"
)

// newMemberTable returns a table of programs and the names of the members of step 17: every tenth
// program is a member of step 17, and of the others every eleventh one a member of step 18.
func newMemberTable(t testing.TB, programs int) (*Table, []string) {
	t.Helper()
	table := New(0)
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
		table.Register(Key{Program: record.GetProgram()}).State.Value = value
		// The register of a call contains another type of record, so it must not be a member even if its bytes match.
		table.Register(Key{Program: record.GetProgram(), Call: "call"}).State.Value = value
	}
	slices.Sort(members)
	return table, members
}

// scanMembers returns all members and the number of pages of the scan.
func scanMembers(table *Table, step string) (members []string, pages int) {
	for page := (MembersPage{}); !page.Last; pages++ {
		page = table.MembersFrom(step, page.Next)
		members = append(members, page.Programs...)
	}
	return members, pages
}

func TestMemberPagesScanABoundedNumberOfRegisters(t *testing.T) {
	const programs = 5 * membersPageRegisters
	table, wanted := newMemberTable(t, programs)
	members, pages := scanMembers(table, "17")
	slices.Sort(members)
	if !slices.Equal(members, wanted) {
		t.Errorf("the scan returned %d members of step 17 that differ from the %d wanted", len(members), len(wanted))
	}
	if minPages := 2 * programs / (membersPageRegisters + hashtree.MaxLeafEntries); pages < minPages {
		t.Errorf("%d registers were scanned in %d pages, want at least %d", 2*programs, pages, minPages)
	}
	if members, _ := scanMembers(table, "19"); len(members) > 0 {
		t.Errorf("step 19 without programs has members %v, want none", members)
	}
}

func TestOnlyCompleteRecordsOfTheStepAreMembers(t *testing.T) {
	value, err := proto.Marshal(&protocol.ProgramRecord{
		Program: "p", Sessions: []*protocol.SessionRecord{{Session: "s"}}, KeepingMillis: 5,
		TrainingStep: &protocol.TrainingStepMembership{Step: "17", WeightVersion: 4},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !isMember(value, "17") || isMember(value, "1") || isMember(value, "") || isMember(nil, "17") {
		t.Error("a record of step 17 must be a member of step 17 only, and an empty record of none")
	}
	for size := range value {
		if isMember(value[:size], "17") {
			t.Errorf("a record truncated to %d of %d bytes is a member, want none", size, len(value))
		}
	}
}

// BenchmarkListMembers reports how long one page of the scan blocks the owner, and the time per register.
func BenchmarkListMembers(b *testing.B) {
	table, _ := newMemberTable(b, 65_000)
	pages := 0
	for b.Loop() {
		_, read := scanMembers(table, "17")
		pages += read
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(pages), "ns/page")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/130_000, "ns/register")
}
