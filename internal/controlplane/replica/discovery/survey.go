// Package discovery finds out what other processes know of the core, and decides from their answers
// where a process joins a cluster and whether it may found one.
//
// A survey does the I/O; the decisions on its result are pure. A survey is taken by one goroutine,
// which waits for the requests that it sends in parallel.
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

// Survey is what other processes answered, by their addresses.
type Survey struct {
	// mutex guards the maps while requests are in flight; they do not change afterwards.
	mutex     sync.Mutex
	statuses  map[string]*protocol.CoreStatusResponse
	locations map[string]*protocol.LocateCoreResponse

	caller  wire.Caller
	timeout time.Duration
	queried map[string]bool
}

// TakeSurvey queries the given addresses, but for own, and then the core processes that those name. Each
// of the two steps lasts for the timeout at most: an address that answers nothing uses up the time
// of those queried beside it, and must not use up that of the ones queried next.
func TakeSurvey(ctx context.Context, caller wire.Caller, own string, addresses []string, timeout time.Duration) *Survey {
	survey := &Survey{
		statuses: map[string]*protocol.CoreStatusResponse{}, locations: map[string]*protocol.LocateCoreResponse{},
		caller: caller, timeout: timeout, queried: map[string]bool{own: true, "": true},
	}
	survey.query(ctx, addresses)
	survey.query(ctx, survey.namedAddresses())
	return survey
}

// query queries all addresses in parallel that were not queried yet.
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

// namedAddresses lists the addresses of core processes in the answers, sorted.
func (s *Survey) namedAddresses() []string {
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

// JoinTarget picks the member that is requested to admit self: of the given cluster, or of any if
// the id is empty; a leader first, else the one with the newest term. It is false without such a
// member, and when that member's configuration has self as it is.
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
	known := consensus.Member(best.GetConfiguration(), self.GetId())
	return address, known == nil || !SameMember(known, self)
}

func isBetterTarget(status, best *protocol.CoreStatusResponse) bool {
	if leadership(status) != leadership(best) {
		return leadership(status) > leadership(best)
	}
	return status.GetTerm() > best.GetTerm()
}

// leadership ranks a leader with a lease over a process that knows a leader, and that over others.
func leadership(status *protocol.CoreStatusResponse) int {
	switch {
	case status.GetLeaderLease():
		return 2
	case status.GetLeader() != 0:
		return 1
	default:
		return 0
	}
}

// CanFound decides whether the empty process at own founds a cluster: it is the founder with the
// lowest address, every other founder has answered that it is empty, and no answer names a cluster.
// So a founder that lost its disk never founds a second cluster.
func (s *Survey) CanFound(founders []string, own string) bool {
	if !slices.Contains(founders, own) || s.namesCluster() {
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

func (s *Survey) namesCluster() bool {
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

// isLowerAddress compares ip:port addresses by number, and others as text.
func isLowerAddress(a, b string) bool {
	first, firstErr := netip.ParseAddrPort(a)
	second, secondErr := netip.ParseAddrPort(b)
	if firstErr != nil || secondErr != nil {
		return a < b
	}
	return first.Compare(second) < 0
}

// SameMember reports whether two members agree in all but the voter flag.
func SameMember(a, b *protocol.CoreMember) bool {
	return a.GetId() == b.GetId() && a.GetAddress() == b.GetAddress() && a.GetName() == b.GetName() &&
		a.GetZone() == b.GetZone() && a.GetRegion() == b.GetRegion() && a.GetHttpAddress() == b.GetHttpAddress()
}
