package replica

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/protocol"
)

// silentElectionTimeouts is how long a member hears no leader before it asks others where it stands.
const leaderContactTimeouts = 5

// keepJoined joins or founds a cluster while this member has none, and joins again when the
// others no longer know this member or know it at another address.
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

// SetSeeds replaces the addresses of other processes that are asked for the core, from the next attempt to join on.
func (r *Replica) SetSeeds(seeds []string) {
	own := slices.Clone(seeds)
	r.seeds.Store(&own)
}

func (r *Replica) ensureJoined(ctx context.Context, patience time.Duration) {
	view := r.view.Load()
	silent := r.options.Clock.Now().Sub(view.lastLeaderContact) >= leaderContactTimeouts*r.options.ElectionTimeout
	known := consensus.Member(view.status.Configuration, r.self.GetId())
	moved := known != nil && !sameMember(known, r.self)
	if view.clusterID != "" && !silent && !moved {
		return
	}
	if moved && view.status.Role == consensus.Leader {
		_ = r.runOnOwner(ctx, func() { r.owner.admit(r.self, false, make(chan proposalResult, 1)) })
		return
	}
	survey := r.survey(ctx, view, patience)
	r.updateAddresses(ctx, survey, view.clusterID)
	address, found := survey.clusterMember(view.clusterID, r.self)
	switch {
	case found:
		r.requestJoin(ctx, address, patience)
	case view.clusterID == "" && r.canFoundCluster(survey):
		_ = r.runOnOwner(ctx, r.owner.foundCluster)
	}
}

// learnAddresses notes where the members of this cluster are now: after a change of all
// addresses no leader could tell.
func (r *Replica) updateAddresses(ctx context.Context, survey *survey, clusterID string) {
	if clusterID == "" {
		return
	}
	_ = r.runOnOwner(ctx, func() {
		for address, status := range survey.statuses {
			if status.GetClusterId() == clusterID {
				r.owner.transport.observeAddress(status.GetId(), address)
			}
		}
	})
}

// join asks a member to be let in; the leader then sends the log.
func (r *Replica) requestJoin(ctx context.Context, address string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request := &protocol.Request{Body: &protocol.Request_JoinCore{JoinCore: &protocol.JoinCoreRequest{Member: r.self}}}
	if _, err := r.options.Caller.Call(ctx, address, request); err != nil {
		r.metrics.joinFailures.Inc()
	}
}

// mayFound decides whether this empty member founds a cluster: it must be the founder with the
// lowest address, every other founder must have said that it is empty, and nobody may have named a
// cluster. So a founder that lost its disk never founds a second one.
func (r *Replica) canFoundCluster(survey *survey) bool {
	own := r.self.GetAddress()
	if !slices.Contains(r.options.Founders, own) || survey.clusterNamed() {
		return false
	}
	for _, founder := range r.options.Founders {
		if founder == own {
			continue
		}
		if lowerAddress(founder, own) || !survey.statuses[founder].GetEmpty() {
			return false
		}
	}
	return true
}

// lowerAddress compares ip:port addresses by number, and others as text.
func lowerAddress(a, b string) bool {
	first, errFirst := netip.ParseAddrPort(a)
	second, errSecond := netip.ParseAddrPort(b)
	if errFirst != nil || errSecond != nil {
		return a < b
	}
	return first.Compare(second) < 0
}

// survey is what other processes said about the core.
type survey struct {
	mutex    sync.Mutex
	statuses map[string]*protocol.CoreStatusResponse
	located  map[string]*protocol.LocateCoreResponse
}

// survey asks founders, seeds and known members, and then the core processes they name, each of both for as long as it has
// patience: a machine without power uses up the time of those asked beside it, and must not use up that of what follows.
func (r *Replica) survey(ctx context.Context, view *view, patience time.Duration) *survey {
	result := &survey{
		statuses: map[string]*protocol.CoreStatusResponse{}, located: map[string]*protocol.LocateCoreResponse{},
	}
	addresses := slices.Concat(r.options.Founders, *r.seeds.Load())
	for _, member := range view.status.Configuration.GetMembers() {
		addresses = append(addresses, member.GetAddress())
	}
	asked := map[string]bool{r.self.GetAddress(): true, "": true}
	r.ask(ctx, result, addresses, asked, patience)
	r.ask(ctx, result, result.named(), asked, patience)
	return result
}

// ask asks each address that was not asked yet, all at once, and waits for the answers as long as it has patience.
func (r *Replica) ask(ctx context.Context, result *survey, addresses []string, asked map[string]bool, patience time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var running sync.WaitGroup
	for _, address := range addresses {
		if asked[address] {
			continue
		}
		asked[address] = true
		running.Add(2)
		go func() {
			defer running.Done()
			r.askStatus(ctx, result, address)
		}()
		go func() {
			defer running.Done()
			r.askLocation(ctx, result, address)
		}()
	}
	running.Wait()
}

func (r *Replica) askStatus(ctx context.Context, result *survey, address string) {
	request := &protocol.Request{Body: &protocol.Request_CoreStatus{CoreStatus: &protocol.CoreStatusRequest{}}}
	response, err := r.options.Caller.Call(ctx, address, request)
	if err != nil || response.GetCoreStatus() == nil {
		return
	}
	result.mutex.Lock()
	defer result.mutex.Unlock()
	result.statuses[address] = response.GetCoreStatus()
}

func (r *Replica) askLocation(ctx context.Context, result *survey, address string) {
	request := &protocol.Request{Body: &protocol.Request_LocateCore{LocateCore: &protocol.LocateCoreRequest{}}}
	response, err := r.options.Caller.Call(ctx, address, request)
	if err != nil || response.GetLocateCore() == nil {
		return
	}
	result.mutex.Lock()
	defer result.mutex.Unlock()
	result.located[address] = response.GetLocateCore()
}

// named lists the core addresses that were named, sorted.
func (s *survey) named() (addresses []string) {
	for _, location := range s.located {
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

func (s *survey) clusterNamed() bool {
	for _, status := range s.statuses {
		if status.GetClusterId() != "" {
			return true
		}
	}
	for _, location := range s.located {
		if location.GetClusterId() != "" || location.GetLeaderAddress() != "" {
			return true
		}
	}
	return false
}

// clusterMember picks the member to ask for admission: of the cluster that this member belongs
// to, or of any when it has none; a leader first, else the one with the newest term. None is picked when
// the newest configuration there holds this member as it is.
func (s *survey) clusterMember(clusterID string, self *protocol.CoreMember) (address string, found bool) {
	var best *protocol.CoreStatusResponse
	for _, candidate := range s.sortedAddresses() {
		status := s.statuses[candidate]
		if status.GetClusterId() == "" || clusterID != "" && status.GetClusterId() != clusterID {
			continue
		}
		if best == nil || rank(status) > rank(best) || rank(status) == rank(best) && status.GetTerm() > best.GetTerm() {
			address, best = candidate, status
		}
	}
	if best == nil {
		return "", false
	}
	known := consensus.Member(best.GetConfiguration(), self.GetId())
	return address, known == nil || !sameMember(known, self)
}

// sameMember reports whether two members agree in all but the vote.
func sameMember(a, b *protocol.CoreMember) bool {
	return a.GetId() == b.GetId() && a.GetAddress() == b.GetAddress() && a.GetName() == b.GetName() &&
		a.GetZone() == b.GetZone() && a.GetRegion() == b.GetRegion() && a.GetHttpAddress() == b.GetHttpAddress()
}

func (s *survey) sortedAddresses() (addresses []string) {
	for address := range s.statuses {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func rank(status *protocol.CoreStatusResponse) int {
	switch {
	case status.GetLeaderLease():
		return 2
	case status.GetLeader() != 0:
		return 1
	default:
		return 0
	}
}
