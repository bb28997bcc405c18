package shardtable

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// membersPageRegisters is the number of scanned registers after which a page of members ends. A
// page includes whole leaves, so it scans fewer than membersPageRegisters + hashtree.MaxLeafEntries.
const membersPageRegisters = 512

// trainingStepField is the field number of ProgramRecord.training_step.
const trainingStepField protowire.Number = 12

// MembersPage contains the programs of a training step among some of a table's registers.
type MembersPage struct {
	Programs []string
	// Next is the hash at which the following page begins.
	Next uint64
	Last bool
}

// MembersFrom returns programs of a training step whose registers' hashes are at least from. For
// a program without a step it reads a few tags of the encoded value and decodes nothing. A
// scan in pages visits every register that exists during the whole scan.
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

// isMember reports whether an encoded program record is a member of the step. It skips all other
// fields without decoding them.
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
