// Package delivery brings the sections of the control state's view to nodes: it
// publishes each new view, encodes its sections once for all nodes that know the
// same version, and answers long polls, a node at most once in the coalescing
// interval.
package delivery

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Publisher holds the newest view. Publish is called by one goroutine, that which applies the control log; View by any.
type Publisher struct {
	current atomic.Pointer[publication]
}

// publication is a view together with the signal that a newer one replaced it.
type publication struct {
	view *controlstate.View
	// changed is closed when a section of the view has changed.
	changed  chan struct{}
	sections *sections
}

// NewPublisher makes a publisher of a first view.
func NewPublisher(view *controlstate.View) *Publisher {
	publisher := &Publisher{}
	publisher.current.Store(&publication{view: view, changed: make(chan struct{}), sections: newSections(view, nil)})
	return publisher
}

// View is the newest view.
func (p *Publisher) View() *controlstate.View { return p.current.Load().view }

// Publish replaces the view, and notifies all polls when a section has changed.
func (p *Publisher) Publish(view *controlstate.View) {
	former := p.current.Load()
	if proto.Equal(former.view.Versions(), view.Versions()) {
		p.current.Store(&publication{view: view, changed: former.changed, sections: former.sections})
		return
	}
	p.current.Store(&publication{view: view, changed: make(chan struct{}), sections: newSections(view, former.sections)})
	close(former.changed)
}

// newerThan reports whether a section has a higher version than the one known.
func (p *publication) newerThan(known *protocol.ControlVersions) bool {
	return p.sections.configuration.version > known.GetConfiguration() ||
		p.sections.membership.version > known.GetMembership() ||
		p.sections.backEnds.version > known.GetBackEnds() ||
		p.sections.placement.version > known.GetPlacement()
}

// answers are those of the sections with a higher version than the one that the request knows.
func (p *publication) answers(request *protocol.PollControlRequest) []sectionAnswer {
	var answers []sectionAnswer
	known := request.GetKnown()
	for _, candidate := range []struct {
		section *section
		known   uint64
	}{
		{p.sections.configuration, known.GetConfiguration()},
		{p.sections.membership, known.GetMembership()},
		{p.sections.backEnds, known.GetBackEnds()},
		{p.sections.placement, known.GetPlacement()},
	} {
		if candidate.section.version <= candidate.known {
			continue
		}
		answers = append(answers, candidate.section.answer(sectionRequest{
			known: candidate.known, acceptsDeltas: request.GetAcceptsDeltas(),
			acceptsPackedConfiguration: request.GetAcceptsPackedConfiguration(),
			acceptsPackedViews:         request.GetAcceptsPackedViews(),
		}))
	}
	return answers
}
