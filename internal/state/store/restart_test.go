package store

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/storage"
)

// damageFirstTurn flips a byte of the first record of the log of turns.
func damageFirstTurn(t *testing.T, path string) {
	files, err := filepath.Glob(filepath.Join(path, datafolder.TurnLog, "*.log"))
	if err != nil || len(files) < 2 {
		t.Fatalf("%d segments of turns, want at least 2: %v", len(files), err)
	}
	content, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	content[100] ^= 0xff
	if err := os.WriteFile(files[0], content, 0o600); err != nil {
		t.Fatal(err)
	}
}

func reopen(t *testing.T, path string) *datafolder.Folder {
	folder, err := datafolder.Open(storage.OSFilesystem{}, path, DefaultSegmentBytes)
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

// A turn that the index covers is not read at startup, so its damage is detected only when it is requested. No index
// may then be kept, so that the next start reads the log, detects the damage and replaces the folder.
func TestDamagedTurnCoveredByIndexIsDetectedOnRead(t *testing.T) {
	path := t.TempDir()
	writeTurns(t, path, 60, 100)
	damageFirstTurn(t, path)
	folder := reopen(t, path)
	if folder.Lost != nil {
		t.Fatalf("the start read a turn that the index covers: %v", folder.Lost)
	}
	var fatal error
	opened, err := New(Options{
		Self: &protocol.Node{Name: "a"}, Core: idleCore{}, Logger: log.New(io.Discard), Registerer: prometheus.NewRegistry(),
		Fatal: func(err error) { fatal = err },
	}, folder)
	if err != nil {
		t.Fatal(err)
	}
	opened.Start()
	damaged := 0
	for _, group := range opened.groups {
		for _, table := range group.Tables() {
			for _, entry := range table.Turns.All() {
				if _, err := opened.turns.Read(entry, nil); err != nil {
					damaged++
					_ = opened.turns.FailOnDamage(err)
				}
			}
		}
	}
	if err := opened.saveTurnIndex(); err != nil {
		t.Fatal(err)
	}
	if err := opened.Stop(); err != nil {
		t.Fatal(err)
	}
	if damaged != 1 || fatal == nil {
		t.Fatalf("%d damaged turns detected, want 1; fatal error %v, want one", damaged, fatal)
	}
	replacement := reopen(t, path)
	if replacement.Lost == nil || replacement.StorageID == folder.StorageID {
		t.Fatalf("the next start kept the damaged folder; its loss is %v", replacement.Lost)
	}
	if err := replacement.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestDamagedTurnWithoutIndexIsDetectedAtStartup(t *testing.T) {
	path := t.TempDir()
	writeTurns(t, path, 60, 100)
	damageFirstTurn(t, path)
	indexes, err := filepath.Glob(filepath.Join(path, datafolder.TurnLog, "*.snapshot"))
	if err != nil || len(indexes) != 1 {
		t.Fatalf("%d turn indexes, want 1: %v", len(indexes), err)
	}
	if err := os.WriteFile(indexes[0], []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	folder := reopen(t, path)
	if folder.Lost == nil {
		t.Fatal("the damaged turn was not detected at startup")
	}
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
}
