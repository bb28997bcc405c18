package delivery

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/packing"
)

// maxCachedAnswers bounds the answers cached for one version of a section; most nodes have one of the same few
// versions.
const maxCachedAnswers = 64

// sectionAnswer is what one section adds to a response: it sets its field, is
// counted under its kind and takes that many bytes.
type sectionAnswer struct {
	kind  string
	bytes int
	set   func(response *protocol.PollControlResponse)
}

// section produces and caches the answers for one version of one section. The
// mutex guards the cache; the first request produces an answer while later ones wait for it.
type section struct {
	version uint64
	produce func(request sectionRequest) sectionAnswer

	mutex   sync.Mutex
	answers map[sectionRequest]sectionAnswer
}

// sectionRequest is the version known and the forms that the node accepts.
type sectionRequest struct {
	known                      uint64
	acceptsDeltas              bool
	acceptsPackedConfiguration bool
	// acceptsPackedViews concerns the sections other than the configuration.
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

// newSections reuses the sections of the former view that did not change.
func newSections(view *controlstate.View, former *sections) *sections {
	if former == nil {
		former = &sections{}
	}
	versions := view.Versions()
	return &sections{
		configuration: reuseOr(former.configuration, versions.GetConfiguration(), configurationSection, view),
		membership:    reuseOr(former.membership, versions.GetMembership(), membershipSection, view),
		backEnds:      reuseOr(former.backEnds, versions.GetBackEnds(), backEndSection, view),
		placement:     reuseOr(former.placement, versions.GetPlacement(), placementSection, view),
	}
}

func reuseOr(
	former *section, version uint64, newSection func(*controlstate.View) *section, view *controlstate.View,
) *section {
	if former != nil && former.version == version {
		return former
	}
	return newSection(view)
}

// packOnce packs a message at the first call. It gives nil when the message cannot be packed; then it is sent plain.
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
			return sectionAnswer{
				kind: "configuration_delta", bytes: proto.Size(delta),
				set: func(response *protocol.PollControlResponse) {
					response.ConfigurationDelta = delta
				},
			}
		}
		if request.acceptsPackedConfiguration && packed() != nil {
			return sectionAnswer{
				kind: "configuration_packed", bytes: len(packed()),
				set: func(response *protocol.PollControlResponse) {
					response.PackedConfiguration = packed()
				},
			}
		}
		return sectionAnswer{
			kind: "configuration", bytes: proto.Size(snapshot),
			set: func(response *protocol.PollControlResponse) {
				response.Configuration = snapshot
			},
		}
	})
}

func membershipSection(view *controlstate.View) *section {
	snapshot := view.Membership
	checksum := sync.OnceValue(func() uint64 { return views.MembershipChecksum(snapshot.GetNodes()) })
	return newDeltaSection(deltaSection[*protocol.MembershipDelta]{
		version: snapshot.GetVersion(), kind: "membership", snapshot: snapshot,
		since: func(known uint64) (*protocol.MembershipDelta, bool) {
			delta := view.MembershipDelta(known, checksum())
			return delta, delta != nil
		},
		setSnapshot: func(response *protocol.PollControlResponse) { response.Membership = snapshot },
		setPacked:   func(response *protocol.PollControlResponse, packed []byte) { response.PackedMembership = packed },
		setDelta: func(response *protocol.PollControlResponse, delta *protocol.MembershipDelta) {
			response.MembershipDelta = delta
		},
	})
}

func backEndSection(view *controlstate.View) *section {
	snapshot := view.BackEnds
	checksum := sync.OnceValue(func() uint64 { return views.BackEndsChecksum(snapshot.GetBackEnds()) })
	return newDeltaSection(deltaSection[*protocol.BackEndDelta]{
		version: snapshot.GetVersion(), kind: "back_ends", snapshot: snapshot,
		since: func(known uint64) (*protocol.BackEndDelta, bool) {
			delta := view.BackEndDelta(known, checksum())
			return delta, delta != nil
		},
		setSnapshot: func(response *protocol.PollControlResponse) { response.BackEnds = snapshot },
		setPacked:   func(response *protocol.PollControlResponse, packed []byte) { response.PackedBackEnds = packed },
		setDelta: func(response *protocol.PollControlResponse, delta *protocol.BackEndDelta) {
			response.BackEndsDelta = delta
		},
	})
}

func placementSection(view *controlstate.View) *section {
	snapshot := view.Placement
	checksum := sync.OnceValue(func() uint64 { return views.PlacementChecksum(snapshot) })
	return newDeltaSection(deltaSection[*protocol.PlacementDelta]{
		version: snapshot.GetEpoch(), kind: "placement", snapshot: snapshot,
		since: func(known uint64) (*protocol.PlacementDelta, bool) {
			delta := view.PlacementDelta(known, checksum())
			return delta, delta != nil
		},
		setSnapshot: func(response *protocol.PollControlResponse) { response.Placement = snapshot },
		setPacked:   func(response *protocol.PollControlResponse, packed []byte) { response.PackedPlacement = packed },
		setDelta: func(response *protocol.PollControlResponse, delta *protocol.PlacementDelta) {
			response.PlacementDelta = delta
		},
	})
}

// deltaSection describes a section that can be sent as a delta of type D.
type deltaSection[D proto.Message] struct {
	version uint64
	// kind labels the metrics of the full snapshot; deltas and packed snapshots have a suffix.
	kind     string
	snapshot proto.Message
	// since is the delta from a known version, if there is one.
	since       func(known uint64) (delta D, exists bool)
	setSnapshot func(*protocol.PollControlResponse)
	setPacked   func(*protocol.PollControlResponse, []byte)
	setDelta    func(*protocol.PollControlResponse, D)
}

// newDeltaSection makes a section that answers with the delta to a node that accepts deltas, while there is one from
// the version it knows, else with the full snapshot, packed if the node accepts that.
func newDeltaSection[D proto.Message](described deltaSection[D]) *section {
	packed := packOnce(described.snapshot)
	return newSection(described.version, func(request sectionRequest) sectionAnswer {
		if request.acceptsDeltas {
			if delta, exists := described.since(request.known); exists {
				return sectionAnswer{
					kind: described.kind + "_delta", bytes: proto.Size(delta),
					set: func(response *protocol.PollControlResponse) {
						described.setDelta(response, delta)
					},
				}
			}
		}
		if request.acceptsPackedViews && packed() != nil {
			return sectionAnswer{
				kind: described.kind + "_packed", bytes: len(packed()),
				set: func(response *protocol.PollControlResponse) {
					described.setPacked(response, packed())
				},
			}
		}
		return sectionAnswer{kind: described.kind, bytes: proto.Size(described.snapshot), set: described.setSnapshot}
	})
}
