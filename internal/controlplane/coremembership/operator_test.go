package coremembership

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// groupOf has voters and then standbys, named after their ids; the first one leads.
func groupOf(voters, standbys int) *View {
	var members []testMember
	for id := 1; id <= voters+standbys; id++ {
		members = append(members, testMember{name: fmt.Sprint("member-", id), voter: id <= voters})
	}
	return newView(3, members)
}

func TestAStandbyTakesThePlaceOfAVoterBeforeItIsRemoved(t *testing.T) {
	cases := []struct {
		name             string
		voters, standbys int
		remove           string
		wantStep         RemovalStep
		want             string
	}{
		{"a standby is available", 3, 1, "member-2", PromoteFirst, "promote member-4"},
		{"no standby is available", 3, 0, "member-2", RemoveNow, "remove member-2"},
		{"there are surplus voters", 4, 1, "member-2", RemoveNow, "remove member-2"},
		{"a standby is removed", 3, 2, "member-5", RemoveNow, "remove member-5"},
		{"the member is named by its id", 3, 0, "2", RemoveNow, "remove member-2"},
		{"the leader is removed", 3, 1, "member-1", TransferFirst, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			step, change, err := Remove(groupOf(tt.voters, tt.standbys), tt.remove)
			if err != nil || step != tt.wantStep {
				t.Errorf("step %d with error %v, want step %d", step, err, tt.wantStep)
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
		t.Errorf("the second removal: step %d, %v", step, err)
	}
	var retired *MemberRetiredError
	if _, err := Admit(view, removed, false); !errors.As(err, &retired) {
		t.Errorf("it joins by itself: %v", err)
	}
	change, err = Admit(view, removed, true)
	if err != nil {
		t.Fatal(err)
	}
	if members := change.Configuration.GetMembers(); len(members) != 4 || len(change.Configuration.GetRetired()) != 0 {
		t.Errorf("members are %v", members)
	}
}

func TestAdmissionIsChecked(t *testing.T) {
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
		{"under the name of a live member", edited(func(m *protocol.CoreMember) { m.Name = "member-2" }), &inUse},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := Admit(groupOf(3, 0), tt.member, true); !errors.As(err, tt.want) {
				t.Errorf("admitted with %v", err)
			}
		})
	}
	view := groupOf(3, 0)
	if change, err := Admit(view, view.Configuration.GetMembers()[1], false); change != nil || err != nil {
		t.Errorf("a member that is there changes %v, %v", change, err)
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
		t.Errorf("leadership goes to %d, %v", target, err)
	}
	var unsafe *UnsafeChangeError
	if _, err := TransferTarget(groupOf(1, 1), ""); !errors.As(err, &unsafe) {
		t.Errorf("without another voter: %v", err)
	}
	var unknown *MemberUnknownError
	if _, err := TransferTarget(groupOf(3, 0), "nobody"); !errors.As(err, &unknown) {
		t.Errorf("to nobody: %v", err)
	}
}
