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

// waiting begins a start on a disk without room.
func waiting(t *testing.T) (disk *simdisk.Disk, signals chan os.Signal, goesOn chan bool) {
	t.Helper()
	disk = simdisk.New(rand.New(rand.NewPCG(1, 1)))
	if err := disk.MkdirAll("data"); err != nil {
		t.Fatal(err)
	}
	disk.SetCapacity(startSpaceBytes - 1)
	signals, goesOn = make(chan os.Signal, 1), make(chan bool, 1)
	go func() { goesOn <- waitForSpace(disk, "data", log.New(io.Discard), signals) }()
	<-time.NewTimer(longWait).C
	synctest.Wait()
	if len(goesOn) > 0 {
		t.Fatal("it did not wait for room")
	}
	return disk, signals, goesOn
}

func TestAStartOnAFullDiskGoesOnOnceThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk, _, goesOn := waiting(t)
		disk.SetCapacity(startSpaceBytes)
		began := time.Now()
		if !<-goesOn || time.Since(began) > spaceProbeInterval {
			t.Errorf("it went on after %v, or not at all", time.Since(began))
		}
		if files := disk.Files("data"); len(files) > 0 {
			t.Errorf("it left %v", files)
		}
	})
}

func TestAStartOnAFullDiskCanBeStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, signals, goesOn := waiting(t)
		signals <- syscall.SIGTERM
		if <-goesOn {
			t.Error("it went on after a signal")
		}
	})
}
