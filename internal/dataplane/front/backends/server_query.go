package backends

import (
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/dataplane/promptcache"
	"github.com/rosestand/rosestand/internal/dataplane/schedule"
)

// ServerQuery is what the choice of a server for a request depends on.
type ServerQuery struct {
	Key   GroupKey
	Index *bundle.Index
	// Affinity is the key of the shared prefix, Last the server of the session's last turn.
	Affinity string
	Last     string
	Avoid    []string
	Zone     string
	Region   string
	Front    string
	// FrontNodes is the number of front nodes of the fleet.
	FrontNodes int
	Sequence   uint64
	// Prompt and Output, in tokens, are those of a turn of an HTTP route.
	Prompt promptcache.Prompt
	Output uint64
	// Step is set for a turn of a training step.
	Step *StepPlacement
}

// serving returns the servers of a group that serve a model or tool, or all of them when none is named.
func (b *Set) serving(key GroupKey) []*Server {
	if key.Name == "" {
		return b.ByGroup[key.Group]
	}
	return b.groups[key]
}

// Choose runs the scheduling policy of the placement's bundle.
func (b *Set) Choose(p ServerQuery, models *Models, now time.Time) schedule.Decision {
	group := p.Index.Group(p.Key.Group)
	policy := p.Index.Bundle().GetScheduling()
	request := schedule.Request{
		Algorithm: policy.GetAlgorithm(), LoadBound: policy.GetLoadBound(), SubsetSize: policy.GetSubsetSize(),
		Front: p.Front, Zone: p.Zone, Region: p.Region, ZoneLocalFirst: group.GetZoneLocalFirst(),
		AffinityKey: p.Affinity, LastServer: p.Last, Avoid: p.Avoid, Sequence: p.Sequence,
	}
	servers := b.serving(p.Key)
	var others []*Server
	if p.Step != nil {
		servers, others = p.Step.Pin.split(servers, now)
	}
	snapshot := Candidates(servers, group, now)
	models.annotate(&request, p.Key.Group, p.Prompt, snapshot, now)
	request.OutputTokens = p.Output
	usedServers := min(schedule.SubsetSize(policy.GetSubsetSize()), len(snapshot))
	request.FrontsAtServer = float64(frontNodesPerServer(p.FrontNodes, usedServers, len(snapshot)))
	if p.Step != nil {
		request.Step = &p.Step.Work
		used := schedule.Subset(p.Front, p.Zone, policy.GetSubsetSize(), snapshot)
		b.addStepLoad(snapshot, frontNodesPerServer(p.Step.FrontNodes, len(used), len(snapshot)))
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	decision := schedule.Choose(request, snapshot, random)
	for _, server := range others {
		decision.Scores = append(decision.Scores, schedule.Score{ID: server.ID(), Reason: schedule.ReasonOtherVersion})
	}
	return decision
}
