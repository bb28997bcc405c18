package controlstate

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// announcementRetention is how long the last announcement of a back end is retained after the back end was removed.
// No announcement arrives later than that.
const announcementRetention = time.Hour

// announcements has the last numbered announcement of each back end and the departures of back ends. It is immutable:
// changes return a new value.
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

// withoutExpired drops the back ends that were removed more than announcementRetention before a time in Unix
// milliseconds.
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

// outdated reports whether a later announcement of the same back end, or its departure, was applied before. A sequence
// of zero means that the announcement is not numbered.
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

// Outdated reports whether an announcement would be ignored because a later one of the same back end, or its departure,
// was applied before.
func (v *View) Outdated(id string, incarnation, sequence uint64) bool {
	return v.announcements.outdated(id, incarnation, sequence)
}

// Removed reports whether a back end departed and is not in the view.
func (v *View) Removed(id string) bool {
	return v.BackEnd(id) == nil && v.announcements.find(id).GetDeparted()
}

// recordAnnouncement stores a numbered announcement as the last one of its back end; others are not stored.
func (s *State) recordAnnouncement(id string, incarnation, sequence uint64) {
	if sequence == 0 {
		return
	}
	s.announcements = s.announcements.with(&protocol.BackEndAnnouncement{
		Id: id, Incarnation: incarnation,
		Sequence: sequence,
	})
}

// resolveDeparture returns the departure that a command reports, and whether the state has the back end or an
// announcement of it. A command without an incarnation means the latest one.
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

// recordDeparture stores the departure of an incarnation. For an unknown back end, the departure outdates only the
// announcements up to its sequence, or all of them when it has no sequence.
func (s *State) recordDeparture(departure *protocol.BackEndAnnouncement, known bool) {
	if known {
		departure.Sequence = 0
	}
	departure.Departed = true
	s.announcements = s.announcements.with(departure).withoutExpired(departure.GetRemovedAtMillis())
}

// recordReplacement stores that another back end took over the address of a back end, so that later announcements of
// the replaced incarnation are outdated. It applies only to back ends that number their announcements.
func (s *State) recordReplacement(backEnd *protocol.BackEnd, nowMillis int64) {
	if s.announcements.find(backEnd.GetId()) != nil {
		s.recordDeparture(&protocol.BackEndAnnouncement{
			Id: backEnd.GetId(), Incarnation: backEnd.GetIncarnation(),
			RemovedAtMillis: nowMillis,
		}, true)
	}
}

// recordRemoval stores when a back end was removed from the view, which starts the retention of its announcement.
func (s *State) recordRemoval(id string, nowMillis int64) {
	last := s.announcements.find(id)
	if last == nil || last.GetDeparted() {
		return
	}
	removed := proto.CloneOf(last)
	removed.RemovedAtMillis = nowMillis
	s.announcements = s.announcements.with(removed).withoutExpired(nowMillis)
}
