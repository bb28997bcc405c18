// Package discovery queries other processes for the core, and decides from their responses where a process joins
// a cluster and whether it may found one.
//
// Taking a survey does the I/O; the decisions based on its result are pure. One goroutine takes a survey: it
// sends the requests in parallel and waits for all of them.
package discovery

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// Survey holds the responses of other processes, by their addresses.
type Survey struct {
	// mutex guards the maps while requests are in flight; they do not change afterwards.
	mutex     sync.Mutex
	statuses  map[string]*protocol.CoreStatusResponse
	locations map[string]*protocol.LocateCoreResponse

	caller  wire.Caller
	timeout time.Duration
	queried map[string]bool
}

// TakeSurvey queries the given addresses except own, and then the addresses of core processes in their
// responses. Each of the two steps takes at most the timeout: an unresponsive address uses up the time of the
// step in which it is queried, and must not use up that of the next one.
func TakeSurvey(
	ctx context.Context, caller wire.Caller, own string, addresses []string, timeout time.Duration,
) *Survey {
	survey := &Survey{
		statuses: map[string]*protocol.CoreStatusResponse{}, locations: map[string]*protocol.LocateCoreResponse{},
		caller: caller, timeout: timeout, queried: map[string]bool{own: true, "": true},
	}
	survey.query(ctx, addresses)
	survey.query(ctx, survey.reportedAddresses())
	return survey
}

// query queries in parallel all addresses that were not queried yet.
func (s *Survey) query(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var requests sync.WaitGroup
	for _, address := range addresses {
		if s.queried[address] {
			continue
		}
		s.queried[address] = true
		requests.Go(func() { s.queryStatus(ctx, address) })
		requests.Go(func() { s.queryLocation(ctx, address) })
	}
	requests.Wait()
}

func (s *Survey) queryStatus(ctx context.Context, address string) {
	request := &protocol.Request{Body: &protocol.Request_CoreStatus{CoreStatus: &protocol.CoreStatusRequest{}}}
	response, err := s.caller.Call(ctx, address, request)
	if err != nil || response.GetCoreStatus() == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.statuses[address] = response.GetCoreStatus()
}

func (s *Survey) queryLocation(ctx context.Context, address string) {
	request := &protocol.Request{Body: &protocol.Request_LocateCore{LocateCore: &protocol.LocateCoreRequest{}}}
	response, err := s.caller.Call(ctx, address, request)
	if err != nil || response.GetLocateCore() == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.locations[address] = response.GetLocateCore()
}

// reportedAddresses returns the addresses of core processes in the responses, sorted.
func (s *Survey) reportedAddresses() []string {
	var addresses []string
	for _, location := range s.locations {
		addresses = append(addresses, location.GetCoreAddresses()...)
	}
	for _, status := range s.statuses {
		for _, member := range status.GetConfiguration().GetMembers() {
			addresses = append(addresses, member.GetAddress())
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// MemberAddresses returns the addresses at which members of the cluster answered, by their ids.
func (s *Survey) MemberAddresses(clusterID string) map[uint64]string {
	members := map[uint64]string{}
	for _, address := range slices.Sorted(maps.Keys(s.statuses)) {
		if status := s.statuses[address]; status.GetClusterId() == clusterID {
			members[status.GetId()] = address
		}
	}
	return members
}

// JoinTarget returns the address of the member that is requested to admit self: a member of the given cluster, or
// of any cluster if the id is empty; preferably a leader, else the one with the newest term. ok is false if there
// is no such member, and if that member's configuration already contains self unchanged.
func (s *Survey) JoinTarget(clusterID string, self *protocol.CoreMember) (address string, ok bool) {
	var best *protocol.CoreStatusResponse
	for _, candidate := range slices.Sorted(maps.Keys(s.statuses)) {
		status := s.statuses[candidate]
		if status.GetClusterId() == "" || clusterID != "" && status.GetClusterId() != clusterID {
			continue
		}
		if best == nil || isBetterTarget(status, best) {
			address, best = candidate, status
		}
	}
	if best == nil {
		return "", false
	}
	configured := consensus.Member(best.GetConfiguration(), self.GetId())
	return address, configured == nil || !SameMember(configured, self)
}

func isBetterTarget(status, best *protocol.CoreStatusResponse) bool {
	if leadershipRank(status) != leadershipRank(best) {
		return leadershipRank(status) > leadershipRank(best)
	}
	return status.GetTerm() > best.GetTerm()
}

// leadershipRank ranks a leader with a lease above a process that has a leader, and that above all others.
func leadershipRank(status *protocol.CoreStatusResponse) int {
	switch {
	case status.GetLeaderLease():
		return 2
	case status.GetLeader() != 0:
		return 1
	default:
		return 0
	}
}

// CanFound reports whether the empty process at own founds a cluster: it must be the founder with the lowest
// address, every other founder must have reported that it is empty, and no response may name a cluster. So a
// founder that lost its disk never founds a second cluster.
func (s *Survey) CanFound(founders []string, own string) bool {
	if !slices.Contains(founders, own) || s.reportsCluster() {
		return false
	}
	for _, founder := range founders {
		if founder == own {
			continue
		}
		if isLowerAddress(founder, own) || !s.statuses[founder].GetEmpty() {
			return false
		}
	}
	return true
}

func (s *Survey) reportsCluster() bool {
	for _, status := range s.statuses {
		if status.GetClusterId() != "" {
			return true
		}
	}
	for _, location := range s.locations {
		if location.GetClusterId() != "" || location.GetLeaderAddress() != "" {
			return true
		}
	}
	return false
}

// isLowerAddress compares ip:port addresses numerically, and others as text.
func isLowerAddress(a, b string) bool {
	first, firstErr := netip.ParseAddrPort(a)
	second, secondErr := netip.ParseAddrPort(b)
	if firstErr != nil || secondErr != nil {
		return a < b
	}
	return first.Compare(second) < 0
}

// SameMember reports whether two members are equal except for the voter flag.
func SameMember(a, b *protocol.CoreMember) bool {
	return a.GetId() == b.GetId() && a.GetAddress() == b.GetAddress() && a.GetName() == b.GetName() &&
		a.GetZone() == b.GetZone() && a.GetRegion() == b.GetRegion() && a.GetHttpAddress() == b.GetHttpAddress()
}
