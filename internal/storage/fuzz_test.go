package storage_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

// FuzzDamagedLog writes records taken from content with a sync after some, truncates or flips one byte of one segment
// file and opens the log: it must give a prefix of the records or a typed error, and accept a new record after the
// prefix.
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
			t.Fatalf("opened once and not twice: %v", err)
		}
		if _, err := log.Write([]byte("behind")); err != nil {
			t.Fatal(err)
		}
		if err := log.Sync(); err != nil {
			t.Fatal(err)
		}
		disk.LosePower()
		expected := append(append([][]byte(nil), records[:prefix]...), []byte("behind"))
		if again, _ := openFuzzed(t, disk, options, expected); again != prefix+1 {
			t.Fatalf("%d records after a new one behind %d", again, prefix)
		}
	})
}

// writeFuzzed takes a length from each byte and the record from the bytes behind it.
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

func damageFuzzed(t *testing.T, disk *simdisk.Disk, file uint8, offset uint32, mask byte) {
	files := disk.Files(dir)
	path := files[int(file)%len(files)]
	opened, err := disk.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	size, err := opened.Size()
	if err != nil || size == 0 {
		t.Fatal(size, err)
	}
	index := int64(offset) % size
	if mask != 0 {
		disk.Damage(path, index, mask)
		return
	}
	if err := errors.Join(opened.Truncate(index), opened.Sync()); err != nil {
		t.Fatal(err)
	}
}

func openFuzzed(t *testing.T, disk *simdisk.Disk, options storage.LogOptions, records [][]byte) (int, bool) {
	log, err := storage.OpenLog(disk, dir, options)
	if _, ok := errors.AsType[*storage.CorruptError](err); ok {
		return 0, false
	}
	if err != nil {
		t.Fatalf("untyped error: %v", err)
	}
	count := 0
	err = log.Replay(storage.Position{}, func(_ storage.Position, record []byte) error {
		if count >= len(records) || !bytes.Equal(record, records[count]) {
			t.Fatalf("record %d is none that was written there: %q", count, record)
		}
		count++
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return count, true
}

// FuzzSnapshotFile opens arbitrary bytes as a snapshot: a typed error or the content that was saved.
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
			t.Fatalf("found %v, error %v after damage", found, err)
		}
	})
}
