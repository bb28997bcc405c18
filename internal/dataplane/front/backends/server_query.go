package backends

import (
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
)

// ServerQuery holds the inputs for choosing a server for a request.
type ServerQuery struct {
	Key   GroupKey
	Index *bundle.Index
	// Affinity is the key of the shared prefix, Last the id of the server of the session's last turn.
	Affinity string
	Last     string
	Avoid    []string
	Zone     string
	Region   string
	Front    string
	// FrontNodes is the number of front nodes of the fleet.
	FrontNodes int
	Sequence   uint64
	// Prompt and Output are the prompt and the maximum output tokens of a turn of an HTTP route.
	Prompt promptcache.Prompt
	Output uint64
	// Step is set for a turn of a training step.
	Step *StepPlacement
}

// serversFor returns the servers of a group that serve a model or tool, or all of them when the key names none.
func (b *Set) serversFor(key GroupKey) []*Server {
	if key.Name == "" {
		return b.ByGroup[key.Group]
	}
	return b.groups[key]
}

// Choose runs the scheduling policy of the query's bundle. Servers without the pinned version of a training step are
// not candidates; the decision lists them with the reason.
func (b *Set) Choose(query ServerQuery, models *Models, now time.Time) schedule.Decision {
	group := query.Index.Group(query.Key.Group)
	policy := query.Index.Bundle().GetScheduling()
	request := schedule.Request{
		Algorithm: policy.GetAlgorithm(), LoadBound: policy.GetLoadBound(), SubsetSize: policy.GetSubsetSize(),
		Front: query.Front, Zone: query.Zone, Region: query.Region, ZoneLocalFirst: group.GetZoneLocalFirst(),
		AffinityKey: query.Affinity, LastServer: query.Last, Avoid: query.Avoid, Sequence: query.Sequence,
	}
	servers := b.serversFor(query.Key)
	var others []*Server
	if query.Step != nil {
		servers, others = query.Step.Pin.split(servers, now)
	}
	snapshot := Candidates(servers, group, now)
	models.annotate(&request, query.Key.Group, query.Prompt, snapshot, now)
	request.OutputTokens = query.Output
	usedServers := min(schedule.SubsetSize(policy.GetSubsetSize()), len(snapshot))
	request.FrontsAtServer = float64(frontNodesPerServer(query.FrontNodes, usedServers, len(snapshot)))
	if query.Step != nil {
		request.Step = &query.Step.Work
		used := schedule.Subset(query.Front, query.Zone, policy.GetSubsetSize(), snapshot)
		b.addStepLoad(snapshot, frontNodesPerServer(query.Step.FrontNodes, len(used), len(snapshot)))
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	decision := schedule.Choose(request, snapshot, random)
	for _, server := range others {
		decision.Scores = append(decision.Scores, schedule.Score{ID: server.ID(), Reason: schedule.ReasonOtherVersion})
	}
	return decision
}
