package core

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/packing"
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
	produce func(request sectionRequest) sectionAnswer

	mutex   sync.Mutex
	answers map[sectionRequest]sectionAnswer
}

// sectionRequest is the version known and the forms that the node takes.
type sectionRequest struct {
	known                      uint64
	acceptsDeltas              bool
	acceptsPackedConfiguration bool
	// packedViews says so of the other sections than the configuration.
	acceptsPackedViews bool
}

func newSection(version uint64, produce func(request sectionRequest) sectionAnswer) *section {
	return &section{version: version, produce: produce, answers: map[sectionRequest]sectionAnswer{}}
}

func (s *section) answer(request sectionRequest) sectionAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer, cached := s.answers[request]
	if !cached {
		answer = s.produce(request)
		if len(s.answers) >= maxCachedAnswers {
			clear(s.answers)
		}
		s.answers[request] = answer
	}
	return answer
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
		configuration: reuseOr(former.configuration, versions.GetConfiguration(), func() *section { return configurationSection(view) }),
		membership:    reuseOr(former.membership, versions.GetMembership(), func() *section { return membershipSection(view) }),
		backEnds:      reuseOr(former.backEnds, versions.GetBackEnds(), func() *section { return backEndSection(view) }),
		placement:     reuseOr(former.placement, versions.GetPlacement(), func() *section { return placementSection(view) }),
	}
}

func reuseOr(former *section, version uint64, fresh func() *section) *section {
	if former != nil && former.version == version {
		return former
	}
	return fresh()
}

// packOnce packs a message for whoever asks first. It gives nil when the message cannot be packed; then it is sent plain.
func packOnce(message proto.Message) func() []byte {
	return sync.OnceValue(func() []byte {
		packed, err := packing.Pack(message)
		if err != nil {
			return nil
		}
		return packed
	})
}

func configurationSection(view *controlstate.View) *section {
	packed := packOnce(view.Configuration)
	return newSection(view.Configuration.GetVersion(), func(request sectionRequest) sectionAnswer {
		snapshot, delta := view.ConfigurationSince(request.known)
		if delta != nil {
			return sectionAnswer{kind: "configuration_delta", bytes: proto.Size(delta), set: func(answer *protocol.PollControlResponse) {
				answer.ConfigurationDelta = delta
			}}
		}
		if request.acceptsPackedConfiguration && packed() != nil {
			return sectionAnswer{kind: "configuration_packed", bytes: len(packed()), set: func(answer *protocol.PollControlResponse) {
				answer.PackedConfiguration = packed()
			}}
		}
		return sectionAnswer{kind: "configuration", bytes: proto.Size(snapshot), set: func(answer *protocol.PollControlResponse) {
			answer.Configuration = snapshot
		}}
	})
}

func membershipSection(view *controlstate.View) *section {
	snapshot := view.Membership
	checksum := sync.OnceValue(func() uint64 { return views.MembershipChecksum(snapshot.GetNodes()) })
	return newDeltaSection(snapshot.GetVersion(), "membership", snapshot,
		func(known uint64) *protocol.MembershipDelta { return view.MembershipDelta(known, checksum()) },
		func(answer *protocol.PollControlResponse) { answer.Membership = snapshot },
		func(answer *protocol.PollControlResponse, packed []byte) { answer.PackedMembership = packed },
		func(answer *protocol.PollControlResponse, delta *protocol.MembershipDelta) {
			answer.MembershipDelta = delta
		})
}

func backEndSection(view *controlstate.View) *section {
	snapshot := view.BackEnds
	checksum := sync.OnceValue(func() uint64 { return views.BackEndsChecksum(snapshot.GetBackEnds()) })
	return newDeltaSection(snapshot.GetVersion(), "back_ends", snapshot,
		func(known uint64) *protocol.BackEndDelta { return view.BackEndDelta(known, checksum()) },
		func(answer *protocol.PollControlResponse) { answer.BackEnds = snapshot },
		func(answer *protocol.PollControlResponse, packed []byte) { answer.PackedBackEnds = packed },
		func(answer *protocol.PollControlResponse, delta *protocol.BackEndDelta) { answer.BackEndsDelta = delta })
}

func placementSection(view *controlstate.View) *section {
	snapshot := view.Placement
	checksum := sync.OnceValue(func() uint64 { return views.PlacementChecksum(snapshot) })
	return newDeltaSection(snapshot.GetEpoch(), "placement", snapshot,
		func(known uint64) *protocol.PlacementDelta { return view.PlacementDelta(known, checksum()) },
		func(answer *protocol.PollControlResponse) { answer.Placement = snapshot },
		func(answer *protocol.PollControlResponse, packed []byte) { answer.PackedPlacement = packed },
		func(answer *protocol.PollControlResponse, delta *protocol.PlacementDelta) {
			answer.PlacementDelta = delta
		})
}

// newDeltaSection makes a section that answers a node that takes deltas with
// what since returns for the version it knows, and with the whole when that is nil, packed if the node takes that.
func newDeltaSection[T any, D interface {
	*T
	proto.Message
}](
	version uint64, kind string, snapshot proto.Message, since func(known uint64) D,
	setSnapshot func(*protocol.PollControlResponse), setPacked func(*protocol.PollControlResponse, []byte), setDelta func(*protocol.PollControlResponse, D),
) *section {
	packed := packOnce(snapshot)
	return newSection(version, func(request sectionRequest) sectionAnswer {
		if request.acceptsDeltas {
			if delta := since(request.known); delta != nil {
				return sectionAnswer{kind: kind + "_delta", bytes: proto.Size(delta), set: func(answer *protocol.PollControlResponse) {
					setDelta(answer, delta)
				}}
			}
		}
		if request.acceptsPackedViews && packed() != nil {
			return sectionAnswer{kind: kind + "_packed", bytes: len(packed()), set: func(answer *protocol.PollControlResponse) {
				setPacked(answer, packed())
			}}
		}
		return sectionAnswer{kind: kind, bytes: proto.Size(snapshot), set: setSnapshot}
	})
}
