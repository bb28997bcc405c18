package storage_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

// FuzzDamagedLog writes records taken from content, with a sync after some of them, truncates one segment file or
// corrupts one of its bytes, and reopens the log. Opening must return a CorruptError or recover a prefix of the
// records, to which a new record can be appended durably.
func FuzzDamagedLog(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte, segmentBytes uint16, file uint8, offset uint32, mask byte) {
		options := storage.LogOptions{SegmentBytes: 100 + int64(segmentBytes), MaxRecordBytes: 300}
		disk := newDisk(1)
		log, err := storage.OpenLog(disk, dir, options)
		if err != nil {
			t.Fatal(err)
		}
		records := writeFuzzed(t, log, content)
		damageFuzzed(t, disk, file, offset, mask)

		prefix, opened := openFuzzed(t, disk, options, records)
		if !opened {
			return
		}
		log, err = storage.OpenLog(disk, dir, options)
		if err != nil {
			t.Fatalf("OpenLog after a successful recovery: got error %v, want none", err)
		}
		if _, err := log.Write([]byte("after the prefix")); err != nil {
			t.Fatal(err)
		}
		if err := log.Sync(); err != nil {
			t.Fatal(err)
		}
		disk.LosePower()
		expected := append(append([][]byte(nil), records[:prefix]...), []byte("after the prefix"))
		if count, _ := openFuzzed(t, disk, options, expected); count != prefix+1 {
			t.Fatalf("reopened log has %d records, want %d: the recovered prefix of %d and one new record",
				count, prefix+1, prefix)
		}
	})
}

// writeFuzzed decodes content into records, each one a length byte followed by the record, and writes and syncs them.
// It returns the records.
func writeFuzzed(t *testing.T, log *storage.Log, content []byte) [][]byte {
	var records [][]byte
	for len(content) > 1 {
		length := min(1+int(content[0]), len(content)-1)
		record := content[1 : 1+length]
		if _, err := log.Write(record); err != nil {
			t.Fatal(err)
		}
		records = append(records, record)
		if content[0]%3 == 0 {
			if err := log.Sync(); err != nil {
				t.Fatal(err)
			}
		}
		content = content[1+length:]
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	return records
}

// damageFuzzed flips the bits of mask in one byte of a file, or truncates the file there if mask is zero.
func damageFuzzed(t *testing.T, disk *simdisk.Disk, file uint8, offset uint32, mask byte) {
	files := disk.Files(dir)
	path := files[int(file)%len(files)]
	segment, err := disk.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	size, err := segment.Size()
	if err != nil || size == 0 {
		t.Fatalf("size of %s: got %d and error %v, want a file that is not empty", path, size, err)
	}
	index := int64(offset) % size
	if mask != 0 {
		disk.Damage(path, index, mask)
		return
	}
	if err := errors.Join(segment.Truncate(index), segment.Sync()); err != nil {
		t.Fatal(err)
	}
}

// openFuzzed opens the log, checks that it contains a prefix of records and returns the length of the prefix. It
// returns false when OpenLog reports corruption.
func openFuzzed(t *testing.T, disk *simdisk.Disk, options storage.LogOptions, records [][]byte) (int, bool) {
	log, err := storage.OpenLog(disk, dir, options)
	if _, ok := errors.AsType[*storage.CorruptError](err); ok {
		return 0, false
	}
	if err != nil {
		t.Fatalf("OpenLog: got error %v, want *CorruptError or none", err)
	}
	count := 0
	err = log.Replay(storage.Position{}, func(_ storage.Position, record []byte) error {
		if count >= len(records) || !bytes.Equal(record, records[count]) {
			t.Fatalf("replayed record %d is %q, which was not written there (%d records written)", count, record, len(records))
		}
		count++
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return count, true
}

// FuzzSnapshotFile saves a snapshot of arbitrary content and damages its file: loading it must return a CorruptError.
func FuzzSnapshotFile(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte, offset uint32, mask byte) {
		disk := newDisk(1)
		err := storage.SaveSnapshot(disk, dir, 5, func(writer io.Writer) error {
			_, err := writer.Write(content)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		damageFuzzed(t, disk, 0, offset, mask)
		_, found, err := storage.LoadNewestSnapshot(disk, dir, func(_ uint64, reader io.Reader) error {
			_, err := io.ReadAll(reader)
			return err
		})
		var corrupt *storage.CorruptError
		if !found || !errors.As(err, &corrupt) {
			t.Fatalf("load of a damaged snapshot: got found %v and error %v, want found true and *CorruptError", found, err)
		}
	})
}
