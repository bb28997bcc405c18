package logstore

import (
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
)

// The folders under testdata/stored were written once, by an earlier version of the code. A core must always be able
// to read them: "founded" is the folder of a founder before its first snapshot, "compacted" one with a snapshot and
// two segments after it. A new storage format gets a folder of its own beside them; -update-stored is only for use
// before a format is released.
const (
	storedData      = "testdata/stored"
	foundedFolder   = "founded"
	compactedFolder = "compacted"
	storedStorageID = "stored-storage-id"
	storedClusterID = "stored-cluster-id"
)

var updateStored = flag.Bool("update-stored", false, "write the folders under testdata/stored anew")

// storedMember is the member to which the folders belong; its id is derived from storedStorageID and must not change
// either.
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
	id := storedMember().GetId()
	return &protocol.HardState{Term: term, VotedFor: id, Commit: commit, PromisedTo: id}
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

// foundedRecords returns the records of the log of "founded": entry 4 is replaced in a later term.
func foundedRecords(t *testing.T) []*protocol.CoreRecord {
	founding := &protocol.Founding{ClusterId: storedClusterID, Founder: storedMember()}
	return []*protocol.CoreRecord{
		{Body: &protocol.CoreRecord_Founding{Founding: founding}},
		storedHardStateRecord(storedHardState(2, 1)),
		entryRecord(storedEntry(t, 2, 2, nil)),
		entryRecord(storedEntry(t, 2, 3, "first")),
		entryRecord(storedEntry(t, 2, 4, "replaced")),
		entryRecord(storedEntry(t, 3, 4, nil)),
		entryRecord(storedEntry(t, 3, 5, "second")),
		storedHardStateRecord(storedHardState(3, 5)),
	}
}

// compactedRecords returns the records of the log of "compacted", by segment.
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

// writeStored writes the folders with the current code.
func writeStored(t *testing.T, root string) {
	t.Helper()
	filesystem := storage.OSFilesystem{}
	write := func(name string, fill func(*Store)) {
		folder := filepath.Join(root, name)
		_, _, err := OpenIdentity(filesystem, folder, func() string { return storedStorageID })
		must(t, err)
		opened, err := Open(filesystem, folder)
		must(t, err)
		fill(opened)
		must(t, opened.Close())
	}
	// Each record is synced separately, so that all records before the last are marked as durable.
	syncEach := func(opened *Store, records []*protocol.CoreRecord) {
		for _, record := range records {
			must(t, opened.writeAndSync(record))
		}
	}
	write(foundedFolder, func(opened *Store) { syncEach(opened, foundedRecords(t)) })
	write(compactedFolder, func(opened *Store) {
		_, newest := compactedRecords(t)
		syncEach(opened, foundedRecords(t))
		must(t, opened.SaveSnapshot(storedSnapshot(), []byte(storedSnapshotState)))
		third := []*protocol.Entry{storedEntry(t, 3, 6, "third")}
		must(t, opened.Compact(storedClusterID, storedSnapshot(), third, storedHardState(3, 6)))
		_, err := opened.log.Rotate()
		must(t, err)
		syncEach(opened, newest)
	})
}

// filesUnder returns the content of all files by their path under root.
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

// A format that an older version cannot read would prevent a downgrade, so the written bytes must not change
// either.
func TestTheStoredFormatIsUnchanged(t *testing.T) {
	if *updateStored {
		must(t, os.RemoveAll(storedData))
		writeStored(t, storedData)
	}
	root := t.TempDir()
	writeStored(t, root)
	written, stored := filesUnder(t, root), filesUnder(t, storedData)
	for path, content := range stored {
		if written[path] != content {
			t.Errorf("file %s has the content %q\nwant %q", path, written[path], content)
		}
	}
	if len(written) != len(stored) {
		t.Errorf("%d files were written, want %d", len(written), len(stored))
	}
}

// openCopy opens a copy of a stored folder.
func openCopy(t *testing.T, name string) *Store {
	t.Helper()
	folder := t.TempDir()
	must(t, os.CopyFS(folder, os.DirFS(filepath.Join(storedData, name))))
	opened, err := Open(storage.OSFilesystem{}, folder)
	must(t, err)
	return opened
}

func equalMessages[M proto.Message](one, other M) bool { return proto.Equal(one, other) }

func TestRecordsOfAStoredCoreAreReadBack(t *testing.T) {
	finished, newest := compactedRecords(t)
	for name, expected := range map[string][]*protocol.CoreRecord{
		foundedFolder: foundedRecords(t), compactedFolder: slices.Concat(finished, newest),
	} {
		t.Run(name, func(t *testing.T) {
			opened := openCopy(t, name)
			var replayed []*protocol.CoreRecord
			must(t, opened.log.Replay(storage.Position{}, func(_ storage.Position, data []byte) error {
				record := &protocol.CoreRecord{}
				replayed = append(replayed, record)
				return proto.Unmarshal(data, record)
			}))
			if !slices.EqualFunc(replayed, expected, equalMessages[*protocol.CoreRecord]) {
				t.Errorf("the replayed records are %v\nwant %v", replayed, expected)
			}
			if opened.log.TruncatedBytes() != 0 {
				t.Errorf("%d bytes were truncated, want none", opened.log.TruncatedBytes())
			}
			must(t, opened.Close())
		})
	}
}

func TestStateOfAStoredCoreIsRecovered(t *testing.T) {
	founders := &protocol.CoreConfiguration{Members: []*protocol.CoreMember{storedMember()}}
	founder, err := proto.MarshalOptions{Deterministic: true}.Marshal(founders)
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
			opened := openCopy(t, stored.name)
			recovered, err := opened.Recover()
			must(t, err)
			if !proto.Equal(recovered.Initial.Snapshot, stored.snapshot) || string(recovered.SnapshotState) != stored.state {
				t.Errorf("the snapshot is %v with the state %q, want %v with %q",
					recovered.Initial.Snapshot, recovered.SnapshotState, stored.snapshot, stored.state)
			}
			if recovered.ClusterID != storedClusterID || !proto.Equal(recovered.Initial.HardState, stored.hardState) {
				t.Errorf("the cluster is %q with the hard state %v, want %q with %v",
					recovered.ClusterID, recovered.Initial.HardState, storedClusterID, stored.hardState)
			}
			if !slices.EqualFunc(recovered.Initial.Entries, stored.entries, equalMessages[*protocol.Entry]) {
				t.Errorf("the entries are %v\nwant %v", recovered.Initial.Entries, stored.entries)
			}
			must(t, opened.Close())
		})
	}
}
