// Package delivery delivers the sections of the control state's view to nodes: it
// publishes each new view, encodes its sections once for all nodes that have the
// same version, and answers long polls, each node at most once per coalescing
// interval.
package delivery

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/controlstate"
	"github.com/rosestand/rosestand/internal/protocol"
)

// Publisher holds the newest view. Publish may only be called by the goroutine that applies the control log, View by
// any.
type Publisher struct {
	current atomic.Pointer[publication]
}

// publication is a published view, its sections, and the signal that one of these has changed.
type publication struct {
	view *controlstate.View
	// changed is closed when a view with a changed section is published.
	changed  chan struct{}
	sections *sections
}

// NewPublisher returns a publisher with an initial view.
func NewPublisher(view *controlstate.View) *Publisher {
	publisher := &Publisher{}
	publisher.current.Store(&publication{view: view, changed: make(chan struct{}), sections: newSections(view, nil)})
	return publisher
}

// View returns the newest view.
func (p *Publisher) View() *controlstate.View { return p.current.Load().view }

// Publish replaces the view, and notifies all waiting polls if a section has changed.
func (p *Publisher) Publish(view *controlstate.View) {
	previous := p.current.Load()
	if proto.Equal(previous.view.Versions(), view.Versions()) {
		p.current.Store(&publication{view: view, changed: previous.changed, sections: previous.sections})
		return
	}
	p.current.Store(&publication{view: view, changed: make(chan struct{}), sections: newSections(view, previous.sections)})
	close(previous.changed)
}

// newerThan reports whether any section has a higher version than the known one.
func (p *publication) newerThan(known *protocol.ControlVersions) bool {
	return p.sections.configuration.version > known.GetConfiguration() ||
		p.sections.membership.version > known.GetMembership() ||
		p.sections.backEnds.version > known.GetBackEnds() ||
		p.sections.placement.version > known.GetPlacement()
}

// answers returns the answers of the sections whose versions are higher than those in the request.
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
