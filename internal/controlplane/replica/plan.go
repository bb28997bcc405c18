package replica

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// goneLearnerFactor is how many times longer than a voter a standby may be silent before it is removed.
const removeStandbyFactor = 10

// caughtUpEntries is how many entries a learner may lag and still count as caught up.
const caughtUpEntries = 64

// membershipView is what a leader knows when it decides about its members.
type membershipView struct {
	configuration *protocol.CoreConfiguration
	self          uint64
	lastIndex     uint64
	contacts      map[uint64]consensus.PeerStatus
	now           time.Time
	targetVoters  int
	// aliveWithin is the silence below which a member counts as alive, goneAfter the one from
	// which it is to be replaced.
	aliveWithin, replaceAfter time.Duration
	// freshWithin is the silence below which a standby may become a voter: one that has just been lost must not, since a
	// majority of the voters might then be gone.
	promotableWithin time.Duration
}

// change is one step of membership and why it is taken.
type change struct {
	configuration *protocol.CoreConfiguration
	reason        string
}

// planChange decides the next membership change, or nil. Voters are added before the ones they
// replace are removed, and none is removed unless a majority of the rest is alive.
func planChange(view *membershipView) *change {
	decisions := []func(*membershipView) *change{
		promoteStandby, removeReplacedVoter, removeSupersededStandby, demoteSurplusVoter, removeUnresponsiveStandby,
	}
	for _, decide := range decisions {
		if found := decide(view); found != nil {
			return found
		}
	}
	return nil
}

func (v *membershipView) sinceContact(id uint64) time.Duration {
	if id == v.self {
		return 0
	}
	return v.now.Sub(v.contacts[id].LastContact)
}

func (v *membershipView) alive(id uint64) bool { return v.sinceContact(id) < v.aliveWithin }

// superseded reports whether a later member has the same name: the machine lost its disk and
// came back as a new member.
func (v *membershipView) superseded(member *protocol.CoreMember) bool {
	if member.GetId() == v.self {
		return false
	}
	after := false
	for _, other := range v.configuration.GetMembers() {
		if after && other.GetName() == member.GetName() {
			return true
		}
		after = after || other.GetId() == member.GetId()
	}
	return false
}

func (v *membershipView) lost(member *protocol.CoreMember) bool {
	return v.superseded(member) && !v.alive(member.GetId()) || v.sinceContact(member.GetId()) >= v.replaceAfter
}

func (v *membershipView) voters() (voters []*protocol.CoreMember) {
	for _, member := range v.configuration.GetMembers() {
		if member.GetVoter() {
			voters = append(voters, member)
		}
	}
	return voters
}

// votersBy counts the voters that are not lost in each region and each zone of it.
type voterSpread struct {
	regions map[string]int
	zones   map[failureDomain]int
}

// place is a zone within its region.
type failureDomain struct{ region, zone string }

func failureDomainOf(member *protocol.CoreMember) failureDomain {
	return failureDomain{region: member.GetRegion(), zone: member.GetZone()}
}

func (v *membershipView) voterSpread() voterSpread {
	counted := voterSpread{regions: map[string]int{}, zones: map[failureDomain]int{}}
	for _, voter := range v.voters() {
		if !v.lost(voter) {
			counted.regions[voter.GetRegion()]++
			counted.zones[failureDomainOf(voter)]++
		}
	}
	return counted
}

// compare orders members by the voters of their region, then by those of their zone.
func (c voterSpread) compare(a, b *protocol.CoreMember) int {
	return cmp.Or(
		cmp.Compare(c.regions[a.GetRegion()], c.regions[b.GetRegion()]),
		cmp.Compare(c.zones[failureDomainOf(a)], c.zones[failureDomainOf(b)]),
	)
}

// promoteStandby makes a caught-up learner a voter while there are too few that are not lost,
// preferring the region with fewest, then the zone with fewest.
func promoteStandby(view *membershipView) *change {
	kept := 0
	for _, voter := range view.voters() {
		if !view.lost(voter) {
			kept++
		}
	}
	if kept >= view.targetVoters {
		return nil
	}
	return promotion(view)
}

// promotion makes the best caught-up learner a voter, one in the region with fewest voters first, then in the zone with fewest; nil when there is none.
func promotion(view *membershipView) *change {
	counted := view.voterSpread()
	var best *protocol.CoreMember
	for _, member := range view.configuration.GetMembers() {
		if member.GetVoter() || !view.caughtUp(member.GetId()) {
			continue
		}
		if best == nil || counted.compare(member, best) < 0 {
			best = member
		}
	}
	if best == nil {
		return nil
	}
	return &change{configuration: withVoter(view.configuration, best.GetId(), true), reason: "promote " + best.GetName()}
}

// promotionBefore is what has to come before a voter is removed: a standby takes
// its place first, so that there are never fewer voters than wanted while one is
// at hand. Two voters could not bear the loss of either.
func promotionBeforeRemoval(view *membershipView, member *protocol.CoreMember) *change {
	if !member.GetVoter() || len(view.voters()) > view.targetVoters {
		return nil
	}
	return promotion(view)
}

func (v *membershipView) caughtUp(id uint64) bool {
	contact, known := v.contacts[id]
	return known && v.sinceContact(id) < v.promotableWithin && contact.Match > 0 && contact.Match+caughtUpEntries >= v.lastIndex
}

// removeReplacedVoter removes a lost voter once there are voters enough without it.
func removeReplacedVoter(view *membershipView) *change {
	voters := view.voters()
	if len(voters) <= view.targetVoters {
		return nil
	}
	for _, voter := range voters {
		if view.lost(voter) && view.safeWithout(voter.GetId()) {
			return &change{configuration: withoutMember(view.configuration, voter.GetId()), reason: "remove lost voter " + voter.GetName()}
		}
	}
	return nil
}

// safeWithout reports whether a majority of the voters that stay is alive.
func (v *membershipView) safeWithout(id uint64) bool {
	stay, alive := 0, 0
	for _, voter := range v.voters() {
		if voter.GetId() == id {
			continue
		}
		stay++
		if v.alive(voter.GetId()) {
			alive++
		}
	}
	return stay > 0 && alive >= consensus.Quorum(stay)
}

func removeSupersededStandby(view *membershipView) *change {
	for _, member := range view.configuration.GetMembers() {
		if !member.GetVoter() && view.superseded(member) && !view.alive(member.GetId()) {
			return &change{configuration: withoutMember(view.configuration, member.GetId()), reason: "remove former " + member.GetName()}
		}
	}
	return nil
}

// removeGoneLearner removes a standby that has been silent for very long, as one whose machine was replaced by another; if it
// comes back it joins again.
func removeUnresponsiveStandby(view *membershipView) *change {
	for _, member := range view.configuration.GetMembers() {
		if !member.GetVoter() && view.sinceContact(member.GetId()) >= removeStandbyFactor*view.replaceAfter {
			return &change{configuration: withoutMember(view.configuration, member.GetId()), reason: "remove gone standby " + member.GetName()}
		}
	}
	return nil
}

// demoteSurplusVoter makes one voter a standby when there are more than wanted and all are
// alive, as after a lost one came back; one of the region with most voters goes first, then of the
// zone with most, never the leader.
func demoteSurplusVoter(view *membershipView) *change {
	voters := view.voters()
	if len(voters) <= view.targetVoters {
		return nil
	}
	counted := view.voterSpread()
	var best *protocol.CoreMember
	for _, voter := range voters {
		if !view.alive(voter.GetId()) {
			return nil
		}
		if voter.GetId() == view.self {
			continue
		}
		if best == nil || counted.compare(voter, best) >= 0 {
			best = voter
		}
	}
	return &change{configuration: withVoter(view.configuration, best.GetId(), false), reason: "demote " + best.GetName()}
}

func cloneConfiguration(configuration *protocol.CoreConfiguration) *protocol.CoreConfiguration {
	return proto.Clone(configuration).(*protocol.CoreConfiguration)
}

func withVoter(configuration *protocol.CoreConfiguration, id uint64, voter bool) *protocol.CoreConfiguration {
	next := cloneConfiguration(configuration)
	consensus.Member(next, id).Voter = voter
	return next
}

func withoutMember(configuration *protocol.CoreConfiguration, id uint64) *protocol.CoreConfiguration {
	next := cloneConfiguration(configuration)
	kept := next.Members[:0]
	for _, member := range next.GetMembers() {
		if member.GetId() != id {
			kept = append(kept, member)
		}
	}
	next.Members = kept
	return next
}

// withMember adds a learner, or replaces what is known of a member but not its vote.
func withMember(configuration *protocol.CoreConfiguration, member *protocol.CoreMember) *protocol.CoreConfiguration {
	next := cloneConfiguration(configuration)
	added := proto.Clone(member).(*protocol.CoreMember)
	added.Voter = false
	for position, existing := range next.GetMembers() {
		if existing.GetId() == member.GetId() {
			added.Voter = existing.GetVoter()
			next.Members[position] = added
			return next
		}
	}
	next.Members = append(next.Members, added)
	return next
}
