package store

import (
	"io"

	"github.com/rosestand/rosestand/internal/state/store/datafolder"
)

// saveRegisters writes a snapshot of all registers. Every change that was logged before is in memory by then.
func (s *Store) saveRegisters() error { return s.folder.SaveRegisters(s.writeRegisters) }

// writeRegisters queries one group after the other for its registers; what it has in memory
// meanwhile is the registers' states without copies of their values.
func (s *Store) writeRegisters(writer io.Writer) error {
	for _, group := range s.groups {
		records, err := ask(group, group.copyRegisters)
		if err != nil {
			return err
		}
		for _, record := range records {
			if err := datafolder.WriteRecord(writer, record); err != nil {
				return err
			}
		}
	}
	return nil
}
