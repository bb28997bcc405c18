package datafolder

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/state/store/turnindex"
	"github.com/rosestand/rosestand/internal/storage"
)

// indexedBefore returns the first segment of the log of turns that the index does not cover and
// that must be read; zero without a complete index. The segments that the index covers were
// intact when it was written; later damage to them is detected when a turn is read.
func (f *Folder) indexedBefore() uint64 {
	number, found, err := storage.LoadNewestSnapshot(f.filesystem, f.turnPath(), func(_ uint64, content io.Reader) error {
		return f.readTurnIndex(content, func(uint32, turnindex.Key, turnindex.Entry) {})
	})
	if err != nil || !found {
		return 0
	}
	return number
}

// SaveTurnIndex writes the index of the log of turns, so that a start need not read the turns
// themselves. It returns the first segment that the index does not cover. Older indexes remain
// until RemoveTurnIndexesBefore. The error is a *LogError.
//
// A start takes a turn in the segments before for missing if it is not in the index. So write
// must include every turn of these segments: the committer, by which all turns are appended,
// rotates the log between two batches, when the callbacks of all turns before have been called,
// and what write asks of the turns' owners comes after what those callbacks have told them.
func (f *Folder) SaveTurnIndex(
	commits *storage.GroupCommitter, write func(io.Writer) error,
) (segment uint64, err error) {
	segment, err = commits.Rotate()
	if err != nil {
		return 0, &LogError{Log: TurnLog, Cause: err}
	}
	if err := storage.SaveSnapshot(f.filesystem, f.turnPath(), segment, write); err != nil {
		return 0, &LogError{Log: TurnLog, Cause: err}
	}
	return segment, nil
}

// RemoveTurnIndexesBefore removes the indexes that are older than that of a segment.
func (f *Folder) RemoveTurnIndexesBefore(segment uint64) error {
	err := storage.RemoveSnapshotsBefore(f.filesystem, f.turnPath(), segment)
	return errors.Wrap(err, "remove old turn index")
}

// RemoveTurnIndex removes all indexes, so that the next start reads the log of turns in full.
func (f *Folder) RemoveTurnIndex() error {
	return storage.RemoveSnapshotsBefore(f.filesystem, f.turnPath(), math.MaxUint64)
}

// LoadTurnIndex calls visit for the entries of the newest index and returns the first segment that
// the index does not cover; found is false when there is no readable index. A damaged index
// loses no data, since the log contains all turns; but visit may have been called for some of
// its entries.
func (f *Folder) LoadTurnIndex(
	visit func(uint32, turnindex.Key, turnindex.Entry),
) (segment uint64, found bool, err error) {
	first := f.Turns.FirstSegment()
	segment, found, err = storage.LoadNewestSnapshot(f.filesystem, f.turnPath(), func(_ uint64, content io.Reader) error {
		return f.readTurnIndex(content, func(shard uint32, key turnindex.Key, entry turnindex.Entry) {
			if uint64(entry.Segment) >= first {
				visit(shard, key, entry)
			}
		})
	})
	var corrupt *storage.CorruptError
	if errors.As(err, &corrupt) {
		return 0, false, nil
	}
	return segment, found, err
}

func (f *Folder) readTurnIndex(content io.Reader, visit func(uint32, turnindex.Key, turnindex.Entry)) error {
	err := turnindex.Read(content, visit)
	if errors.Is(err, turnindex.ErrUnknownFormat) {
		return &storage.CorruptError{Path: f.turnPath(), Reason: err.Error()}
	}
	return err
}
