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
	interruptedFolder = "data/core"
	interruptedTerm   = 3
)

// startCoreMember opens a core member, reads its log, and appends a record with a vote.
func startCoreMember(disk *simdisk.Disk, record string) (*interruptedstart.Started, error) {
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
	if err == nil {
		started.Starts = operations
		err = appendWithVote(member, record)
	}
	return started, errors.Join(err, member.store.Close())
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

// appendWithVote durably founds a cluster, unless the member has one, and appends an entry and a vote.
func appendWithVote(member *Replica, record string) error {
	recovered, err := member.store.Recover()
	if err != nil {
		return err
	}
	entries := len(recovered.Initial.Entries)
	if recovered.ClusterID == "" {
		if _, err := member.store.Found("cluster", member.self); err != nil {
			return err
		}
		entries = 1
	}
	return member.store.Save(consensus.Ready{
		Entries: []*protocol.Entry{{
			Index: uint64(entries) + 1, Term: interruptedTerm, Kind: protocol.EntryKind_ENTRY_COMMAND, Data: []byte(record),
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
