package simdisk_test

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"testing"

	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

func newDisk() *simdisk.Disk { return simdisk.New(rand.New(rand.NewPCG(1, 1))) }

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// writeFile creates a file with a synced content, but does not sync its directory.
func writeFile(t *testing.T, disk *simdisk.Disk, path string) {
	t.Helper()
	file, err := disk.Create(path)
	mustSucceed(t, err)
	_, err = file.WriteAt([]byte("content"), 0)
	mustSucceed(t, err)
	mustSucceed(t, file.Sync())
	mustSucceed(t, file.Close())
}

func TestADirectoryWhoseParentWasNotSyncedIsLostWithThePower(t *testing.T) {
	disk := newDisk()
	mustSucceed(t, disk.Mkdir("/synced"))
	mustSucceed(t, disk.SyncDir("/"))
	writeFile(t, disk, "/synced/file")
	mustSucceed(t, disk.SyncDir("/synced"))
	// The first change that is not synced, so that a loss of power drops this one if it drops any.
	mustSucceed(t, disk.Mkdir("/unsynced"))
	writeFile(t, disk, "/unsynced/file")
	mustSucceed(t, disk.SyncDir("/unsynced"))
	lost := 0
	for seed := range uint64(20) {
		after := disk.Clone(rand.New(rand.NewPCG(seed, 1)))
		after.LosePower()
		if _, err := after.Open("/synced/file"); err != nil {
			t.Fatalf("seed %d: a file in a synced directory is lost: %v", seed, err)
		}
		_, listError := after.List("/unsynced")
		_, openError := after.Open("/unsynced/file")
		if errors.Is(listError, fs.ErrNotExist) != errors.Is(openError, fs.ErrNotExist) {
			t.Fatalf("seed %d: the directory has the error %v, its file %v", seed, listError, openError)
		}
		if listError != nil {
			lost++
		}
	}
	if lost == 0 || lost == 20 {
		t.Errorf("the directory was lost %d times of 20, want some and not all", lost)
	}
}

func TestMkdirNeedsAParentAndAFreeName(t *testing.T) {
	disk := newDisk()
	if err := disk.Mkdir("/absent/directory"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Mkdir without the parent returned %v", err)
	}
	mustSucceed(t, disk.Mkdir("/directory"))
	writeFile(t, disk, "/file")
	for _, path := range []string{"/directory", "/file", "/"} {
		if err := disk.Mkdir(path); !errors.Is(err, fs.ErrExist) {
			t.Errorf("Mkdir of %s, which exists, returned %v", path, err)
		}
	}
}

func TestAStoppedProcessPerformsNoFurtherOperation(t *testing.T) {
	disk := newDisk()
	disk.StopAfter(2)
	mustSucceed(t, disk.Mkdir("/first"))
	file, err := disk.Create("/second")
	mustSucceed(t, err)
	var stopped *simdisk.StoppedError
	for attempt := range 2 {
		if err := disk.Mkdir("/third"); !errors.As(err, &stopped) {
			t.Errorf("attempt %d of the third operation returned %v", attempt, err)
		}
	}
	if _, err := file.Size(); !errors.As(err, &stopped) {
		t.Errorf("a read of the stopped process returned %v", err)
	}
	if !disk.IsStopped() || disk.Operations() != 3 {
		t.Errorf("stopped %v after %d operations, want true after the third began", disk.IsStopped(), disk.Operations())
	}
	disk.Kill()
	if _, err := disk.List("/third"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the operation at which the process was stopped had an effect: %v", err)
	}
	mustSucceed(t, disk.Mkdir("/third"))
}

func TestAWriteAtWhichTheProcessIsStoppedIsPartial(t *testing.T) {
	sizes := map[int64]bool{}
	for seed := range uint64(40) {
		disk := simdisk.New(rand.New(rand.NewPCG(seed, 1)))
		file, err := disk.Create("/file")
		mustSucceed(t, err)
		disk.StopAfter(0)
		if _, err := file.WriteAt([]byte("1234"), 0); err == nil {
			t.Fatal("the write succeeded")
		}
		disk.Kill()
		file, err = disk.Open("/file")
		mustSucceed(t, err)
		size, err := file.Size()
		mustSucceed(t, err)
		sizes[size] = true
	}
	if len(sizes) != 5 {
		t.Errorf("the write left %d different lengths, want each from 0 to 4 bytes", len(sizes))
	}
}
