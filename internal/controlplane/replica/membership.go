package replica

import (
	"context"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// aliveElectionTimeouts is the silence, in election timeouts, below which a member is alive.
	aliveElectionTimeouts = 2
	// freshHeartbeats is the silence, in heartbeat intervals, below which a standby may become a voter.
	promotableHeartbeats = 3
	maxMembers           = 64
	maxRetired           = 64
)

// MemberRetiredError refuses a member that an operator removed; its folder must be emptied first.
type MemberRetiredError struct{ Name string }

// Error implements error.
func (e *MemberRetiredError) Error() string {
	return "core member " + e.Name + " was removed by an operator; empty its data folder to join anew"
}

// InvalidMemberError refuses a member without an id, a name or an address.
type InvalidMemberError struct{ Field string }

// Error implements error.
func (e *InvalidMemberError) Error() string { return "a core member needs its " + e.Field }

// identifyTimeout bounds the question to a process who it is.
const identifyTimeout = 2 * time.Second

// AddMember asks the core process at the internal address who it is and adds it. Errors: those of
// Identify and Admit.
func (r *Replica) AddMember(ctx context.Context, address string) (*protocol.CoreMember, error) {
	member, err := r.Identify(ctx, address)
	if err != nil {
		return nil, err
	}
	return member, r.Admit(ctx, member)
}

// Identify asks the core process at the internal address who it is; nothing is changed. Errors:
// *MemberUnreachableError, *ClusterMismatchError.
func (r *Replica) Identify(ctx context.Context, address string) (*protocol.CoreMember, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	request := &protocol.Request{Body: &protocol.Request_CoreStatus{CoreStatus: &protocol.CoreStatusRequest{}}}
	response, err := r.options.Caller.Call(ctx, address, request)
	if err != nil {
		return nil, &MemberUnreachableError{Address: address, Cause: err}
	}
	status := response.GetCoreStatus()
	if other, own := status.GetClusterId(), r.view.Load().clusterID; other != "" && other != own {
		return nil, &ClusterMismatchError{Own: own, Other: other}
	}
	return proto.CloneOf(status.GetSelf()), nil
}

// Admit adds a member as a learner; the leader promotes it when it has caught up and a voter is
// wanted. It is done when the change is committed; adding a member that is there succeeds. A
// member that was removed before is taken back. Errors: those of Propose, *MemberInUseError,
// *InvalidMemberError, *consensus.ChangePendingError.
func (r *Replica) Admit(ctx context.Context, member *protocol.CoreMember) error {
	done := make(chan proposalResult, 1)
	if err := r.runOnOwner(ctx, func() { r.owner.admit(member, true, done) }); err != nil {
		return err
	}
	answer, err := r.await(ctx, done)
	if err != nil {
		return err
	}
	return answer.err
}

// RemoveMember removes the member of that name or id for good: its id may not join again by itself.
// It is done when the change is committed, and succeeds for one that was removed before. A standby
// that has caught up takes a voter's place first. The leader hands leadership over when it is the one to go, and answers *NotLeaderError: ask the
// new leader then. Errors besides: those of Propose, *MemberUnknownError, *UnsafeChangeError,
// *consensus.ChangePendingError.
func (r *Replica) RemoveMember(ctx context.Context, name string) error {
	for {
		promoted := false
		done := make(chan proposalResult, 1)
		if err := r.runOnOwner(ctx, func() { promoted = r.owner.promoteOrRemove(name, done) }); err != nil {
			return err
		}
		answer, err := r.await(ctx, done)
		if err != nil {
			return err
		}
		if answer.err != nil || !promoted {
			return answer.err
		}
	}
}

// TransferLeadership hands leadership to the voter of that name, or to the most advanced voter
// when name is empty, and returns when this member no longer leads. Errors: *NotLeaderError,
// *MemberUnknownError, *UnsafeChangeError when it did not come about in an election timeout.
func (r *Replica) TransferLeadership(ctx context.Context, name string) error {
	done := make(chan error, 1)
	if err := r.runOnOwner(ctx, func() { r.owner.transferTo(name, done) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &UnknownOutcomeError{Cause: ctx.Err()}
	case <-r.stopped:
		return nil
	}
}

// proposeChange appends a configuration; done hears when it is committed.
func (o *owner) proposeChange(next *protocol.CoreConfiguration, reason string, done chan proposalResult) {
	index, err := o.node.ProposeConfiguration(next, o.now())
	if err != nil {
		done <- proposalResult{err: o.rejection(err)}
		return
	}
	o.replica.metrics.membershipChanges.Inc()
	o.replica.logInfo("membership change", "reason", reason, "index", index)
	o.waiters.register(o.node.Term(), index, done)
}

// admit adds a member as a learner, or brings its addresses up to date.
func (o *owner) admit(member *protocol.CoreMember, operator bool, done chan proposalResult) {
	if o.node.Role() != consensus.Leader {
		done <- proposalResult{err: o.replica.notLeader()}
		return
	}
	configuration, _ := o.node.Configuration()
	if err := o.checkAdmission(configuration, member, operator); err != nil {
		done <- proposalResult{err: err}
		return
	}
	next := withMember(configuration, member)
	next.Retired = withoutID(next.GetRetired(), member.GetId())
	if proto.Equal(next, configuration) {
		done <- proposalResult{}
		return
	}
	o.proposeChange(next, "admit "+member.GetName(), done)
}

func (o *owner) checkAdmission(configuration *protocol.CoreConfiguration, member *protocol.CoreMember, operator bool) error {
	switch {
	case member.GetId() == 0:
		return &InvalidMemberError{Field: "id"}
	case member.GetName() == "":
		return &InvalidMemberError{Field: "name"}
	case member.GetAddress() == "":
		return &InvalidMemberError{Field: "address"}
	case consensus.Member(configuration, member.GetId()) != nil:
		return nil
	case len(configuration.GetMembers()) >= maxMembers:
		return &UnsafeChangeError{Reason: "there are " + strconv.Itoa(maxMembers) + " members already"}
	}
	for _, retired := range configuration.GetRetired() {
		if retired.GetId() == member.GetId() && !operator {
			return &MemberRetiredError{Name: member.GetName()}
		}
	}
	view := o.membershipView()
	for _, other := range configuration.GetMembers() {
		if other.GetName() == member.GetName() && view.alive(other.GetId()) {
			return &MemberInUseError{Name: member.GetName()}
		}
	}
	return nil
}

// promoteOrRemove begins the next step of a removal; it reports whether that step
// is a standby's promotion, after which the removal is still to come.
func (o *owner) promoteOrRemove(name string, done chan proposalResult) (promoted bool) {
	configuration, _ := o.node.Configuration()
	member := findMember(configuration.GetMembers(), name)
	if o.node.Role() == consensus.Leader && member != nil && member.GetId() != o.replica.self.GetId() {
		if first := promotionBeforeRemoval(o.membershipView(), member); first != nil {
			o.proposeChange(first.configuration, first.reason, done)
			return true
		}
	}
	o.remove(name, done)
	return false
}

func (o *owner) remove(name string, done chan proposalResult) {
	if o.node.Role() != consensus.Leader {
		done <- proposalResult{err: o.replica.notLeader()}
		return
	}
	configuration, _ := o.node.Configuration()
	member := findMember(configuration.GetMembers(), name)
	if member == nil {
		if findMember(configuration.GetRetired(), name) == nil {
			done <- proposalResult{err: &MemberUnknownError{Member: name}}
			return
		}
		done <- proposalResult{}
		return
	}
	if member.GetId() == o.replica.self.GetId() {
		o.removeSelf(done)
		return
	}
	if member.GetVoter() && !o.membershipView().safeWithout(member.GetId()) {
		done <- proposalResult{err: &UnsafeChangeError{Reason: "no live majority would be left"}}
		return
	}
	next := withoutMember(configuration, member.GetId())
	next.Retired = append(withoutID(next.GetRetired(), member.GetId()), member)
	next.Retired = next.GetRetired()[max(0, len(next.GetRetired())-maxRetired):]
	o.proposeChange(next, "remove "+member.GetName(), done)
}

// removeSelf hands leadership over, so that the next leader can remove this member.
func (o *owner) removeSelf(done chan proposalResult) {
	transferred := make(chan error, 1)
	o.transferTo("", transferred)
	select {
	case err := <-transferred:
		done <- proposalResult{err: err}
	default:
		done <- proposalResult{err: &NotLeaderError{}}
	}
}

// findMember looks a member up by name, the newest first, or by its id.
func findMember(members []*protocol.CoreMember, name string) *protocol.CoreMember {
	for _, member := range slices.Backward(members) {
		if member.GetName() == name || strconv.FormatUint(member.GetId(), 10) == name {
			return member
		}
	}
	return nil
}

func withoutID(members []*protocol.CoreMember, id uint64) (kept []*protocol.CoreMember) {
	for _, member := range members {
		if member.GetId() != id {
			kept = append(kept, member)
		}
	}
	return kept
}

func (o *owner) transferTo(name string, done chan error) {
	target, err := o.transferTarget(name)
	if err == nil {
		err = o.node.Transfer(target, o.now())
		if err != nil {
			err = o.rejection(err)
		}
	}
	if err != nil {
		done <- err
		return
	}
	o.transferWaiters = append(o.transferWaiters, done)
}

func (o *owner) transferTarget(name string) (uint64, error) {
	if o.node.Role() != consensus.Leader {
		return 0, o.replica.notLeader()
	}
	status := o.node.Status()
	if name != "" {
		member := findMember(status.Configuration.GetMembers(), name)
		if member == nil {
			return 0, &MemberUnknownError{Member: name}
		}
		return member.GetId(), nil
	}
	view := o.membershipView()
	var best consensus.PeerStatus
	for _, contact := range status.Peers {
		if contact.Voter && view.alive(contact.ID) && (best.ID == 0 || contact.Match > best.Match) {
			best = contact
		}
	}
	if best.ID == 0 {
		return 0, &UnsafeChangeError{Reason: "no other voter is alive"}
	}
	return best.ID, nil
}

func (o *owner) finishTransfers(status *consensus.Status) {
	var result error
	switch {
	case len(o.transferWaiters) == 0:
		return
	case status.Role == consensus.Leader && status.Transferring:
		return
	case status.Role == consensus.Leader:
		result = &UnsafeChangeError{Reason: "the other voter did not take over in time"}
	}
	for _, waiter := range o.transferWaiters {
		waiter <- result
	}
	o.transferWaiters = nil
}

func (o *owner) membershipView() *membershipView {
	status, options := o.node.Status(), o.replica.options
	contacts := map[uint64]consensus.PeerStatus{}
	for _, contact := range status.Peers {
		contacts[contact.ID] = contact
	}
	return &membershipView{
		configuration: status.Configuration, self: status.ID, lastIndex: status.LastIndex,
		contacts: contacts, now: o.now(), targetVoters: options.TargetVoters,
		aliveWithin: aliveElectionTimeouts * options.ElectionTimeout, replaceAfter: options.ReplaceVoterAfter,
		promotableWithin: promotableHeartbeats * options.HeartbeatInterval,
	}
}

// planMembership lets the leader take the next step towards the wanted membership.
func (o *owner) planMembership() {
	now := o.now()
	if o.failure != nil || now.Before(o.nextPlan) || o.leadingSince.IsZero() || !now.Before(o.node.LeaseEnds(now)) {
		return
	}
	o.nextPlan = now.Add(o.planInterval())
	next := planChange(o.membershipView())
	if next == nil {
		return
	}
	// The step after this one is due as soon as this one is committed: between a promotion and the removal that it is for,
	// there is one voter too many that is lost.
	o.nextPlan = now.Add(o.replica.options.HeartbeatInterval / ticksPerHeartbeat)
	o.proposeChange(next.configuration, next.reason, make(chan proposalResult, 1))
}

func (o *owner) planInterval() time.Duration { return 2 * o.replica.options.HeartbeatInterval }
