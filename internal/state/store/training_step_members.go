package store

import (
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/placement"
	"github.com/rosestand/rosestand/internal/state/store/shardtable"
)

const (
	// membersPageRegisters is how many registers end a page, which goes on to the end of their leaf; so one
	// command of a group's mailbox looks at fewer than membersPageRegisters + largestLeaf.
	membersPageRegisters = 512
	// maximumMembersBytes bounds the names that one answer lists, below what a frame holds.
	maximumMembersBytes = 8 << 20
)

// The programs of a training step are found by a scan over the registers that
// this replica holds. An index by step would have to be kept up at each accepted
// value, also of programs without a step, and would take memory for each
// member; a trace is asked for a few times a step at most. The scan goes page by
// page, each a command of its own in the group's mailbox, so other requests
// wait for one page only. Of a register without a step it reads a few tags of the
// encoded value and decodes nothing.

// membersPage is what one look at a shard gave.
type membersPage struct {
	shardtable.MembersPage
	// counts says that the word of this replica counts for the shard, as long as generation stays the same.
	counts     bool
	generation uint64
}

// listMembersHere names the programs of a step in all shards for which the word of this store counts.
func (s *Store) listMembersHere(step string, current *placement.Topology) (*protocol.ListTrainingStepResponse, error) {
	answer := &protocol.ListTrainingStepResponse{PlacementEpoch: current.Epoch}
	bytes := 0
	for _, view := range current.Shards {
		if !view.Role.Votes() {
			continue
		}
		programs, counts, err := s.listMembersOf(view.Shard, step, current)
		if err != nil {
			return nil, err
		}
		if !counts {
			continue
		}
		answer.Shards = append(answer.Shards, view.Shard)
		for _, program := range programs {
			bytes += len(program)
			answer.Programs = append(answer.Programs, &protocol.TrainingStepProgram{Program: program})
		}
		if bytes > maximumMembersBytes {
			return nil, failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN, "the step has more programs than one answer holds")
		}
	}
	return answer, nil
}

// listMembersOf scans one shard. counts is false when the placement changed meanwhile.
func (s *Store) listMembersOf(shard uint32, step string, current *placement.Topology) (programs []string, counts bool, err error) {
	g := s.group(shard)
	var page membersPage
	var generation uint64
	for first := true; !page.Last; first = false {
		from := page.Next
		page, err = ask(g, func() membersPage { return g.membersFrom(shard, step, from, current) })
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

// membersFrom looks at the next registers of a shard.
func (g *group) membersFrom(shard uint32, step string, from uint64, current *placement.Topology) membersPage {
	table := g.table(shard)
	page := membersPage{
		counts:     table.View.Epoch == current.Shard(shard).Epoch && table.View.Role.Votes(),
		generation: table.Generation,
	}
	if !page.counts {
		return page
	}
	page.MembersPage = table.MembersFrom(step, from)
	return page
}

func (s *Store) serveListTrainingStep(request *protocol.ListTrainingStepRequest) (*protocol.Response, error) {
	answer, err := s.listMembersHere(request.GetStep(), s.watch.Current())
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_ListTrainingStep{ListTrainingStep: answer}}, nil
}
