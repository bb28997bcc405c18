package coremembership

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// caughtUpEntries is the number of log entries that a caught-up standby may lag behind the leader.
const caughtUpEntries = 64

// View is the state of the group, as seen by its leader, that changes are planned on. It is read-only.
type View struct {
	// Configuration is the newest configuration of the group, committed or not.
	Configuration *protocol.CoreConfiguration
	// Self is the id of the leader, and LastIndex the index of the last entry of its log.
	Self      uint64
	LastIndex uint64
	// Peers are the other members, keyed by id.
	Peers map[uint64]consensus.PeerStatus
	Now   time.Time
	// TargetVoters is the number of voters that the group should have.
	TargetVoters int
	// A member counts as alive while the time since its last contact is below AliveWithin; a voter is replaced once
	// that time reaches ReplaceAfter.
	AliveWithin, ReplaceAfter time.Duration
	// PromotableWithin is the time since the last contact below which a standby may be promoted. It is short, since
	// the promotion of a standby that has just been lost could leave the voters without a live majority.
	PromotableWithin time.Duration
}

func (v *View) sinceContact(id uint64) time.Duration {
	if id == v.Self {
		return 0
	}
	return v.Now.Sub(v.Peers[id].LastContact)
}

func (v *View) isAlive(id uint64) bool { return v.sinceContact(id) < v.AliveWithin }

// isSuperseded reports whether a member that joined later has the same name: the machine lost its disk and
// joined again under a new id.
func (v *View) isSuperseded(member *protocol.CoreMember) bool {
	if member.GetId() == v.Self {
		return false
	}
	isLater := false
	for _, other := range v.Configuration.GetMembers() {
		if isLater && other.GetName() == member.GetName() {
			return true
		}
		isLater = isLater || other.GetId() == member.GetId()
	}
	return false
}

// isLost reports whether a member is to be replaced: it has been unresponsive for ReplaceAfter, or it is superseded and
// not alive.
func (v *View) isLost(member *protocol.CoreMember) bool {
	id := member.GetId()
	return v.isSuperseded(member) && !v.isAlive(id) || v.sinceContact(id) >= v.ReplaceAfter
}

// isCaughtUp reports whether a standby is responsive and close enough to the end of the log to become a voter without
// delaying the next commits.
func (v *View) isCaughtUp(id uint64) bool {
	peer, known := v.Peers[id]
	return known && v.sinceContact(id) < v.PromotableWithin && peer.Match > 0 && peer.Match+caughtUpEntries >= v.LastIndex
}

func (v *View) voters() (voters []*protocol.CoreMember) {
	for _, member := range v.Configuration.GetMembers() {
		if member.GetVoter() {
			voters = append(voters, member)
		}
	}
	return voters
}

// hasQuorumWithout reports whether a majority of the voters is alive when the voter with that id is not counted.
func (v *View) hasQuorumWithout(id uint64) bool {
	remaining, alive := 0, 0
	for _, voter := range v.voters() {
		if voter.GetId() == id {
			continue
		}
		remaining++
		if v.isAlive(voter.GetId()) {
			alive++
		}
	}
	return remaining > 0 && alive >= consensus.Quorum(remaining)
}
