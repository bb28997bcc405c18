package replica

import (
	"context"
	"slices"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/replica/discovery"
	"github.com/rosestand/rosestand/internal/protocol"
)

// leaderContactTimeouts is the number of election timeouts without contact to a leader after which a
// member queries other processes.
const leaderContactTimeouts = 5

// joinLoop joins or founds a cluster while this member belongs to none, and joins again when the other
// members have removed it, or have another address for it. It runs on its own goroutine, which Start starts.
func (r *Replica) joinLoop(ctx context.Context) {
	interval := r.options.ElectionTimeout / 2
	for {
		r.ensureJoined(ctx, interval)
		timer := r.options.Clock.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.stopped:
			timer.Stop()
			return
		case <-timer.C():
		}
	}
}

// SetSeeds replaces the addresses of other processes that are queried for the core. The next attempt to join
// uses them.
func (r *Replica) SetSeeds(seeds []string) {
	own := slices.Clone(seeds)
	r.seeds.Store(&own)
}

// ensureJoined makes one attempt to join or found a cluster, if one is needed. The timeout bounds each of its
// steps.
func (r *Replica) ensureJoined(ctx context.Context, timeout time.Duration) {
	view := r.view.Load()
	sinceContact := r.options.Clock.Now().Sub(view.lastLeaderContact)
	isOutOfContact := sinceContact >= leaderContactTimeouts*r.options.ElectionTimeout
	configured := consensus.Member(view.status.Configuration, r.self.GetId())
	hasMoved := configured != nil && !discovery.SameMember(configured, r.self)
	if view.clusterID != "" && !isOutOfContact && !hasMoved {
		return
	}
	if hasMoved && view.status.Role == consensus.Leader {
		_ = r.runOnOwner(ctx, func() { r.owner.admit(r.self, false, make(chan proposalResult, 1)) })
		return
	}
	survey := discovery.TakeSurvey(ctx, r.options.Caller, r.self.GetAddress(), r.knownAddresses(view), timeout)
	r.updateAddresses(ctx, survey, view.clusterID)
	address, ok := survey.JoinTarget(view.clusterID, r.self)
	switch {
	case ok:
		r.requestJoin(ctx, address, timeout)
	case view.clusterID == "" && survey.CanFound(r.options.Founders, r.self.GetAddress()):
		_ = r.runOnOwner(ctx, r.owner.foundCluster)
	}
}

// knownAddresses returns the addresses of the founders, the seeds and the members.
func (r *Replica) knownAddresses(view *view) []string {
	addresses := slices.Concat(r.options.Founders, *r.seeds.Load())
	for _, member := range view.status.Configuration.GetMembers() {
		addresses = append(addresses, member.GetAddress())
	}
	return addresses
}

// updateAddresses passes the current addresses of this cluster's members to the transport: after a change of
// all addresses there is no leader from which it could learn them.
func (r *Replica) updateAddresses(ctx context.Context, survey *discovery.Survey, clusterID string) {
	if clusterID == "" {
		return
	}
	_ = r.runOnOwner(ctx, func() {
		for id, address := range survey.MemberAddresses(clusterID) {
			r.owner.transport.ObserveAddress(id, address)
		}
	})
}

// requestJoin sends a member the request to admit this process; the leader then sends this process the log.
func (r *Replica) requestJoin(ctx context.Context, address string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &protocol.Request{Body: &protocol.Request_JoinCore{JoinCore: &protocol.JoinCoreRequest{Member: r.self}}}
	if _, err := r.options.Caller.Call(ctx, address, request); err != nil {
		r.metrics.joinFailures.Inc()
	}
}
