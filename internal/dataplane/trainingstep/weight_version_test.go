package trainingstep_test

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/dataplane/trainingstep"
)

const (
	model  = "advisor"
	header = "Rosestand-Weights"
)

// announceVersions returns one announcement of the model for each version.
func announceVersions(versions ...uint64) []trainingstep.Announcement {
	var announcements []trainingstep.Announcement
	for _, version := range versions {
		announcements = append(announcements, trainingstep.Announcement{model: version})
	}
	return announcements
}

func TestProposedVersionIsTheHighestThatHalfAnnounce(t *testing.T) {
	cases := map[string]struct {
		announcements []trainingstep.Announcement
		want          uint64
	}{
		"one version":                        {announceVersions(4, 4, 4), 4},
		"half has a newer version":           {announceVersions(4, 5, 4, 5), 5},
		"less than half has a newer version": {announceVersions(4, 4, 4, 5, 5), 4},
		"a roll-back to a lower version":     {announceVersions(9, 4, 4), 4},
		"no half: the most frequent":         {announceVersions(3, 4, 4, 5, 6), 4},
		"no half: the highest of a tie":      {announceVersions(3, 4, 5, 6), 6},
		"servers without a version count":    {announceVersions(7, 0, 0, 3, 3), 3},
		"one server of many names a version": {announceVersions(0, 0, 0, 8), 8},
		"no server names a version":          {announceVersions(0, 0), 0},
		"no server":                          {nil, 0},
	}
	for name, c := range cases {
		if got := trainingstep.ProposeVersion(model, c.announcements); got != c.want {
			t.Errorf("%s: proposed version %d, want %d", name, got, c.want)
		}
	}
}

func TestVersionOfAnotherModelIsNotProposed(t *testing.T) {
	servers := []trainingstep.Announcement{{"judge": 9}, {"judge": 9}, {model: 2, "judge": 9}}
	if got := trainingstep.ProposeVersion(model, servers); got != 2 {
		t.Fatalf("proposed version %d, want 2", got)
	}
}

func TestGroupModelIsTheOneThatMostServersAnnounce(t *testing.T) {
	cases := map[string]struct {
		announcements []trainingstep.Announcement
		want          string
	}{
		"one model":          {announceVersions(3, 4), model},
		"most frequent":      {[]trainingstep.Announcement{{"z": 1, "a": 1}, {"z": 1}}, "z"},
		"tie: first by name": {[]trainingstep.Announcement{{"z": 1, "a": 1}, {"z": 1, "a": 2}}, "a"},
		"no version: none":   {[]trainingstep.Announcement{{"z": 0}}, ""},
	}
	for name, c := range cases {
		if got := trainingstep.GroupModel(c.announcements); got != c.want {
			t.Errorf("%s: got model %q, want %q", name, got, c.want)
		}
	}
}

func TestParseVersions(t *testing.T) {
	cases := map[string]struct {
		values []string
		want   []uint64
	}{
		"one":       {[]string{"7"}, []uint64{7}},
		"several":   {[]string{"7, 8", "9"}, []uint64{7, 8, 9}},
		"none":      {nil, []uint64{0}},
		"empty":     {[]string{""}, []uint64{0}},
		"no number": {[]string{"7,x"}, []uint64{7, 0}},
		"negative":  {[]string{"-7"}, []uint64{0}},
		"too long":  {[]string{strings.Repeat("9", 40)}, []uint64{0}},
	}
	for name, c := range cases {
		if got := trainingstep.ParseVersions(c.values); !slices.Equal(got, c.want) {
			t.Errorf("%s: got versions %v, want %v", name, got, c.want)
		}
	}
}

func TestParseEventVersion(t *testing.T) {
	cases := map[string]struct {
		event string
		want  uint64
		named bool
	}{
		"named":              {"rosestand-weights: 4\ndata: a\n\n", 4, true},
		"without a space":    {"rosestand-weights:4\r\ndata: a\r\n\r\n", 4, true},
		"after a blank line": {"\nrosestand-weights: 4\ndata: a\n\n", 4, true},
		"no number":          {"rosestand-weights: x\ndata: a\n\n", 0, true},
		"in a later line":    {"data: a\nrosestand-weights: 4\n\n", 0, false},
		"in upper case":      {"Rosestand-Weights: 4\ndata: a\n\n", 0, false},
		"another field":      {"rosestand-weights-2: 4\ndata: a\n\n", 0, false},
		"in the data":        {"data: rosestand-weights: 4\n\n", 0, false},
		"empty event":        {"", 0, false},
	}
	for name, c := range cases {
		got, named := trainingstep.ParseEventVersion([]byte(c.event), header)
		if got != c.want || named != c.named {
			t.Errorf("%s: got version %d, named %t; want %d, %t", name, got, named, c.want, c.named)
		}
	}
}

func TestCheckName(t *testing.T) {
	for _, good := range []string{"a", "run-7/step:0012", "A.b_C", strings.Repeat("x", trainingstep.MaxNameBytes)} {
		if err := trainingstep.CheckName(good); err != nil {
			t.Errorf("name %q was rejected: %v", good, err)
		}
	}
	tooLong := strings.Repeat("x", trainingstep.MaxNameBytes+1)
	for _, bad := range []string{"", " ", "a b", "a\x00", "a\n", "ä", "a,b", tooLong} {
		var nameErr *trainingstep.NameError
		if err := trainingstep.CheckName(bad); !errors.As(err, &nameErr) {
			t.Errorf("name %q: got error %v, want a NameError", bad, err)
		}
	}
}
