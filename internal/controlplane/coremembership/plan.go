package coremembership

import (
	"github.com/rosestand/rosestand/internal/protocol"
)

// standbyRemovalFactor is the multiple of View.ReplaceAfter for which a standby may be unresponsive
// before it is removed.
const standbyRemovalFactor = 10

// Change is a change of the group's configuration by one member.
type Change struct {
	Configuration *protocol.CoreConfiguration
	// Reason is logged; it includes the name of the member.
	Reason string
}

// Plan returns the next change that the leader makes without an operator's order, or nil.
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

// promoteMissingVoter promotes a standby while there are fewer voters than the target, not counting lost ones.
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

// promoteStandby promotes a caught-up standby in the region with the fewest voters and, within it, in
// the zone with the fewest; nil when no standby is caught up.
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

// removeReplacedVoter removes a lost voter once there are more voters than the target and a majority of the others is
// alive.
func removeReplacedVoter(view *View) *Change {
	voters := view.voters()
	if len(voters) <= view.TargetVoters {
		return nil
	}
	for _, voter := range voters {
		if view.isLost(voter) && view.hasQuorumWithout(voter.GetId()) {
			return removeChange(view, voter, "remove lost voter ")
		}
	}
	return nil
}

// removeSupersededStandby removes an unresponsive standby whose machine joined again as another member.
func removeSupersededStandby(view *View) *Change {
	for _, member := range view.Configuration.GetMembers() {
		if !member.GetVoter() && view.isSuperseded(member) && !view.isAlive(member.GetId()) {
			return removeChange(view, member, "remove superseded standby ")
		}
	}
	return nil
}

// removeUnresponsiveStandby removes a standby that has been unresponsive for standbyRemovalFactor times
// ReplaceAfter: its machine has probably been replaced by another one. If it comes back, it joins again.
func removeUnresponsiveStandby(view *View) *Change {
	for _, member := range view.Configuration.GetMembers() {
		if !member.GetVoter() && view.sinceContact(member.GetId()) >= standbyRemovalFactor*view.ReplaceAfter {
			return removeChange(view, member, "remove unresponsive standby ")
		}
	}
	return nil
}

func removeChange(view *View, member *protocol.CoreMember, reason string) *Change {
	return &Change{
		Configuration: withoutMember(view.Configuration, member.GetId()), Reason: reason + member.GetName(),
	}
}

// demoteSurplusVoter demotes one voter to a standby when there are more voters than the target and all of them are
// alive, as after the return of a lost voter. It selects one in the region with the most voters and, within it, in the
// zone with the most, but never the leader.
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
