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

	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

const longWait = time.Hour

// startOnFullDisk begins a start on a disk without free space.
func startOnFullDisk(t *testing.T) (disk *simdisk.Disk, signals chan os.Signal, continues chan bool) {
	t.Helper()
	disk = simdisk.New(rand.New(rand.NewPCG(1, 1)))
	if err := disk.MkdirAll("data"); err != nil {
		t.Fatal(err)
	}
	disk.SetCapacity(minStartSpaceBytes - 1)
	signals, continues = make(chan os.Signal, 1), make(chan bool, 1)
	go func() { continues <- waitForSpace(disk, "data", log.New(io.Discard), signals) }()
	<-time.NewTimer(longWait).C
	synctest.Wait()
	if len(continues) > 0 {
		t.Fatal("it did not wait for space")
	}
	return disk, signals, continues
}

func TestAStartOnAFullDiskContinuesOnceThereIsSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk, _, continues := startOnFullDisk(t)
		disk.SetCapacity(minStartSpaceBytes)
		began := time.Now()
		if !<-continues || time.Since(began) > spaceCheckInterval {
			t.Errorf("it continued after %v, or not at all", time.Since(began))
		}
		if files := disk.Files("data"); len(files) > 0 {
			t.Errorf("it left %v", files)
		}
	})
}

func TestAStartOnAFullDiskCanBeStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, signals, continues := startOnFullDisk(t)
		signals <- syscall.SIGTERM
		if <-continues {
			t.Error("it continued after a signal")
		}
	})
}
