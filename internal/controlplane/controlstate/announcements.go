package controlstate

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// keptAnnouncement is how long the announcements of a back end are remembered
// after it was removed; none of them can arrive later than that.
const keptAnnouncement = time.Hour

// announcements holds the last numbered announcement of each back end, and the
// back ends that left. It is immutable: a change replaces it.
type announcements struct {
	byID *iradix.Tree[*protocol.BackEndAnnouncement]
}

func newAnnouncements() *announcements {
	return &announcements{byID: iradix.New[*protocol.BackEndAnnouncement]()}
}

func (a *announcements) find(id string) *protocol.BackEndAnnouncement {
	last, _ := a.byID.Get([]byte(id))
	return last
}

func (a *announcements) with(last *protocol.BackEndAnnouncement) *announcements {
	changed, _, _ := a.byID.Insert([]byte(last.GetId()), last)
	return &announcements{byID: changed}
}

func (a *announcements) list() []*protocol.BackEndAnnouncement {
	listed := make([]*protocol.BackEndAnnouncement, 0, a.byID.Len())
	a.byID.Root().Walk(func(_ []byte, last *protocol.BackEndAnnouncement) bool {
		listed = append(listed, last)
		return false
	})
	return listed
}

// without drops the back ends that were removed long before a time in Unix milliseconds.
func (a *announcements) without(at int64) *announcements {
	kept := a.byID.Txn()
	a.byID.Root().Walk(func(id []byte, last *protocol.BackEndAnnouncement) bool {
		if removed := last.GetRemovedAtMillis(); removed != 0 && at-removed > keptAnnouncement.Milliseconds() {
			kept.Delete(id)
		}
		return false
	})
	return &announcements{byID: kept.Commit()}
}

// outdated reports whether an announcement came after a later one of the same
// back end, or after the back end left. Zero is a sequence that is not numbered.
func (a *announcements) outdated(id string, incarnation, sequence uint64) bool {
	last := a.find(id)
	switch {
	case last == nil:
		return false
	case last.GetDeparted() && last.GetIncarnation() == 0:
		return last.GetSequence() == 0 || sequence <= last.GetSequence()
	case last.GetDeparted():
		return incarnation <= last.GetIncarnation()
	case incarnation != last.GetIncarnation():
		return sequence != 0 && incarnation < last.GetIncarnation()
	default:
		return sequence != 0 && sequence < last.GetSequence()
	}
}

// Outdated reports whether an announcement would change nothing because it came
// after a later one of the same back end, or after the back end left.
func (v *View) Outdated(id string, incarnation, sequence uint64) bool {
	return v.announced.outdated(id, incarnation, sequence)
}

// Departed reports whether a back end has left and is not in the view.
func (v *View) Removed(id string) bool {
	return v.BackEnd(id) == nil && v.announced.find(id).GetDeparted()
}

// noteAnnounced remembers a numbered announcement.
func (s *State) noteAnnounced(id string, incarnation, sequence uint64) {
	if sequence == 0 {
		return
	}
	s.announced = s.announced.with(&protocol.BackEndAnnouncement{Id: id, Incarnation: incarnation, Sequence: sequence})
}

// departureOf gives the departure that a command means, of the incarnation at
// hand when it names none, and whether the back end was ever known.
func (s *State) departureOf(command *protocol.RemoveBackEndCommand, at int64) (departed *protocol.BackEndAnnouncement, known bool) {
	held, last := findBackEnd(s.backEnds, command.GetId()), s.announced.find(command.GetId())
	incarnation := command.GetIncarnation()
	if incarnation == 0 {
		incarnation = max(held.GetIncarnation(), last.GetIncarnation())
	}
	return &protocol.BackEndAnnouncement{
		Id: command.GetId(), Incarnation: incarnation, Sequence: command.GetSequence(), RemovedAtMillis: at,
	}, held != nil || last != nil
}

// noteDeparted remembers that an incarnation left. Of a back end that was never
// known the departure counts for the announcements up to its sequence, or for all when it has none.
func (s *State) noteDeparted(departed *protocol.BackEndAnnouncement, known bool) {
	if known {
		departed.Sequence = 0
	}
	departed.Departed = true
	s.announced = s.announced.with(departed).without(departed.GetRemovedAtMillis())
}

// noteReplaced remembers that a back end gave its address to another one: it is
// not taken in again if it numbers its announcements.
func (s *State) noteReplaced(backEnd *protocol.BackEnd, at int64) {
	if s.announced.find(backEnd.GetId()) != nil {
		s.noteDeparted(&protocol.BackEndAnnouncement{Id: backEnd.GetId(), Incarnation: backEnd.GetIncarnation(), RemovedAtMillis: at}, true)
	}
}

// noteRemoved notes when a back end left the view.
func (s *State) noteRemoved(id string, at int64) {
	last := s.announced.find(id)
	if last == nil || last.GetDeparted() {
		return
	}
	removed := proto.CloneOf(last)
	removed.RemovedAtMillis = at
	s.announced = s.announced.with(removed).without(at)
}
