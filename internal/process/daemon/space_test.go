package daemon

import (
	"io"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

const longWait = time.Hour

// startOnFullDisk calls waitForSpace on a full disk and checks that it still waits after longWait.
func startOnFullDisk(t *testing.T) (disk *simdisk.Disk, signals chan os.Signal, results chan bool) {
	t.Helper()
	disk = simdisk.New(rand.New(rand.NewPCG(1, 1)))
	if err := storage.MkdirAll(disk, "data"); err != nil {
		t.Fatal(err)
	}
	disk.SetCapacity(minStartSpaceBytes - 1)
	signals, results = make(chan os.Signal, 1), make(chan bool, 1)
	go func() { results <- waitForSpace(disk, "data", log.New(io.Discard), signals) }()
	<-time.NewTimer(longWait).C
	synctest.Wait()
	if len(results) > 0 {
		t.Fatalf("waitForSpace returned %v on a full disk, want it to wait", <-results)
	}
	return disk, signals, results
}

func TestStartOnFullDiskContinuesWhenSpaceIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk, _, results := startOnFullDisk(t)
		disk.SetCapacity(minStartSpaceBytes)
		began := time.Now()
		if !<-results || time.Since(began) > spaceCheckInterval {
			t.Errorf("waitForSpace returned false, or took %v after space was freed, want at most %v",
				time.Since(began), spaceCheckInterval)
		}
		if files := disk.Files("data"); len(files) > 0 {
			t.Errorf("files left in the data folder: %v, want none", files)
		}
	})
}

func TestStartOnFullDiskStopsOnSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, signals, results := startOnFullDisk(t)
		signals <- syscall.SIGTERM
		if <-results {
			t.Error("waitForSpace returned true after a signal, want false")
		}
	})
}
