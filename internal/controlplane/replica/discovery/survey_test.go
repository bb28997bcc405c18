package discovery

import (
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
)

const firstFounder, secondFounder = "127.0.0.1:7001", "127.0.0.1:7002"

func surveyOf(statuses map[string]*protocol.CoreStatusResponse) *Survey {
	return &Survey{statuses: statuses}
}

func TestOnlyTheFirstFounderFoundsAndOnlyWhenAllAreEmpty(t *testing.T) {
	type answers = map[string]*protocol.CoreStatusResponse
	empty := &protocol.CoreStatusResponse{Empty: true}
	member := &protocol.CoreStatusResponse{ClusterId: "cluster"}
	cases := map[string]struct {
		own     string
		answers answers
		want    bool
	}{
		"the first founder":                 {firstFounder, answers{secondFounder: empty}, true},
		"another founder":                   {secondFounder, answers{firstFounder: empty}, false},
		"a process that is no founder":      {"127.0.0.1:7003", answers{firstFounder: empty, secondFounder: empty}, false},
		"no answer of another founder":      {firstFounder, nil, false},
		"another founder has a cluster":     {firstFounder, answers{secondFounder: member}, false},
		"a process elsewhere has a cluster": {firstFounder, answers{secondFounder: empty, "elsewhere": member}, false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			got := surveyOf(tt.answers).CanFound([]string{firstFounder, secondFounder}, tt.own)
			if got != tt.want {
				t.Errorf("CanFound = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestAddressesAreOrderedByNumber(t *testing.T) {
	if !isLowerAddress("127.0.0.1:7001", "127.0.0.1:10001") || isLowerAddress("127.0.0.1:10001", "127.0.0.1:7001") {
		t.Error("the ports of IP addresses are compared as text, want them compared as numbers")
	}
	if !isLowerAddress("a:10001", "a:7001") {
		t.Error("addresses with host names are not compared as text")
	}
}

func TestTheLeaderOfTheOwnClusterIsTheJoinTarget(t *testing.T) {
	survey := surveyOf(map[string]*protocol.CoreStatusResponse{
		"follower": {ClusterId: "own", Leader: 2, Term: 9},
		"leader":   {ClusterId: "own", Leader: 2, Term: 8, LeaderLease: true},
		"other":    {ClusterId: "other", Leader: 7, Term: 20, LeaderLease: true},
		"empty":    {Empty: true},
	})
	self := &protocol.CoreMember{Id: 1, Name: "self"}
	if address, ok := survey.JoinTarget("own", self); address != "leader" || !ok {
		t.Errorf("JoinTarget = %q, %v, want \"leader\", true", address, ok)
	}
	survey.statuses["leader"].Configuration = &protocol.CoreConfiguration{
		Members: []*protocol.CoreMember{{Id: 1, Name: "self", Voter: true}},
	}
	if address, ok := survey.JoinTarget("own", self); ok {
		t.Errorf("JoinTarget = %q, true with self already a member, want false", address)
	}
	if address, ok := surveyOf(nil).JoinTarget("", self); ok {
		t.Errorf("JoinTarget = %q, true without any response, want false", address)
	}
}
