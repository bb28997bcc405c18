package subprocess_test

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/subprocess"
)

// readyText is what a stubborn process writes once it ignores SIGTERM.
const readyText = "ready"

// TestMain lets the test binary stand in for a program of the rig.
func TestMain(m *testing.M) {
	switch os.Getenv("PROCESS_TEST_ROLE") {
	case "wait":
		var block chan struct{}
		<-block
	case "stubborn":
		signal.Ignore(syscall.SIGTERM)
		_, _ = os.Stdout.WriteString(readyText)
		select {}
	case "fail":
		os.Exit(7)
	case "end":
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func start(t *testing.T, role string) *subprocess.Process {
	t.Helper()
	spawner := subprocess.NewSpawner()
	started, err := spawner.Start(subprocess.Spec{
		Name: role, Binary: os.Args[0], LogFile: filepath.Join(t.TempDir(), "log"),
		Environment: []string{"PROCESS_TEST_ROLE=" + role},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := started.Kill(); err != nil {
			t.Error(err)
		}
		spawner.Close()
	})
	return started
}

// usageBound is far above the time in which a started process has memory.
const usageBound = 30 * time.Second

func TestKilledProcessIsGone(t *testing.T) {
	p := start(t, "wait")
	if !p.Running() {
		t.Fatal("not running")
	}
	// The process may not have its memory yet.
	usage, err := p.Usage()
	for began := time.Now(); err == nil && usage.ResidentBytes == 0 &&
		time.Since(began) < usageBound; usage, err = p.Usage() {
		runtime.Gosched()
	}
	if err != nil || usage.ResidentBytes == 0 {
		t.Fatalf("usage %+v, %v", usage, err)
	}
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	if p.Running() {
		t.Fatal("still running")
	}
}

func TestFrozenProcessIsKilledWhenItDoesNotStop(t *testing.T) {
	p := start(t, "wait")
	if err := p.Freeze(); err != nil {
		t.Fatal(err)
	}
	if !p.Running() {
		t.Fatal("a frozen process counts as gone")
	}
	gentle, err := p.Stop(10 * time.Millisecond)
	if err != nil || gentle || p.Running() {
		t.Fatalf("gentle %v, running %v, %v", gentle, p.Running(), err)
	}
}

func TestProcessThatDoesNotStopLeavesItsGoroutinesInItsLog(t *testing.T) {
	p := start(t, "stubborn")
	log := func() string {
		written, err := os.ReadFile(p.Spec().LogFile)
		if err != nil {
			t.Fatal(err)
		}
		return string(written)
	}
	for began := time.Now(); !strings.Contains(log(), readyText) && time.Since(began) < usageBound; {
		runtime.Gosched()
	}
	if gentle, err := p.Stop(10 * time.Millisecond); err != nil || gentle || p.Running() {
		t.Fatalf("gentle %v, running %v, %v", gentle, p.Running(), err)
	}
	if !strings.Contains(log(), "SIGQUIT") || !strings.Contains(log(), "goroutine ") {
		t.Errorf("log %q", log())
	}
}

func TestEndUnaskedIsAnError(t *testing.T) {
	p := start(t, "fail")
	<-p.Exited()
	var exited *subprocess.ExitedError
	if !errors.As(p.UnexpectedExit(), &exited) || exited.Result == nil {
		t.Fatalf("gone: %v", p.UnexpectedExit())
	}
	if gentle, err := p.Stop(time.Second); gentle || err != nil {
		t.Fatalf("gentle %v, %v", gentle, err)
	}
}

func TestProcessWhoseEndIsNoticedLateHasStoppedByItself(t *testing.T) {
	ended, failed := start(t, "end"), start(t, "fail")
	<-ended.Exited()
	<-failed.Exited()
	expired := make(chan time.Time)
	close(expired)
	// A choice at random between the end and the grace would go wrong in half of the tries.
	for range 64 {
		if gentle, err := ended.StopBefore(expired); !gentle || err != nil {
			t.Fatalf("gentle %v, %v", gentle, err)
		}
		if gentle, err := failed.StopBefore(expired); gentle || err != nil {
			t.Fatalf("after a failure: gentle %v, %v", gentle, err)
		}
	}
}
