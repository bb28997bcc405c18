package delivery

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/packing"
)

// maxCachedAnswers is the maximum number of answers cached for one version of a section. It can be small, since most
// nodes have one of the same few versions.
const maxCachedAnswers = 64

// sectionAnswer is the part of a response that one section contributes.
type sectionAnswer struct {
	// kind labels the metrics of the answer.
	kind string
	// bytes is the encoded size of the answer.
	bytes int
	// set sets the section's field of the response.
	set func(response *protocol.PollControlResponse)
}

// section produces and caches the answers for one version of one section. The
// mutex guards the cache and is held while an answer is produced, so that each answer
// is produced once and concurrent requests wait for it.
type section struct {
	version uint64
	produce func(request sectionRequest) sectionAnswer

	mutex   sync.Mutex
	answers map[sectionRequest]sectionAnswer
}

// sectionRequest is the version that the node has and the encodings that it accepts.
type sectionRequest struct {
	known                      uint64
	acceptsDeltas              bool
	acceptsPackedConfiguration bool
	// acceptsPackedViews applies to the sections other than the configuration.
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

// newSections returns the sections of a view; those that did not change are taken over from the previous view.
func newSections(view *controlstate.View, previous *sections) *sections {
	if previous == nil {
		previous = &sections{}
	}
	versions := view.Versions()
	return &sections{
		configuration: reuseSection(previous.configuration, versions.GetConfiguration(), configurationSection, view),
		membership:    reuseSection(previous.membership, versions.GetMembership(), membershipSection, view),
		backEnds:      reuseSection(previous.backEnds, versions.GetBackEnds(), backEndSection, view),
		placement:     reuseSection(previous.placement, versions.GetPlacement(), placementSection, view),
	}
}

// reuseSection returns the previous section if it has that version, else a new one.
func reuseSection(
	previous *section, version uint64, newSection func(*controlstate.View) *section, view *controlstate.View,
) *section {
	if previous != nil && previous.version == version {
		return previous
	}
	return newSection(view)
}

// packOnce returns a function that packs a message on its first call. That function returns nil if the message cannot
// be packed; the section is then sent unpacked.
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
	// since returns the delta from a known version, if there is one.
	since       func(known uint64) (delta D, exists bool)
	setSnapshot func(*protocol.PollControlResponse)
	setPacked   func(*protocol.PollControlResponse, []byte)
	setDelta    func(*protocol.PollControlResponse, D)
}

// newDeltaSection returns a section that answers with a delta if the node accepts deltas and there is one from its
// version, else with the full snapshot, packed if the node accepts that.
func newDeltaSection[D proto.Message](spec deltaSection[D]) *section {
	packed := packOnce(spec.snapshot)
	return newSection(spec.version, func(request sectionRequest) sectionAnswer {
		if request.acceptsDeltas {
			if delta, exists := spec.since(request.known); exists {
				return sectionAnswer{
					kind: spec.kind + "_delta", bytes: proto.Size(delta),
					set: func(response *protocol.PollControlResponse) {
						spec.setDelta(response, delta)
					},
				}
			}
		}
		if request.acceptsPackedViews && packed() != nil {
			return sectionAnswer{
				kind: spec.kind + "_packed", bytes: len(packed()),
				set: func(response *protocol.PollControlResponse) {
					spec.setPacked(response, packed())
				},
			}
		}
		return sectionAnswer{kind: spec.kind, bytes: proto.Size(spec.snapshot), set: spec.setSnapshot}
	})
}
