package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/coremembership"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// aliveElectionTimeouts is the number of election timeouts after a contact for which a member counts as alive.
	aliveElectionTimeouts = 2
	// promotableHeartbeats is the number of heartbeat intervals after a contact for which a standby may become a
	// voter.
	promotableHeartbeats = 3
	// identifyTimeout bounds the request to a process for its identity.
	identifyTimeout = 2 * time.Second
)

// AddMember requests the identity of the core process at the internal address and admits it. Errors: those of
// Identify and Admit.
func (r *Replica) AddMember(ctx context.Context, address string) (*protocol.CoreMember, error) {
	member, err := r.Identify(ctx, address)
	if err != nil {
		return nil, err
	}
	return member, r.Admit(ctx, member)
}

// Identify requests the identity of the core process at the internal address; nothing is changed. Errors:
// *MemberUnreachableError, *ClusterMismatchError.
func (r *Replica) Identify(ctx context.Context, address string) (*protocol.CoreMember, error) {
	status, err := r.StatusAt(ctx, address)
	if err != nil {
		return nil, err
	}
	return proto.CloneOf(status.GetSelf()), nil
}

// StatusAt requests the status of the core process at the internal address. Errors: *MemberUnreachableError,
// *ClusterMismatchError.
func (r *Replica) StatusAt(ctx context.Context, address string) (*protocol.CoreStatusResponse, error) {
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
	return status, nil
}

// Admit adds a member as a standby; the leader promotes it when it has caught up and a voter is needed. It
// returns when the change is committed; admitting an existing member succeeds. A member that was removed before
// is admitted again. Errors: those of Propose, *coremembership.MemberInUseError,
// *coremembership.InvalidMemberError, *coremembership.UnsafeChangeError, *consensus.ChangePendingError.
func (r *Replica) Admit(ctx context.Context, member *protocol.CoreMember) error {
	return r.admit(ctx, member, true)
}

func (r *Replica) admit(ctx context.Context, member *protocol.CoreMember, byOperator bool) error {
	return r.runProposal(ctx, func(done chan proposalResult) { r.owner.admit(member, byOperator, done) })
}

// runProposal runs a function on the owner goroutine that proposes a change, and waits for its outcome.
func (r *Replica) runProposal(ctx context.Context, propose func(done chan proposalResult)) error {
	done := make(chan proposalResult, 1)
	if err := r.runOnOwner(ctx, func() { propose(done) }); err != nil {
		return err
	}
	answer, err := r.awaitProposal(ctx, done)
	if err != nil {
		return err
	}
	return answer.err
}

// RemoveMember permanently removes the member with the given name or id: it cannot join again by itself. It
// returns when the change is committed, and succeeds for a member that was removed before. Before a voter is
// removed, a caught-up standby is promoted in its place. A leader that is to be removed itself transfers
// leadership and returns *NotLeaderError; the next leader then serves the request. Other errors: those of
// Propose, *coremembership.MemberUnknownError, *coremembership.UnsafeChangeError,
// *consensus.ChangePendingError.
func (r *Replica) RemoveMember(ctx context.Context, name string) error {
	for {
		promoted := false
		err := r.runProposal(ctx, func(done chan proposalResult) { promoted = r.owner.removeMember(name, done) })
		if err != nil || !promoted {
			return err
		}
	}
}

// TransferLeadership transfers leadership to the voter with the given name, or to the live voter with the
// longest log when name is empty, and returns when this member no longer leads. Errors: *NotLeaderError,
// *coremembership.MemberUnknownError, *coremembership.UnsafeChangeError when no voter took over within an
// election timeout, *UnknownOutcomeError.
func (r *Replica) TransferLeadership(ctx context.Context, name string) error {
	done := make(chan error, 1)
	if err := r.runOnOwner(ctx, func() { r.owner.transferTo(name, done) }); err != nil {
		return err
	}
	err := r.waitForError(ctx, done)
	var stopped *StoppedError
	if errors.As(err, &stopped) {
		// A member that stopped does not lead.
		return nil
	}
	return err
}

// proposeChange appends a configuration; done receives the outcome.
func (o *ownerLoop) proposeChange(change *coremembership.Change, done chan proposalResult) {
	index, err := o.node.ProposeConfiguration(change.Configuration, o.now())
	if err != nil {
		done <- proposalResult{err: o.callerError(err)}
		return
	}
	o.replica.metrics.membershipChanges.Inc()
	o.replica.logInfo("membership change proposed", "reason", change.Reason, "index", index)
	o.waiters.register(o.node.Term(), index, done)
}

// admit adds a member as a standby, or updates its addresses.
func (o *ownerLoop) admit(member *protocol.CoreMember, byOperator bool, done chan proposalResult) {
	if o.node.Role() != consensus.Leader {
		done <- proposalResult{err: o.replica.notLeader()}
		return
	}
	change, err := coremembership.Admit(o.membershipView(), member, byOperator)
	if err != nil || change == nil {
		done <- proposalResult{err: err}
		return
	}
	o.proposeChange(change, done)
}

// removeMember starts the next step of a removal. It reports whether that step is the promotion of a standby,
// after which the removal itself must still be requested.
func (o *ownerLoop) removeMember(name string, done chan proposalResult) (promoted bool) {
	if o.node.Role() != consensus.Leader {
		done <- proposalResult{err: o.replica.notLeader()}
		return false
	}
	step, change, err := coremembership.Remove(o.membershipView(), name)
	switch {
	case err != nil || step == coremembership.AlreadyRemoved:
		done <- proposalResult{err: err}
	case step == coremembership.TransferFirst:
		o.transferBeforeRemoval(done)
	default:
		o.proposeChange(change, done)
	}
	return err == nil && step == coremembership.PromoteFirst
}

// transferBeforeRemoval transfers leadership, so that the next leader can remove this member.
func (o *ownerLoop) transferBeforeRemoval(done chan proposalResult) {
	transferred := make(chan error, 1)
	o.transferTo("", transferred)
	select {
	case err := <-transferred:
		done <- proposalResult{err: err}
	default:
		done <- proposalResult{err: &NotLeaderError{}}
	}
}

// transferTo starts a transfer of leadership; done receives an error at once, or the outcome from
// finishLeadershipTransfers.
func (o *ownerLoop) transferTo(name string, done chan error) {
	if err := o.startTransfer(name); err != nil {
		done <- err
		return
	}
	o.transferWaiters = append(o.transferWaiters, done)
}

func (o *ownerLoop) startTransfer(name string) error {
	if o.node.Role() != consensus.Leader {
		return o.replica.notLeader()
	}
	target, err := coremembership.TransferTarget(o.membershipView(), name)
	if err != nil {
		return err
	}
	if err := o.node.Transfer(target, o.now()); err != nil {
		return o.callerError(err)
	}
	return nil
}

// finishLeadershipTransfers reports the outcome of a leadership transfer to its waiters.
func (o *ownerLoop) finishLeadershipTransfers(status *consensus.Status) {
	var result error
	switch {
	case len(o.transferWaiters) == 0:
		return
	case status.Role == consensus.Leader && status.Transferring:
		return
	case status.Role == consensus.Leader:
		result = &coremembership.UnsafeChangeError{Reason: "the other voter did not take over in time"}
	}
	for _, waiter := range o.transferWaiters {
		waiter <- result
	}
	o.transferWaiters = nil
}

func (o *ownerLoop) membershipView() *coremembership.View {
	status, options := o.node.Status(), o.replica.options
	peers := map[uint64]consensus.PeerStatus{}
	for _, peer := range status.Peers {
		peers[peer.ID] = peer
	}
	return &coremembership.View{
		Configuration: status.Configuration, Self: status.ID, LastIndex: status.LastIndex, Peers: peers,
		Now: o.now(), TargetVoters: options.TargetVoters,
		AliveWithin:      aliveElectionTimeouts * options.ElectionTimeout,
		ReplaceAfter:     options.ReplaceVoterAfter,
		PromotableWithin: promotableHeartbeats * options.HeartbeatInterval,
	}
}

// planMembership proposes the next membership change that the leader makes without a request.
func (o *ownerLoop) planMembership() {
	now := o.now()
	isActive := o.failure == nil && !o.leadingSince.IsZero() && now.Before(o.node.LeaseEnds(now))
	if !isActive || now.Before(o.nextPlan) {
		return
	}
	o.nextPlan = now.Add(o.planInterval())
	change := coremembership.Plan(o.membershipView())
	if change == nil {
		return
	}
	// The next step is due as soon as this one is committed: between a promotion and the removal that follows it,
	// the lost voter still counts towards the majority.
	o.nextPlan = now.Add(o.replica.options.HeartbeatInterval / ticksPerHeartbeat)
	o.proposeChange(change, make(chan proposalResult, 1))
}

func (o *ownerLoop) planInterval() time.Duration { return 2 * o.replica.options.HeartbeatInterval }
