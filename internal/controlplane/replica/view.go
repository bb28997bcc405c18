package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// maxLocateWait bounds the wait of a locate_core request; a longer wait_millis is reduced to it.
const maxLocateWait = time.Second

// view is the immutable state that the owner goroutine publishes for other goroutines.
type view struct {
	clusterID string
	status    consensus.Status
	// leaseEnds is the end of the leader lease; zero without one.
	leaseEnds time.Time
	// leadingSince is when this member had applied all that earlier leaders committed; zero while it
	// does not lead.
	leadingSince time.Time
	// leaderAddress is the newest known address of the leader, or empty.
	leaderAddress string
	// lastLeaderContact is when this member last followed a leader, or led.
	lastLeaderContact time.Time
	// leaderKnown is closed once a leader is known, in this view or a later one.
	leaderKnown <-chan struct{}
}

// leader returns the leader with its current address, or nil if none is known.
func (v *view) leader() *protocol.CoreMember {
	if v.status.Leader == 0 {
		return nil
	}
	leader := consensus.Member(v.status.Configuration, v.status.Leader)
	if leader == nil || v.leaderAddress == "" || v.leaderAddress == leader.GetAddress() {
		return leader
	}
	// The leader has moved; the configuration is not updated yet.
	moved := proto.CloneOf(leader)
	moved.Address = v.leaderAddress
	return moved
}

func (v *view) notLeader() *NotLeaderError {
	leader := v.leader()
	if v.status.Role == consensus.Leader {
		// This member is the leader but has no lease, and no other leader is known.
		leader = nil
	}
	return &NotLeaderError{LeaderAddress: leader.GetAddress(), LeaderHTTPAddress: leader.GetHttpAddress()}
}

// SetStopping makes the status say that the process was told to stop; Stop stops it.
func (r *Replica) SetStopping() { r.stopping.Store(true) }

// Status returns the status of this member.
func (r *Replica) Status() *protocol.CoreStatusResponse {
	view, now := r.view.Load(), r.options.Clock.Now()
	status := &protocol.CoreStatusResponse{
		Name: r.self.GetName(), Id: r.self.GetId(), Self: r.self,
		Term: view.status.Term, Leader: view.status.Leader, Commit: view.status.Commit,
		Applied: view.status.Applied, FirstIndex: view.status.FirstIndex,
		Configuration: view.status.Configuration, ClusterId: view.clusterID,
		Empty: view.clusterID == "", LeaderLease: r.IsLeader(),
		Stopping: r.stopping.Load(),
	}
	for _, peer := range view.status.Peers {
		status.Contacts = append(status.Contacts, &protocol.CoreMemberContact{
			Id: peer.ID, Match: peer.Match, SilentMillis: uint64(now.Sub(peer.LastContact) / time.Millisecond),
		})
	}
	return status
}

// locateCoreWithin returns as soon as a leader is known to this member, or after the wait.
func (r *Replica) locateCoreWithin(ctx context.Context, wait time.Duration) *protocol.LocateCoreResponse {
	if wait <= 0 {
		return r.locateCore()
	}
	timer := r.options.Clock.NewTimer(min(wait, maxLocateWait))
	defer timer.Stop()
	select {
	case <-r.view.Load().leaderKnown:
	case <-timer.C():
	case <-ctx.Done():
	case <-r.stopped:
	}
	return r.locateCore()
}

func (r *Replica) locateCore() *protocol.LocateCoreResponse {
	view := r.view.Load()
	leader := view.leader()
	response := &protocol.LocateCoreResponse{
		LeaderAddress: leader.GetAddress(), LeaderHttpAddress: leader.GetHttpAddress(),
		Term: view.status.Term, ClusterId: view.clusterID,
	}
	for _, member := range view.status.Configuration.GetMembers() {
		response.CoreAddresses = append(response.CoreAddresses, member.GetAddress())
	}
	return response
}
