package controlstate

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

func compareBackEnds(backEnd *protocol.BackEnd, id string) int {
	return cmp.Compare(backEnd.GetId(), id)
}

// BackEnd returns the back end of the view with an id; nil when there is none.
func (v *View) BackEnd(id string) *protocol.BackEnd { return findBackEnd(v.BackEnds, id) }

func findBackEnd(view *protocol.BackEndView, id string) *protocol.BackEnd {
	position, found := slices.BinarySearchFunc(view.GetBackEnds(), id, compareBackEnds)
	if !found {
		return nil
	}
	return view.GetBackEnds()[position]
}

// withDrainState returns a back end with the state that it has in the view: a drained incarnation stays draining,
// whatever state it announces.
func (s *State) withDrainState(backEnd *protocol.BackEnd) *protocol.BackEnd {
	if drained, known := s.drained[backEnd.GetId()]; known && backEnd.GetIncarnation() <= drained {
		return asDraining(backEnd)
	}
	return backEnd
}

// asDraining returns the back end itself if its state is DRAINING, otherwise a copy in that state.
func asDraining(backEnd *protocol.BackEnd) *protocol.BackEnd {
	if backEnd.GetState() == protocol.BackEndState_DRAINING {
		return backEnd
	}
	draining := proto.CloneOf(backEnd)
	draining.State = protocol.BackEndState_DRAINING
	return draining
}

// upsertBackEnd adds or replaces a back end as announced in a heartbeat. Another back end at the same address is
// removed unless its incarnation is later.
func (s *State) upsertBackEnd(
	index uint64, nowMillis int64, command *protocol.UpsertBackEndCommand,
) *protocol.CommandResult {
	announced := command.GetBackEnd()
	if rejection := checkBackEnd(announced); rejection != nil {
		return rejection
	}
	if s.announcements.outdated(announced.GetId(), announced.GetIncarnation(), command.GetSequence()) {
		return accept(s.backEnds.GetVersion())
	}
	backEnd := s.withDrainState(announced)
	current := findBackEnd(s.backEnds, backEnd.GetId())
	if current.GetIncarnation() > backEnd.GetIncarnation() {
		return reject(codeInvalidOrder, fmt.Sprintf("a later incarnation of back end %q is known", backEnd.GetId()),
			fault("incarnation", "is not the latest"))
	}
	s.recordAnnouncement(backEnd.GetId(), backEnd.GetIncarnation(), command.GetSequence())
	if current != nil && proto.Equal(current, backEnd) {
		return accept(s.backEnds.GetVersion())
	}
	list := make([]*protocol.BackEnd, 0, len(s.backEnds.GetBackEnds())+1)
	changed := []string{backEnd.GetId()}
	for _, other := range s.backEnds.GetBackEnds() {
		sameAddress := other.GetAddress() == backEnd.GetAddress() && other.GetIncarnation() <= backEnd.GetIncarnation()
		switch {
		case other.GetId() == backEnd.GetId():
		case sameAddress:
			changed = append(changed, other.GetId())
			s.recordReplacement(other, nowMillis)
		default:
			list = append(list, other)
		}
	}
	position, _ := slices.BinarySearchFunc(list, backEnd.GetId(), compareBackEnds)
	s.backEnds = &protocol.BackEndView{Version: index, BackEnds: slices.Insert(list, position, backEnd)}
	s.backEndHistory.Add(index, changed...)
	if backEnd.GetState() == protocol.BackEndState_DRAINING {
		s.recordDrained(backEnd.GetId(), backEnd.GetIncarnation())
	}
	return accept(index)
}

func checkBackEnd(announced *protocol.BackEnd) *protocol.CommandResult {
	var faults []*protocol.Fault
	if announced.GetId() == "" {
		faults = append(faults, fault("id", "must be set"))
	}
	if announced.GetAddress() == "" {
		faults = append(faults, fault("address", "must be set"))
	}
	if len(faults) > 0 {
		return reject(codeInvalidOrder, "the back end has faults", faults...)
	}
	return nil
}

// Holds reports whether the view already contains an announced back end. A draining back end stays draining in the
// view, so the announced state is ignored for it.
func (v *View) Holds(announced *protocol.BackEnd) bool {
	current := v.BackEnd(announced.GetId())
	if current == nil || current.GetIncarnation() != announced.GetIncarnation() {
		return false
	}
	if current.GetState() == protocol.BackEndState_DRAINING {
		announced = asDraining(announced)
	}
	return proto.Equal(current, announced)
}

func (s *State) recordDrained(id string, incarnation uint64) {
	s.drained[id] = max(s.drained[id], incarnation)
}

// removeBackEnd removes a back end whose lease expired or that reported its departure.
func (s *State) removeBackEnd(
	index uint64, nowMillis int64, command *protocol.RemoveBackEndCommand,
) *protocol.CommandResult {
	incarnation := command.GetIncarnation()
	if command.GetDeparted() {
		departure, known := s.resolveDeparture(command, nowMillis)
		incarnation = departure.GetIncarnation()
		if s.announcements.outdated(command.GetId(), incarnation, command.GetSequence()) {
			return accept(s.backEnds.GetVersion())
		}
		s.recordDeparture(departure, known)
	}
	position, found := slices.BinarySearchFunc(s.backEnds.GetBackEnds(), command.GetId(), compareBackEnds)
	if !found || s.backEnds.GetBackEnds()[position].GetIncarnation() != incarnation {
		return accept(s.backEnds.GetVersion())
	}
	s.recordRemoval(command.GetId(), nowMillis)
	list := slices.Delete(slices.Clone(s.backEnds.GetBackEnds()), position, position+1)
	s.backEnds = &protocol.BackEndView{Version: index, BackEnds: list}
	s.backEndHistory.Add(index, command.GetId())
	return accept(index)
}

// drainBackEnd marks a back end as draining; an incarnation of zero means the current one. The index of the result is
// a version of the view in which the back end is draining.
func (s *State) drainBackEnd(index uint64, command *protocol.DrainBackEndCommand) *protocol.CommandResult {
	position, found := slices.BinarySearchFunc(s.backEnds.GetBackEnds(), command.GetId(), compareBackEnds)
	if !found {
		if command.GetIncarnation() != 0 {
			s.recordDrained(command.GetId(), command.GetIncarnation())
		}
		return accept(s.backEnds.GetVersion())
	}
	current := s.backEnds.GetBackEnds()[position]
	if incarnation := command.GetIncarnation(); incarnation != 0 && incarnation < current.GetIncarnation() {
		return accept(s.backEnds.GetVersion())
	}
	s.recordDrained(current.GetId(), max(current.GetIncarnation(), command.GetIncarnation()))
	if current.GetState() == protocol.BackEndState_DRAINING {
		return accept(s.backEnds.GetVersion())
	}
	list := slices.Clone(s.backEnds.GetBackEnds())
	list[position] = asDraining(current)
	s.backEnds = &protocol.BackEndView{Version: index, BackEnds: list}
	s.backEndHistory.Add(index, current.GetId())
	return accept(index)
}
