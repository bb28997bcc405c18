package coremembership

import (
	"github.com/rosestand/rosestand/internal/protocol"
)

// removeStandbyFactor is how many times longer than a voter a standby may be unresponsive before it
// is removed.
const removeStandbyFactor = 10

// Change is one step of membership.
type Change struct {
	Configuration *protocol.CoreConfiguration
	// Reason is for logs; it names the member.
	Reason string
}

// Plan decides the next change that the leader makes of its own accord, or nil.
func Plan(view *View) *Change {
	decisions := []func(*View) *Change{
		promoteMissingVoter, removeReplacedVoter, removeSupersededStandby, demoteSurplusVoter, removeUnresponsiveStandby,
	}
	for _, decide := range decisions {
		if change := decide(view); change != nil {
			return change
		}
	}
	return nil
}

// promoteMissingVoter promotes a standby while there are too few voters that are not lost.
func promoteMissingVoter(view *View) *Change {
	remaining := 0
	for _, voter := range view.voters() {
		if !view.isLost(voter) {
			remaining++
		}
	}
	if remaining >= view.TargetVoters {
		return nil
	}
	return promoteStandby(view)
}

// promoteStandby promotes a caught-up standby in the region with the fewest voters, and there in
// the zone with the fewest; nil when there is none.
func promoteStandby(view *View) *Change {
	spread := view.voterSpread()
	var best *protocol.CoreMember
	for _, member := range view.Configuration.GetMembers() {
		if member.GetVoter() || !view.isCaughtUp(member.GetId()) {
			continue
		}
		if best == nil || spread.compare(member, best) < 0 {
			best = member
		}
	}
	if best == nil {
		return nil
	}
	return &Change{
		Configuration: withVoter(view.Configuration, best.GetId(), true), Reason: "promote " + best.GetName(),
	}
}

// removeReplacedVoter removes a lost voter once there are enough voters without it.
func removeReplacedVoter(view *View) *Change {
	voters := view.voters()
	if len(voters) <= view.TargetVoters {
		return nil
	}
	for _, voter := range voters {
		if view.isLost(voter) && view.hasQuorumWithout(voter.GetId()) {
			return removal(view, voter, "remove lost voter ")
		}
	}
	return nil
}

func removeSupersededStandby(view *View) *Change {
	for _, member := range view.Configuration.GetMembers() {
		if !member.GetVoter() && view.isSuperseded(member) && !view.isAlive(member.GetId()) {
			return removal(view, member, "remove superseded standby ")
		}
	}
	return nil
}

// removeUnresponsiveStandby removes a standby without contact for very long: its machine was
// probably replaced by another one. If it returns it joins again.
func removeUnresponsiveStandby(view *View) *Change {
	for _, member := range view.Configuration.GetMembers() {
		if !member.GetVoter() && view.sinceContact(member.GetId()) >= removeStandbyFactor*view.ReplaceAfter {
			return removal(view, member, "remove unresponsive standby ")
		}
	}
	return nil
}

func removal(view *View, member *protocol.CoreMember, reason string) *Change {
	return &Change{
		Configuration: withoutMember(view.Configuration, member.GetId()), Reason: reason + member.GetName(),
	}
}

// demoteSurplusVoter makes one voter a standby when there are more than wanted and all are alive,
// as after a lost one returned: one of the region with the most voters, and there of the zone with
// the most, but never the leader.
func demoteSurplusVoter(view *View) *Change {
	voters := view.voters()
	if len(voters) <= view.TargetVoters {
		return nil
	}
	spread := view.voterSpread()
	var surplus *protocol.CoreMember
	for _, voter := range voters {
		if !view.isAlive(voter.GetId()) {
			return nil
		}
		if voter.GetId() == view.Self {
			continue
		}
		if surplus == nil || spread.compare(voter, surplus) >= 0 {
			surplus = voter
		}
	}
	return &Change{
		Configuration: withVoter(view.Configuration, surplus.GetId(), false), Reason: "demote " + surplus.GetName(),
	}
}
