package coremembership

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// caughtUpEntries is how many entries a standby may lag and still count as caught up.
const caughtUpEntries = 64

// View is what a leader knows of the group when it decides about its members. It is not modified.
type View struct {
	// Configuration is the newest one, committed or not.
	Configuration *protocol.CoreConfiguration
	// Self is the id of the leader, and LastIndex the last entry of its log.
	Self      uint64
	LastIndex uint64
	// Peers are the other members by id.
	Peers map[uint64]consensus.PeerStatus
	Now   time.Time
	// TargetVoters is the number of voters that is wanted.
	TargetVoters int
	// AliveWithin is the time since the last contact below which a member counts as alive, and
	// ReplaceAfter that from which a voter is replaced.
	AliveWithin, ReplaceAfter time.Duration
	// PromotableWithin is the time since the last contact below which a standby may be promoted.
	// It is short: a standby that was just lost would leave the voters without a live majority.
	PromotableWithin time.Duration
}

func (v *View) sinceContact(id uint64) time.Duration {
	if id == v.Self {
		return 0
	}
	return v.Now.Sub(v.Peers[id].LastContact)
}

func (v *View) isAlive(id uint64) bool { return v.sinceContact(id) < v.AliveWithin }

// isSuperseded reports whether a later member has the same name: the machine lost its disk and
// joined again as a new member.
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

// isLost reports whether a member is to be replaced.
func (v *View) isLost(member *protocol.CoreMember) bool {
	id := member.GetId()
	return v.isSuperseded(member) && !v.isAlive(id) || v.sinceContact(id) >= v.ReplaceAfter
}

// isCaughtUp reports whether a standby can become a voter without delay to the next commits.
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

// hasQuorumWithout reports whether a majority of the voters other than the given one is alive.
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
