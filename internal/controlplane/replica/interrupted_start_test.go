package replica

import (
	"errors"
	"math/rand/v2"
	"path"
	"strconv"
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
	"github.com/rosestand/rosestand/internal/controlplane/replica/logstore"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
	"github.com/rosestand/rosestand/internal/testing/interruptedstart"
)

const (
	interruptedFolder  = "data/core"
	interruptedCluster = "cluster"
	formerTerm         = 2
	interruptedTerm    = 3
	// receivedIndex is the last entry of the snapshot that a member receives.
	receivedIndex = 4
)

// startCoreMember opens a core member, reads its log, and appends a record with a vote.
func startCoreMember(disk *simdisk.Disk, record string) (*interruptedstart.Started, error) {
	return startMember(disk, func(member *Replica) error {
		if err := foundIfEmpty(member); err != nil {
			return err
		}
		return appendWithVote(member, record)
	})
}

// startReceivingMember is startCoreMember of a member that receives a snapshot first. Before it, the member has a
// number of entries of a former term, which the snapshot replaces.
func startReceivingMember(formerEntries int) interruptedstart.Start {
	return func(disk *simdisk.Disk, record string) (*interruptedstart.Started, error) {
		return startMember(disk, func(member *Replica) error {
			if err := receiveSnapshot(member, formerEntries); err != nil {
				return err
			}
			return appendWithVote(member, record)
		})
	}
}

func startMember(disk *simdisk.Disk, write func(member *Replica) error) (*interruptedstart.Started, error) {
	operations := uint64(disk.Operations())
	member, err := New(Options{
		Self:   &protocol.CoreMember{Name: "core-1", Address: "127.0.0.1:7001"},
		Folder: interruptedFolder, Filesystem: disk, Machine: &commandLog{}, Caller: unreachableCaller{},
		Random: rand.New(rand.NewPCG(operations, 1)),
	})
	if err != nil {
		return nil, err
	}
	started, err := recoverRecords(member)
	if err != nil {
		return nil, errors.Join(err, member.store.Close())
	}
	started.Starts = operations
	return started, errors.Join(write(member), member.store.Close())
}

// recoverRecords returns what a member remembers. A record counts only if the vote that was stored with it does.
func recoverRecords(member *Replica) (*interruptedstart.Started, error) {
	recovered, err := member.store.Recover()
	if err != nil {
		return nil, err
	}
	started := &interruptedstart.Started{Incarnation: strconv.FormatUint(member.ID(), 16)}
	if recovered.Initial.HardState.GetVotedFor() != member.ID() {
		return started, nil
	}
	for _, entry := range recovered.Initial.Entries {
		started.Remembered = append(started.Remembered, string(entry.GetData()))
	}
	return started, nil
}

// foundIfEmpty durably founds a cluster, unless the member has one.
func foundIfEmpty(member *Replica) error {
	recovered, err := member.store.Recover()
	if err != nil || recovered.ClusterID != "" {
		return err
	}
	_, err = member.store.Found(interruptedCluster, member.self)
	return err
}

// receiveSnapshot writes what a member that joins a cluster writes, in the order of installSnapshot, unless it has a
// snapshot.
func receiveSnapshot(member *Replica, formerEntries int) error {
	recovered, err := member.store.Recover()
	if err != nil || recovered.Initial.Snapshot != nil {
		return err
	}
	if err := member.store.SaveClusterID(interruptedCluster); err != nil {
		return err
	}
	former := consensus.Ready{HardState: &protocol.HardState{Term: formerTerm}, MustSync: true}
	for index := len(recovered.Initial.Entries) + 1; index <= formerEntries; index++ {
		former.Entries = append(former.Entries, &protocol.Entry{
			Index: uint64(index), Term: formerTerm, Kind: protocol.EntryKind_ENTRY_COMMAND,
		})
	}
	if err := member.store.Save(former); err != nil {
		return err
	}
	metadata := &protocol.SnapshotMetadata{
		Index: receivedIndex, Term: interruptedTerm,
		Configuration: &protocol.CoreConfiguration{Members: []*protocol.CoreMember{member.self}},
	}
	if err := member.store.SaveSnapshot(metadata, nil); err != nil {
		return err
	}
	return member.store.Compact(interruptedCluster, metadata, nil, former.HardState)
}

// appendWithVote durably appends an entry and a vote.
func appendWithVote(member *Replica, record string) error {
	recovered, err := member.store.Recover()
	if err != nil {
		return err
	}
	last := recovered.Initial.Snapshot.GetIndex() + uint64(len(recovered.Initial.Entries))
	return member.store.Save(consensus.Ready{
		Entries: []*protocol.Entry{{
			Index: last + 1, Term: interruptedTerm, Kind: protocol.EntryKind_ENTRY_COMMAND, Data: []byte(record),
		}},
		HardState: &protocol.HardState{Term: interruptedTerm, VotedFor: member.ID()},
		MustSync:  true,
	})
}

// isCorrupt reports the documented answer of a core member to lost data: the process ends until its folder is emptied.
func isCorrupt(err error) bool {
	var corrupt *storage.CorruptError
	var state *logstore.CorruptStateError
	return errors.As(err, &corrupt) || errors.As(err, &state)
}

// loseFiles durably removes the files under a folder whose names end with a suffix.
func loseFiles(disk *simdisk.Disk, folder, suffix string) {
	for _, file := range disk.Files(folder) {
		if strings.HasSuffix(file, suffix) {
			_ = disk.Remove(file)
			_ = disk.SyncDir(path.Dir(file))
		}
	}
}

// prepareUsedCore returns a Prepare that makes some complete starts and then damages the folder; damage may be nil.
func prepareUsedCore(damage func(disk *simdisk.Disk)) func(*simdisk.Disk, func()) {
	return func(disk *simdisk.Disk, run func()) {
		for range 4 {
			run()
		}
		if damage != nil {
			damage(disk)
		}
	}
}

// prepareCoreWithoutLog leaves the identity of a member and no log, as an interrupted first start of an older version
// did.
func prepareCoreWithoutLog(disk *simdisk.Disk, _ func()) {
	if _, err := storage.OpenIdentity(disk, interruptedFolder, storage.IdentityOptions{}); err != nil {
		panic(err)
	}
}

// Guards against a core member that an interrupted start keeps from ever starting again, or that votes under the id
// whose votes it has lost.
func TestAnInterruptedStartOfACoreMemberIsFollowedByOneThatStartsAndForgetsNothing(t *testing.T) {
	loseLog := func(disk *simdisk.Disk) { loseFiles(disk, interruptedFolder, ".log") }
	for name, scenario := range map[string]interruptedstart.Scenario{
		"empty disk":              {},
		"used disk":               {Prepare: prepareUsedCore(nil)},
		"log that was never made": {Damaged: true, Prepare: prepareCoreWithoutLog},
		"log lost":                {Damaged: true, Prepare: prepareUsedCore(loseLog)},
		"identity lost": {Damaged: true, Rejects: isCorrupt, Prepare: prepareUsedCore(func(disk *simdisk.Disk) {
			loseFiles(disk, interruptedFolder, "identity")
		})},
		"log lost beside a snapshot": {Damaged: true, Rejects: isCorrupt, Prepare: prepareUsedCore(func(disk *simdisk.Disk) {
			store, err := logstore.Open(disk, interruptedFolder)
			if err == nil {
				err = store.SaveSnapshot(&protocol.SnapshotMetadata{Index: 2, Term: interruptedTerm}, nil)
			}
			if err != nil {
				panic(err)
			}
			loseLog(disk)
		})},
	} {
		t.Run(name, func(t *testing.T) {
			scenario.Start = startCoreMember
			for seed := uint64(1); seed <= 2; seed++ {
				t.Logf("%d runs with seed %d", interruptedstart.Test(t, scenario, seed), seed)
			}
		})
	}
}

// Guards against a core member that ends at every start, or forgets entries that it has acknowledged, since it was
// stopped when a snapshot that it had received was durable and its log was not compacted to it.
func TestACoreMemberThatWasInterruptedWhileItReceivedASnapshotForgetsNothing(t *testing.T) {
	for _, formerEntries := range []int{0, receivedIndex + 2} {
		runs := interruptedstart.Test(t, interruptedstart.Scenario{Start: startReceivingMember(formerEntries)}, 1)
		t.Logf("%d runs with %d former entries", runs, formerEntries)
	}
}
