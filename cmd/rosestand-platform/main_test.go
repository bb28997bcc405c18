package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	clusterKey  = "0123456789abcdef-test-cluster-key"
	testTimeout = 30 * time.Second
)

// seedServer is a seed that responds with no core addresses and signals each query.
type seedServer struct {
	address string
	queried chan struct{}
}

func (s *seedServer) Serve(_ context.Context, _ *protocol.Request, send func(*protocol.Response) error) error {
	select {
	case s.queried <- struct{}{}:
	default:
	}
	return send(&protocol.Response{Body: &protocol.Response_LocateCore{LocateCore: &protocol.LocateCoreResponse{}}})
}

func newSeed(t *testing.T) *seedServer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &seedServer{address: listener.Addr().String(), queried: make(chan struct{}, 1)}
	server := wire.NewServer(listener, s, wire.ServerOptions{Key: []byte(clusterKey)})
	server.Start()
	t.Cleanup(server.Close)
	return s
}

func (s *seedServer) awaitQuery(t *testing.T) {
	t.Helper()
	select {
	case <-s.queried:
	case <-time.After(testTimeout):
		t.Fatalf("seed %s was not queried", s.address)
	}
}

// writeSettings atomically replaces the settings file with one that contains a single seed.
func writeSettings(t *testing.T, folder, seedAddress string) string {
	t.Helper()
	path := filepath.Join(folder, "settings.json")
	document := fmt.Sprintf(`{"node": {"name": "n", "zone": "z",
		"internal_address": "127.0.0.1:0", "http_address": "127.0.0.1:0",
		"cluster_key_file": %q, "data_folder": %q, "seeds": [%q]}}`,
		filepath.Join(folder, "key"), filepath.Join(folder, "data"), seedAddress)
	for name, content := range map[string]string{"key": clusterKey, "settings.new": document} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Rename(filepath.Join(folder, "settings.new"), path); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkNewSeeds starts a daemon with one seed, replaces the seed by a reload with SIGHUP, and waits until the new one
// is queried.
func checkNewSeeds[S settings.Message](t *testing.T, kind settings.Kind[S], module daemon.Module[S]) {
	t.Helper()
	first, second := newSeed(t), newSeed(t)
	folder := t.TempDir()
	path := writeSettings(t, folder, first.address)
	signals, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	exit := make(chan int, 1)
	var output bytes.Buffer
	go func() {
		exit <- daemon.Execute(kind, module, daemon.Environment{
			Arguments: []string{"--settings", path}, Output: &output, Errors: &output, Signals: signals, Reload: reload,
		})
	}()
	first.awaitQuery(t)
	writeSettings(t, folder, second.address)
	reload <- syscall.SIGHUP
	second.awaitQuery(t)
	signals <- syscall.SIGTERM
	select {
	case code := <-exit:
		if code != daemon.ExitStopped {
			t.Errorf("exit code %d, want %d\n%s", code, daemon.ExitStopped, output.String())
		}
	case <-time.After(testTimeout):
		t.Fatalf("the daemon did not stop within %v", testTimeout)
	}
}

func TestAFrontNodeQueriesNewSeeds(t *testing.T) { checkNewSeeds(t, settings.Front, frontModule) }

func TestAStoreQueriesNewSeeds(t *testing.T) { checkNewSeeds(t, settings.Store, store.Module) }
