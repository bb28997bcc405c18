package controlstate

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// announcementRetention is how long the announcements of a back end are remembered
// after it was removed; none of them can arrive later than that.
const announcementRetention = time.Hour

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
	all := make([]*protocol.BackEndAnnouncement, 0, a.byID.Len())
	a.byID.Root().Walk(func(_ []byte, last *protocol.BackEndAnnouncement) bool {
		all = append(all, last)
		return false
	})
	return all
}

// withoutExpired drops the back ends that were removed longer than the retention before a time in Unix milliseconds.
func (a *announcements) withoutExpired(nowMillis int64) *announcements {
	remaining := a.byID.Txn()
	a.byID.Root().Walk(func(id []byte, last *protocol.BackEndAnnouncement) bool {
		if removed := last.GetRemovedAtMillis(); removed != 0 && nowMillis-removed > announcementRetention.Milliseconds() {
			remaining.Delete(id)
		}
		return false
	})
	return &announcements{byID: remaining.Commit()}
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
	return v.announcements.outdated(id, incarnation, sequence)
}

// Removed reports whether a back end has left and is not in the view.
func (v *View) Removed(id string) bool {
	return v.BackEnd(id) == nil && v.announcements.find(id).GetDeparted()
}

// recordAnnouncement remembers a numbered announcement.
func (s *State) recordAnnouncement(id string, incarnation, sequence uint64) {
	if sequence == 0 {
		return
	}
	s.announcements = s.announcements.with(&protocol.BackEndAnnouncement{
		Id: id, Incarnation: incarnation,
		Sequence: sequence,
	})
}

// resolveDeparture gives the departure that a command means, of the present
// incarnation when it names none, and whether the back end was ever known.
func (s *State) resolveDeparture(
	command *protocol.RemoveBackEndCommand, nowMillis int64,
) (departure *protocol.BackEndAnnouncement, known bool) {
	current, last := findBackEnd(s.backEnds, command.GetId()), s.announcements.find(command.GetId())
	incarnation := command.GetIncarnation()
	if incarnation == 0 {
		incarnation = max(current.GetIncarnation(), last.GetIncarnation())
	}
	return &protocol.BackEndAnnouncement{
		Id: command.GetId(), Incarnation: incarnation, Sequence: command.GetSequence(), RemovedAtMillis: nowMillis,
	}, current != nil || last != nil
}

// recordDeparture remembers that an incarnation left. Of a back end that was never
// known the departure counts for the announcements up to its sequence, or for all when it has none.
func (s *State) recordDeparture(departure *protocol.BackEndAnnouncement, known bool) {
	if known {
		departure.Sequence = 0
	}
	departure.Departed = true
	s.announcements = s.announcements.with(departure).withoutExpired(departure.GetRemovedAtMillis())
}

// recordReplacement remembers that another back end has the address of a back end: that one is
// not accepted again if it numbers its announcements.
func (s *State) recordReplacement(backEnd *protocol.BackEnd, nowMillis int64) {
	if s.announcements.find(backEnd.GetId()) != nil {
		s.recordDeparture(&protocol.BackEndAnnouncement{
			Id: backEnd.GetId(), Incarnation: backEnd.GetIncarnation(),
			RemovedAtMillis: nowMillis,
		}, true)
	}
}

// recordRemoval remembers when a back end was removed from the view.
func (s *State) recordRemoval(id string, nowMillis int64) {
	last := s.announcements.find(id)
	if last == nil || last.GetDeparted() {
		return
	}
	removed := proto.CloneOf(last)
	removed.RemovedAtMillis = nowMillis
	s.announcements = s.announcements.with(removed).withoutExpired(nowMillis)
}
