package replica

import (
	"context"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

// The stored folders of package logstore, which a core must always be able to read; see the test file of the same
// name there.
const (
	storedData      = "logstore/testdata/stored"
	foundedFolder   = "founded"
	compactedFolder = "compacted"
	storedClusterID = "stored-cluster-id"
	// storedMemberID is derived from the storage id in the folders and must not change either.
	storedMemberID = 0x91c590476e947df2
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// copyStoredFolder returns a disk with a copy of a stored folder in "core"; damage, if not nil, may change the content
// of a file.
func copyStoredFolder(t *testing.T, name string, damage func(path string, content []byte)) *simdisk.Disk {
	t.Helper()
	disk := simdisk.New(rand.New(rand.NewPCG(1, 1)))
	root := filepath.Join(storedData, name)
	must(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		must(t, err)
		copied := filepath.Join("core", relative)
		if entry.IsDir() {
			return storage.MkdirAll(disk, copied)
		}
		content, err := os.ReadFile(path)
		must(t, err)
		if damage != nil {
			damage(filepath.ToSlash(relative), content)
		}
		file, err := disk.Create(copied)
		must(t, err)
		_, err = file.WriteAt(content, 0)
		must(t, err)
		must(t, file.Sync())
		must(t, file.Close())
		return disk.SyncDir(filepath.Dir(copied))
	}))
	return disk
}

func openStoredCore(filesystem storage.Filesystem, machine StateMachine) (*Replica, error) {
	self := &protocol.CoreMember{
		Name: "core-1", Address: "127.0.0.1:7001", HttpAddress: "127.0.0.1:8001", Zone: "zone-1", Region: "region-1",
	}
	return New(Options{
		Self: self, Folder: "core", Filesystem: filesystem, Machine: machine, Caller: unreachableCaller{},
		Random: rand.New(rand.NewPCG(5, 5)),
	})
}

func TestAStoredCoreRecoversItsCommands(t *testing.T) {
	for name, expected := range map[string][]string{
		foundedFolder:   {"first", "second"},
		compactedFolder: {"first", "second", "third", "fourth", "fifth"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := &commandLog{}
				replica, err := openStoredCore(copyStoredFolder(t, name, nil), state)
				must(t, err)
				if replica.ID() != storedMemberID {
					t.Errorf("the member id is %#x, want %#x", replica.ID(), uint64(storedMemberID))
				}
				must(t, replica.Start(t.Context()))
				for range 100 {
					if replica.IsLeader() {
						break
					}
					<-time.NewTimer(DefaultReplaceVoterAfter).C
				}
				if status := replica.Status(); !replica.IsLeader() || status.GetClusterId() != storedClusterID {
					t.Errorf("the replica does not lead the cluster %q; its status is %v", storedClusterID, status)
				}
				if !slices.Equal(state.all(), expected) {
					t.Errorf("the commands are %q, want %q", state.all(), expected)
				}
				must(t, replica.Stop(context.Background()))
			})
		})
	}
}

// The test damages each byte of each file alone. Damage to the last record of the newest segment looks like a write
// that a crash interrupted, so the log is truncated there. Damage to anything before it must be rejected.
func TestDamageToAStoredCoreIsRejected(t *testing.T) {
	for _, stored := range []struct {
		folder, file string
		size         int
		// tornFrom is the offset from which damage looks like a torn tail; zero if there is none.
		tornFrom int
	}{
		{foundedFolder, "identity", 64, 0},
		{foundedFolder, "log/0000000000000001.log", 403, 355},
		{compactedFolder, "identity", 64, 0},
		{compactedFolder, "snapshots/0000000000000005.snapshot", 160, 0},
		{compactedFolder, "log/0000000000000002.log", 176, 0},
		{compactedFolder, "log/0000000000000003.log", 286, 251},
	} {
		t.Run(stored.folder+"/"+stored.file, func(t *testing.T) {
			content, err := os.ReadFile(filepath.Join(storedData, stored.folder, stored.file))
			must(t, err)
			if len(content) != stored.size {
				t.Errorf("the file has %d bytes, want %d", len(content), stored.size)
			}
			for offset := range content {
				damaged := copyStoredFolder(t, stored.folder, func(path string, content []byte) {
					if path == stored.file {
						content[offset] ^= 0xff
					}
				})
				replica, err := openStoredCore(damaged, &commandLog{})
				var corrupt *storage.CorruptError
				rejected := errors.As(err, &corrupt)
				if torn := stored.tornFrom > 0 && offset >= stored.tornFrom; rejected == torn || torn && err != nil {
					t.Errorf("with byte %d damaged New returned the error %v, want a CorruptError: %v", offset, err, !torn)
				}
				if replica != nil {
					must(t, replica.Stop(context.Background()))
				}
			}
		})
	}
}
