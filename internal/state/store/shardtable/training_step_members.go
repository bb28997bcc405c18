package shardtable

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// membersPageRegisters is how many registers end a page of members, which goes on to the end
// of their leaf; so one page looks at fewer than membersPageRegisters + hashtree.MaxLeafEntries.
const membersPageRegisters = 512

// trainingStepField is the number of ProgramRecord.training_step.
const trainingStepField protowire.Number = 12

// MembersPage has the programs of a training step among some of a table's registers.
type MembersPage struct {
	Programs []string
	// Next is the position in the order of hashes at which the following page begins.
	Next uint64
	Last bool
}

// MembersFrom looks for programs of a training step, from a position in the order of hashes
// on. Of a program without a step it reads a few tags of the encoded value and decodes
// nothing. A scan in pages sees every register that is there from its begin to its end.
func (t *Table) MembersFrom(step string, from uint64) MembersPage {
	page := MembersPage{Next: from}
	for scanned := 0; scanned < membersPageRegisters && !page.Last; {
		leaf, next := t.Registers.Leaf(page.Next)
		scanned += len(leaf)
		for key, register := range leaf {
			if key.Call == "" && isMember(register.State.Value, step) {
				page.Programs = append(page.Programs, key.Program)
			}
		}
		page.Next, page.Last = next, next == 0
	}
	return page
}

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
