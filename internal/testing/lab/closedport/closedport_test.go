package closedport_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/closedport"
)

func TestReservedPortRefusesConnectionsAndListeners(t *testing.T) {
	port, err := closedport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", port.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("a connection returned %v", err)
	}
	if _, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", port.Address()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("a listener returned %v", err)
	}
	if err := port.Release(); err != nil {
		t.Fatal(err)
	}
}
