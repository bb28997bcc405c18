package replica

import (
	"context"
	"errors"
	"flag"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// The folders under testdata/stored were written once, by the code of the day. A core must read them for ever: "founded" is
// that of a founder before its first snapshot, "compacted" one with a snapshot and two segments after it. A new
// form gets a folder of its own beside them; -update-stored is for the time before a form was released only.
const (
	storedData      = "testdata/stored"
	foundedFolder   = "founded"
	compactedFolder = "compacted"
	storedStorageID = "stored-storage-id"
	storedClusterID = "stored-cluster-id"
)

var updateStored = flag.Bool("update-stored", false, "write the folders under testdata/stored anew")

// storedMember is the member whose folders these are; its id follows from storedStorageID and may not change either.
func storedMember() *protocol.CoreMember {
	return &protocol.CoreMember{
		Id: 0x91c590476e947df2, Name: "core-1", Address: "127.0.0.1:7001", HttpAddress: "127.0.0.1:8001",
		Zone: "zone-1", Region: "region-1", Voter: true,
	}
}

func storedConfiguration() *protocol.CoreConfiguration {
	return &protocol.CoreConfiguration{
		Members: []*protocol.CoreMember{storedMember()},
		Retired: []*protocol.CoreMember{{Id: 9, Name: "core-9", Address: "127.0.0.1:7009", Zone: "zone-3"}},
	}
}

func storedEntry(t *testing.T, term, index uint64, content any) *protocol.Entry {
	t.Helper()
	entry := &protocol.Entry{Term: term, Index: index, Kind: protocol.EntryKind_ENTRY_EMPTY}
	switch content := content.(type) {
	case string:
		entry.Kind, entry.Data = protocol.EntryKind_ENTRY_COMMAND, []byte(content)
	case *protocol.CoreConfiguration:
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		entry.Kind, entry.Data = protocol.EntryKind_ENTRY_CONFIGURATION, data
	}
	return entry
}

func storedHardState(term, commit uint64) *protocol.HardState {
	return &protocol.HardState{Term: term, VotedFor: storedMember().GetId(), Commit: commit, PromisedTo: storedMember().GetId()}
}

func storedSnapshot() *protocol.SnapshotMetadata {
	return &protocol.SnapshotMetadata{Index: 5, Term: 3, Configuration: storedConfiguration()}
}

const storedSnapshotState = "first\nsecond\n"

func entryRecord(entry *protocol.Entry) *protocol.CoreRecord {
	return &protocol.CoreRecord{Body: &protocol.CoreRecord_Entry{Entry: entry}}
}

func storedHardStateRecord(state *protocol.HardState) *protocol.CoreRecord {
	return &protocol.CoreRecord{Body: &protocol.CoreRecord_HardState{HardState: state}}
}

// foundedRecords are the records of the log of "founded": entry 4 is replaced in a later term.
func foundedRecords(t *testing.T) []*protocol.CoreRecord {
	return []*protocol.CoreRecord{
		{Body: &protocol.CoreRecord_Founding{Founding: &protocol.Founding{ClusterId: storedClusterID, Founder: storedMember()}}},
		storedHardStateRecord(storedHardState(2, 1)),
		entryRecord(storedEntry(t, 2, 2, nil)),
		entryRecord(storedEntry(t, 2, 3, "first")),
		entryRecord(storedEntry(t, 2, 4, "replaced")),
		entryRecord(storedEntry(t, 3, 4, nil)),
		entryRecord(storedEntry(t, 3, 5, "second")),
		storedHardStateRecord(storedHardState(3, 5)),
	}
}

// compactedRecords are the records of the log of "compacted", by segment.
func compactedRecords(t *testing.T) (finished, newest []*protocol.CoreRecord) {
	finished = []*protocol.CoreRecord{
		{Body: &protocol.CoreRecord_ClusterId{ClusterId: storedClusterID}},
		{Body: &protocol.CoreRecord_Compacted{Compacted: &protocol.SnapshotMetadata{Index: 5, Term: 3}}},
		entryRecord(storedEntry(t, 3, 6, "third")),
		storedHardStateRecord(storedHardState(3, 6)),
	}
	newest = []*protocol.CoreRecord{
		entryRecord(storedEntry(t, 3, 7, storedConfiguration())),
		entryRecord(storedEntry(t, 4, 8, "fourth")),
		storedHardStateRecord(storedHardState(4, 8)),
		entryRecord(storedEntry(t, 4, 9, "fifth")),
	}
	return finished, newest
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// writeStored fills the folders with the code of today.
func writeStored(t *testing.T, root string) {
	t.Helper()
	filesystem := storage.OSFilesystem{}
	write := func(name string, fill func(*disk)) {
		folder := filepath.Join(root, name)
		_, err := storage.OpenIdentityWith(filesystem, folder, func() string { return storedStorageID })
		must(t, err)
		opened, err := openDisk(filesystem, folder)
		must(t, err)
		fill(opened)
		must(t, opened.close())
	}
	// Each record is synced by itself, so that all but the last are known to be durable.
	each := func(opened *disk, records []*protocol.CoreRecord) {
		for _, record := range records {
			must(t, opened.writeAndSync(record))
		}
	}
	write(foundedFolder, func(opened *disk) { each(opened, foundedRecords(t)) })
	write(compactedFolder, func(opened *disk) {
		_, newest := compactedRecords(t)
		each(opened, foundedRecords(t))
		must(t, opened.saveSnapshot(storedSnapshot(), []byte(storedSnapshotState)))
		third := []*protocol.Entry{storedEntry(t, 3, 6, "third")}
		must(t, opened.compact(storedClusterID, storedSnapshot(), third, storedHardState(3, 6)))
		_, err := opened.log.Rotate()
		must(t, err)
		each(opened, newest)
	})
}

// filesUnder gives the content of all files by their path under root.
func filesUnder(t *testing.T, root string) map[string]string {
	t.Helper()
	files := map[string]string{}
	must(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := os.ReadFile(path)
		must(t, err)
		relative, err := filepath.Rel(root, path)
		files[filepath.ToSlash(relative)] = string(content)
		return err
	}))
	return files
}

// A form that an older program cannot read would make a way back impossible, so what is written stays the same as well.
func TestACoreIsStoredByteForByteAsBefore(t *testing.T) {
	if *updateStored {
		must(t, os.RemoveAll(storedData))
		writeStored(t, storedData)
	}
	root := t.TempDir()
	writeStored(t, root)
	written, stored := filesUnder(t, root), filesUnder(t, storedData)
	for path, content := range stored {
		if written[path] != content {
			t.Errorf("%s holds %q\nin place of %q", path, written[path], content)
		}
	}
	if len(written) != len(stored) {
		t.Errorf("%d files in place of %d", len(written), len(stored))
	}
}

// copyOfStored gives a disk with a copy of a folder in "core"; damage, when set, may change the content of a file.
func copyOfStored(t *testing.T, name string, damage func(path string, content []byte)) *simdisk.Disk {
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
			return disk.MkdirAll(copied)
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

// deafCaller reaches nobody: the member is alone.
type unreachableCaller struct{}

func (unreachableCaller) Call(_ context.Context, address string, _ *protocol.Request) (*protocol.Response, error) {
	return nil, &wire.NotSentError{Address: address, Cause: errUnreachable}
}

func (unreachableCaller) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, errUnreachable
}

func openStored(filesystem storage.Filesystem, machine StateMachine) (*Replica, error) {
	self := storedMember()
	self.Id, self.Voter = 0, false
	return New(Options{
		Self: self, Folder: "core", Filesystem: filesystem, Machine: machine, Caller: unreachableCaller{},
		Random: rand.New(rand.NewPCG(5, 5)),
	})
}

func TestRecordsOfAStoredCoreAreReadBack(t *testing.T) {
	finished, newest := compactedRecords(t)
	for name, expected := range map[string][]*protocol.CoreRecord{
		foundedFolder: foundedRecords(t), compactedFolder: slices.Concat(finished, newest),
	} {
		t.Run(name, func(t *testing.T) {
			opened, err := openDisk(copyOfStored(t, name, nil), "core")
			must(t, err)
			var read []*protocol.CoreRecord
			must(t, opened.log.Replay(storage.Position{}, func(_ storage.Position, data []byte) error {
				record := &protocol.CoreRecord{}
				read = append(read, record)
				return proto.Unmarshal(data, record)
			}))
			if !slices.EqualFunc(read, expected, func(one, other *protocol.CoreRecord) bool { return proto.Equal(one, other) }) {
				t.Errorf("read %v\nin place of %v", read, expected)
			}
			if opened.log.TruncatedBytes() != 0 {
				t.Errorf("%d bytes were cut off", opened.log.TruncatedBytes())
			}
			must(t, opened.close())
		})
	}
}

func TestStateOfAStoredCoreIsRecovered(t *testing.T) {
	founder, err := proto.MarshalOptions{Deterministic: true}.Marshal(&protocol.CoreConfiguration{Members: []*protocol.CoreMember{storedMember()}})
	must(t, err)
	for _, stored := range []struct {
		name      string
		snapshot  *protocol.SnapshotMetadata
		state     string
		hardState *protocol.HardState
		entries   []*protocol.Entry
	}{
		{name: foundedFolder, hardState: storedHardState(3, 5), entries: []*protocol.Entry{
			{Term: 1, Index: 1, Kind: protocol.EntryKind_ENTRY_CONFIGURATION, Data: founder},
			storedEntry(t, 2, 2, nil), storedEntry(t, 2, 3, "first"), storedEntry(t, 3, 4, nil), storedEntry(t, 3, 5, "second"),
		}},
		{
			name: compactedFolder, snapshot: storedSnapshot(), state: storedSnapshotState, hardState: storedHardState(4, 8),
			entries: []*protocol.Entry{
				storedEntry(t, 3, 6, "third"), storedEntry(t, 3, 7, storedConfiguration()),
				storedEntry(t, 4, 8, "fourth"), storedEntry(t, 4, 9, "fifth"),
			},
		},
	} {
		t.Run(stored.name, func(t *testing.T) {
			opened, err := openDisk(copyOfStored(t, stored.name, nil), "core")
			must(t, err)
			snapshot, state, err := opened.loadSnapshot()
			must(t, err)
			if !proto.Equal(snapshot, stored.snapshot) || string(state) != stored.state {
				t.Errorf("the snapshot is %v with %q", snapshot, state)
			}
			clusterID, initial, err := opened.recover(snapshot)
			must(t, err)
			if clusterID != storedClusterID || !proto.Equal(initial.HardState, stored.hardState) {
				t.Errorf("cluster %q with %v", clusterID, initial.HardState)
			}
			if !slices.EqualFunc(initial.Entries, stored.entries, func(one, other *protocol.Entry) bool { return proto.Equal(one, other) }) {
				t.Errorf("entries %v\nin place of %v", initial.Entries, stored.entries)
			}
			must(t, opened.close())
		})
	}
}

func TestAStoredCoreServesItsCommandsAgain(t *testing.T) {
	for name, expected := range map[string][]string{
		foundedFolder:   {"first", "second"},
		compactedFolder: {"first", "second", "third", "fourth", "fifth"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := &commandLog{}
				built, err := openStored(copyOfStored(t, name, nil), state)
				must(t, err)
				if built.ID() != storedMember().GetId() {
					t.Errorf("the member is %#x", built.ID())
				}
				must(t, built.Start(t.Context()))
				for range 100 {
					if built.IsLeader() {
						break
					}
					<-time.NewTimer(DefaultReplaceVoterAfter).C
				}
				if status := built.Status(); !built.IsLeader() || status.GetClusterId() != storedClusterID {
					t.Errorf("it does not lead its cluster: %v", status)
				}
				if !slices.Equal(state.all(), expected) {
					t.Errorf("the commands are %q", state.all())
				}
				must(t, built.Stop(context.Background()))
			})
		})
	}
}

// Each byte of each file is damaged by itself. The last record of the newest segment may be one that a crash tore: from its
// offset on the log is cut, and all before it must be refused.
func TestDamageToAStoredCoreIsRefused(t *testing.T) {
	for _, stored := range []struct {
		folder, file string
		size         int
		// cutFrom is the offset from which damage is taken for a torn tail; zero when all of the file is refused.
		cutFrom int
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
				t.Errorf("the file has %d bytes", len(content))
			}
			for offset := range content {
				damaged := copyOfStored(t, stored.folder, func(path string, content []byte) {
					if path == stored.file {
						content[offset] ^= 0xff
					}
				})
				built, err := openStored(damaged, &commandLog{})
				var corrupt *storage.CorruptError
				refused := errors.As(err, &corrupt)
				if torn := stored.cutFrom > 0 && offset >= stored.cutFrom; refused == torn || torn && err != nil {
					t.Errorf("with byte %d damaged it opens with %v", offset, err)
				}
				if built != nil {
					must(t, built.Stop(context.Background()))
				}
			}
		})
	}
}
