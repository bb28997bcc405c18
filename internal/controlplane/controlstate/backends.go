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

// BackEnd finds a back end of the view by id; nil when there is none.
func (v *View) BackEnd(id string) *protocol.BackEnd { return findBackEnd(v.BackEnds, id) }

func findBackEnd(view *protocol.BackEndView, id string) *protocol.BackEnd {
	at, found := slices.BinarySearchFunc(view.GetBackEnds(), id, compareBackEnds)
	if !found {
		return nil
	}
	return view.GetBackEnds()[at]
}

// asHeld gives a back end's announcement as the view would hold it: an
// incarnation that was drained stays draining whatever it announces.
func (s *State) asHeld(backEnd *protocol.BackEnd) *protocol.BackEnd {
	if drained, known := s.drained[backEnd.GetId()]; known && backEnd.GetIncarnation() <= drained && backEnd.GetState() != protocol.BackEndState_DRAINING {
		draining := proto.CloneOf(backEnd)
		draining.State = protocol.BackEndState_DRAINING
		return draining
	}
	return backEnd
}

// upsertBackEnd takes in what a heartbeat announced.
func (s *State) upsertBackEnd(index uint64, at int64, command *protocol.UpsertBackEndCommand) *protocol.CommandResult {
	announced := command.GetBackEnd()
	if refusal := refuseBackEnd(announced); refusal != nil {
		return refusal
	}
	if s.announced.outdated(announced.GetId(), announced.GetIncarnation(), command.GetSequence()) {
		return accept(s.backEnds.GetVersion())
	}
	backEnd := s.asHeld(announced)
	held := findBackEnd(s.backEnds, backEnd.GetId())
	if held.GetIncarnation() > backEnd.GetIncarnation() {
		return refuse(codeInvalidOrder, fmt.Sprintf("a later incarnation of back end %q is known", backEnd.GetId()), fault("incarnation", "is not the latest"))
	}
	s.noteAnnounced(backEnd.GetId(), backEnd.GetIncarnation(), command.GetSequence())
	if held != nil && proto.Equal(held, backEnd) {
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
			s.noteReplaced(other, at)
		default:
			list = append(list, other)
		}
	}
	place, _ := slices.BinarySearchFunc(list, backEnd.GetId(), compareBackEnds)
	s.backEnds = &protocol.BackEndView{Version: index, BackEnds: slices.Insert(list, place, backEnd)}
	s.backEndHistory.Add(index, changed...)
	if backEnd.GetState() == protocol.BackEndState_DRAINING {
		s.noteDrained(backEnd.GetId(), backEnd.GetIncarnation())
	}
	return accept(index)
}

func refuseBackEnd(announced *protocol.BackEnd) *protocol.CommandResult {
	var faults []*protocol.Fault
	if announced.GetId() == "" {
		faults = append(faults, fault("id", "must be set"))
	}
	if announced.GetAddress() == "" {
		faults = append(faults, fault("address", "must be set"))
	}
	if len(faults) > 0 {
		return refuse(codeInvalidOrder, "the back end has faults", faults...)
	}
	return nil
}

// Holds reports whether the view already says what a heartbeat announces; one
// that was told to drain is held as draining whatever it announces.
func (v *View) Holds(announced *protocol.BackEnd) bool {
	held := v.BackEnd(announced.GetId())
	if held == nil || held.GetIncarnation() != announced.GetIncarnation() {
		return false
	}
	if held.GetState() == protocol.BackEndState_DRAINING && announced.GetState() != protocol.BackEndState_DRAINING {
		draining := proto.CloneOf(announced)
		draining.State = protocol.BackEndState_DRAINING
		return proto.Equal(held, draining)
	}
	return proto.Equal(held, announced)
}

func (s *State) noteDrained(id string, incarnation uint64) {
	s.drained[id] = max(s.drained[id], incarnation)
}

// removeBackEnd takes a back end out whose lease ran out or that said that it left.
func (s *State) removeBackEnd(index uint64, at int64, command *protocol.RemoveBackEndCommand) *protocol.CommandResult {
	incarnation := command.GetIncarnation()
	if command.GetDeparted() {
		departed, known := s.departureOf(command, at)
		incarnation = departed.GetIncarnation()
		if s.announced.outdated(command.GetId(), incarnation, command.GetSequence()) {
			return accept(s.backEnds.GetVersion())
		}
		s.noteDeparted(departed, known)
	}
	place, found := slices.BinarySearchFunc(s.backEnds.GetBackEnds(), command.GetId(), compareBackEnds)
	if !found || s.backEnds.GetBackEnds()[place].GetIncarnation() != incarnation {
		return accept(s.backEnds.GetVersion())
	}
	s.noteRemoved(command.GetId(), at)
	list := slices.Delete(slices.Clone(s.backEnds.GetBackEnds()), place, place+1)
	s.backEnds = &protocol.BackEndView{Version: index, BackEnds: list}
	s.backEndHistory.Add(index, command.GetId())
	return accept(index)
}

// drainBackEnd marks a back end as draining; an incarnation of zero means the
// one at hand. The index of the result is a view version that has it so.
func (s *State) drainBackEnd(index uint64, command *protocol.DrainBackEndCommand) *protocol.CommandResult {
	at, found := slices.BinarySearchFunc(s.backEnds.GetBackEnds(), command.GetId(), compareBackEnds)
	if !found {
		if command.GetIncarnation() != 0 {
			s.noteDrained(command.GetId(), command.GetIncarnation())
		}
		return accept(s.backEnds.GetVersion())
	}
	held := s.backEnds.GetBackEnds()[at]
	if incarnation := command.GetIncarnation(); incarnation != 0 && incarnation < held.GetIncarnation() {
		return accept(s.backEnds.GetVersion())
	}
	s.noteDrained(held.GetId(), max(held.GetIncarnation(), command.GetIncarnation()))
	if held.GetState() == protocol.BackEndState_DRAINING {
		return accept(s.backEnds.GetVersion())
	}
	draining := proto.CloneOf(held)
	draining.State = protocol.BackEndState_DRAINING
	list := slices.Clone(s.backEnds.GetBackEnds())
	list[at] = draining
	s.backEnds = &protocol.BackEndView{Version: index, BackEnds: list}
	s.backEndHistory.Add(index, held.GetId())
	return accept(index)
}
