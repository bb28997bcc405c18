package steptrace

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/owner"
	"github.com/rosestand/rosestand/internal/state/store/placement"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

const (
	// listTimeout bounds the wait for the lists of all stores.
	listTimeout = 5 * time.Second
	// maxListBytes bounds the size of the names in one answer, below the maximum of a frame.
	maxListBytes = 8 << 20
)

// ListLocally lists the programs of a step in all shards for which this store's list counts.
// The error is a *failure.Error when there are too many for one answer.
func (s *Service) ListLocally(step string) (*protocol.ListTrainingStepResponse, error) {
	return s.listLocally(step, s.options.Placement.Current())
}

func (s *Service) listLocally(step string, current *placement.Topology) (*protocol.ListTrainingStepResponse, error) {
	answer := &protocol.ListTrainingStepResponse{PlacementEpoch: current.Epoch}
	size := 0
	for _, view := range current.Shards {
		if !view.Role.Votes() {
			continue
		}
		programs, counts, err := s.listShard(view.Shard, step, current)
		if err != nil {
			return nil, err
		}
		if !counts {
			continue
		}
		answer.Shards = append(answer.Shards, view.Shard)
		for _, program := range programs {
			size += len(program)
			answer.Programs = append(answer.Programs, &protocol.TrainingStepProgram{Program: program})
		}
		if size > maxListBytes {
			return nil, failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN,
				"the step has more programs than one answer holds")
		}
	}
	return answer, nil
}

// membersPage is the result of one command to the owner of a shard.
type membersPage struct {
	shardtable.MembersPage
	// counts is true when the list of this replica counts for the shard, provided that generation does not change
	// during the scan.
	counts     bool
	generation uint64
}

// listShard scans one shard. counts is false when the placement changed during the scan.
func (s *Service) listShard(
	shard uint32, step string, current *placement.Topology,
) (programs []string, counts bool, err error) {
	g := s.options.Groups.Of(shard)
	var page membersPage
	var generation uint64
	for first := true; !page.Last; first = false {
		from := page.Next
		page, err = owner.Call(g, func() membersPage { return membersFrom(g, shard, step, from, current) })
		if err != nil {
			return nil, false, err
		}
		if first {
			generation = page.generation
		}
		if !page.counts || page.generation != generation {
			return nil, false, nil
		}
		programs = append(programs, page.Programs...)
	}
	return programs, true, nil
}

// membersFrom scans the next registers of a shard, on the group's goroutine.
func membersFrom(g *owner.Group, shard uint32, step string, from uint64, current *placement.Topology) membersPage {
	table := g.Table(shard)
	page := membersPage{
		counts:     table.View.Epoch == current.Shard(shard).Epoch && table.View.Role.Votes(),
		generation: table.Generation,
	}
	if page.counts {
		page.MembersPage = table.MembersFrom(step, from)
	}
	return page
}

// memberList is the union of the stores' lists that were received so far.
type memberList struct {
	names    map[string]bool
	coverage *placement.Coverage
}

func newMemberList(current *placement.Topology) *memberList {
	return &memberList{names: map[string]bool{}, coverage: placement.NewCoverage(current)}
}

// merge adds the list of one store; answer is nil if the store did not answer.
func (l *memberList) merge(store string, answer *protocol.ListTrainingStepResponse) {
	l.coverage.Add(store, answer.GetShards(), answer.GetPlacementEpoch())
	for _, program := range answer.GetPrograms() {
		l.names[program.GetProgram()] = true
	}
}

// listAnswer is the list of one store; answer is nil if the store did not answer.
type listAnswer struct {
	store  string
	answer *protocol.ListTrainingStepResponse
}

// listMembers queries all stores for the programs of a step. complete is false unless a
// majority of each shard answered under the current placement.
func (s *Service) listMembers(ctx context.Context, step string) (names []string, complete bool, err error) {
	current := s.options.Placement.Current()
	if len(current.Shards) == 0 {
		return nil, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	var queries sync.WaitGroup
	defer queries.Wait()
	defer cancel()
	others := current.Stores(s.options.Store)
	answers := make(chan listAnswer, len(others))
	body := &protocol.Request_ListTrainingStep{ListTrainingStep: &protocol.ListTrainingStepRequest{Step: step}}
	for _, store := range others {
		queries.Go(func() {
			response, _ := s.options.Peers.Call(ctx, store, &protocol.Request{Body: body})
			answers <- listAnswer{store: store, answer: response.GetListTrainingStep()}
		})
	}
	local, err := s.listLocally(step, current)
	if err != nil {
		return nil, false, err
	}
	list := newMemberList(current)
	list.merge(s.options.Store, local)
	for range others {
		if list.coverage.IsComplete() {
			break
		}
		select {
		case next := <-answers:
			list.merge(next.store, next.answer)
		case <-ctx.Done():
			return nil, false, nil
		}
	}
	complete = list.coverage.IsComplete() && s.options.Placement.Current().Epoch == current.Epoch
	return slices.Sorted(maps.Keys(list.names)), complete, nil
}
