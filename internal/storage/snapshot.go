package storage

import (
	"bufio"
	"encoding/binary"
	"hash"
	"hash/crc32"
	"io"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// A snapshot file consists of magic (8), number (8), content, content length (8) and CRC32C of everything before (4).
// Numbers are little-endian; sizes in parentheses are bytes.
const (
	snapshotMagic        = "RSTSNP\x00\x01"
	snapshotHeaderBytes  = 16
	snapshotTrailerBytes = 12
	snapshotSuffix       = ".snapshot"
	temporarySuffix      = ".tmp"
	// snapshotBufferBytes is the size of the write and read buffers.
	snapshotBufferBytes = 256 << 10
)

func snapshotName(number uint64) string { return numberedFileName(number, snapshotSuffix) }

// SaveSnapshot writes a snapshot to a temporary file, syncs and renames it, and syncs the directory. If it returns nil,
// the snapshot is durable; after a *FailedError the newest snapshot is either the previous one or this one, and
// complete in both cases.
func SaveSnapshot(filesystem Filesystem, dir string, number uint64, write func(io.Writer) error) error {
	if err := MkdirAll(filesystem, dir); err != nil {
		return err
	}
	path := filepath.Join(dir, snapshotName(number))
	temporary := path + temporarySuffix
	if err := writeSnapshotFile(filesystem, temporary, number, write); err != nil {
		return errors.CombineErrors(err, removeIfPresent(filesystem, temporary))
	}
	if err := filesystem.Rename(temporary, path); err != nil {
		return &FailedError{Operation: "rename", Path: temporary, Cause: err}
	}
	if err := filesystem.SyncDir(dir); err != nil {
		return &FailedError{Operation: "sync directory of", Path: path, Cause: err}
	}
	return nil
}

func removeIfPresent(filesystem Filesystem, path string) error {
	if err := filesystem.Remove(path); err != nil && !isNotExist(err) {
		return err
	}
	return nil
}

// checksumWriter writes a file sequentially and computes the checksum of the written bytes.
type checksumWriter struct {
	file   File
	offset int64
	sum    hash.Hash32
}

// Write implements io.Writer.
func (w *checksumWriter) Write(data []byte) (int, error) {
	written, err := w.file.WriteAt(data, w.offset)
	w.offset += int64(written)
	_, _ = w.sum.Write(data[:written])
	return written, err
}

func writeSnapshotFile(filesystem Filesystem, path string, number uint64, write func(io.Writer) error) error {
	file, err := filesystem.Create(path)
	if err != nil {
		return &FailedError{Operation: "create", Path: path, Cause: err}
	}
	err = writeSnapshotContent(file, number, write)
	if err == nil {
		err = file.Sync()
	}
	err = errors.CombineErrors(err, file.Close())
	if err != nil {
		return &FailedError{Operation: "write", Path: path, Cause: err}
	}
	return nil
}

func writeSnapshotContent(file File, number uint64, write func(io.Writer) error) error {
	output := &checksumWriter{file: file, sum: crc32.New(castagnoli)}
	buffered := bufio.NewWriterSize(output, snapshotBufferBytes)
	header := binary.LittleEndian.AppendUint64([]byte(snapshotMagic), number)
	if _, err := buffered.Write(header); err != nil {
		return err
	}
	if err := write(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	length := uint64(output.offset - snapshotHeaderBytes)
	if _, err := output.Write(binary.LittleEndian.AppendUint64(nil, length)); err != nil {
		return err
	}
	_, err := output.Write(binary.LittleEndian.AppendUint32(nil, output.sum.Sum32()))
	return err
}

// LoadNewestSnapshot verifies the snapshot with the highest number and passes its content to read. It returns
// *CorruptError when that snapshot is damaged; it does not fall back to an older one, because the log segments that
// followed that one may have been removed. In a directory that is absent or has no snapshots, exists is false.
// LoadNewestSnapshot modifies no file, so another goroutine may save a snapshot at the same time.
func LoadNewestSnapshot(
	filesystem Filesystem, dir string, read func(number uint64, content io.Reader) error,
) (number uint64, exists bool, err error) {
	numbers, err := listNumbered(filesystem, dir, snapshotSuffix)
	if isNotExist(err) {
		return 0, false, nil
	}
	if err != nil || len(numbers) == 0 {
		return 0, false, err
	}
	// If the process that saved the snapshot was killed, its rename may not be durable yet.
	if err := filesystem.SyncDir(dir); err != nil {
		return 0, false, err
	}
	number = numbers[len(numbers)-1]
	return number, true, loadSnapshot(filesystem, filepath.Join(dir, snapshotName(number)), number, read)
}

// RemoveUnfinishedSnapshots deletes the temporary files that a crash left behind. It must not run while a snapshot is
// being saved, because it would delete that one's temporary file, too.
func RemoveUnfinishedSnapshots(filesystem Filesystem, dir string) error {
	entries, err := filesystem.List(dir)
	if isNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name, snapshotSuffix+temporarySuffix) {
			continue
		}
		if err := filesystem.Remove(filepath.Join(dir, entry.Name)); err != nil {
			return err
		}
	}
	return nil
}

func loadSnapshot(filesystem Filesystem, path string, number uint64, read func(uint64, io.Reader) error) error {
	file, err := filesystem.Open(path)
	if err != nil {
		return err
	}
	length, err := verifySnapshot(file, path, number)
	if err == nil {
		content := io.NewSectionReader(file, snapshotHeaderBytes, length)
		err = read(number, bufio.NewReaderSize(content, snapshotBufferBytes))
	}
	return errors.CombineErrors(err, file.Close())
}

// verifySnapshot verifies the header, length and checksum of a snapshot and returns the length of its content.
func verifySnapshot(file File, path string, number uint64) (int64, error) {
	size, err := file.Size()
	if err != nil {
		return 0, err
	}
	length := size - snapshotHeaderBytes - snapshotTrailerBytes
	if length < 0 {
		return 0, &CorruptError{Path: path, Offset: size, Reason: "snapshot is too short"}
	}
	header := make([]byte, snapshotHeaderBytes)
	if _, err := file.ReadAt(header, 0); err != nil {
		return 0, errors.Wrapf(err, "read %s", path)
	}
	if string(header[:8]) != snapshotMagic || binary.LittleEndian.Uint64(header[8:]) != number {
		return 0, &CorruptError{Path: path, Reason: "snapshot header is damaged"}
	}
	trailer := make([]byte, snapshotTrailerBytes)
	if _, err := file.ReadAt(trailer, size-snapshotTrailerBytes); err != nil {
		return 0, errors.Wrapf(err, "read %s", path)
	}
	sum := crc32.New(castagnoli)
	if _, err := io.Copy(sum, io.NewSectionReader(file, 0, size-4)); err != nil {
		return 0, errors.Wrapf(err, "read %s", path)
	}
	if binary.LittleEndian.Uint64(trailer) != uint64(length) || binary.LittleEndian.Uint32(trailer[8:]) != sum.Sum32() {
		return 0, &CorruptError{Path: path, Offset: size - snapshotTrailerBytes, Reason: "snapshot checksum differs"}
	}
	return length, nil
}

// RemoveSnapshotsBefore deletes the snapshots with numbers below number.
func RemoveSnapshotsBefore(filesystem Filesystem, dir string, number uint64) error {
	numbers, err := listNumbered(filesystem, dir, snapshotSuffix)
	if err != nil {
		return err
	}
	removed := false
	for _, old := range numbers {
		if old >= number {
			continue
		}
		if err := filesystem.Remove(filepath.Join(dir, snapshotName(old))); err != nil {
			return err
		}
		removed = true
	}
	if !removed {
		return nil
	}
	return filesystem.SyncDir(dir)
}
