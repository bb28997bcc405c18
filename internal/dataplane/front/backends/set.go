package backends

import (
	"slices"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/schedule"
	"github.com/rosestand/rosestand/internal/protocol"
)

// GroupKey identifies a model or tool within a group.
type GroupKey struct {
	Group string
	Tool  bool
	Name  string
}

// Set holds the servers of one view. It is immutable, but shares its Servers with the set of the next view.
type Set struct {
	Version uint64
	ByID    map[string]*Server
	groups  map[GroupKey][]*Server
	// ByGroup lists each server of a group once, regardless of what it serves.
	ByGroup map[string][]*Server
}

// Next builds the set of a newer view and reuses the servers of this set.
func (b *Set) Next(view *protocol.BackEndView) *Set {
	updated := &Set{
		Version: view.GetVersion(),
		ByID:    make(map[string]*Server, len(view.GetBackEnds())),
		groups:  make(map[GroupKey][]*Server),
		ByGroup: make(map[string][]*Server),
	}
	for _, description := range view.GetBackEnds() {
		server := b.reuseOrCreate(description)
		updated.ByID[description.GetId()] = server
		updated.ByGroup[description.GetGroup()] = append(updated.ByGroup[description.GetGroup()], server)
		for _, model := range description.GetModels() {
			key := GroupKey{Group: description.GetGroup(), Name: model}
			updated.groups[key] = append(updated.groups[key], server)
		}
		for _, tool := range description.GetTools() {
			key := GroupKey{Group: description.GetGroup(), Tool: true, Name: tool}
			updated.groups[key] = append(updated.groups[key], server)
		}
	}
	for _, servers := range updated.groups {
		slices.SortFunc(servers, func(x, y *Server) int { return strings.Compare(x.ID(), y.ID()) })
	}
	return updated
}

// reuseOrCreate returns the existing server of the same incarnation, which keeps its load and health, or a new one.
func (b *Set) reuseOrCreate(description *protocol.BackEnd) *Server {
	server := b.ByID[description.GetId()]
	if server == nil || server.description.Load().GetIncarnation() != description.GetIncarnation() {
		server = &Server{}
	}
	server.description.Store(description)
	server.draining.Store(description.GetState() == protocol.BackEndState_DRAINING)
	return server
}

// Candidates returns a snapshot of servers for a scheduling policy.
func Candidates(servers []*Server, group *protocol.ServerGroup, now time.Time) []schedule.Candidate {
	snapshot := make([]schedule.Candidate, 0, len(servers))
	for _, server := range servers {
		description := server.description.Load()
		status := server.health(now)
		capacity := description.GetCapacity()
		if reported := server.capacity.Load(); reported > 0 {
			capacity = reported
		}
		running, queued := server.reportedLoad(now)
		age := time.Duration(0)
		if at := server.reportedAt.Load(); at > 0 {
			age = time.Duration(now.UnixNano() - at)
		}
		inFlight, _ := server.requests.load()
		snapshot = append(snapshot, schedule.Candidate{
			ID: description.GetId(), Zone: description.GetZone(), Region: description.GetRegion(),
			Draining: server.draining.Load(), Ejected: status.ejected,
			EjectedUntil: status.ejectedUntil, Unreachable: status.unreachable, RecentCalls: status.recentCalls,
			ReportAge: age, UsedTokens: server.cacheUsed.Load(), CacheTokens: server.cacheTotal.Load(),
			Capacity: capacity, InFlight: uint32(max(inFlight, 0)),
			Running: running, Queued: queued, InFlightAtReport: uint32(max(server.inFlightAtReport.Load(), 0)),
			Weight: zoneWeight(group, description.GetZone()) * status.weightShare,
		})
	}
	return snapshot
}

// IsUsable reports whether a candidate is neither draining nor ejected. Other candidates get requests only when none is
// usable.
func IsUsable(candidate schedule.Candidate) bool { return !candidate.Draining && !candidate.Ejected }

func zoneWeight(group *protocol.ServerGroup, zone string) float64 {
	if weight, set := group.GetZoneWeights()[zone]; set {
		return float64(weight)
	}
	return 1
}
