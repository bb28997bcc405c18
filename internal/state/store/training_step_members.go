package store

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/placement"
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
	programs []string
	// next is the place in the order of hashes where the following page begins.
	next uint64
	last bool
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
	for first := true; !page.last; first = false {
		from := page.next
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
		programs = append(programs, page.programs...)
	}
	return programs, true, nil
}

// membersFrom looks at the next registers of a shard.
func (g *group) membersFrom(shard uint32, step string, from uint64, current *placement.Topology) membersPage {
	table := g.table(shard)
	page := membersPage{
		next:       from,
		counts:     table.view.Epoch == current.Shard(shard).Epoch && table.view.Role.Votes(),
		generation: table.generation,
	}
	if !page.counts {
		return page
	}
	for seen := 0; seen < membersPageRegisters && !page.last; {
		leaf, next := table.registers.Leaf(page.next)
		seen += len(leaf)
		for key, held := range leaf {
			if key.call == "" && isMember(held.state.Value, step) {
				page.programs = append(page.programs, key.program)
			}
		}
		page.next, page.last = next, next == 0
	}
	return page
}

// trainingStepField is the number of ProgramRecord.training_step.
const trainingStepField protowire.Number = 12

// isMember reports whether an encoded program record generates for the step. It skips all other fields unread.
func isMember(value []byte, step string) bool {
	for len(value) > 0 {
		number, kind, size := protowire.ConsumeTag(value)
		if size < 0 {
			return false
		}
		value = value[size:]
		if number == trainingStepField && kind == protowire.BytesType {
			encoded, size := protowire.ConsumeBytes(value)
			membership := &protocol.TrainingStepMembership{}
			return size >= 0 && proto.Unmarshal(encoded, membership) == nil && membership.GetStep() == step
		}
		if size = protowire.ConsumeFieldValue(number, kind, value); size < 0 {
			return false
		}
		value = value[size:]
	}
	return false
}

func (s *Store) serveListTrainingStep(request *protocol.ListTrainingStepRequest) (*protocol.Response, error) {
	answer, err := s.listMembersHere(request.GetStep(), s.watch.Current())
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_ListTrainingStep{ListTrainingStep: answer}}, nil
}
