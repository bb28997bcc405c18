package core

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/views"
)

// maxCachedAnswers bounds the answers kept for one version of a section; most nodes hold the same few versions.
const maxCachedAnswers = 64

// sectionAnswer is what one section adds to an answer: it sets its field, is
// counted under its kind and takes that many bytes.
type sectionAnswer struct {
	kind  string
	bytes int
	set   func(answer *protocol.PollControlResponse)
}

// section makes and keeps the answers for one version of one section, by the
// version known. Whoever asks first makes it, the others wait for it.
type section struct {
	version uint64
	make    func(known uint64, deltas bool) sectionAnswer

	mutex   sync.Mutex
	answers map[sectionRequest]sectionAnswer
}

type sectionRequest struct {
	known  uint64
	deltas bool
}

func newSection(version uint64, produce func(known uint64, deltas bool) sectionAnswer) *section {
	return &section{version: version, make: produce, answers: map[sectionRequest]sectionAnswer{}}
}

func (s *section) answer(known uint64, deltas bool) sectionAnswer {
	request := sectionRequest{known: known, deltas: deltas}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	made, kept := s.answers[request]
	if !kept {
		made = s.make(known, deltas)
		if len(s.answers) >= maxCachedAnswers {
			clear(s.answers)
		}
		s.answers[request] = made
	}
	return made
}

// sections are the sections of one published view.
type sections struct {
	configuration, membership, backEnds, placement *section
}

// newSections takes over the sections that did not change from the former view.
func newSections(view *controlstate.View, former *sections) *sections {
	if former == nil {
		former = &sections{}
	}
	versions := view.Versions()
	return &sections{
		configuration: keptOr(former.configuration, versions.GetConfiguration(), func() *section { return configurationSection(view) }),
		membership:    keptOr(former.membership, versions.GetMembership(), func() *section { return membershipSection(view) }),
		backEnds:      keptOr(former.backEnds, versions.GetBackEnds(), func() *section { return backEndSection(view) }),
		placement:     keptOr(former.placement, versions.GetPlacement(), func() *section { return placementSection(view) }),
	}
}

func keptOr(former *section, version uint64, fresh func() *section) *section {
	if former != nil && former.version == version {
		return former
	}
	return fresh()
}

func configurationSection(view *controlstate.View) *section {
	return newSection(view.Configuration.GetVersion(), func(known uint64, _ bool) sectionAnswer {
		whole, delta := view.ConfigurationSince(known)
		if delta != nil {
			return sectionAnswer{kind: "configuration_delta", bytes: proto.Size(delta), set: func(answer *protocol.PollControlResponse) {
				answer.ConfigurationDelta = delta
			}}
		}
		return sectionAnswer{kind: "configuration", bytes: proto.Size(whole), set: func(answer *protocol.PollControlResponse) {
			answer.Configuration = whole
		}}
	})
}

func membershipSection(view *controlstate.View) *section {
	whole := view.Membership
	checksum := sync.OnceValue(func() uint64 { return views.MembershipChecksum(whole.GetNodes()) })
	return newSection(whole.GetVersion(), func(known uint64, deltas bool) sectionAnswer {
		if deltas {
			if delta := view.MembershipDelta(known, checksum()); delta != nil {
				return sectionAnswer{kind: "membership_delta", bytes: proto.Size(delta), set: func(answer *protocol.PollControlResponse) {
					answer.MembershipDelta = delta
				}}
			}
		}
		return sectionAnswer{kind: "membership", bytes: proto.Size(whole), set: func(answer *protocol.PollControlResponse) {
			answer.Membership = whole
		}}
	})
}

func backEndSection(view *controlstate.View) *section {
	whole := view.BackEnds
	checksum := sync.OnceValue(func() uint64 { return views.BackEndsChecksum(whole.GetBackEnds()) })
	return newSection(whole.GetVersion(), func(known uint64, deltas bool) sectionAnswer {
		if deltas {
			if delta := view.BackEndDelta(known, checksum()); delta != nil {
				return sectionAnswer{kind: "back_ends_delta", bytes: proto.Size(delta), set: func(answer *protocol.PollControlResponse) {
					answer.BackEndsDelta = delta
				}}
			}
		}
		return sectionAnswer{kind: "back_ends", bytes: proto.Size(whole), set: func(answer *protocol.PollControlResponse) {
			answer.BackEnds = whole
		}}
	})
}

func placementSection(view *controlstate.View) *section {
	whole := view.Placement
	checksum := sync.OnceValue(func() uint64 { return views.PlacementChecksum(whole) })
	return newSection(whole.GetEpoch(), func(known uint64, deltas bool) sectionAnswer {
		if deltas {
			if delta := view.PlacementDelta(known, checksum()); delta != nil {
				return sectionAnswer{kind: "placement_delta", bytes: proto.Size(delta), set: func(answer *protocol.PollControlResponse) {
					answer.PlacementDelta = delta
				}}
			}
		}
		return sectionAnswer{kind: "placement", bytes: proto.Size(whole), set: func(answer *protocol.PollControlResponse) {
			answer.Placement = whole
		}}
	})
}
