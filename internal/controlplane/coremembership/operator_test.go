package coremembership

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// groupOf returns a view of a group whose first members are voters and the rest standbys, named after their ids. The
// first member is the leader.
func groupOf(voters, standbys int) *View {
	var members []testMember
	for id := 1; id <= voters+standbys; id++ {
		members = append(members, testMember{name: fmt.Sprint("member-", id), voter: id <= voters})
	}
	return newView(3, members)
}

func TestAStandbyIsPromotedBeforeAVoterIsRemoved(t *testing.T) {
	cases := []struct {
		name             string
		voters, standbys int
		remove           string
		wantStep         RemovalStep
		want             string
	}{
		{"voter, with a standby available", 3, 1, "member-2", PromoteFirst, "promote member-4"},
		{"voter, without a standby", 3, 0, "member-2", RemoveNow, "remove member-2"},
		{"surplus voter", 4, 1, "member-2", RemoveNow, "remove member-2"},
		{"standby", 3, 2, "member-5", RemoveNow, "remove member-5"},
		{"voter identified by its id", 3, 0, "2", RemoveNow, "remove member-2"},
		{"leader", 3, 1, "member-1", TransferFirst, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			step, change, err := Remove(groupOf(tt.voters, tt.standbys), tt.remove)
			if err != nil || step != tt.wantStep {
				t.Errorf("Remove(%q) = step %d, error %v; want step %d", tt.remove, step, err, tt.wantStep)
			}
			checkReason(t, change, tt.want)
		})
	}
}

func TestARemovedMemberIsAdmittedByAnOperatorOnly(t *testing.T) {
	view := groupOf(3, 1)
	removed := view.Configuration.GetMembers()[3]
	_, change, err := Remove(view, "member-4")
	if err != nil {
		t.Fatal(err)
	}
	view.Configuration = change.Configuration
	if step, _, err := Remove(view, "member-4"); err != nil || step != AlreadyRemoved {
		t.Errorf("second Remove(member-4) = step %d, error %v; want AlreadyRemoved (%d)", step, err, AlreadyRemoved)
	}
	var retired *MemberRetiredError
	if _, err := Admit(view, removed, false); !errors.As(err, &retired) {
		t.Errorf("Admit(member-4) without an operator: error %v, want a *MemberRetiredError", err)
	}
	change, err = Admit(view, removed, true)
	if err != nil {
		t.Fatal(err)
	}
	if members := change.Configuration.GetMembers(); len(members) != 4 || len(change.Configuration.GetRetired()) != 0 {
		t.Errorf("after Admit(member-4) by an operator: members %v, retired %v; want 4 members and none retired",
			members, change.Configuration.GetRetired())
	}
}

func TestAdmitRejectsInvalidMembers(t *testing.T) {
	valid := &protocol.CoreMember{Id: 9, Name: "member-9", Address: "member-9:7001"}
	edited := func(edit func(*protocol.CoreMember)) *protocol.CoreMember {
		member := proto.CloneOf(valid)
		edit(member)
		return member
	}
	var invalid *InvalidMemberError
	var inUse *MemberInUseError
	cases := []struct {
		name   string
		member *protocol.CoreMember
		want   any
	}{
		{"without an id", edited(func(m *protocol.CoreMember) { m.Id = 0 }), &invalid},
		{"without a name", edited(func(m *protocol.CoreMember) { m.Name = "" }), &invalid},
		{"without an address", edited(func(m *protocol.CoreMember) { m.Address = "" }), &invalid},
		{"with the name of a live member", edited(func(m *protocol.CoreMember) { m.Name = "member-2" }), &inUse},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := Admit(groupOf(3, 0), tt.member, true); !errors.As(err, tt.want) {
				t.Errorf("Admit(%v): error %v, want a %T", tt.member, err, tt.want)
			}
		})
	}
	view := groupOf(3, 0)
	if change, err := Admit(view, view.Configuration.GetMembers()[1], false); change != nil || err != nil {
		t.Errorf("Admit of a present member = %v, error %v; want no change", change, err)
	}
}

func TestTheVoterWithTheLongestLogIsTheTransferTarget(t *testing.T) {
	members := []testMember{
		{name: "a", voter: true},
		{name: "b", voter: true, lag: 5},
		{name: "c", voter: true, lag: 1},
		{name: "d", voter: true, sinceContact: 3 * time.Second},
		{name: "e"},
	}
	if target, err := TransferTarget(newView(3, members), ""); target != 3 || err != nil {
		t.Errorf("TransferTarget = %d, error %v; want 3", target, err)
	}
	var unsafe *UnsafeChangeError
	if _, err := TransferTarget(groupOf(1, 1), ""); !errors.As(err, &unsafe) {
		t.Errorf("TransferTarget without another voter: error %v, want an *UnsafeChangeError", err)
	}
	var unknown *MemberUnknownError
	if _, err := TransferTarget(groupOf(3, 0), "unknown"); !errors.As(err, &unknown) {
		t.Errorf("TransferTarget to an unknown member: error %v, want a *MemberUnknownError", err)
	}
}
